package dockrelay.lab.scale.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.junit.jupiter.api.Test;

/**
 * Growth of a member's traffic and state with the size of the fleet, measured on the virtual network at three
 * small sizes. Guards against costs that grow with the fleet and would show only with thousands of members.
 */
class CostGrowthTest {
    private static final long MICROS_PER_SECOND = VirtualFleet.MICROS_PER_SECOND;
    private static final int[] ZONE_COUNTS = {3, 6, 12};
    private static final int MEMBERS_PER_ZONE = 32;

    /**
     * Mean costs of a member, and the peak bytes per second of the busiest member after a seventh was lost;
     * or the growth exponents of these costs.
     */
    private record Cost(double trackedMembers, double datagramsPerSecond, double bytesPerSecond,
        double peakBytesAfterLoss) {
    }

    private static Layout layoutWithZones(int zoneCount) {
        Map<String, List<String>> zones = new LinkedHashMap<>();
        for (int zoneIndex = 0; zoneIndex < zoneCount; zoneIndex++) {
            String name = "abc".charAt(zoneIndex % 3) + "" + zoneIndex;
            zones.put(name, java.util.stream.IntStream.range(0, MEMBERS_PER_ZONE)
                .mapToObj(i -> name + "-" + i).toList());
        }
        return Layout.of(zones);
    }

    private static Cost measureCost(HollowMember.Variant variant, int zoneCount) {
        Layout layout = layoutWithZones(zoneCount);
        VirtualFleet fleet = new VirtualFleet(variant, layout, 0, 5);
        fleet.startAll(layout);
        fleet.runUntil(15 * MICROS_PER_SECOND);
        fleet.sentTraffic.reset();
        fleet.receivedTraffic.reset();
        fleet.runUntil(25 * MICROS_PER_SECOND);
        int memberCount = layout.size();
        double trackedMembers = 0, bytesPerSecond = fleet.sentTraffic.totalBytes() / 10.0 / memberCount,
            datagramsPerSecond = fleet.sentTraffic.totalDatagrams() / 10.0 / memberCount;
        for (int i = 0; i < memberCount; i++) {
            trackedMembers += ((HollowMember) fleet.stateMachine(i))
                .trackedMemberCount(fleet.localTime(i)) / (double) memberCount;
        }
        assertAllMembersCount(fleet, memberCount);
        Set<Integer> lost = new HashSet<>(Scenario.shuffledRunning(fleet).subList(0, memberCount / 7));
        lost.forEach(fleet::kill);
        fleet.sentTraffic.reset();
        fleet.runUntil(37 * MICROS_PER_SECOND);
        assertAllMembersCount(fleet, memberCount - lost.size());
        return new Cost(trackedMembers, datagramsPerSecond, bytesPerSecond,
            fleet.sentTraffic.peakBytesPerSecond());
    }

    /** Low cost counts only if the members still know all others. */
    private static void assertAllMembersCount(VirtualFleet fleet, int expected) {
        for (int i = 0; i < fleet.memberCount(); i++) {
            if (fleet.isRunning(i)) {
                assertEquals(expected, fleet.snapshot(i).countedMembers(), fleet.nameOf(i));
            }
        }
    }

    /** The exponent of each cost as a power of the fleet size. */
    private static Cost growthExponents(HollowMember.Variant variant) {
        SimpleRegression[] regressions = {new SimpleRegression(), new SimpleRegression(),
            new SimpleRegression(), new SimpleRegression()};
        for (int zoneCount : ZONE_COUNTS) {
            Cost cost = measureCost(variant, zoneCount);
            double logSize = Math.log(zoneCount);
            regressions[0].addData(logSize, Math.log(cost.trackedMembers));
            regressions[1].addData(logSize, Math.log(cost.datagramsPerSecond));
            regressions[2].addData(logSize, Math.log(cost.bytesPerSecond));
            regressions[3].addData(logSize, Math.log(cost.peakBytesAfterLoss));
        }
        return new Cost(regressions[0].getSlope(), regressions[1].getSlope(), regressions[2].getSlope(),
            regressions[3].getSlope());
    }

    /** Control test: the costs of a flat membership grow with the fleet, and this method has to detect it. */
    @Test
    void flatMembershipCostsGrowWithTheFleet() {
        Cost exponents = growthExponents(FlatMember.VARIANT);
        assertTrue(exponents.trackedMembers > 0.99, exponents.toString());
        assertTrue(Math.abs(exponents.datagramsPerSecond) < 0.05, "expected a constant number of datagrams: "
            + exponents);
        assertTrue(exponents.bytesPerSecond > 0.15, exponents.toString());
        assertTrue(exponents.peakBytesAfterLoss > 0.25, exponents.toString());
    }

    @Test
    void groupedMembershipCostsDoNotGrowWithTheFleet() {
        Cost exponents = growthExponents(GroupMember.VARIANT);
        assertTrue(Math.abs(exponents.trackedMembers) < 0.01, exponents.toString());
        assertTrue(exponents.datagramsPerSecond < 0.1, exponents.toString());
        assertTrue(exponents.bytesPerSecond < 0.1, exponents.toString());
        assertTrue(exponents.peakBytesAfterLoss < 0.25, exponents.toString());
    }
}
