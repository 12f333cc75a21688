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
 * How what a member sends and keeps goes with the size of the fleet, by counts over the virtual network at
 * three small sizes: what grows with the fleet is seen here before it is one of thousands.
 */
class SlopesTest {
    private static final long SECOND = VirtualFleet.SECOND;
    private static final int[] ZONES = {3, 6, 12};
    private static final int IN_A_ZONE = 32;

    /** What a member costs, by counts; the last one is that of the busiest member. */
    private record Cost(double known, double datagrams, double bytes, double mostAfterALoss) {
    }

    private static Layout zones(int count) {
        Map<String, List<String>> zones = new LinkedHashMap<>();
        for (int zone = 0; zone < count; zone++) {
            String name = "abc".charAt(zone % 3) + "" + zone;
            zones.put(name, java.util.stream.IntStream.range(0, IN_A_ZONE).mapToObj(i -> name + "-" + i)
                .toList());
        }
        return Layout.of(zones);
    }

    private static Cost cost(HollowMember.Kind kind, int zones) {
        Layout layout = zones(zones);
        VirtualFleet fleet = new VirtualFleet(kind, layout, 0, 5);
        fleet.startAll(layout);
        fleet.runUntil(15 * SECOND);
        fleet.out.clear();
        fleet.in.clear();
        fleet.runUntil(25 * SECOND);
        int n = layout.size();
        double known = 0, bytes = fleet.out.bytes() / 10.0 / n, datagrams = fleet.out.datagrams() / 10.0 / n;
        for (int i = 0; i < n; i++) {
            known += ((HollowMember) fleet.machine(i)).known(fleet.local(i)) / (double) n;
        }
        assertAllCount(fleet, n);
        Set<Integer> lost = new HashSet<>(Scenario.drawn(fleet).subList(0, n / 7));
        lost.forEach(fleet::kill);
        fleet.out.clear();
        fleet.runUntil(37 * SECOND);
        assertAllCount(fleet, n - lost.size());
        return new Cost(known, datagrams, bytes, fleet.out.mostInTenSeconds());
    }

    /** Cheap is worth nothing where members do not know of all. */
    private static void assertAllCount(VirtualFleet fleet, int live) {
        for (int i = 0; i < fleet.count(); i++) {
            if (fleet.lives(i)) {
                assertEquals(live, fleet.standing(i).countedMembers(), fleet.name(i));
            }
        }
    }

    /** The exponent by which each grows. */
    private static Cost exponents(HollowMember.Kind kind) {
        SimpleRegression[] fits = {new SimpleRegression(), new SimpleRegression(), new SimpleRegression(),
            new SimpleRegression()};
        for (int zones : ZONES) {
            Cost cost = cost(kind, zones);
            double size = Math.log(zones);
            fits[0].addData(size, Math.log(cost.known));
            fits[1].addData(size, Math.log(cost.datagrams));
            fits[2].addData(size, Math.log(cost.bytes));
            fits[3].addData(size, Math.log(cost.mostAfterALoss));
        }
        return new Cost(fits[0].getSlope(), fits[1].getSlope(), fits[2].getSlope(), fits[3].getSlope());
    }

    /** One flat membership grows with the fleet: that has to be seen, or other flat lines prove nothing. */
    @Test
    void whatAFlatMembershipKeepsAndSendsIsSeenToGrow() {
        Cost exponents = exponents(FlatMember.KIND);
        assertTrue(exponents.known > 0.99, exponents.toString());
        assertTrue(Math.abs(exponents.datagrams) < 0.05, "as many datagrams, each longer: " + exponents);
        assertTrue(exponents.bytes > 0.15, exponents.toString());
        assertTrue(exponents.mostAfterALoss > 0.25, exponents.toString());
    }

    @Test
    void whatAMemberOfAGroupKeepsAndSendsDoesNotGrowWithTheFleet() {
        Cost exponents = exponents(GroupMember.KIND);
        assertTrue(Math.abs(exponents.known) < 0.01, exponents.toString());
        assertTrue(exponents.datagrams < 0.1, exponents.toString());
        assertTrue(exponents.bytes < 0.1, exponents.toString());
        assertTrue(exponents.mostAfterALoss < 0.25, exponents.toString());
    }
}
