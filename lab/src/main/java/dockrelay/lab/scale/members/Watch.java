package dockrelay.lab.scale.members;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Looks at members in even steps until it ends: from when on each was right, either for good or, where more
 * goes on, for a second at least.
 */
final class Watch {
    /** Many are looked at less often: with one flat membership a look at all costs the cube of the size. */
    private static final long STEP = 100 * VirtualFleet.MILLI, STEP_OF_MANY = 250 * VirtualFleet.MILLI;
    private static final int MANY = 300;
    private static final long AT_LEAST = VirtualFleet.SECOND;

    private final VirtualFleet fleet;
    private final IntPredicate watched, right;
    private final long began, end, step;
    private final boolean forGood;
    private final long[] wrongAt;
    private long lookedAt = -1, looks, wrong;

    /** Looks at those who are watched and live, from now on for so long. */
    Watch(VirtualFleet fleet, long lasts, boolean forGood, IntPredicate watched, IntPredicate right) {
        this.fleet = fleet;
        this.forGood = forGood;
        this.watched = watched;
        this.right = right;
        this.began = fleet.now();
        this.step = fleet.count() < MANY ? STEP : STEP_OF_MANY;
        this.end = began + lasts;
        this.wrongAt = new long[fleet.count()];
        Arrays.fill(wrongAt, began - step);
        look();
    }

    private void look() {
        lookedAt = fleet.now();
        for (int i = 0; i < wrongAt.length; i++) {
            if (fleet.lives(i) && watched.test(i)) {
                looks++;
                if (!right.test(i)) {
                    wrong++;
                    wrongAt[i] = forGood || lookedAt - wrongAt[i] <= AT_LEAST ? lookedAt : wrongAt[i];
                }
            }
        }
        if (lookedAt + step <= end) {
            fleet.later(step, this::look);
        }
    }

    /** Seconds from the beginning until each was right; those that never were are left out. */
    List<Double> times() {
        List<Double> result = new ArrayList<>();
        for (int i = 0; i < wrongAt.length; i++) {
            if (fleet.lives(i) && watched.test(i) && wrongAt[i] < lookedAt) {
                result.add((double) (wrongAt[i] + step - began) / VirtualFleet.SECOND);
            }
        }
        return result;
    }

    /** How many were still wrong at the end. */
    int unsettled() {
        int result = 0;
        for (int i = 0; i < wrongAt.length; i++) {
            result += fleet.lives(i) && watched.test(i) && wrongAt[i] >= lookedAt ? 1 : 0;
        }
        return result;
    }

    /** The part of all looks at which a member was wrong. */
    double wrong() {
        return (double) wrong / Math.max(1, looks);
    }
}
