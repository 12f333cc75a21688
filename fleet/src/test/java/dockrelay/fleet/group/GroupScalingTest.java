package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The traffic and the number of rows of a member grow only slightly with the number of groups. */
class GroupScalingTest {
    private static final int MEMBERS_PER_GROUP = 32;
    private static final int[] GROUP_COUNTS = {3, 6, 12};
    /**
     * Maximum growth in bytes per second for each additional group: mean over members, and busiest member.
     */
    private static final double MAX_MEAN_BYTES = 8, MAX_BUSIEST_BYTES = 120;
    /**
     * The same in datagrams per second. Each group is sent one query and one reply per second, by 32
     * members, of which 3 share the load.
     */
    private static final double MAX_MEAN_DATAGRAMS = 0.2, MAX_BUSIEST_DATAGRAMS = 2;
    /** A representative holds its own table and copies of the others'; a member holds its own and a few. */
    private static final int MAX_TABLES = Representatives.MIN_COUNT, MAX_MEAN_TABLES = 3;

    /**
     * The same for the busiest member with a seventh of the members lost. If all representatives took over a
     * dead one's queries and sent whole tables to each other, the growth would be 91 bytes and 0.93
     * datagrams.
     */
    private static final int[] GROUP_COUNTS_WITH_LOSS = {6, 36};
    private static final double MAX_BUSIEST_BYTES_WITH_LOSS = 80, MAX_BUSIEST_DATAGRAMS_WITH_LOSS = 0.75;

    private record Cost(double meanBytes, double maxBytes, double meanDatagrams, double maxDatagrams,
        int maxRows, double meanRows) {
    }

    private static GroupAssignment assignment(int groupCount, boolean singleGroup) {
        Map<String, List<String>> zones = new TreeMap<>();
        for (int i = 0; i < groupCount * MEMBERS_PER_GROUP; i++) {
            zones.computeIfAbsent(singleGroup ? "" : "zone" + i / MEMBERS_PER_GROUP,
                zone -> new ArrayList<>()).add("p" + i);
        }
        return GroupAssignment.ofAnySize(zones, singleGroup ? 1_000 : MEMBERS_PER_GROUP);
    }

    private static Cost measure(int groupCount, boolean singleGroup) {
        FleetSimulation simulation = new FleetSimulation(1, assignment(groupCount, singleGroup),
            GroupedMembership::new, false, false);
        simulation.startAll(SECOND);
        simulation.runUntil(9 * SECOND);
        Map<String, long[]> countersBefore = new TreeMap<>();
        simulation.processes.forEach((name, process) -> countersBefore.put(name,
            new long[] {process.sentBytes, process.sentDatagrams}));
        simulation.runUntil(14 * SECOND);
        double meanBytes = 0, maxBytes = 0, meanDatagrams = 0, maxDatagrams = 0;
        int maxRows = 0;
        double meanRows = 0;
        for (FleetSimulation.Process process : simulation.processes.values()) {
            double bytes = (process.sentBytes - countersBefore.get(process.name)[0]) / 5.0;
            double datagrams = (process.sentDatagrams - countersBefore.get(process.name)[1]) / 5.0;
            meanBytes += bytes / simulation.processes.size();
            meanDatagrams += datagrams / simulation.processes.size();
            maxBytes = Math.max(maxBytes, bytes);
            maxDatagrams = Math.max(maxDatagrams, datagrams);
            maxRows = Math.max(maxRows, process.membership.heldRows());
            meanRows += (double) process.membership.heldRows() / simulation.processes.size();
        }
        Cost cost = new Cost(meanBytes, maxBytes, meanDatagrams, maxDatagrams, maxRows, meanRows);
        System.out.println(groupCount * MEMBERS_PER_GROUP + (singleGroup ? " members in one group: "
            : " members in groups: ") + cost);
        return cost;
    }

    private static List<Cost> measureSizes(boolean singleGroup, int sizeCount) {
        List<Cost> costs = new ArrayList<>();
        for (int i = 0; i < sizeCount; i++) {
            costs.add(measure(GROUP_COUNTS[i], singleGroup));
        }
        return costs;
    }

    /** Returns the exceeded bounds with the measured values. */
    private static List<String> exceededBounds(List<Cost> costs) {
        List<String> violations = new ArrayList<>();
        for (int i = 1; i < costs.size(); i++) {
            Cost previousCost = costs.get(i - 1), cost = costs.get(i);
            double addedGroups = GROUP_COUNTS[i] - GROUP_COUNTS[i - 1];
            checkGrowth(violations, "mean bytes", (cost.meanBytes - previousCost.meanBytes) / addedGroups,
                MAX_MEAN_BYTES);
            checkGrowth(violations, "maximum bytes", (cost.maxBytes - previousCost.maxBytes) / addedGroups,
                MAX_BUSIEST_BYTES);
            checkGrowth(violations, "mean datagrams",
                (cost.meanDatagrams - previousCost.meanDatagrams) / addedGroups, MAX_MEAN_DATAGRAMS);
            checkGrowth(violations, "maximum datagrams",
                (cost.maxDatagrams - previousCost.maxDatagrams) / addedGroups, MAX_BUSIEST_DATAGRAMS);
        }
        return violations;
    }

    private static void checkGrowth(List<String> violations, String label, double slope, double bound) {
        System.out.printf("%s: %.2f per second and additional group%n", label, slope);
        if (slope > bound) {
            violations.add(label + " grows by " + slope + " per second and group");
        }
    }

    @Test
    void trafficAndRowsGrowOnlySlightlyPerGroup() {
        List<Cost> costs = measureSizes(false, GROUP_COUNTS.length);
        assertEquals(List.of(), exceededBounds(costs));
        for (int i = 0; i < GROUP_COUNTS.length; i++) {
            Cost cost = costs.get(i);
            assertTrue(cost.maxRows <= MAX_TABLES * GROUP_COUNTS[i]
                && cost.meanRows <= MAX_MEAN_TABLES * GROUP_COUNTS[i], cost + " at " + GROUP_COUNTS[i]);
        }
    }

    /**
     * Kills a random seventh of all members, so that every group changes and loses representatives. Returns
     * the highest traffic of any member over ten seconds, which includes taking over the queries of the
     * dead.
     */
    private static double[] measureWithLoss(int groupCount) {
        GroupAssignment assignment = assignment(groupCount, false);
        FleetSimulation simulation = new FleetSimulation(1, assignment, GroupedMembership::new, false, false);
        simulation.startAll(SECOND);
        simulation.runUntil(9 * SECOND);
        List<String> names = new ArrayList<>(simulation.processes.keySet());
        Collections.shuffle(names, simulation.random);
        names.subList(0, names.size() / 7).forEach(simulation::kill);
        Map<String, long[]> countersBefore = new TreeMap<>();
        simulation.processes.forEach((name, process) -> countersBefore.put(name,
            new long[] {process.sentBytes, process.sentDatagrams}));
        simulation.runUntil(19 * SECOND);
        double maxBytes = 0, maxDatagrams = 0;
        for (FleetSimulation.Process process : simulation.processes.values()) {
            maxBytes = Math.max(maxBytes, (process.sentBytes - countersBefore.get(process.name)[0]) / 10.0);
            maxDatagrams = Math.max(maxDatagrams,
                (process.sentDatagrams - countersBefore.get(process.name)[1]) / 10.0);
        }
        System.out.println(groupCount + " groups, a seventh lost: maximum per member " + maxBytes
            + " bytes and " + maxDatagrams + " datagrams per second");
        return new double[] {maxBytes, maxDatagrams};
    }

    @Test
    void trafficAfterWideLossGrowsOnlySlightlyPerGroup() {
        List<String> violations = new ArrayList<>();
        double[] smallFleet = measureWithLoss(GROUP_COUNTS_WITH_LOSS[0]),
            largeFleet = measureWithLoss(GROUP_COUNTS_WITH_LOSS[1]);
        double addedGroups = GROUP_COUNTS_WITH_LOSS[1] - GROUP_COUNTS_WITH_LOSS[0];
        checkGrowth(violations, "maximum bytes with a seventh lost",
            (largeFleet[0] - smallFleet[0]) / addedGroups, MAX_BUSIEST_BYTES_WITH_LOSS);
        checkGrowth(violations, "maximum datagrams with a seventh lost",
            (largeFleet[1] - smallFleet[1]) / addedGroups, MAX_BUSIEST_DATAGRAMS_WITH_LOSS);
        assertEquals(List.of(), violations);
    }

    /** Guards the bounds themselves: a fleet in a single group exceeds them. */
    @Test
    void singleGroupExceedsTheBounds() {
        List<String> violations = exceededBounds(measureSizes(true, 2));
        System.out.println("in one group: " + violations);
        assertTrue(violations.stream().anyMatch(message -> message.startsWith("mean bytes")),
            violations.toString());
    }
}
