package dockrelay.lab.world;

/**
 * The one queue in which discovery serves its calls, one after another. A call that has waited too long
 * fails, but keeps its place: nobody takes it out, and those behind it wait for it all the same. Times are
 * in microseconds.
 */
final class CallQueue {
    private final long maxWaitMicros;
    private long busyUntilMicros;

    CallQueue(long maxWaitMicros) {
        this.maxWaitMicros = maxWaitMicros;
    }

    /** What becomes of a call: in how long it is answered, or fails. */
    record CallOutcome(long delayMicros, boolean served) {
    }

    /** Takes in a call that takes discovery so long once its turn has come. */
    CallOutcome enqueue(long now, long serviceMicros) {
        long waitMicros = Math.max(0, busyUntilMicros - now);
        busyUntilMicros = now + waitMicros + serviceMicros;
        return waitMicros > maxWaitMicros ? new CallOutcome(maxWaitMicros, false)
            : new CallOutcome(waitMicros + serviceMicros, true);
    }
}
