package dockrelay.lab.scale.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Hollow members with sockets of their own discover each other and detect a member that dies. */
class LoopbackFleetTest {
    /** Generous, as only the final state is checked, not the time to it. */
    private static final int TIMEOUT_SECONDS = 60;

    @Test
    void membersDiscoverEachOtherAndDetectAKilledMember() throws Exception {
        for (HollowMember.Variant variant : List.of(FlatMember.VARIANT, GroupMember.VARIANT)) {
            Layout layout = Layout.of(14);
            try (LoopbackFleet fleet = new LoopbackFleet(variant, layout.names(), Map.of(), 2)) {
                fleet.start(layout, 1);
                awaitCount(fleet, 14);
                fleet.kill("a1-0");
                awaitCount(fleet, 13);
                assertNull(fleet.failure());
                assertTrue(fleet.sentTraffic.totalBytes() > 0 && fleet.receivedTraffic.totalDatagrams() > 0);
                int group = variant.groupOf(layout, "a1-1");
                assertEquals(1, fleet.latestSamples().entrySet().stream()
                    .filter(entry -> variant.groupOf(layout, entry.getKey()) == group)
                    .map(entry -> entry.getValue().digest()).distinct().count());
            }
        }
    }

    private static void awaitCount(LoopbackFleet fleet, int count) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (fleet.latestSamples().size() != count || fleet.latestSamples().values().stream()
            .anyMatch(sample -> sample.snapshot().countedMembers() != count)) {
            assertTrue(System.nanoTime() < deadline, "not all members count " + count + " after "
                + TIMEOUT_SECONDS + " s: "
                + fleet.latestSamples());
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }
}
