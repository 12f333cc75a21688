package dockrelay.lab.link;

/**
 * The impairments of one direction between two endpoints. Delay and jitter are in microseconds; loss,
 * duplicate and reorder are probabilities. On streams, loss shows as the transport's retransmission delay;
 * duplication and reordering have no effect there.
 */
public record Passage(Mode mode, double delay, double jitter, double loss, double duplicate, double reorder) {
    /**
     * OPEN passes traffic. SILENT drops it, as if the machine had vanished. RESET resets connections, as a
     * middlebox does. Ordered by severity.
     */
    public enum Mode { OPEN, SILENT, RESET }

    public static final Passage UNIMPAIRED = new Passage(Mode.OPEN, 0, 0, 0, 0, 0);

    /** Combines two faults: the more severe mode, summed delays, independent probabilities. */
    Passage combine(Passage other) {
        return new Passage(mode.compareTo(other.mode) >= 0 ? mode : other.mode, delay + other.delay,
            jitter + other.jitter, eitherProbability(loss, other.loss),
            eitherProbability(duplicate, other.duplicate), eitherProbability(reorder, other.reorder));
    }

    /** Returns the probability that at least one of two independent events occurs. */
    private static double eitherProbability(double a, double b) {
        return 1 - (1 - a) * (1 - b);
    }

    boolean isUnimpaired() {
        return equals(UNIMPAIRED);
    }
}
