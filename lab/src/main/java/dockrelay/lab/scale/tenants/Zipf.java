package dockrelay.lab.scale.tenants;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Zipf distribution over ranks from 0: the share of a rank falls with a power of its position. */
final class Zipf {
    private final double[] cumulativeShares;

    Zipf(int rankCount, double exponent) {
        cumulativeShares = new double[rankCount];
        double sum = 0;
        for (int i = 0; i < rankCount; i++) {
            sum += Math.pow(i + 1, -exponent);
            cumulativeShares[i] = sum;
        }
        for (int i = 0; i < rankCount; i++) {
            cumulativeShares[i] /= sum;
        }
    }

    /** Probability of a rank. */
    double share(int rank) {
        return cumulativeShares[rank] - (rank == 0 ? 0 : cumulativeShares[rank - 1]);
    }

    /** Draws a random rank. */
    int draw(RandomGenerator random) {
        int position = Arrays.binarySearch(cumulativeShares, random.nextDouble());
        return Math.min(cumulativeShares.length - 1, position >= 0 ? position + 1 : -position - 1);
    }
}
