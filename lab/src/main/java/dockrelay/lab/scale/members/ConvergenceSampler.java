package dockrelay.lab.scale.members;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Samples members of a virtual fleet at a fixed interval and records when each reached an expected state:
 * either for good or, in scenarios where further events follow, for at least a second.
 */
final class ConvergenceSampler {
    /**
     * Large fleets are sampled less often: in a flat membership the cost of sampling grows with size cubed.
     */
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

    /**
     * Starts sampling the watched members that are running.
     *
     * @param durationMicros how long to sample, in microseconds of virtual time
     * @param permanent whether a member has to stay in the expected state until the end
     * @param converged whether a member is in the expected state
     */
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

    /** Seconds until each member reached the expected state; members that never did are left out. */
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

    /** Number of members that had not reached the expected state. */
    int unconvergedCount() {
        int result = 0;
        for (int i = 0; i < lastDivergedAt.length; i++) {
            result += fleet.isRunning(i) && watched.test(i) && lastDivergedAt[i] >= sampledAt ? 1 : 0;
        }
        return result;
    }

    /** Share of all samples in which a member was not in the expected state. */
    double divergedShare() {
        return (double) divergedSamples / Math.max(1, sampleCount);
    }
}
