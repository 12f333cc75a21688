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

/** Assignment of names to groups: sizes, stability under changes, and refusal of invalid lists. */
class GroupAssignmentTest {
    private static Map<String, List<String>> randomZones(Random random, int zoneCount, int minNames,
        int maxNames) {
        Map<String, List<String>> result = new TreeMap<>();
        for (int zone = 0; zone < zoneCount; zone++) {
            List<String> names = new ArrayList<>();
            int nameCount = minNames + random.nextInt(maxNames - minNames + 1);
            for (int i = 0; i < nameCount; i++) {
                names.add("z" + zone + "-" + Long.toString(random.nextLong() >>> 20, 36));
            }
            result.put("z" + zone, names);
        }
        return result;
    }

    private static Map<String, String> labelByName(GroupAssignment assignment) {
        Map<String, String> result = new TreeMap<>();
        for (int group = 0; group < assignment.groupCount(); group++) {
            for (String name : assignment.memberNames(group)) {
                result.put(name, assignment.label(group));
            }
        }
        return result;
    }

    @Test
    void assignmentDoesNotDependOnInputOrder() {
        for (int seed = 1; seed <= 50; seed++) {
            Random random = new Random(seed);
            Map<String, List<String>> zones = randomZones(random, 1 + random.nextInt(7), 1, 600);
            GroupAssignment original = GroupAssignment.of(zones, GroupAssignment.DEFAULT_GROUP_SIZE);
            List<String> zoneOrder = new ArrayList<>(zones.keySet());
            Collections.shuffle(zoneOrder, random);
            Map<String, List<String>> shuffledZones = new LinkedHashMap<>();
            for (String zone : zoneOrder) {
                List<String> names = new ArrayList<>(zones.get(zone));
                Collections.shuffle(names, random);
                shuffledZones.put(zone, names);
            }
            GroupAssignment shuffled = GroupAssignment.of(shuffledZones, GroupAssignment.DEFAULT_GROUP_SIZE);
            assertEquals(labelByName(original), labelByName(shuffled));
            assertEquals(original.hash(), shuffled.hash());
        }
    }

    @Test
    void groupSizesStayWithinBounds() {
        for (int seed = 1; seed <= 400; seed++) {
            Random random = new Random(seed);
            GroupAssignment assignment = GroupAssignment.of(
                randomZones(random, 1 + random.nextInt(3), 32, 1_500), GroupAssignment.DEFAULT_GROUP_SIZE);
            for (int group = 0; group < assignment.groupCount(); group++) {
                int size = assignment.memberNames(group).size();
                assertTrue(size >= 32 && size <= 128, "seed " + seed + ": " + size + " in "
                    + assignment.label(group));
            }
        }
    }

    @Test
    void noGroupExceedsMaximumForAnyTargetSize() {
        for (int targetSize = GroupAssignment.MIN_GROUP_SIZE; targetSize <= GroupAssignment.MAX_GROUP_SIZE;
            targetSize += 16) {
            for (int nameCount = 20; nameCount < 1_000; nameCount += 7) {
                Map<String, List<String>> zones = randomZones(new Random(nameCount), 1, nameCount, nameCount);
                GroupAssignment assignment = GroupAssignment.of(zones, targetSize);
                assertEquals(nameCount <= Math.min(1.5 * targetSize, 128), assignment.isSingleGroup());
                for (int group = 0; group < assignment.groupCount(); group++) {
                    assertTrue(assignment.memberNames(group).size() <= GroupAssignment.MAX_GROUP_SIZE);
                }
            }
        }
    }

    /**
     * Removing a name moves less than one other name on average, or about one group's worth if the number of
     * groups changes.
     */
    @Test
    void removingOneNameMovesFewOthers() {
        int totalMoved = 0, maxMoved = 0, runs = 0;
        for (int seed = 1; seed <= 300; seed++) {
            Random random = new Random(seed);
            Map<String, List<String>> zones = randomZones(random, 1 + random.nextInt(3), 100, 1_500);
            GroupAssignment before = GroupAssignment.of(zones, GroupAssignment.DEFAULT_GROUP_SIZE);
            List<String> zone = zones.get("z0");
            zone.remove(random.nextInt(zone.size()));
            GroupAssignment after = GroupAssignment.of(zones, GroupAssignment.DEFAULT_GROUP_SIZE);
            Map<String, String> labelsBefore = labelByName(before);
            labelsBefore.keySet().retainAll(labelByName(after).keySet());
            int movedInRun = 0;
            for (Map.Entry<String, String> labelAfter : labelByName(after).entrySet()) {
                movedInRun += labelAfter.getValue().equals(labelsBefore.get(labelAfter.getKey())) ? 0 : 1;
            }
            if (before.groupCount() == after.groupCount()) {
                runs++;
                totalMoved += movedInRun;
                maxMoved = Math.max(maxMoved, movedInRun);
            } else {
                assertTrue(movedInRun <= 2 * GroupAssignment.DEFAULT_GROUP_SIZE, "seed " + seed + ": "
                    + movedInRun);
            }
        }
        System.out.printf("%d runs: %.3f names moved on average, %d at most%n", runs,
            (double) totalMoved / runs, maxMoved);
        assertTrue(totalMoved <= runs, totalMoved + " names moved; number of runs: " + runs);
        assertTrue(maxMoved <= 8, "" + maxMoved);
    }

    @Test
    void membersAreOrderedByGroup() {
        GroupAssignment assignment = GroupAssignment.of(randomZones(new Random(1), 3, 100, 400),
            GroupAssignment.DEFAULT_GROUP_SIZE);
        int membersBefore = 0;
        for (int group = 0; group < assignment.groupCount(); group++) {
            assertEquals(membersBefore, assignment.membersBefore(group));
            for (String name : assignment.memberNames(group)) {
                assertEquals(group, assignment.groupOf(name));
            }
            assertEquals(group, assignment.groupWithKey(assignment.keyOf(group)));
            membersBefore += assignment.memberNames(group).size();
        }
        assertEquals(membersBefore, assignment.memberCount());
        assertEquals(-1, assignment.groupOf("nobody"));
    }

    @Test
    void hashDependsOnNamesAndGroups() {
        Map<String, List<String>> zones = randomZones(new Random(1), 3, 100, 400);
        int hash = GroupAssignment.of(zones, 64).hash();
        assertNotEquals(hash, GroupAssignment.of(zones, 32).hash());
        zones.get("z2").add("one-more");
        assertNotEquals(hash, GroupAssignment.of(zones, 64).hash());
    }

    private static Code refusalCode(Map<String, List<String>> zones, int size) {
        return assertThrows(GroupException.class, () -> GroupAssignment.of(zones, size)).code();
    }

    @Test
    void invalidConfigurationsAreRefusedWithTheirCode() {
        assertEquals(Code.SIZE, refusalCode(Map.of("a", List.of("n")), 31));
        assertEquals(Code.SIZE, refusalCode(Map.of("a", List.of("n")), 129));
        assertEquals(Code.ZONE, refusalCode(Map.of("", List.of("n"), "b", List.of("m")), 64));
        assertEquals(Code.ZONE, refusalCode(Map.of(" ", List.of("n")), 64));
        assertEquals(Code.EMPTY, refusalCode(Map.of("a", List.of("n"), "b", List.of()), 64));
        assertEquals(Code.TWICE, refusalCode(Map.of("a", List.of("n"), "b", List.of("n")), 64));
        assertEquals(Code.TWICE, refusalCode(Map.of("a", List.of("n", "n")), 64));
        assertEquals(Code.NAME, refusalCode(Map.of("a", List.of("")), 64));
        assertEquals(Code.NAME, refusalCode(Map.of("a", List.of("n".repeat(65))), 64));
        assertEquals(Code.TOO_MANY, refusalCode(Map.of(), 64));
        assertEquals(Code.TOO_MANY, refusalCode(Map.of("a",
            Collections.nCopies(16_385, "n")), 64));
        assertEquals(Code.ALIKE, refusalCode(Map.of("a", List.of("2ofmlwb", "88bzilh")), 64));
        assertEquals(2, GroupAssignment.of(Map.of("a", List.of("2ofmlwb"), "b", List.of("88bzilh")), 64)
            .memberCount());
        GroupException e = assertThrows(GroupException.class,
            () -> GroupAssignment.of(Map.of("a", List.of("n")), 7));
        assertEquals("G-SIZE: group size is 7; allowed are 32 to 128", e.getMessage());
        assertEquals("7", e.value());
        assertEquals("group size", e.key());
        assertEquals("allowed are 32 to 128", e.allowed());
    }
}
