package dockrelay.proxy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import dockrelay.settings.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The last known list of backends, as stored in the configuration. It is parsed entry by entry, because the
 * text of a list of 86,000 backends would not fit into the heap. The list can be taken once and is not kept
 * afterwards.
 */
final class KnownList {
    private long version = -1;
    private List<Object> entries = List.of();

    /** An empty list. */
    KnownList() {
    }

    /** Reads the value at the parser's current token. A value of another type yields an empty list. */
    static KnownList read(JsonParser parser) throws IOException {
        KnownList knownList = new KnownList();
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return knownList;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            if ("version".equals(key) && value.isNumeric()) {
                knownList.version = parser.getLongValue();
            } else if (ListParser.ENTRIES_KEY.equals(key) && value == JsonToken.START_ARRAY) {
                knownList.entries = readEntries(parser);
            } else {
                parser.skipChildren();
            }
        }
        return knownList;
    }

    private static List<Object> readEntries(JsonParser parser) throws IOException {
        EntryReader reader = new EntryReader();
        List<Object> entries = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Object entry = Json.readValue(parser);
            entries.add(entry instanceof Map<?, ?> fields ? reader.readInitialEntry(fields) : entry);
        }
        return entries;
    }

    /** Version of the list; negative if there is none. */
    long version() {
        return version;
    }

    /**
     * Returns the entries for {@link BackendRegistry#applyUpdate} and drops them; a second call returns an
     * empty list.
     */
    List<Object> takeEntries() {
        List<Object> takenEntries = entries;
        entries = List.of();
        return takenEntries;
    }
}
