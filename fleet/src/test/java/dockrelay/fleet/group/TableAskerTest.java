package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.MILLI;
import static dockrelay.fleet.VirtualNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Table queries while members switch between representatives. */
class TableAskerTest {
    private static final int SEEDS = 8, MANY = 220;

    private static FleetWorld world(long seed, Map<String, Integer> sizes) {
        Map<String, List<String>> zones = new TreeMap<>();
        sizes.forEach((zone, size) -> {
            List<String> names = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                names.add(zone + i);
            }
            zones.put(zone, names);
        });
        FleetWorld world = new FleetWorld(seed, GroupAssignment.ofAnySize(zones, 100), GroupedMembership::new, false, false);
        world.startAll(SECOND);
        world.runUntil(10 * SECOND);
        return world;
    }

    private static List<FleetWorld.Process> living(FleetWorld world, String zone) {
        return world.processes.values().stream().filter(process -> process.lives()
            && process.name.startsWith(zone)).toList();
    }

    /**
     * A lost group stays excluded while a member queries its usual representative again without an answer:
     * the data from the other representative has to be kept until then. Without it the group would be
     * counted in full again.
     */
    @Test
    void whoIsCountedOutStaysSoWhileAnotherSpeakerIsAsked() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            whoIsCountedOutStaysSo(seed);
        }
    }

    private static void whoIsCountedOutStaysSo(long seed) {
        FleetWorld world = world(seed, Map.of("a", 12, "b", 4, "c", 4));
        living(world, "c").forEach(process -> world.kill(process.name));
        world.runUntil(20 * SECOND);
        List<FleetWorld.Process> members = living(world, "a");
        members.forEach(process -> assertEquals(16, process.machine.snapshot(process.local()).countedMembers()));
        for (FleetWorld.Process speaker : members.stream().filter(one -> one.machine.isRepresentative()).toList()) {
            List<FleetWorld.Process> others = members.stream().filter(one -> !one.machine.isRepresentative()).toList();
            assertTrue(others.size() >= 5, "expected at least 5 members that are not representatives");
            others.forEach(one -> world.cut(one.name, speaker.name, 1));
            for (long end = world.now + 16 * SECOND; world.now < end;) {
                world.runUntil(world.now + 10 * MILLI);
                for (FleetWorld.Process one : others) {
                    assertEquals(16, one.machine.snapshot(one.local()).countedMembers(), () -> "seed " + seed + ", "
                        + one.name + " at " + world.now / 1e6 + " s: " + one.machine.groupStatuses(one.local()));
                }
            }
            others.forEach(one -> world.cut(one.name, speaker.name, -1));
        }
    }

    /**
     * A representative that queried all groups itself, as it was the only one, sends a new representative
     * the rows of all of them: rows and ages together have to fit into the datagrams.
     */
    @Test
    void ownPartOfAllGroupsLeavesRoomForItsAges() {
        Map<String, Integer> sizes = new TreeMap<>();
        for (int group = 0; group < MANY; group++) {
            sizes.put("z" + group + "-", group == 0 ? 2 : 1);
        }
        FleetWorld world = world(1, sizes);
        world.kill("z0-0");
        world.runUntil(14 * SECOND);
        world.start("z0-0", world.current, 2);
        world.runUntil(18 * SECOND);
        FleetWorld.Process back = world.processes.get("z0-0");
        assertTrue(back.machine.isRepresentative());
        assertEquals(MANY + 1, back.machine.snapshot(back.local()).countedMembers());
        assertEquals(MANY, back.machine.groupStatuses(back.local()).stream().filter(GroupStatus::fresh).count());
    }
}
