package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import dockrelay.settings.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests parsing of discovery's JSON objects from arbitrary fragments. */
class ListParserTest {
    private final List<ListParser.Update> updates = new ArrayList<>();
    private final List<Map<?, ?>> entriesRead = new ArrayList<>();
    private final ListParser parser = new ListParser(entry -> {
        entriesRead.add(entry);
        return entry;
    }, updates::add);

    private void feed(String text, int chunkSize) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i += chunkSize) {
            byte[] chunk = java.util.Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + chunkSize));
            parser.feed(chunk, chunk.length);
        }
    }

    /** Parses the same text with the non-incremental reader. */
    private static ListParser.Update parseWholeText(String text) throws IOException {
        try (JsonParser json = new JsonFactory().createParser(text)) {
            json.nextToken();
            Map<?, ?> fields = (Map<?, ?>) Json.readValue(json);
            return new ListParser.Update((long) Config.numberOrDefault(fields, "version", -1),
                Boolean.TRUE.equals(fields.get("full")),
                new ArrayList<>(Config.listOrEmpty(fields, "servers")));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1_000})
    void fragmentationDoesNotChangeResult(int chunkSize) throws IOException {
        String[] texts = {
            "{\"version\":43,\"full\":false,\"servers\":[{\"id\":\"s-\\u00e4\",\"weight\":1.5e0,\"cell\":-3,"
                + "\"tags\":[1,[true,null,{}],{\"a\":{\"b\":[]}}],\"zone\":\"\u00e4 \\\"]}{[\"},{}]}",
            "{\n \"servers\" :\t[ { \"id\" : \"x\" } , 7, \"text\", [1], null ]\n, \"other\":"
                + " {\"servers\": [1]}, \"full\" : true , \"version\": 44 }",
            "{}", "{\"version\":1,\"servers\":{\"id\":\"no list\"}}", "{\"servers\":[1],\"servers\":[2,{}]}",
            "{\"version\":2.0,\"full\":\"true\"}"};
        feed("\n \n" + String.join("\n\n", texts), chunkSize);
        List<ListParser.Update> expected = new ArrayList<>();
        for (String text : texts) {
            expected.add(parseWholeText(text));
        }
        assertEquals(expected, updates);
        assertEquals(4, entriesRead.size(), "objects passed to the reader");
    }

    /** The reused map of a converted entry must not leak values into the next one. */
    @Test
    void readerResultReplacesEntry() throws IOException {
        List<ListParser.Update> convertedUpdates = new ArrayList<>();
        ListParser convertingParser = new ListParser(entry -> entry.size() > 1 ? entry.toString() : entry,
            convertedUpdates::add);
        byte[] bytes = "{\"servers\":[{\"a\":1,\"b\":[{}]},{\"c\":2},{\"d\":3,\"e\":{\"f\":4}},{\"g\":5}]}"
            .getBytes(StandardCharsets.UTF_8);
        convertingParser.feed(bytes, bytes.length);
        assertEquals(List.of("{a=1, b=[{}]}", Map.of("c", 2L), "{d=3, e={f=4}}", Map.of("g", 5L)),
            convertedUpdates.get(0).entries());
    }

    @ParameterizedTest
    @ValueSource(strings = {"[]", "7", "\"text\"", "{\"a\":}", "{\"servers\":[}", "{\"a\" 1}", "nonsense",
        "}"})
    void invalidObjectsAreRejected(String text) {
        assertThrows(IOException.class, () -> feed(text + " ", 1));
    }

    @Test
    void onlyOversizedEntriesAreRejected() throws IOException {
        feed("{\"servers\":[", 100);
        String entry = "{\"id\":\"" + "s".repeat(990) + "\"}";
        for (int i = 0; i < 6_000; i++) {
            feed((i > 0 ? "," : "") + entry, 10_000);
        }
        assertEquals(6_000, entriesRead.size());
        assertTrue(parser.parsedValueCount() >= 6_000, "the progress counter must count the entries");
        feed(",{\"id\":\"", 100);
        assertThrows(IOException.class, () -> {
            for (int i = 0; i < 2_000; i++) {
                feed("s".repeat(1_000), 10_000);
            }
        });
    }
}
