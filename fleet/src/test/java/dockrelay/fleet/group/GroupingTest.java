package dockrelay.fleet.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.fleet.group.GroupException.Code;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Assignment of names to groups: sizes, stability under changes, and rejection of invalid lists. */
class GroupingTest {
    private static Map<String, List<String>> zones(Random random, int zones, int least, int most) {
        Map<String, List<String>> result = new TreeMap<>();
        for (int zone = 0; zone < zones; zone++) {
            List<String> names = new ArrayList<>();
            int n = least + random.nextInt(most - least + 1);
            for (int i = 0; i < n; i++) {
                names.add("z" + zone + "-" + Long.toString(random.nextLong() >>> 20, 36));
            }
            result.put("z" + zone, names);
        }
        return result;
    }

    private static Map<String, String> places(GroupAssignment grouping) {
        Map<String, String> result = new TreeMap<>();
        for (int group = 0; group < grouping.groupCount(); group++) {
            for (String name : grouping.memberNames(group)) {
                result.put(name, grouping.label(group));
            }
        }
        return result;
    }

    @Test
    void theOrderInWhichNamesAreGivenDoesNotMatter() {
        for (int seed = 1; seed <= 50; seed++) {
            Random random = new Random(seed);
            Map<String, List<String>> zones = zones(random, 1 + random.nextInt(7), 1, 600);
            GroupAssignment first = GroupAssignment.of(zones, GroupAssignment.DEFAULT_GROUP_SIZE);
            List<String> order = new ArrayList<>(zones.keySet());
            Collections.shuffle(order, random);
            Map<String, List<String>> other = new LinkedHashMap<>();
            for (String zone : order) {
                List<String> names = new ArrayList<>(zones.get(zone));
                Collections.shuffle(names, random);
                other.put(zone, names);
            }
            GroupAssignment second = GroupAssignment.of(other, GroupAssignment.DEFAULT_GROUP_SIZE);
            assertEquals(places(first), places(second));
            assertEquals(first.hash(), second.hash());
        }
    }

    @Test
    void groupsAreNeitherTooSmallNorTooLarge() {
        for (int seed = 1; seed <= 400; seed++) {
            Random random = new Random(seed);
            GroupAssignment grouping = GroupAssignment.of(zones(random, 1 + random.nextInt(3), 32, 1_500),
                GroupAssignment.DEFAULT_GROUP_SIZE);
            for (int group = 0; group < grouping.groupCount(); group++) {
                int size = grouping.memberNames(group).size();
                assertTrue(size >= 32 && size <= 128, "seed " + seed + ": " + size + " in "
                    + grouping.label(group));
            }
        }
    }

    @Test
    void noGroupIsOverTheMostWhateverSizeIsAimedAt() {
        for (int size = GroupAssignment.MIN_GROUP_SIZE; size <= GroupAssignment.MAX_GROUP_SIZE; size += 16) {
            for (int n = 20; n < 1_000; n += 7) {
                Map<String, List<String>> zones = zones(new Random(n), 1, n, n);
                GroupAssignment grouping = GroupAssignment.of(zones, size);
                assertEquals(n <= Math.min(1.5 * size, 128), grouping.isSingleGroup());
                for (int group = 0; group < grouping.groupCount(); group++) {
                    assertTrue(grouping.memberNames(group).size() <= GroupAssignment.MAX_GROUP_SIZE);
                }
            }
        }
    }

    /**
     * Removing a name moves less than one other name on average, or about one group's worth if the number of
     * groups changes.
     */
    @Test
    void oneNameMoreOrFewerMovesFewOthers() {
        int moved = 0, most = 0, plays = 0;
        for (int seed = 1; seed <= 300; seed++) {
            Random random = new Random(seed);
            Map<String, List<String>> zones = zones(random, 1 + random.nextInt(3), 100, 1_500);
            GroupAssignment before = GroupAssignment.of(zones, GroupAssignment.DEFAULT_GROUP_SIZE);
            List<String> zone = zones.get("z0");
            zone.remove(random.nextInt(zone.size()));
            GroupAssignment after = GroupAssignment.of(zones, GroupAssignment.DEFAULT_GROUP_SIZE);
            Map<String, String> places = places(before);
            places.keySet().retainAll(places(after).keySet());
            int here = 0;
            for (Map.Entry<String, String> place : places(after).entrySet()) {
                here += place.getValue().equals(places.get(place.getKey())) ? 0 : 1;
            }
            if (before.groupCount() == after.groupCount()) {
                plays++;
                moved += here;
                most = Math.max(most, here);
            } else {
                assertTrue(here <= 2 * GroupAssignment.DEFAULT_GROUP_SIZE, "seed " + seed + ": " + here);
            }
        }
        System.out.printf("%d runs: %.3f names moved on average, %d at most%n", plays,
            (double) moved / plays, most);
        assertTrue(moved <= plays, moved + " names moved; number of runs: " + plays);
        assertTrue(most <= 8, "" + most);
    }

    @Test
    void theOrderOfAllIsGroupAfterGroup() {
        GroupAssignment grouping = GroupAssignment.of(zones(new Random(1), 3, 100, 400), GroupAssignment.DEFAULT_GROUP_SIZE);
        int before = 0;
        for (int group = 0; group < grouping.groupCount(); group++) {
            assertEquals(before, grouping.before(group));
            for (String name : grouping.memberNames(group)) {
                assertEquals(group, grouping.groupOf(name));
            }
            assertEquals(group, grouping.group(grouping.key(group)));
            before += grouping.memberNames(group).size();
        }
        assertEquals(before, grouping.memberCount());
        assertEquals(-1, grouping.groupOf("nobody"));
    }

    @Test
    void anotherListHasAnotherHash() {
        Map<String, List<String>> zones = zones(new Random(1), 3, 100, 400);
        int hash = GroupAssignment.of(zones, 64).hash();
        assertNotEquals(hash, GroupAssignment.of(zones, 32).hash());
        zones.get("z2").add("one-more");
        assertNotEquals(hash, GroupAssignment.of(zones, 64).hash());
    }

    private static Code refused(Map<String, List<String>> zones, int size) {
        return assertThrows(GroupException.class, () -> GroupAssignment.of(zones, size)).code();
    }

    @Test
    void whatCannotBeIsRefusedByItsOwnCode() {
        assertEquals(Code.SIZE, refused(Map.of("a", List.of("n")), 31));
        assertEquals(Code.SIZE, refused(Map.of("a", List.of("n")), 129));
        assertEquals(Code.ZONE, refused(Map.of("", List.of("n"), "b", List.of("m")), 64));
        assertEquals(Code.ZONE, refused(Map.of(" ", List.of("n")), 64));
        assertEquals(Code.EMPTY, refused(Map.of("a", List.of("n"), "b", List.of()), 64));
        assertEquals(Code.TWICE, refused(Map.of("a", List.of("n"), "b", List.of("n")), 64));
        assertEquals(Code.TWICE, refused(Map.of("a", List.of("n", "n")), 64));
        assertEquals(Code.NAME, refused(Map.of("a", List.of("")), 64));
        assertEquals(Code.NAME, refused(Map.of("a", List.of("n".repeat(65))), 64));
        assertEquals(Code.TOO_MANY, refused(Map.of(), 64));
        assertEquals(Code.TOO_MANY, refused(Map.of("a",
            Collections.nCopies(16_385, "n")), 64));
        assertEquals(Code.ALIKE, refused(Map.of("a", List.of("2ofmlwb", "88bzilh")), 64));
        assertEquals(2, GroupAssignment.of(Map.of("a", List.of("2ofmlwb"), "b", List.of("88bzilh")), 64).memberCount());
        GroupException e = assertThrows(GroupException.class,
            () -> GroupAssignment.of(Map.of("a", List.of("n")), 7));
        assertEquals("G-SIZE: group size is 7; allowed are 32 to 128", e.getMessage());
        assertEquals("7", e.value());
        assertEquals("group size", e.key());
        assertEquals("allowed are 32 to 128", e.allowed());
    }
}
