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
class SyntheticBackendListTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final SyntheticBackendList list = new SyntheticBackendList(21, List.of("a", "b", "c"),
        List.of("m1", "m2"), (zone, number) -> "127.0.0." + (1 + zone) + ":" + (1000 + number));

    @Test
    void fullListHasEachBackendOnceWithItsAddress() throws Exception {
        JsonNode fullList = JSON.readTree(list.fullListJson());
        assertTrue(fullList.get("full").asBoolean());
        assertEquals(21, fullList.get("servers").size());
        Set<String> ids = new HashSet<>();
        for (JsonNode server : fullList.get("servers")) {
            ids.add(server.get("id").asText());
            assertEquals("active", server.get("state").asText());
        }
        assertEquals(21, ids.size());
        JsonNode second = fullList.get("servers").get(1);
        assertEquals("127.0.0.2:1001", second.get("addr").asText());
        assertEquals("b", second.get("zone").asText());
        assertEquals("m2", second.get("kind").asText());
    }

    @Test
    void changesHoldOnlyChangedBackendsAndAccumulate() throws Exception {
        long baseVersion = list.version();
        JsonNode change = JSON.readTree(list.applyChange(List.of(4), "leaving", -1));
        assertFalse(change.get("full").asBoolean());
        assertEquals(baseVersion + 1, change.get("version").asLong());
        assertEquals(1, change.get("servers").size());
        list.applyChange(List.of(4), "left", -1);
        list.applyChange(List.of(5), "active", 77);
        JsonNode changes = JSON.readTree(list.changesSinceJson(baseVersion));
        assertEquals(2, changes.get("servers").size());
        assertEquals("left", changes.get("servers").get(0).get("state").asText());
        assertEquals(77, changes.get("servers").get(1).get("started_ms").asLong());
        assertEquals(0, JSON.readTree(list.changesSinceJson(list.version())).get("servers").size());
        assertEquals(20, JSON.readTree(list.fullListJson()).get("servers").size());
    }

    @Test
    void replacementHasANewIdAtTheSameAddress() throws Exception {
        int replacement = list.addReplacement(4);
        assertNotEquals(list.id(4), list.id(replacement));
        assertEquals(21, JSON.readTree(list.fullListJson()).get("servers").size());
        JsonNode added = JSON.readTree(list.applyChange(List.of(replacement), "active", 5))
            .get("servers").get(0);
        assertEquals("127.0.0.2:1004", added.get("addr").asText());
        assertEquals(22, JSON.readTree(list.fullListJson()).get("servers").size());
    }

    @Test
    void zoneContainsOnlyBackendsThatHaveNotLeft() {
        assertEquals(7, list.backendsInZone(2).size());
        list.applyChange(list.backendsInZone(2), "left", -1);
        assertEquals(0, list.backendsInZone(2).size());
        assertEquals(7, list.backendsInZone(1).size());
    }
}
