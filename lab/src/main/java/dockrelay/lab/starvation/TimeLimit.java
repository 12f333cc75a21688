package dockrelay.lab.starvation;

/**
 * A limit of elapsed time, in microseconds, that a process is held to. A wait for a core by others' doing
 * does not count, but a play that made use of that is void; past so many times the limit nobody waits on.
 */
public record TimeLimit(long limitMicros) {
    private static final int MAX_WAIT_FACTOR = 3;

    /** What became of the limit. */
    public enum Verdict { WITHIN, STARVED, PASSED }

    public Verdict verdict(long elapsedMicros, long waitedMicros) {
        return elapsedMicros <= limitMicros ? Verdict.WITHIN : elapsedMicros - waitedMicros <= limitMicros ? Verdict.STARVED : Verdict.PASSED;
    }

    /** Whether nobody waits on, whatever it waited for. */
    public boolean isPastMaxWait(long elapsedMicros) {
        return elapsedMicros > MAX_WAIT_FACTOR * limitMicros;
    }
}
