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
    public static final int LEAST_SIZES = 4;
    /**
     * Tolerance around the exponents 0 and 1; the largest standard error with which a fit is conclusive; the
     * bound of exponent plus error for a figure whose exponent cannot be told from 0.
     */
    private static final double NEAR = 0.1, UNKNOWN = 0.25, FLAT = 0.3;

    public static final String FASTER = "faster than linear", LINEAR = "linear", BELOW = "below linear",
        CONSTANT = "constant", FALLS = "falls", NOT_TOLD = "not told";

    /** Fits the figures of one name; null if there are too few distinct sizes. */
    public static Fit of(List<Figure> figures) {
        int sizes = (int) figures.stream().mapToInt(Figure::size).distinct().count();
        if (sizes < LEAST_SIZES) {
            return null;
        }
        SimpleRegression plain = new SimpleRegression(), logs = new SimpleRegression();
        boolean positive = true, same = true;
        for (Figure figure : figures) {
            plain.addData(figure.size(), figure.value());
            positive &= figure.value() > 0;
            same &= figure.value() == figures.get(0).value();
            if (positive) {
                logs.addData(Math.log(figure.size()), Math.log(figure.value()));
            }
        }
        Double exponent = positive ? (Double) logs.getSlope() : null;
        Double error = positive ? (Double) logs.getSlopeStdErr() : null;
        return new Fit(sizes, exponent, error, plain.getSlope(), plain.getSlopeStdErr(), plain.getIntercept(),
            plain.getInterceptStdErr(), same ? CONSTANT : positive ? grows(exponent, error) : NOT_TOLD);
    }

    /** Classifies the growth; a class applies only if it holds at two standard errors either way. */
    static String grows(double exponent, double error) {
        if (exponent - 2 * error > 1 + NEAR) {
            return FASTER;
        }
        if (Math.abs(exponent) <= NEAR && error <= UNKNOWN
            || Math.abs(exponent) <= 2 * error && Math.abs(exponent) + error < FLAT) {
            return CONSTANT;
        }
        if (exponent + 2 * error < 0) {
            return FALLS;
        }
        if (exponent + 2 * error < 1 - NEAR) {
            return BELOW;
        }
        return error > UNKNOWN ? NOT_TOLD : LINEAR;
    }
}
