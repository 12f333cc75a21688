package dockrelay.lab.report;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/**
 * A mean and half the width of its 95% confidence interval (Student's t). The half width is NaN for fewer
 * than two values. Serialized to JSON by component names.
 */
public record Estimate(double mean, double half, int count) {
    private static final double UPPER_QUANTILE = 0.975;

    public static Estimate of(double... values) {
        DescriptiveStatistics statistics = new DescriptiveStatistics(values);
        int count = values.length;
        double half = count < 2 ? Double.NaN : new TDistribution(count - 1)
            .inverseCumulativeProbability(UPPER_QUANTILE)
            * statistics.getStandardDeviation() / Math.sqrt(count);
        return new Estimate(statistics.getMean(), half, count);
    }

    /** Whether the confidence interval excludes 0. */
    public boolean excludesZero() {
        return !Double.isNaN(half) && Math.abs(mean) > half;
    }
}
