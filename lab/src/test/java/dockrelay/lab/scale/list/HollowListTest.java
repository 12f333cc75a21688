package dockrelay.lab.scale.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Full lists, changes and replacements of synthetic backends, as the JSON that proxies receive. */
class HollowListTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final SyntheticBackendList list = new SyntheticBackendList(21, List.of("a", "b", "c"), List.of("m1", "m2"),
        (zone, number) -> "127.0.0." + (1 + zone) + ":" + (1000 + number));

    @Test
    void theWholeListNamesEachOnceWithAnAddress() throws Exception {
        JsonNode whole = JSON.readTree(list.fullListJson());
        assertTrue(whole.get("full").asBoolean());
        assertEquals(21, whole.get("servers").size());
        Set<String> ids = new HashSet<>();
        for (JsonNode one : whole.get("servers")) {
            ids.add(one.get("id").asText());
            assertEquals("active", one.get("state").asText());
        }
        assertEquals(21, ids.size());
        JsonNode second = whole.get("servers").get(1);
        assertEquals("127.0.0.2:1001", second.get("addr").asText());
        assertEquals("b", second.get("zone").asText());
        assertEquals("m2", second.get("kind").asText());
    }

    @Test
    void aChangeHoldsWhatChangedAndWhoMissedItIsToldLater() throws Exception {
        long before = list.version();
        JsonNode change = JSON.readTree(list.applyChange(List.of(4), "leaving", -1));
        assertFalse(change.get("full").asBoolean());
        assertEquals(before + 1, change.get("version").asLong());
        assertEquals(1, change.get("servers").size());
        list.applyChange(List.of(4), "left", -1);
        list.applyChange(List.of(5), "active", 77);
        JsonNode since = JSON.readTree(list.since(before));
        assertEquals(2, since.get("servers").size());
        assertEquals("left", since.get("servers").get(0).get("state").asText());
        assertEquals(77, since.get("servers").get(1).get("started_ms").asLong());
        assertEquals(0, JSON.readTree(list.since(list.version())).get("servers").size());
        assertEquals(20, JSON.readTree(list.fullListJson()).get("servers").size());
    }

    @Test
    void aReplacementHasAnotherNameInTheSamePlace() throws Exception {
        int made = list.replacement(4);
        assertNotEquals(list.id(4), list.id(made));
        assertEquals(21, JSON.readTree(list.fullListJson()).get("servers").size());
        JsonNode told = JSON.readTree(list.applyChange(List.of(made), "active", 5)).get("servers").get(0);
        assertEquals("127.0.0.2:1004", told.get("addr").asText());
        assertEquals(22, JSON.readTree(list.fullListJson()).get("servers").size());
    }

    @Test
    void aZoneIsWhoeverIsThereOfIt() {
        assertEquals(7, list.of(2).size());
        list.applyChange(list.of(2), "left", -1);
        assertEquals(0, list.of(2).size());
        assertEquals(7, list.of(1).size());
    }
}
