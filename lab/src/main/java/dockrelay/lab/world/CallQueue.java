package dockrelay.lab.world;

/**
 * The FIFO queue of calls to the discovery service, which serves one at a time. A call that would wait too
 * long fails, but stays in the queue and still costs its service time, so a fleet can overload discovery.
 * Times are in microseconds.
 */
final class CallQueue {
    private final long maxWaitMicros;
    private long busyUntilMicros;

    CallQueue(long maxWaitMicros) {
        this.maxWaitMicros = maxWaitMicros;
    }

    /** The outcome of a call, and after how many microseconds it is answered or fails. */
    record CallOutcome(long delayMicros, boolean served) {
    }

    /** Enqueues a call with the given service time and returns its outcome. */
    CallOutcome enqueue(long now, long serviceMicros) {
        long waitMicros = Math.max(0, busyUntilMicros - now);
        busyUntilMicros = now + waitMicros + serviceMicros;
        return waitMicros > maxWaitMicros ? new CallOutcome(maxWaitMicros, false)
            : new CallOutcome(waitMicros + serviceMicros, true);
    }
}
