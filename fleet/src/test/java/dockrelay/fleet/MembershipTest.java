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

class MembershipTest {
    /** `-Dfleet.schedule=SEED` plays one of them and tells all that happens. */
    private static final Long ONE = Long.getLong("fleet.schedule");
    private static final long SCHEDULES = Long.getLong("fleet.schedules", 10_000);

    /** Over all seeds: what must hold holds whatever breaks; the first that fails says how to see it. */
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
            + "known after %.2f s (p50), %.2f s (p99); most of a budget given out %.3f%n", outcomes.size(),
            outcomes.stream().filter(Schedule.Outcome::lossless).count(),
            outcomes.stream().mapToInt(Schedule.Outcome::falselyGone).sum(),
            detected.get(detected.size() / 2) / 1e6, detected.get(detected.size() * 99 / 100) / 1e6,
            outcomes.stream().mapToDouble(Schedule.Outcome::mostShare).max().orElse(0));
        assertEquals(List.of(), broken.stream().limit(20).toList(), broken.size() + " are broken");
    }

    /** Back before anybody missed it, without its folder: it is told what it was, and is heard again. */
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
            assertTrue(world.incarnations.get("n1") > 5, "it goes by a higher one than it ever had");
            assertEquals(0, world.falselyGone);
        }
    }

    /** A check that cannot fail proves nothing: members that are broken in one way each are found out. */
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
            System.out.println("one that " + what + ": " + found);
            assertNotNull(found, "one that " + what + " passes for a good one");
        });
    }
}
