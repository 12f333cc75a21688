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
    private static final Long SINGLE_SEED = Long.getLong("fleet.schedule");
    private static final long SCHEDULE_COUNT = Long.getLong("fleet.schedules", 10_000);

    /** The invariants hold in all schedules; a failure names the seed with which to reproduce it. */
    @Test
    void invariantsHoldInRandomFaultSchedules() {
        if (SINGLE_SEED != null) {
            System.out.println(FaultSchedule.run(SINGLE_SEED, Membership::new, true));
            return;
        }
        ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
        List<FaultSchedule.Outcome> outcomes = LongStream.rangeClosed(1, SCHEDULE_COUNT).parallel()
            .mapToObj(seed -> {
            try {
                return FaultSchedule.run(seed, Membership::new, false);
            } catch (RuntimeException e) {
                failures.add("-Dfleet.schedule=" + seed + ": " + e.getMessage());
                return null;
            }
        }).filter(outcome -> outcome != null).toList();
        List<Long> detectionTimes = new ArrayList<>();
        outcomes.forEach(outcome -> detectionTimes.addAll(outcome.detectionTimes()));
        detectionTimes.sort(null);
        System.out.printf("%d schedules, %d without loss, %d false declarations in the others; a death is "
            + "detected after %.2f s (p50), %.2f s (p99); maximum sum of budget shares %.3f%n",
            outcomes.size(), outcomes.stream().filter(FaultSchedule.Outcome::lossless).count(),
            outcomes.stream().mapToInt(FaultSchedule.Outcome::falseDeclarations).sum(),
            detectionTimes.get(detectionTimes.size() / 2) / 1e6,
            detectionTimes.get(detectionTimes.size() * 99 / 100) / 1e6,
            outcomes.stream().mapToDouble(FaultSchedule.Outcome::maxShareSum).max().orElse(0));
        assertEquals(List.of(), failures.stream().limit(20).toList(), failures.size() + " schedules failed");
    }

    /**
     * A member that restarts before it is suspected, and has lost its stored incarnation, learns its former
     * incarnation from its peers; otherwise they would ignore its view reports as old.
     */
    @Test
    void quickRestartWithLowerIncarnationIsCorrectedByPeers() {
        for (int memberCount : new int[] {2, 3, 12, 48}) {
            MembershipSimulation simulation = new MembershipSimulation(memberCount, memberCount,
                Membership::new, false);
            simulation.names.forEach(name -> simulation.start(name, 5));
            simulation.runUntil(10 * VirtualNetwork.SECOND);
            assertNull(simulation.disagreement());
            simulation.kill("n1");
            simulation.runUntil(simulation.now + 100 * VirtualNetwork.MILLISECOND);
            simulation.start("n1", 1);
            simulation.runUntil(simulation.now + 8 * VirtualNetwork.SECOND);
            assertNull(simulation.disagreement(), memberCount + " members");
            assertTrue(simulation.incarnations.get("n1") > 5, "expected an incarnation above the former one");
            assertEquals(0, simulation.falseDeclarations);
        }
    }

    /** Guards the checks themselves: the simulation detects each of the faulty variants. */
    @Test
    void simulationDetectsEachFaultyVariant() {
        FaultyMemberships.variants().forEach((defect, factory) -> {
            String violation = LongStream.rangeClosed(1, 1_000).mapToObj(seed -> {
                try {
                    FaultSchedule.run(seed, factory, false);
                    return null;
                } catch (MembershipSimulation.InvariantViolation e) {
                    return "seed " + seed + ": " + e.getMessage();
                }
            }).filter(message -> message != null).findFirst().orElse(null);
            System.out.println("variant that " + defect + ": " + violation);
            assertNotNull(violation, "variant that " + defect + " is not detected by any schedule");
        });
    }
}
