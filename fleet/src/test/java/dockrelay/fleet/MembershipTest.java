package dockrelay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Runs {@link Membership} through random fault schedules in a simulation. */
class MembershipTest {
    /** {@code -Dfleet.schedule=SEED} runs a single schedule and prints a trace of it. */
    private static final Long ONE = Long.getLong("fleet.schedule");
    private static final long SCHEDULES = Long.getLong("fleet.schedules", 10_000);

    /** The invariants hold in all schedules; a failure names the seed with which to reproduce it. */
    @Test
    void allThatMustHoldDoesInTenThousandSchedules() {
        if (ONE != null) {
            System.out.println(Schedule.play(ONE, Membership::new, true));
            return;
        }
        ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
        List<Schedule.Outcome> outcomes = LongStream.rangeClosed(1, SCHEDULES).parallel().mapToObj(seed -> {
            try {
                return Schedule.play(seed, Membership::new, false);
            } catch (RuntimeException e) {
                broken.add("-Dfleet.schedule=" + seed + ": " + e.getMessage());
                return null;
            }
        }).filter(outcome -> outcome != null).toList();
        List<Long> detected = new ArrayList<>();
        outcomes.forEach(outcome -> detected.addAll(outcome.detected()));
        detected.sort(null);
        System.out.printf("%d schedules, %d without loss, %d false declarations in the others; a death is "
            + "detected after %.2f s (p50), %.2f s (p99); maximum sum of budget shares %.3f%n",
            outcomes.size(),
            outcomes.stream().filter(Schedule.Outcome::lossless).count(),
            outcomes.stream().mapToInt(Schedule.Outcome::falselyGone).sum(),
            detected.get(detected.size() / 2) / 1e6, detected.get(detected.size() * 99 / 100) / 1e6,
            outcomes.stream().mapToDouble(Schedule.Outcome::mostShare).max().orElse(0));
        assertEquals(List.of(), broken.stream().limit(20).toList(), broken.size() + " schedules failed");
    }

    /**
     * A member that restarts before it is suspected, and has lost its stored incarnation, learns its former
     * incarnation from its peers; otherwise they would ignore its view reports as old.
     */
    @Test
    void oneThatRestartsAtOnceWithALowerIncarnationIsTold() {
        for (int members : new int[] {2, 3, 12, 48}) {
            Simulation world = new Simulation(members, members, Membership::new, false);
            world.names.forEach(name -> world.start(name, 5));
            world.runUntil(10 * VirtualNetwork.SECOND);
            assertNull(world.disagreement());
            world.kill("n1");
            world.runUntil(world.now + 100 * VirtualNetwork.MILLI);
            world.start("n1", 1);
            world.runUntil(world.now + 8 * VirtualNetwork.SECOND);
            assertNull(world.disagreement(), members + " members");
            assertTrue(world.incarnations.get("n1") > 5, "expected an incarnation above the former one");
            assertEquals(0, world.falselyGone);
        }
    }

    /** Guards the checks themselves: the simulation detects each of the faulty variants. */
    @Test
    void eachBrokenMemberIsFoundOut() {
        BrokenMembers.all().forEach((what, maker) -> {
            String found = LongStream.rangeClosed(1, 1_000).mapToObj(seed -> {
                try {
                    Schedule.play(seed, maker, false);
                    return null;
                } catch (Simulation.Broken e) {
                    return "seed " + seed + ": " + e.getMessage();
                }
            }).filter(broken -> broken != null).findFirst().orElse(null);
            System.out.println("variant that " + what + ": " + found);
            assertNotNull(found, "variant that " + what + " is not detected by any schedule");
        });
    }
}
