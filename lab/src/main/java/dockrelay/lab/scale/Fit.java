package dockrelay.lab.scale;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * How a figure grows with the size, by least squares over all plays: the exponent from a fit of the
 * logarithms (null if a value is not above 0) and the slope of a linear fit, each with its standard error.
 */
public record Fit(int sizes, Double exponent, Double exponentError, double slope, double slopeError,
                  double intercept, double interceptError, String grows) {
    /** Fewest distinct sizes for a fit. */
    public static final int MIN_SIZES = 4;
    /**
     * Tolerance around the exponents 0 and 1; the largest standard error with which a fit is conclusive; the
     * bound of exponent plus error for a figure whose exponent cannot be told from 0.
     */
    private static final double EXPONENT_TOLERANCE = 0.1, MAX_CONCLUSIVE_ERROR = 0.25,
        MAX_CONSTANT_EXPONENT = 0.3;

    public static final String FASTER_THAN_LINEAR = "faster than linear", LINEAR = "linear",
        BELOW_LINEAR = "below linear", CONSTANT = "constant", FALLING = "falls", INCONCLUSIVE = "not told";

    /** Fits the figures of one name; null if there are too few distinct sizes. */
    public static Fit of(List<Figure> figures) {
        int sizes = (int) figures.stream().mapToInt(Figure::size).distinct().count();
        if (sizes < MIN_SIZES) {
            return null;
        }
        SimpleRegression linearFit = new SimpleRegression(), logFit = new SimpleRegression();
        boolean allPositive = true, allEqual = true;
        for (Figure figure : figures) {
            linearFit.addData(figure.size(), figure.value());
            allPositive &= figure.value() > 0;
            allEqual &= figure.value() == figures.get(0).value();
            if (allPositive) {
                logFit.addData(Math.log(figure.size()), Math.log(figure.value()));
            }
        }
        Double exponent = allPositive ? (Double) logFit.getSlope() : null;
        Double error = allPositive ? (Double) logFit.getSlopeStdErr() : null;
        return new Fit(sizes, exponent, error, linearFit.getSlope(), linearFit.getSlopeStdErr(),
            linearFit.getIntercept(), linearFit.getInterceptStdErr(),
            allEqual ? CONSTANT : allPositive ? grows(exponent, error) : INCONCLUSIVE);
    }

    /** Classifies the growth; a class applies only if it holds at two standard errors either way. */
    static String grows(double exponent, double error) {
        if (exponent - 2 * error > 1 + EXPONENT_TOLERANCE) {
            return FASTER_THAN_LINEAR;
        }
        if (Math.abs(exponent) <= EXPONENT_TOLERANCE && error <= MAX_CONCLUSIVE_ERROR
            || Math.abs(exponent) <= 2 * error && Math.abs(exponent) + error < MAX_CONSTANT_EXPONENT) {
            return CONSTANT;
        }
        if (exponent + 2 * error < 0) {
            return FALLING;
        }
        if (exponent + 2 * error < 1 - EXPONENT_TOLERANCE) {
            return BELOW_LINEAR;
        }
        return error > MAX_CONCLUSIVE_ERROR ? INCONCLUSIVE : LINEAR;
    }
}
