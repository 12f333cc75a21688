package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.MILLISECOND;
import static dockrelay.fleet.VirtualNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Table queries while members switch between representatives. */
class TableClientTest {
    private static final int SEED_COUNT = 8, GROUP_COUNT = 220;

    private static FleetSimulation startedSimulation(long seed, Map<String, Integer> sizes) {
        Map<String, List<String>> zones = new TreeMap<>();
        sizes.forEach((zone, size) -> {
            List<String> names = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                names.add(zone + i);
            }
            zones.put(zone, names);
        });
        FleetSimulation simulation = new FleetSimulation(seed, GroupAssignment.ofAnySize(zones, 100),
            GroupedMembership::new, false, false);
        simulation.startAll(SECOND);
        simulation.runUntil(10 * SECOND);
        return simulation;
    }

    private static List<FleetSimulation.Process> runningMembers(FleetSimulation simulation, String zone) {
        return simulation.processes.values().stream().filter(process -> process.isRunning()
            && process.name.startsWith(zone)).toList();
    }

    /**
     * A lost group stays excluded while a member queries its usual representative again without an answer:
     * the data from the other representative has to be kept until then. Without it the group would be
     * counted in full again.
     */
    @Test
    void excludedGroupStaysExcludedWhileSwitchingRepresentatives() {
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            checkExcludedGroupStaysExcluded(seed);
        }
    }

    private static void checkExcludedGroupStaysExcluded(long seed) {
        FleetSimulation simulation = startedSimulation(seed, Map.of("a", 12, "b", 4, "c", 4));
        runningMembers(simulation, "c").forEach(process -> simulation.kill(process.name));
        simulation.runUntil(20 * SECOND);
        List<FleetSimulation.Process> members = runningMembers(simulation, "a");
        members.forEach(process -> assertEquals(16, process.membership.snapshot(process.localTime())
            .countedMembers()));
        for (FleetSimulation.Process representative : members.stream()
            .filter(member -> member.membership.isRepresentative()).toList()) {
            List<FleetSimulation.Process> others = members.stream()
                .filter(member -> !member.membership.isRepresentative()).toList();
            assertTrue(others.size() >= 5, "expected at least 5 members that are not representatives");
            others.forEach(member -> simulation.changeBlockCount(member.name, representative.name, 1));
            for (long end = simulation.now + 16 * SECOND; simulation.now < end;) {
                simulation.runUntil(simulation.now + 10 * MILLISECOND);
                for (FleetSimulation.Process member : others) {
                    assertEquals(16, member.membership.snapshot(member.localTime()).countedMembers(),
                        () -> "seed " + seed + ", " + member.name + " at " + simulation.now / 1e6 + " s: "
                        + member.membership.groupStatuses(member.localTime()));
                }
            }
            others.forEach(member -> simulation.changeBlockCount(member.name, representative.name, -1));
        }
    }

    /**
     * A representative that queried all groups itself, as it was the only one, sends a new representative
     * the rows of all of them: rows and ages together have to fit into the datagrams.
     */
    @Test
    void ownPartOfAllGroupsFitsIntoDatagrams() {
        Map<String, Integer> sizes = new TreeMap<>();
        for (int group = 0; group < GROUP_COUNT; group++) {
            sizes.put("z" + group + "-", group == 0 ? 2 : 1);
        }
        FleetSimulation simulation = startedSimulation(1, sizes);
        simulation.kill("z0-0");
        simulation.runUntil(14 * SECOND);
        simulation.start("z0-0", simulation.currentAssignment, 2);
        simulation.runUntil(18 * SECOND);
        FleetSimulation.Process restartedMember = simulation.processes.get("z0-0");
        assertTrue(restartedMember.membership.isRepresentative());
        assertEquals(GROUP_COUNT + 1, restartedMember.membership.snapshot(restartedMember.localTime())
            .countedMembers());
        assertEquals(GROUP_COUNT, restartedMember.membership.groupStatuses(restartedMember.localTime())
            .stream().filter(GroupStatus::fresh).count());
    }
}
