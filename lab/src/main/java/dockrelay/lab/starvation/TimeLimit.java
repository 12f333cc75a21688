package dockrelay.lab.starvation;

/**
 * A limit on elapsed time, in microseconds, for an action of a process. Time that the process waited for
 * cores in use by others doesn't count, but a play that passed only thanks to that is void. The lab stops
 * waiting after a multiple of the limit.
 */
public record TimeLimit(long limitMicros) {
    private static final int MAX_WAIT_FACTOR = 3;

    /** Whether the limit was kept, exceeded only due to waiting for cores, or exceeded (PASSED). */
    public enum Verdict { WITHIN, STARVED, PASSED }

    /** Judges an action by its elapsed time and its wait for cores within that, both in microseconds. */
    public Verdict verdict(long elapsedMicros, long waitedMicros) {
        return elapsedMicros <= limitMicros ? Verdict.WITHIN
            : elapsedMicros - waitedMicros <= limitMicros ? Verdict.STARVED : Verdict.PASSED;
    }

    /** Whether the lab stops waiting, however long the process waited for cores. */
    public boolean isPastMaxWait(long elapsedMicros) {
        return elapsedMicros > MAX_WAIT_FACTOR * limitMicros;
    }
}
