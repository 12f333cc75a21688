package dockrelay.lab.scale.tenants;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Draws a rank from 0 on: each one's share falls with this power of its place. */
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

    double share(int rank) {
        return cumulativeShares[rank] - (rank == 0 ? 0 : cumulativeShares[rank - 1]);
    }

    int draw(RandomGenerator random) {
        int position = Arrays.binarySearch(cumulativeShares, random.nextDouble());
        return Math.min(cumulativeShares.length - 1, position >= 0 ? position + 1 : -position - 1);
    }
}
