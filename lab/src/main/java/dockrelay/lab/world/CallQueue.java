package dockrelay.lab.world;

/**
 * The one queue in which discovery serves its calls, one after another. A call that has waited too long
 * fails, but keeps its place: nobody takes it out, and those behind it wait for it all the same. Times are
 * in microseconds.
 */
final class CallQueue {
    private final long maxWait;
    private long busyUntil;

    CallQueue(long maxWait) {
        this.maxWait = maxWait;
    }

    /** What becomes of a call: in how long it is answered, or fails. */
    record Turn(long after, boolean served) {
    }

    /** Takes in a call that takes discovery so long once its turn has come. */
    Turn take(long now, long cost) {
        long wait = Math.max(0, busyUntil - now);
        busyUntil = now + wait + cost;
        return wait > maxWait ? new Turn(maxWait, false) : new Turn(wait + cost, true);
    }
}
