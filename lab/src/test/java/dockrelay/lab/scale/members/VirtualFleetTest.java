package dockrelay.lab.scale.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.fleet.MembershipSnapshot.Agreement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The virtual network under the hollow members: the same from a seed, and no more than it was told. */
class VirtualFleetTest {
    private static final long SECOND = VirtualFleet.SECOND;

    private static VirtualFleet started(int size, long seed) {
        Layout layout = Layout.of(size);
        VirtualFleet fleet = new VirtualFleet(FlatMember.KIND, layout, 0, seed);
        fleet.startAll(layout);
        return fleet;
    }

    @Test
    void aSeedFixesAllThatHappens() {
        VirtualFleet one = started(14, 3), same = started(14, 3), other = started(14, 4);
        for (VirtualFleet fleet : List.of(one, same, other)) {
            fleet.lose(0.05);
            fleet.runUntil(10 * SECOND);
            fleet.kill(2);
            fleet.runUntil(20 * SECOND);
        }
        assertEquals(one.steps(), same.steps());
        assertEquals(one.out.bytes(), same.out.bytes());
        assertNotEquals(one.out.bytes(), other.out.bytes());
    }

    @Test
    void whoIsKilledIsCountedNoMoreAndNobodyElse() {
        VirtualFleet fleet = started(14, 1);
        fleet.runUntil(10 * SECOND);
        fleet.kill(5);
        Watch watch = new Watch(fleet, 10 * SECOND, true, i -> true, i -> fleet.standing(i).countedMembers() == 13);
        fleet.runUntil(21 * SECOND);
        assertEquals(13, watch.times().size());
        assertEquals(0, watch.unsettled());
        double soonest = watch.times().stream().mapToDouble(Double::doubleValue).min().orElse(0);
        double last = watch.times().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        assertTrue(soonest > 0.2 && last < 5, watch.times().toString()); // of virtual time
        assertEquals(0, fleet.falseDeaths());
    }

    @Test
    void sidesDoNotHearEachOtherUntilTheyAreOneAgain() {
        VirtualFleet fleet = started(14, 1);
        fleet.runUntil(10 * SECOND);
        for (int i = 0; i < 4; i++) {
            fleet.side(i, 1);
        }
        fleet.runUntil(25 * SECOND);
        assertEquals(10, fleet.standing(9).countedMembers());
        assertEquals(Agreement.MINORITY, fleet.standing(0).agreement());
        for (int i = 0; i < 4; i++) {
            fleet.side(i, 0);
        }
        fleet.runUntil(40 * SECOND);
        for (int i = 0; i < 14; i++) {
            assertTrue(Scenario.settled(fleet, i, 14), fleet.name(i) + ": " + fleet.standing(i));
        }
    }

    @Test
    void trafficIsTheSumOfWhatWasSentAndTheMostOfTenSeconds() {
        Traffic traffic = new Traffic(2);
        for (int second = 0; second < 30; second++) {
            traffic.add(0, 10);
            traffic.add(1, second == 15 ? 1000 : 20);
            traffic.roll();
        }
        assertEquals(60, traffic.datagrams());
        assertEquals(30 * 10 + 29 * 20 + 1000, traffic.bytes());
        assertEquals(29 * 20 + 1000, traffic.mostOfOne());
        assertEquals((9 * 20 + 1000) / 10.0, traffic.mostInTenSeconds());
    }

    @Test
    void theFlatMachineTakesNoMoreNamesThanItsBound() {
        assertNull(FlatMember.KIND.refuses(Layout.of(1024)));
        assertEquals("1025 members; allowed are 1 to 1024", FlatMember.KIND.refuses(Layout.of(1025)));
    }

    @Test
    void layoutsHaveAllNamesInUnevenZonesAndAChangeMovesNoName() {
        Layout layout = Layout.of(5700);
        assertEquals(5700, layout.names().stream().distinct().count());
        assertEquals(7, layout.zones().size());
        assertEquals(798, layout.zones().get(Layout.SEVENTH).size());
        Layout next = layout.changed(List.of("a1-3", "c2-7"), 3);
        assertEquals(5701, next.size());
        Map<String, String> zoneBefore = new HashMap<>();
        layout.zones().forEach((zone, names) -> names.forEach(name -> zoneBefore.put(name, zone)));
        next.zones().forEach((zone, names) -> names.forEach(name -> assertEquals(zone,
            zoneBefore.getOrDefault(name, zone))));
        assertTrue(!next.names().contains("a1-3") && next.names().contains("a1-new0"));
    }
}
