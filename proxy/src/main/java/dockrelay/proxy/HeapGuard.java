package dockrelay.proxy;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Keeps the heap within its part of the memory that the process is granted. The runtime itself lets a heap
 * grow to its largest size before it collects the garbage of long-lived objects; this class asks for a
 * collection earlier, after which the runtime returns what is free. If too little is free even then, the
 * process is under pressure: it takes no new clients until that has changed. All on the event loop's thread.
 */
final class HeapGuard {
    /** A collection is asked for if the heap's size exceeds its limit times this number. */
    private static final double COLLECTION_RATIO = 0.85;
    /** ... and if the process takes more than its grant times this number. */
    private static final double RESIDENT_RATIO = 0.85;
    /** There is pressure if the live objects exceed the limit times this number. */
    private static final double PRESSURE_RATIO = 0.85;
    /** ... and if clients and backends make the process hold more than the limit divided by this number. */
    private static final int HELD_DIVISOR = 8;
    /** A collection is worth its time if so much of what is free was used since the last one. */
    private static final double USED_FREE_RATIO = 0.6;
    /** It is not if the heap has grown by less than this, or than the live objects over the divisor. */
    private static final long MIN_GROWTH_BYTES = 6 << 20;
    private static final int LIVE_GROWTH_DIVISOR = 4;
    /** Collections take the event loop's time divided by this number at the most. */
    private static final int TIME_DIVISOR = 8;
    /** Under pressure the live objects are counted again after this time. */
    private static final long PRESSURE_RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    /** The heap of a process. */
    interface Heap {
        /** What the heap takes from the system, in bytes. */
        long sizeBytes();

        /** What objects take, garbage included, in bytes. */
        long usedBytes();

        /** What the whole process takes, in bytes; 0 if it is not known. */
        long residentBytes();

        /** Collects all garbage and returns what it can to the system. */
        void collect();

        /** The heap of this process. */
        static Heap ofProcess() {
            return new Heap() {
                @Override
                public long sizeBytes() {
                    return Runtime.getRuntime().totalMemory();
                }

                @Override
                public long usedBytes() {
                    return sizeBytes() - Runtime.getRuntime().freeMemory();
                }

                @Override
                public long residentBytes() {
                    return ResidentMemory.megabytes() << 20;
                }

                @Override
                public void collect() {
                    System.gc();
                }
            };
        }
    }

    private final Heap heap;
    private final long limitBytes, grantBytes;
    private final LongSupplier heldBytes;
    private final Supplier<String> holders;
    private long liveBytes, longestPauseNanos, earliestNextNanos;
    private boolean collected, underPressure;

    /**
     * Creates a guard that keeps the heap within this plan.
     *
     * @param heldBytes estimates what clients and backends make the process hold in its heap
     * @param holders describes what the process holds, for the log
     */
    HeapGuard(Heap heap, MemoryPlan plan, LongSupplier heldBytes, Supplier<String> holders) {
        this.heap = heap;
        limitBytes = plan.heapBytes();
        grantBytes = plan.grantBytes();
        this.heldBytes = heldBytes;
        this.holders = holders;
    }

    /**
     * Called once before the first check: if the heap may not grow to the runtime's own limit, a collection
     * lets the runtime choose a smaller space for new objects.
     */
    void start(long maxHeapBytes, long nowNanos) {
        if (limitBytes < maxHeapBytes) {
            collect(nowNanos);
        }
    }

    /** Called at short intervals: collects if it is time to. */
    void check(long nowNanos) {
        if (collected && nowNanos - earliestNextNanos < 0) {
            return;
        }
        if (underPressure || heap.sizeBytes() > limitBytes * COLLECTION_RATIO && isCollectionWorthwhile()
            && isGrantNearlyUsed()) {
            collect(nowNanos);
        }
    }

    private boolean isGrantNearlyUsed() {
        long resident = heap.residentBytes();
        return resident == 0 || resident > grantBytes * RESIDENT_RATIO;
    }

    private boolean isCollectionWorthwhile() {
        long growth = heap.usedBytes() - liveBytes;
        return growth >= Math.max(MIN_GROWTH_BYTES, liveBytes / LIVE_GROWTH_DIVISOR)
            && growth >= (limitBytes - liveBytes) * USED_FREE_RATIO;
    }

    private void collect(long nowNanos) {
        long usedBefore = heap.usedBytes();
        long startNanos = System.nanoTime();
        heap.collect();
        long pauseNanos = System.nanoTime() - startNanos;
        liveBytes = heap.usedBytes();
        collected = true;
        longestPauseNanos = Math.max(longestPauseNanos, pauseNanos);
        boolean wasUnderPressure = underPressure;
        underPressure = liveBytes > limitBytes * PRESSURE_RATIO
            && heldBytes.getAsLong() > limitBytes / HELD_DIVISOR;
        earliestNextNanos = nowNanos + pauseNanos
            + Math.max(pauseNanos * TIME_DIVISOR, underPressure ? PRESSURE_RECHECK_NANOS : 0);
        if (underPressure || wasUnderPressure) {
            logPressure(usedBefore, pauseNanos);
        }
    }

    private void logPressure(long usedBefore, long pauseNanos) {
        Log.write("memory", String.format(Locale.ROOT,
            "%s: %.1f MB of the heap are live, of %.1f before the collection and %.1f permitted; %d ms; %s",
            underPressure ? "under pressure, no new clients" : "pressure has ended",
            liveBytes / BYTES_PER_MEGABYTE, usedBefore / BYTES_PER_MEGABYTE,
            limitBytes / BYTES_PER_MEGABYTE, TimeUnit.NANOSECONDS.toMillis(pauseNanos), holders.get()));
    }

    /** Whether too little was free after the last collection. */
    boolean isUnderPressure() {
        return underPressure;
    }

    /** What was live after the last collection that this class asked for, in bytes; 0 before the first. */
    long liveBytes() {
        return liveBytes;
    }

    /** The longest collection since this method was called last, in milliseconds. */
    long takeLongestPauseMillis() {
        long millis = TimeUnit.NANOSECONDS.toMillis(longestPauseNanos);
        longestPauseNanos = 0;
        return millis;
    }
}
