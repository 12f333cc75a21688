package dockrelay.lab.starvation;

/**
 * What the system's scheduler counts of a process over a time, all threads together, in microseconds: how
 * long it ran, and how long it could have run and waited for a core; and the longest that one thread waited.
 * While it sleeps or is stopped it does neither.
 */
public record ProcessorTime(long ran, long waited, long longest) {
    public static final ProcessorTime NONE = new ProcessorTime(0, 0, 0);

    /**
     * The most that one thing which it had to do can have waited: one thread after another at the worst, but
     * no longer than it all lasted, or than the one wait that had begun before.
     */
    long inARow(long length) {
        return Math.min(waited, Math.max(length, longest));
    }

    public ProcessorTime and(ProcessorTime other) {
        return new ProcessorTime(ran + other.ran, waited + other.waited, Math.max(longest, other.longest));
    }
}
