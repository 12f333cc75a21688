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
    private static final JsonFactory JSON_FACTORY = new JsonFactory();
    /** The key of the entries in a list. */
    static final String ENTRIES_KEY = "servers";
    private static final String VERSION_KEY = "version";
    /** Maximum size of an entry, including the bytes between two entries. */
    private static final int MAX_ENTRY_BYTES = 1 << 20;
    /**
     * Three times the fleet size that operators expect. Without a bound, an endless list would exhaust the
     * heap.
     */
    private static final int MAX_ENTRIES = 1 << 18;

    /** One object from discovery: a full list or changes, with each entry as converted by the reader. */
    record Update(long version, boolean full, List<Object> entries) {
    }

    private final Function<Map<?, ?>, Object> entryReader;
    private final Consumer<Update> updateConsumer;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    // containers of the incomplete value, innermost first
    private final Deque<Object> openContainers = new ArrayDeque<>();
    // pending keys of the open maps, innermost first
    private final Deque<String> pendingKeys = new ArrayDeque<>();
    private Map<?, ?> reusableMap; // the map of a converted entry, reused for the next one
    private Map<String, Object> topLevelFields; // fields of the incomplete object except its entries
    private List<Object> entries;
    private String topLevelKey; // key of the top-level value that follows
    private boolean insideEntries, afterFieldName;
    private long bytesSinceProgress, parsedValues;

    ListParser(Function<Map<?, ?>, Object> entryReader, Consumer<Update> updateConsumer) {
        this.entryReader = entryReader;
        this.updateConsumer = updateConsumer;
        try {
            parser = JSON_FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e); // cannot happen: nothing is read here
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Number of values and objects parsed completely. It increases while a list makes progress. */
    long parsedValueCount() {
        return parsedValues;
    }

    /**
     * The received part of an incomplete object, as a change; null if there is none or its version has not
     * been received yet.
     */
    Update partialUpdate() {
        if (topLevelFields == null || !(topLevelFields.get(VERSION_KEY) instanceof Number)) {
            return null;
        }
        return new Update((long) Config.numberOrDefault(topLevelFields, VERSION_KEY, -1), false,
            new ArrayList<>(entries));
    }

    /** Parses the next bytes. */
    void feed(byte[] bytes, int length) throws IOException {
        bytesSinceProgress += length;
        feeder.feedInput(bytes, 0, length);
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE;
            token = parser.nextToken()) {
            handleToken(token);
        }
        if (topLevelFields != null && bytesSinceProgress > MAX_ENTRY_BYTES) {
            throw new IOException("entry exceeds " + MAX_ENTRY_BYTES + " bytes");
        }
    }

    private void handleToken(JsonToken token) throws IOException {
        if (afterFieldName && token.isStructEnd()) {
            throw new IOException("field name without a value"); // the JSON parser does not reject this
        }
        afterFieldName = token == JsonToken.FIELD_NAME;
        if (topLevelFields == null) {
            if (token != JsonToken.START_OBJECT) {
                throw new IOException("top-level value is not an object");
            }
            topLevelFields = new LinkedHashMap<>();
            entries = new ArrayList<>();
        } else if (!openContainers.isEmpty()) {
            handleNestedToken(token);
        } else if (insideEntries && token == JsonToken.END_ARRAY) {
            insideEntries = false;
        } else if (!insideEntries && token == JsonToken.END_OBJECT) {
            Update update = new Update((long) Config.numberOrDefault(topLevelFields, VERSION_KEY, -1),
                Boolean.TRUE.equals(topLevelFields.get("full")), entries);
            topLevelFields = null;
            entries = null;
            recordProgress();
            updateConsumer.accept(update);
        } else if (!insideEntries && token == JsonToken.FIELD_NAME) {
            topLevelKey = parser.currentName();
        } else if (!insideEntries && token == JsonToken.START_ARRAY && ENTRIES_KEY.equals(topLevelKey)) {
            insideEntries = true;
            entries.clear(); // if the key is repeated, the last value applies
        } else if (token == JsonToken.START_OBJECT || token == JsonToken.START_ARRAY) {
            openContainer(token);
        } else {
            handleCompleteValue(readScalar(token));
        }
    }

    private void openContainer(JsonToken token) {
        if (token == JsonToken.START_ARRAY) {
            openContainers.push(new ArrayList<>());
        } else {
            openContainers.push(reusableMap == null ? new LinkedHashMap<String, Object>() : reusableMap);
            reusableMap = null;
        }
    }

    /** Handles a token within an object or array. */
    private void handleNestedToken(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            pendingKeys.push(parser.currentName());
        } else if (token == JsonToken.START_OBJECT || token == JsonToken.START_ARRAY) {
            openContainer(token);
        } else if (token != JsonToken.END_OBJECT && token != JsonToken.END_ARRAY) {
            addToOpenContainer(readScalar(token));
        } else {
            Object completed = openContainers.pop();
            if (openContainers.isEmpty()) {
                handleCompleteValue(completed);
            } else {
                addToOpenContainer(completed);
            }
        }
    }

    /** Adds a value to the innermost open container. */
    @SuppressWarnings("unchecked")
    private void addToOpenContainer(Object value) {
        if (openContainers.peek() instanceof List<?> list) {
            ((List<Object>) list).add(value);
        } else {
            ((Map<String, Object>) openContainers.peek()).put(pendingKeys.pop(), value);
        }
    }

    /** Handles a complete top-level value or a complete entry. */
    private void handleCompleteValue(Object value) throws IOException {
        if (!insideEntries) {
            topLevelFields.put(topLevelKey, value);
        } else if (entries.size() >= MAX_ENTRIES) {
            throw new IOException("list exceeds " + MAX_ENTRIES + " entries");
        } else {
            entries.add(value instanceof Map<?, ?> entry ? convertEntry(entry) : value);
        }
        recordProgress();
    }

    private Object convertEntry(Map<?, ?> entry) {
        Object converted = entryReader.apply(entry);
        if (converted != entry) {
            entry.clear();
            reusableMap = entry; // reused for the next entry
        }
        return converted;
    }

    private void recordProgress() {
        bytesSinceProgress = 0;
        parsedValues++;
    }

    private Object readScalar(JsonToken token) throws IOException {
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
