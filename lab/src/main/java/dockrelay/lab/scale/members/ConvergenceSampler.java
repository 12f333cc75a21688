package dockrelay.lab.scale.members;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Looks at members in even steps until it ends: from when on each was right, either for good or, where more
 * goes on, for a second at least.
 */
final class ConvergenceSampler {
    /** Many are looked at less often: with one flat membership a look at all costs the cube of the size. */
    private static final long SAMPLE_INTERVAL_MICROS = 100 * VirtualFleet.MICROS_PER_MILLI,
        LARGE_FLEET_SAMPLE_INTERVAL_MICROS = 250 * VirtualFleet.MICROS_PER_MILLI;
    private static final int LARGE_FLEET_SIZE = 300;
    private static final long MIN_STABLE_MICROS = VirtualFleet.MICROS_PER_SECOND;

    private final VirtualFleet fleet;
    private final IntPredicate watched, converged;
    private final long startedAt, endsAt, intervalMicros;
    private final boolean permanent;
    private final long[] lastDivergedAt;
    private long sampledAt = -1, sampleCount, divergedSamples;

    /** Looks at those who are watched and live, from now on for so long. */
    ConvergenceSampler(VirtualFleet fleet, long durationMicros, boolean permanent, IntPredicate watched,
        IntPredicate converged) {
        this.fleet = fleet;
        this.permanent = permanent;
        this.watched = watched;
        this.converged = converged;
        this.startedAt = fleet.now();
        this.intervalMicros = fleet.memberCount() < LARGE_FLEET_SIZE ? SAMPLE_INTERVAL_MICROS
            : LARGE_FLEET_SAMPLE_INTERVAL_MICROS;
        this.endsAt = startedAt + durationMicros;
        this.lastDivergedAt = new long[fleet.memberCount()];
        Arrays.fill(lastDivergedAt, startedAt - intervalMicros);
        sample();
    }

    private void sample() {
        sampledAt = fleet.now();
        for (int i = 0; i < lastDivergedAt.length; i++) {
            if (fleet.isRunning(i) && watched.test(i)) {
                sampleCount++;
                if (!converged.test(i)) {
                    divergedSamples++;
                    lastDivergedAt[i] = permanent || sampledAt - lastDivergedAt[i] <= MIN_STABLE_MICROS
                        ? sampledAt : lastDivergedAt[i];
                }
            }
        }
        if (sampledAt + intervalMicros <= endsAt) {
            fleet.runAfter(intervalMicros, this::sample);
        }
    }

    /** Seconds from the beginning until each was right; those that never were are left out. */
    List<Double> convergenceSeconds() {
        List<Double> result = new ArrayList<>();
        for (int i = 0; i < lastDivergedAt.length; i++) {
            if (fleet.isRunning(i) && watched.test(i) && lastDivergedAt[i] < sampledAt) {
                result.add((double) (lastDivergedAt[i] + intervalMicros - startedAt)
                    / VirtualFleet.MICROS_PER_SECOND);
            }
        }
        return result;
    }

    /** How many were still wrong at the end. */
    int unconvergedCount() {
        int result = 0;
        for (int i = 0; i < lastDivergedAt.length; i++) {
            result += fleet.isRunning(i) && watched.test(i) && lastDivergedAt[i] >= sampledAt ? 1 : 0;
        }
        return result;
    }

    /** The part of all looks at which a member was wrong. */
    double divergedShare() {
        return (double) divergedSamples / Math.max(1, sampleCount);
    }
}
