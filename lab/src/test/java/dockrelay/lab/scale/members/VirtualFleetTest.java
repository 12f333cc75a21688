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

/** The virtual network of the hollow members, its traffic counters and layouts. */
class VirtualFleetTest {
    private static final long MICROS_PER_SECOND = VirtualFleet.MICROS_PER_SECOND;

    private static VirtualFleet startedFleet(int size, long seed) {
        Layout layout = Layout.of(size);
        VirtualFleet fleet = new VirtualFleet(FlatMember.VARIANT, layout, 0, seed);
        fleet.startAll(layout);
        return fleet;
    }

    @Test
    void sameSeedGivesTheSameRun() {
        VirtualFleet first = startedFleet(14, 3), repeated = startedFleet(14, 3),
            otherSeed = startedFleet(14, 4);
        for (VirtualFleet fleet : List.of(first, repeated, otherSeed)) {
            fleet.setLossProbability(0.05);
            fleet.runUntil(10 * MICROS_PER_SECOND);
            fleet.kill(2);
            fleet.runUntil(20 * MICROS_PER_SECOND);
        }
        assertEquals(first.handledEvents(), repeated.handledEvents());
        assertEquals(first.sentTraffic.totalBytes(), repeated.sentTraffic.totalBytes());
        assertNotEquals(first.sentTraffic.totalBytes(), otherSeed.sentTraffic.totalBytes());
    }

    @Test
    void onlyTheKilledMemberIsNoLongerCounted() {
        VirtualFleet fleet = startedFleet(14, 1);
        fleet.runUntil(10 * MICROS_PER_SECOND);
        fleet.kill(5);
        ConvergenceSampler sampler = new ConvergenceSampler(fleet, 10 * MICROS_PER_SECOND, true, i -> true,
            i -> fleet.snapshot(i).countedMembers() == 13);
        fleet.runUntil(21 * MICROS_PER_SECOND);
        assertEquals(13, sampler.convergenceSeconds().size());
        assertEquals(0, sampler.unconvergedCount());
        double earliest = sampler.convergenceSeconds().stream().mapToDouble(Double::doubleValue).min()
            .orElse(0);
        double latest = sampler.convergenceSeconds().stream().mapToDouble(Double::doubleValue).max()
            .orElse(0);
        // seconds of virtual time
        assertTrue(earliest > 0.2 && latest < 5, sampler.convergenceSeconds().toString());
        assertEquals(0, fleet.falseDeaths());
    }

    @Test
    void partitionsAreIsolatedUntilTheyMerge() {
        VirtualFleet fleet = startedFleet(14, 1);
        fleet.runUntil(10 * MICROS_PER_SECOND);
        for (int i = 0; i < 4; i++) {
            fleet.setPartition(i, 1);
        }
        fleet.runUntil(25 * MICROS_PER_SECOND);
        assertEquals(10, fleet.snapshot(9).countedMembers());
        assertEquals(Agreement.MINORITY, fleet.snapshot(0).agreement());
        for (int i = 0; i < 4; i++) {
            fleet.setPartition(i, 0);
        }
        fleet.runUntil(40 * MICROS_PER_SECOND);
        for (int i = 0; i < 14; i++) {
            assertTrue(Scenario.agreesOnCount(fleet, i, 14), fleet.nameOf(i) + ": " + fleet.snapshot(i));
        }
    }

    @Test
    void trafficReportsTotalsAndPeakOverTenSeconds() {
        Traffic traffic = new Traffic(2);
        for (int second = 0; second < 30; second++) {
            traffic.record(0, 10);
            traffic.record(1, second == 15 ? 1000 : 20);
            traffic.endSecond();
        }
        assertEquals(60, traffic.totalDatagrams());
        assertEquals(30 * 10 + 29 * 20 + 1000, traffic.totalBytes());
        assertEquals(29 * 20 + 1000, traffic.maxMemberBytes());
        assertEquals((9 * 20 + 1000) / 10.0, traffic.peakBytesPerSecond());
    }

    @Test
    void flatMembershipRefusesMoreNamesThanItsLimit() {
        assertNull(FlatMember.VARIANT.refusalReason(Layout.of(1024)));
        assertEquals("1025 members; allowed are 1 to 1024",
            FlatMember.VARIANT.refusalReason(Layout.of(1025)));
    }

    @Test
    void layoutHasUnevenZonesAndAChangeMovesNoName() {
        Layout layout = Layout.of(5700);
        assertEquals(5700, layout.names().stream().distinct().count());
        assertEquals(7, layout.zones().size());
        assertEquals(798, layout.zones().get(Layout.SEVENTH_ZONE).size());
        Layout changed = layout.withChanges(List.of("a1-3", "c2-7"), 3);
        assertEquals(5701, changed.size());
        Map<String, String> zoneBefore = new HashMap<>();
        layout.zones().forEach((zone, names) -> names.forEach(name -> zoneBefore.put(name, zone)));
        changed.zones().forEach((zone, names) -> names.forEach(name -> assertEquals(zone,
            zoneBefore.getOrDefault(name, zone))));
        assertTrue(!changed.names().contains("a1-3") && changed.names().contains("a1-new0"));
    }
}
