package dockrelay.fleet.budget;

/**
 * Divides a rate by max-min fairness: demands are met up to a common level, and any surplus is divided
 * evenly.
 */
final class MaxMinDivision {
    /** Headroom on top of the reported demand, which is some tenths of a second old. */
    private static final double DEMAND_HEADROOM_FACTOR = 1.15;
    /**
     * Fraction of an even share that a process without demand keeps, so that its first requests find
     * tokens.
     */
    private static final double IDLE_SHARE_FRACTION = 0.02;

    private MaxMinDivision() {
    }

    /** Returns the shares in the order of the demands. Their sum never exceeds the total. */
    static long[] divide(long total, double[] demands) {
        int count = demands.length;
        long[] shares = new long[count];
        if (count == 0) {
            return shares;
        }
        double minTarget = total * IDLE_SHARE_FRACTION / count;
        double[] targets = new double[count];
        for (int i = 0; i < count; i++) {
            targets[i] = Math.max(minTarget, demands[i] * DEMAND_HEADROOM_FACTOR);
        }
        double level = fairLevel(total, targets);
        double allocated = 0;
        for (double target : targets) {
            allocated += Math.min(target, level);
        }
        double surplusPerShare = Math.max(0, total - allocated) / count;
        for (int i = 0; i < count; i++) {
            shares[i] = (long) (Math.min(targets[i], level) + surplusPerShare);
        }
        return shares;
    }

    /** The common level up to which all demands can be met. */
    private static double fairLevel(double total, double[] targets) {
        double[] sorted = targets.clone();
        java.util.Arrays.sort(sorted);
        double remaining = total;
        for (int i = 0; i < sorted.length; i++) {
            double evenShare = remaining / (sorted.length - i);
            if (sorted[i] > evenShare) {
                return evenShare;
            }
            remaining -= sorted[i];
        }
        return Double.MAX_VALUE;
    }
}
