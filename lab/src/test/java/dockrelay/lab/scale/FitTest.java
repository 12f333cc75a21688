package dockrelay.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Fits of data with a known growth law. */
class FitTest {
    private static final int[] SIZES = {100, 400, 1600, 5700};

    /** One figure at each size, with the values of the given growth law. */
    private static List<Figure> figures(DoubleUnaryOperator law) {
        List<Figure> result = new ArrayList<>();
        for (int size : SIZES) {
            result.add(new Figure("r", "f", size, "B", law.applyAsDouble(size), "virtual", 1));
        }
        return result;
    }

    @Test
    void fitsRecoverKnownGrowthLaws() {
        Fit linear = Fit.of(figures(n -> 7 * n));
        assertEquals(1, linear.exponent(), 1e-9);
        assertEquals(7, linear.slope(), 1e-9);
        assertEquals(0, linear.slopeError(), 1e-9);
        assertEquals(Fit.LINEAR, linear.grows());
        Fit square = Fit.of(figures(n -> 0.001 * n * n));
        assertEquals(2, square.exponent(), 1e-9);
        assertEquals(Fit.FASTER_THAN_LINEAR, square.grows());
        Fit squareRoot = Fit.of(figures(n -> 3 * Math.sqrt(n)));
        assertEquals(0.5, squareRoot.exponent(), 1e-9);
        assertEquals(Fit.BELOW_LINEAR, squareRoot.grows());
        assertEquals(Fit.CONSTANT, Fit.of(figures(n -> 42)).grows());
        assertEquals(Fit.FALLING, Fit.of(figures(n -> 1000 / n)).grows());
    }

    @Test
    void slopeErrorIsTheStandardError() {
        // y = 1, 2, 2, 3 at x = 1, 2, 3, 4: slope 0.6, sum of squared residuals 0.2, error sqrt(0.1 / 5)
        double[] values = {1, 2, 2, 3};
        List<Figure> figures = new ArrayList<>();
        for (int i = 0; i < values.length; i++) {
            figures.add(new Figure("r", "f", i + 1, "B", values[i], "virtual", 1));
        }
        Fit fit = Fit.of(figures);
        assertEquals(0.6, fit.slope(), 1e-9);
        assertEquals(Math.sqrt(0.1 / 5), fit.slopeError(), 1e-9);
        assertEquals(0.5, fit.intercept(), 1e-9);
    }

    @Test
    void noFitForThreeSizesRegardlessOfPlays() {
        List<Figure> figures = figures(n -> n);
        figures.remove(3);
        figures.addAll(List.copyOf(figures));
        assertNull(Fit.of(figures));
    }

    @Test
    void inconclusiveGrowthIsReported() {
        assertEquals(Fit.INCONCLUSIVE, Fit.grows(1.2, 0.4));
        assertEquals(Fit.LINEAR, Fit.grows(1.2, 0.1));
        assertEquals(Fit.FASTER_THAN_LINEAR, Fit.grows(1.4, 0.1));
        assertEquals(Fit.CONSTANT, Fit.grows(0.1, 0.06));
        Fit fitWithZeros = Fit.of(figures(n -> n < 1000 ? 0 : 5));
        assertNull(fitWithZeros.exponent(), "a value of 0 has no logarithm, so there is no exponent");
        assertEquals(Fit.INCONCLUSIVE, fitWithZeros.grows());
        assertTrue(fitWithZeros.slope() > 0);
    }
}
