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
 * Incremental parser of the JSON objects that discovery sends, independent of their layout. Only one entry
 * of a list is held in parsed JSON form at a time; of the others only the reader's result is kept.
 */
final class ListParser {
    private static final JsonFactory JSON = new JsonFactory();
    /** The key of the entries in a list. */
    static final String ENTRIES = "servers";
    private static final String VERSION = "version";
    /** Maximum size of an entry, including the bytes between two entries. */
    private static final int LONGEST_ENTRY = 1 << 20;
    /**
     * Three times the fleet size that operators expect. Without a bound, an endless list would exhaust the
     * heap.
     */
    private static final int MOST_ENTRIES = 1 << 18;

    /** One object from discovery: a full list or changes, with each entry as converted by the reader. */
    record Update(long version, boolean full, List<Object> entries) {
    }

    private final Function<Map<?, ?>, Object> reader;
    private final Consumer<Update> taker;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    // containers of the incomplete value, innermost first
    private final Deque<Object> open = new ArrayDeque<>();
    // pending keys of the open maps, innermost first
    private final Deque<String> names = new ArrayDeque<>();
    private Map<?, ?> spare; // the map of a converted entry, reused for the next one
    private Map<String, Object> top; // fields of the incomplete object except its entries
    private List<Object> entries;
    private String name; // key of the top-level value that follows
    private boolean listing, named;
    private long since, read;

    ListParser(Function<Map<?, ?>, Object> reader, Consumer<Update> taker) {
        this.reader = reader;
        this.taker = taker;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e); // cannot happen: nothing is read here
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Number of values and objects parsed completely. It increases while a list makes progress. */
    long read() {
        return read;
    }

    /**
     * The received part of an incomplete object, as a change; null if there is none or its version has not
     * been received yet.
     */
    Update partial() {
        if (top == null || !(top.get(VERSION) instanceof Number)) {
            return null;
        }
        return new Update((long) Config.numberOrDefault(top, VERSION, -1), false, new ArrayList<>(entries));
    }

    /** Parses the next bytes. */
    void feed(byte[] bytes, int length) throws IOException {
        since += length;
        feeder.feedInput(bytes, 0, length);
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE;
            token = parser.nextToken()) {
            take(token);
        }
        if (top != null && since > LONGEST_ENTRY) {
            throw new IOException("entry exceeds " + LONGEST_ENTRY + " bytes");
        }
    }

    private void take(JsonToken token) throws IOException {
        if (named && token.isStructEnd()) {
            throw new IOException("field name without a value"); // the JSON parser does not reject this
        }
        named = token == JsonToken.FIELD_NAME;
        if (top == null) {
            if (token != JsonToken.START_OBJECT) {
                throw new IOException("top-level value is not an object");
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
            entries.clear(); // if the key is repeated, the last value applies
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

    /** Handles a token within an object or array. */
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

    /** Adds a value to the innermost open container. */
    @SuppressWarnings("unchecked")
    private void keep(Object value) {
        if (open.peek() instanceof List<?> list) {
            ((List<Object>) list).add(value);
        } else {
            ((Map<String, Object>) open.peek()).put(names.pop(), value);
        }
    }

    /** Handles a complete top-level value or a complete entry. */
    private void whole(Object value) throws IOException {
        if (!listing) {
            top.put(name, value);
        } else if (entries.size() >= MOST_ENTRIES) {
            throw new IOException("list exceeds " + MOST_ENTRIES + " entries");
        } else {
            entries.add(value instanceof Map<?, ?> entry ? made(entry) : value);
        }
        moved();
    }

    private Object made(Map<?, ?> entry) {
        Object made = reader.apply(entry);
        if (made != entry) {
            entry.clear();
            spare = entry; // reused for the next entry
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
            default -> throw new IOException("unexpected token " + token);
        };
    }
}
