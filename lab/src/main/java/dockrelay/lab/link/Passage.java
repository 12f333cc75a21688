package dockrelay.lab.link;

/**
 * What one direction between two parties does to what passes. Times are microseconds. On streams, loss,
 * duplicates
 * and disorder show as what the transport makes of them: a wait for a repeat.
 */
public record Passage(Mode mode, double delay, double jitter, double loss, double duplicate, double reorder) {
    /**
     * Open; silent, as where a machine has vanished; or reset, as where a device in between ends connections.
     */
    public enum Mode { OPEN, SILENT, RESET }

    public static final Passage UNIMPAIRED = new Passage(Mode.OPEN, 0, 0, 0, 0, 0);

    /** Both at once: the worse way of the two, delays one after the other. */
    Passage combine(Passage other) {
        return new Passage(mode.compareTo(other.mode) >= 0 ? mode : other.mode, delay + other.delay,
            jitter + other.jitter, eitherProbability(loss, other.loss),
                eitherProbability(duplicate, other.duplicate),
            eitherProbability(reorder, other.reorder));
    }

    private static double eitherProbability(double a, double b) {
        return 1 - (1 - a) * (1 - b);
    }

    boolean isUnimpaired() {
        return equals(UNIMPAIRED);
    }
}
