package dockrelay.fleet.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Runs {@link GroupedMembership} through random fault schedules in a simulation. */
class GroupedMembershipTest {
    /** {@code -Dgroups.schedule=SEED} runs a single schedule and prints a trace of it. */
    private static final Long SINGLE_SEED = Long.getLong("groups.schedule");
    private static final long SCHEDULE_COUNT = Long.getLong("groups.schedules", 1_000);

    /** The invariants hold in all schedules; a failure names the seed with which to reproduce it. */
    @Test
    void invariantsHoldInRandomFaultSchedules() {
        if (SINGLE_SEED != null) {
            System.out.println(FleetFaultSchedule.run(SINGLE_SEED, GroupedMembership::new, true));
            return;
        }
        ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
        List<FleetFaultSchedule.Outcome> outcomes = LongStream.rangeClosed(1, SCHEDULE_COUNT).parallel()
            .mapToObj(seed -> {
            try {
                return FleetFaultSchedule.run(seed, GroupedMembership::new, false);
            } catch (RuntimeException e) {
                failures.add("-Dgroups.schedule=" + seed + ": " + e);
                return null;
            }
        }).filter(outcome -> outcome != null).toList();
        long[] convergenceTimes = outcomes.stream().mapToLong(FleetFaultSchedule.Outcome::convergenceTime)
            .sorted().toArray();
        System.out.printf("%d schedules of groups, %d without loss, %d false declarations in the others; "
            + "%d with an excluded group; convergence after %.2f s (p50), %.2f s (p99); maximum sum of "
            + "budget shares %.3f%n", outcomes.size(),
            outcomes.stream().filter(FleetFaultSchedule.Outcome::lossless).count(),
            outcomes.stream().mapToInt(FleetFaultSchedule.Outcome::falseDeclarations).sum(),
            outcomes.stream().filter(outcome -> outcome.exclusions() > 0).count(),
            convergenceTimes.length == 0 ? 0 : convergenceTimes[convergenceTimes.length / 2] / 1e6,
            convergenceTimes.length == 0 ? 0 : convergenceTimes[convergenceTimes.length * 99 / 100] / 1e6,
            outcomes.stream().mapToDouble(FleetFaultSchedule.Outcome::maxShareSum).max().orElse(0));
        assertEquals(List.of(), failures.stream().limit(20).toList(), failures.size() + " schedules failed");
    }

    /** Guards the checks themselves: the simulation detects each of the faulty variants. */
    @Test
    void simulationDetectsEachFaultyVariant() {
        FaultyGroupedMemberships.variants().forEach((defect, factory) -> {
            String violation = LongStream.rangeClosed(1, 200).mapToObj(seed -> {
                try {
                    FleetFaultSchedule.run(seed, factory, false);
                    return null;
                } catch (FleetSimulation.InvariantViolation e) {
                    return "seed " + seed + ": " + e.getMessage();
                }
            }).filter(message -> message != null).findFirst().orElse(null);
            System.out.println("variant that " + defect + ": " + violation);
            assertNotNull(violation, "variant that " + defect + " is not detected by any schedule");
        });
    }
}
