package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parts of the process were bounded each by itself, so that together they passed a small grant. */
class MemoryPlanTest {
    private static final int MAX_GRANT_MEGABYTES = 512, MIN_GRANT_MEGABYTES = 16;
    private static final long MEGABYTE = 1 << 20, MAX_HEAP_BYTES = 64 * MEGABYTE;
    /** What code, classes, stacks and compiler take in a quiet process. */
    private static final long QUIET_RUNTIME_BYTES = 54 * MEGABYTE;

    @ParameterizedTest
    @ValueSource(ints = {2, 224, 992, 100_000})
    void partsFitTogetherForAnyGrant(int descriptors) {
        long earlierHeap = 0;
        for (int grant = MIN_GRANT_MEGABYTES; grant <= MAX_GRANT_MEGABYTES; grant++) {
            MemoryPlan plan = MemoryPlan.of(grant, descriptors, MAX_HEAP_BYTES);
            if (!plan.exceedsGrant()) {
                assertTrue(plan.heapBytes() + plan.bufferBytes() + QUIET_RUNTIME_BYTES <= plan.grantBytes(),
                    () -> "more than the grant: " + plan);
            }
            assertTrue(plan.heapBytes() <= MAX_HEAP_BYTES, plan::toString);
            assertTrue(plan.heapBytes() >= earlierHeap, plan::toString);
            assertTrue(plan.maxConnections() <= descriptors, plan::toString);
            assertTrue(plan.maxConnections() >= 2, plan::toString);
            assertTrue(plan.headBytes() > 0, plan::toString);
            long peers = plan.headBytes() + plan.maxConnections() * MemoryPlan.CONNECTION_BYTES;
            assertTrue(peers <= plan.heapBytes() / 2, plan::toString);
            earlierHeap = plan.heapBytes();
        }
    }

    @Test
    void grantBelowNeedOfRuntimeIsTold() {
        int least = (int) MemoryPlan.leastGrantMegabytes();
        assertFalse(MemoryPlan.of(least, 992, MAX_HEAP_BYTES).exceedsGrant());
        MemoryPlan plan = MemoryPlan.of(least - 1, 992, MAX_HEAP_BYTES);
        assertTrue(plan.exceedsGrant());
        assertEquals(least - 1, plan.grantMegabytes());
    }

    @Test
    void largestGrantOfServiceLimitsNoConnections() {
        assertEquals(992, MemoryPlan.of(192, 992, MAX_HEAP_BYTES).maxConnections());
    }
}
