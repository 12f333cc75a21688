package dockrelay.lab.starvation;

/**
 * What the system's scheduler counts of a process over a time, all threads together, in microseconds: how
 * long it ran, and how long it could have run and waited for a core; and the longest that one thread waited.
 * While it sleeps or is stopped it does neither.
 */
public record ProcessorTime(long ranMicros, long waitedMicros, long longestWaitMicros) {
    public static final ProcessorTime ZERO = new ProcessorTime(0, 0, 0);

    /**
     * The most that one thing which it had to do can have waited: one thread after another at the worst, but
     * no longer than it all lasted, or than the one wait that had begun before.
     */
    long maxSequentialWaitMicros(long intervalMicros) {
        return Math.min(waitedMicros, Math.max(intervalMicros, longestWaitMicros));
    }

    public ProcessorTime plus(ProcessorTime other) {
        return new ProcessorTime(ranMicros + other.ranMicros, waitedMicros + other.waitedMicros, Math.max(longestWaitMicros, other.longestWaitMicros));
    }
}
