package dockrelay.lab.spec;

import java.util.random.RandomGenerator;

/** A figure that the seed draws evenly between two ends; both may be equal. */
public record Range(double low, double high) {
    public static Range of(double value) {
        return new Range(value, value);
    }

    public double draw(RandomGenerator random) {
        // A fixed figure takes a number off the stream too: fixing one moves none of the others.
        return low + (high - low) * random.nextDouble();
    }
}
