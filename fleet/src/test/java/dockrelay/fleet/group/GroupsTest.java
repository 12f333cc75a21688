package dockrelay.fleet.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Runs {@link GroupedMembership} through random fault schedules in a simulation. */
class GroupsTest {
    /** {@code -Dgroups.schedule=SEED} runs a single schedule and prints a trace of it. */
    private static final Long ONE = Long.getLong("groups.schedule");
    private static final long SCHEDULES = Long.getLong("groups.schedules", 1_000);

    /** The invariants hold in all schedules; a failure names the seed with which to reproduce it. */
    @Test
    void allThatMustHoldDoesInAThousandSchedules() {
        if (ONE != null) {
            System.out.println(FleetSchedule.play(ONE, GroupedMembership::new, true));
            return;
        }
        ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
        List<FleetSchedule.Outcome> outcomes = LongStream.rangeClosed(1, SCHEDULES).parallel()
            .mapToObj(seed -> {
            try {
                return FleetSchedule.play(seed, GroupedMembership::new, false);
            } catch (RuntimeException e) {
                broken.add("-Dgroups.schedule=" + seed + ": " + e);
                return null;
            }
        }).filter(outcome -> outcome != null).toList();
        long[] settled = outcomes.stream().mapToLong(FleetSchedule.Outcome::settled).sorted().toArray();
        System.out.printf("%d schedules of groups, %d without loss, %d false declarations in the others; "
            + "%d with an excluded group; convergence after %.2f s (p50), %.2f s (p99); maximum sum of "
            + "budget shares %.3f%n", outcomes.size(),
            outcomes.stream().filter(FleetSchedule.Outcome::lossless).count(),
            outcomes.stream().mapToInt(FleetSchedule.Outcome::falselyGone).sum(),
            outcomes.stream().filter(outcome -> outcome.outs() > 0).count(),
            settled.length == 0 ? 0 : settled[settled.length / 2] / 1e6,
            settled.length == 0 ? 0 : settled[settled.length * 99 / 100] / 1e6,
            outcomes.stream().mapToDouble(FleetSchedule.Outcome::mostShare).max().orElse(0));
        assertEquals(List.of(), broken.stream().limit(20).toList(), broken.size() + " schedules failed");
    }

    /** Guards the checks themselves: the simulation detects each of the faulty variants. */
    @Test
    void eachBrokenMachineIsFoundOut() {
        BrokenGroups.all().forEach((what, maker) -> {
            String found = LongStream.rangeClosed(1, 200).mapToObj(seed -> {
                try {
                    FleetSchedule.play(seed, maker, false);
                    return null;
                } catch (FleetWorld.Broken e) {
                    return "seed " + seed + ": " + e.getMessage();
                }
            }).filter(broken -> broken != null).findFirst().orElse(null);
            System.out.println("variant that " + what + ": " + found);
            assertNotNull(found, "variant that " + what + " is not detected by any schedule");
        });
    }
}
