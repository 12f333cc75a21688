package dockrelay.proxy;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Tells since when input may have waited for an event loop that was held up. Times are
 * {@link System#nanoTime} values. All on the event loop's thread.
 */
final class LoopHeartbeat {
    private static final long INTERVAL_MILLIS = 25;
    static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS);
    /** Timers fire a little late on an idle event loop, too. */
    private static final long TIMER_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private long lastBeatNanos = System.nanoTime();
    private long beatCount;

    /** Starts the heartbeat, which ends with the event loop. */
    void start(EventExecutor eventLoop) {
        lastBeatNanos = System.nanoTime();
        eventLoop.scheduleWithFixedDelay(this::beat, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void beat() {
        lastBeatNanos = System.nanoTime();
        beatCount++;
    }

    /** The number of beats so far. Between two of them the event loop reads all connections with input. */
    long beatCount() {
        return beatCount;
    }

    /** The earliest time at which input can have arrived that the event loop handles now. */
    long earliestArrivalNanos(long nowNanos) {
        boolean overdue = nowNanos - lastBeatNanos > INTERVAL_NANOS + TIMER_TOLERANCE_NANOS;
        return overdue ? lastBeatNanos : nowNanos;
    }
}
