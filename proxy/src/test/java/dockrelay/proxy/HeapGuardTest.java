package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Garbage grew the heap to the runtime's own limit, whatever the process was granted. */
class HeapGuardTest {
    private static final long MEGABYTE = 1 << 20, LIMIT_BYTES = 24 * MEGABYTE, GRANT_BYTES = 96 * MEGABYTE,
        MAX_HEAP_BYTES = 64 * MEGABYTE;
    private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int STEPS = 20_000, MAX_GARBAGE_BYTES_PER_STEP = 400_000;

    /** A heap whose size follows its use, and shrinks at a collection. */
    private static final class SimulatedHeap implements HeapGuard.Heap {
        private long liveBytes, garbageBytes, sizeBytes;
        private long otherBytes = GRANT_BYTES - LIMIT_BYTES; // of the process, beside the heap
        private int collections;

        void allocateGarbage(long bytes) {
            garbageBytes += bytes;
            sizeBytes = Math.max(sizeBytes, usedBytes());
        }

        @Override
        public long sizeBytes() {
            return sizeBytes;
        }

        @Override
        public long usedBytes() {
            return liveBytes + garbageBytes;
        }

        @Override
        public long residentBytes() {
            return otherBytes + sizeBytes;
        }

        @Override
        public void collect() {
            garbageBytes = 0;
            sizeBytes = liveBytes;
            collections++;
        }
    }

    private final SimulatedHeap heap = new SimulatedHeap();
    private long heldBytes = LIMIT_BYTES / 2;
    private final HeapGuard guard = new HeapGuard(heap,
        new MemoryPlan(GRANT_BYTES, LIMIT_BYTES, MEGABYTE, 2, MEGABYTE), () -> heldBytes, () -> "nothing");
    private long nowNanos;

    private void check() {
        nowNanos += CHECK_NANOS;
        guard.check(nowNanos);
    }

    /** Live objects come and go within three quarters of the limit, garbage at any rate. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void heapStaysWithinLimit(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < STEPS; i++) {
            if (random.nextInt(200) == 0) {
                heap.liveBytes = random.nextLong(LIMIT_BYTES * 3 / 4);
            }
            heap.allocateGarbage(random.nextInt(MAX_GARBAGE_BYTES_PER_STEP));
            check();
            assertTrue(heap.sizeBytes <= LIMIT_BYTES * 3 / 4 + 8 * MEGABYTE, "size " + heap.sizeBytes);
            assertFalse(guard.isUnderPressure());
        }
        assertTrue(heap.collections > 0 && heap.collections < STEPS / 10, heap.collections + " collections");
    }

    @Test
    void heapWithinLimitIsNotCollected() {
        guard.start(LIMIT_BYTES, nowNanos);
        heap.liveBytes = LIMIT_BYTES / 2;
        heap.allocateGarbage(LIMIT_BYTES / 8);
        for (int i = 0; i < STEPS; i++) {
            check();
        }
        assertEquals(0, heap.collections);
    }

    @Test
    void smallerLimitThanThatOfRuntimeBeginsWithCollection() {
        guard.start(MAX_HEAP_BYTES, nowNanos);
        assertEquals(1, heap.collections);
    }

    /** A long list of backends fills the heap of a process whose classes and buffers take little. */
    @Test
    void largeHeapOfProcessWithinItsGrantIsLeftAlone() {
        heap.liveBytes = LIMIT_BYTES;
        heap.otherBytes = GRANT_BYTES / 4;
        for (int i = 0; i < STEPS; i++) {
            heap.allocateGarbage(heap.garbageBytes > LIMIT_BYTES ? 0 : MEGABYTE);
            check();
        }
        assertEquals(0, heap.collections);
    }

    @Test
    void noClientsAreRefusedForWhatTheyDoNotHold() {
        heldBytes = 0;
        heap.liveBytes = LIMIT_BYTES - MEGABYTE;
        heap.allocateGarbage(8 * MEGABYTE);
        check();
        assertEquals(1, heap.collections);
        assertFalse(guard.isUnderPressure());
    }

    @Test
    void pressureLastsUntilLiveObjectsAreFewer() {
        heap.liveBytes = LIMIT_BYTES - MEGABYTE;
        heap.allocateGarbage(8 * MEGABYTE);
        check();
        assertTrue(guard.isUnderPressure());
        assertEquals(heap.liveBytes, guard.liveBytes());
        int collections = heap.collections;
        long startNanos = nowNanos;
        while (nowNanos - startNanos < TimeUnit.SECONDS.toNanos(10)) {
            check();
        }
        assertTrue(heap.collections - collections <= 20, "at most two collections a second");
        heap.liveBytes = LIMIT_BYTES / 2;
        for (int i = 0; i < 50; i++) {
            check();
        }
        assertFalse(guard.isUnderPressure());
    }
}
