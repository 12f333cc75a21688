package dockrelay.lab.scale.tenants;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Draws a rank from 0 on: each one's share falls with this power of its place. */
final class Zipf {
    private final double[] upTo;

    Zipf(int count, double power) {
        upTo = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += Math.pow(i + 1, -power);
            upTo[i] = sum;
        }
        for (int i = 0; i < count; i++) {
            upTo[i] /= sum;
        }
    }

    double share(int rank) {
        return upTo[rank] - (rank == 0 ? 0 : upTo[rank - 1]);
    }

    int draw(RandomGenerator random) {
        int found = Arrays.binarySearch(upTo, random.nextDouble());
        return Math.min(upTo.length - 1, found >= 0 ? found + 1 : -found - 1);
    }
}
