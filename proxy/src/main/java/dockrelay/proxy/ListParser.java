package dockrelay.proxy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Takes what discovery says apart as its bytes come, however the objects are laid out. Of a list no more than
 * one entry is ever there as it was written: what the reader makes of each is all that is kept.
 */
final class ListParser {
    private static final JsonFactory JSON = new JsonFactory();
    /** The key under which a list has its entries. */
    static final String ENTRIES = "servers";
    private static final String VERSION = "version";
    /** One entry, and what stands between two, is not longer than that. */
    private static final int LONGEST_ENTRY = 1 << 20;
    /** Three times what the operators expect; without a bound a list without end would take all memory. */
    private static final int MOST_ENTRIES = 1 << 18;

    /** What was said at once: a list in whole, or what has changed; each entry as the reader made it. */
    record Update(long version, boolean full, List<Object> entries) {
    }

    private final Function<Map<?, ?>, Object> reader;
    private final Consumer<Update> taker;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final Deque<Object> open = new ArrayDeque<>(); // of a value that is not whole, the inmost first
    private final Deque<String> names = new ArrayDeque<>(); // under which these are kept, one for each map
    private Map<?, ?> spare; // an entry's that was read
    private Map<String, Object> top; // of an object that is not whole, all but its entries
    private List<Object> entries;
    private String name; // the top's, of the value to come
    private boolean listing, named;
    private long since, read;

    ListParser(Function<Map<?, ?>, Object> reader, Consumer<Update> taker) {
        this.reader = reader;
        this.taker = taker;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e); // it reads nothing yet
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** How many entries and objects were read whole: it moves while a list does. */
    long read() {
        return read;
    }

    /**
     * What has come so far of an object that is not whole, as changes; null where there is none, or where its
     * version has not come.
     */
    Update partial() {
        if (top == null || !(top.get(VERSION) instanceof Number)) {
            return null;
        }
        return new Update((long) Config.numberOrDefault(top, VERSION, -1), false, new ArrayList<>(entries));
    }

    /** Takes the next bytes; false once the taker wants no more. */
    void feed(byte[] bytes, int length) throws IOException {
        since += length;
        feeder.feedInput(bytes, 0, length);
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE;
            token = parser.nextToken()) {
            take(token);
        }
        if (top != null && since > LONGEST_ENTRY) {
            throw new IOException("an entry of more than " + LONGEST_ENTRY + " bytes");
        }
    }

    private void take(JsonToken token) throws IOException {
        if (named && token.isStructEnd()) {
            throw new IOException("a name without a value"); // this parser lets it pass
        }
        named = token == JsonToken.FIELD_NAME;
        if (top == null) {
            if (token != JsonToken.START_OBJECT) {
                throw new IOException("not an object");
            }
            top = new LinkedHashMap<>();
            entries = new ArrayList<>();
        } else if (!open.isEmpty()) {
            nested(token);
        } else if (listing && token == JsonToken.END_ARRAY) {
            listing = false;
        } else if (!listing && token == JsonToken.END_OBJECT) {
            Update update = new Update((long) Config.numberOrDefault(top, VERSION, -1),
                Boolean.TRUE.equals(top.get("full")), entries);
            top = null;
            entries = null;
            moved();
            taker.accept(update);
        } else if (!listing && token == JsonToken.FIELD_NAME) {
            name = parser.currentName();
        } else if (!listing && token == JsonToken.START_ARRAY && ENTRIES.equals(name)) {
            listing = true;
            entries.clear(); // said twice, the last one holds
        } else if (token == JsonToken.START_OBJECT || token == JsonToken.START_ARRAY) {
            opens(token);
        } else {
            whole(scalar(token));
        }
    }

    private void opens(JsonToken token) {
        if (token == JsonToken.START_ARRAY) {
            open.push(new ArrayList<>());
        } else {
            open.push(spare == null ? new LinkedHashMap<String, Object>() : spare);
            spare = null;
        }
    }

    /** Within a value that is an object or an array. */
    private void nested(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            names.push(parser.currentName());
        } else if (token == JsonToken.START_OBJECT || token == JsonToken.START_ARRAY) {
            opens(token);
        } else if (token != JsonToken.END_OBJECT && token != JsonToken.END_ARRAY) {
            keep(scalar(token));
        } else {
            Object done = open.pop();
            if (open.isEmpty()) {
                whole(done);
            } else {
                keep(done);
            }
        }
    }

    /** Keeps a value in the one that it is in. */
    @SuppressWarnings("unchecked")
    private void keep(Object value) {
        if (open.peek() instanceof List<?> list) {
            ((List<Object>) list).add(value);
        } else {
            ((Map<String, Object>) open.peek()).put(names.pop(), value);
        }
    }

    /** A value of the top's, or an entry. */
    private void whole(Object value) throws IOException {
        if (!listing) {
            top.put(name, value);
        } else if (entries.size() >= MOST_ENTRIES) {
            throw new IOException("a list of more than " + MOST_ENTRIES + " entries");
        } else {
            entries.add(value instanceof Map<?, ?> entry ? made(entry) : value);
        }
        moved();
    }

    private Object made(Map<?, ?> entry) {
        Object made = reader.apply(entry);
        if (made != entry) {
            entry.clear();
            spare = entry; // what the reader has no use for serves for the next one
        }
        return made;
    }

    private void moved() {
        since = 0;
        read++;
    }

    private Object scalar(JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> throw new IOException("unexpected " + token);
        };
    }
}
