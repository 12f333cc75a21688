package dockrelay.proxy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import dockrelay.settings.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The list that a proxy last had, as its configuration says it. It is read entry by entry, as one of 86,000
 * would not fit the heap as it is written; whoever starts with it takes it, and it is not kept after that.
 */
final class KnownList {
    private long version = -1;
    private List<Object> entries = List.of();

    /** One that names nobody. */
    KnownList() {
    }

    /** The value at the parser's current token; what is no object, or no list in it, names nobody. */
    static KnownList read(JsonParser parser) throws IOException {
        KnownList known = new KnownList();
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return known;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            if ("version".equals(key) && value.isNumeric()) {
                known.version = parser.getLongValue();
            } else if (ListParser.ENTRIES.equals(key) && value == JsonToken.START_ARRAY) {
                known.entries = entries(parser);
            } else {
                parser.skipChildren();
            }
        }
        return known;
    }

    private static List<Object> entries(JsonParser parser) throws IOException {
        EntryReader reader = new EntryReader();
        List<Object> entries = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Object entry = Json.readValue(parser);
            entries.add(entry instanceof Map<?, ?> map ? reader.first(map) : entry);
        }
        return entries;
    }

    /** Below 0 where it has none. */
    long version() {
        return version;
    }

    /** The entries, as {@link BackendRegistry#take} takes them; none the next time. */
    List<Object> take() {
        List<Object> taken = entries;
        entries = List.of();
        return taken;
    }
}
