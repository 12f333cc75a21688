package dockrelay.lab.scale.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Hollow members on sockets of their own: they find each other, and miss who ends. */
class LoopbackFleetTest {
    /** Nothing is proved by how long it takes; only that it comes to it. */
    private static final int PATIENCE_SECONDS = 60;

    @Test
    void membersOnSocketsFindEachOtherAndMissWhoEnds() throws Exception {
        for (HollowMember.Kind kind : List.of(FlatMember.KIND, GroupMember.KIND)) {
            Layout layout = Layout.of(14);
            try (LoopbackFleet fleet = new LoopbackFleet(kind, layout.names(), Map.of(), 2)) {
                fleet.start(layout, 1);
                awaitCount(fleet, 14);
                fleet.kill("a1-0");
                awaitCount(fleet, 13);
                assertNull(fleet.failed());
                assertTrue(fleet.out.bytes() > 0 && fleet.in.datagrams() > 0);
                int group = kind.group(layout, "a1-1");
                assertEquals(1, fleet.seen().entrySet().stream()
                    .filter(one -> kind.group(layout, one.getKey()) == group)
                    .map(one -> one.getValue().digest()).distinct().count());
            }
        }
    }

    private static void awaitCount(LoopbackFleet fleet, int count) throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (fleet.seen().size() != count || fleet.seen().values().stream()
            .anyMatch(seen -> seen.standing().countedMembers() != count)) {
            assertTrue(System.nanoTime() < by, "not " + count + " after " + PATIENCE_SECONDS + " s: "
                + fleet.seen());
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }
}
