package dockrelay.fleet.budget;

/** Divides a rate by need: everybody up to a common level (max-min fair), and what is left evenly. */
final class Division {
    /** Needs are met with so much to spare: they are known some tenths of a second late. */
    private static final double SPARE = 1.15;
    /** ... and so much of an even share is left to one that wants nothing, so that its first need is met. */
    private static final double IDLE = 0.02;

    private Division() {
    }

    /** The parts of the whole, in the order of the needs; never more than the whole in all. */
    static long[] of(long whole, double[] needs) {
        int n = needs.length;
        long[] parts = new long[n];
        if (n == 0) {
            return parts;
        }
        double least = whole * IDLE / n;
        double[] wanted = new double[n];
        for (int i = 0; i < n; i++) {
            wanted[i] = Math.max(least, needs[i] * SPARE);
        }
        double level = level(whole, wanted);
        double given = 0;
        for (double one : wanted) {
            given += Math.min(one, level);
        }
        double rest = Math.max(0, whole - given) / n;
        for (int i = 0; i < n; i++) {
            parts[i] = (long) (Math.min(wanted[i], level) + rest);
        }
        return parts;
    }

    /** The level up to which all wants can be met. */
    private static double level(double whole, double[] wanted) {
        double[] sorted = wanted.clone();
        java.util.Arrays.sort(sorted);
        double left = whole;
        for (int i = 0; i < sorted.length; i++) {
            double even = left / (sorted.length - i);
            if (sorted[i] > even) {
                return even;
            }
            left -= sorted[i];
        }
        return Double.MAX_VALUE;
    }
}
