package dockrelay.lab.spec;

import java.util.random.RandomGenerator;

/** A range from which a value is drawn uniformly; both bounds may be equal. */
public record Range(double low, double high) {
    public static Range of(double value) {
        return new Range(value, value);
    }

    public double draw(RandomGenerator random) {
        // A fixed value consumes a random number too, so that fixing one parameter leaves the others
        // unchanged.
        return low + (high - low) * random.nextDouble();
    }
}
