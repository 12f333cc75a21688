package dockrelay.fleet.budget;

/**
 * Divides a rate by max-min fairness: demands are met up to a common level, and any surplus is divided
 * evenly.
 */
final class Division {
    /** Headroom on top of the reported demand, which is some tenths of a second old. */
    private static final double SPARE = 1.15;
    /**
     * Fraction of an even share that a process without demand keeps, so that its first requests find
     * tokens.
     */
    private static final double IDLE = 0.02;

    private Division() {
    }

    /** Returns the shares in the order of the demands. Their sum never exceeds the total. */
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

    /** The common level up to which all demands can be met. */
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
