package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MemberState;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A new member whose process starts before the other members have it on their lists. They do not answer it
 * yet, and it must not suspect them for that.
 */
class NewcomerTest {
    private static final int SIZE = 48;
    private static final long SETTLED = 15 * SECOND, TOLD_WITHIN = 6 * SECOND, AFTER = 10 * SECOND;

    /** Forwards all calls and records suspicions. */
    private record Noting(GroupedMembership.Callbacks to, String self, List<String> doubted) implements GroupedMembership.Callbacks {
        @Override
        public void send(String name, ByteBuffer datagram) {
            to.send(name, datagram);
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            if (change.newState() == MemberState.SUSPECT) {
                doubted.add(self + " sees " + change);
            }
            to.memberChanged(change);
        }

        @Override
        public void incarnationChanged(long own) {
            to.incarnationChanged(own);
        }

        @Override
        public void nameConflict(String name, String why) {
            to.nameConflict(name, why);
        }

        @Override
        public void memberLookupCompleted(String name, MemberStatus row) {
            to.memberLookupCompleted(name, row);
        }
    }

    private static GroupAssignment grouping(List<String> names) {
        return GroupAssignment.ofAnySize(Map.of("", names), SIZE);
    }

    /** Returns a fleet that has converged on one list, and records suspicions. */
    private static FleetWorld settled(long seed, List<String> names, List<String> doubted) {
        FleetWorld world = new FleetWorld(seed, grouping(names), (self, grouping, incarnation, life, pace,
            random, actions, now) -> new GroupedMembership(self, grouping, incarnation, life, pace, random,
                new Noting(actions, self, doubted), now), false, false);
        world.startAll(SECOND);
        world.runUntil(SETTLED);
        return world;
    }

    private static List<String> names(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("m" + i);
        }
        return names;
    }

    /** No member is suspected while the new list spreads. */
    @Test
    void nobodyIsDoubtedForNotKnowingItYet() {
        List<String> doubted = new ArrayList<>();
        for (int count : new int[] {3, 12, SIZE, 2 * SIZE}) {
            for (long seed = 1; seed <= 10; seed++) {
                List<String> names = names(count), more = new ArrayList<>(names);
                more.add("newcomer");
                FleetWorld world = settled(seed, names, doubted);
                doubted.clear(); // suspicions while the fleet started
                GroupAssignment next = grouping(more);
                world.start("newcomer", next, 1);
                names.forEach(name -> world.later((long) (world.random.nextDouble() * TOLD_WITHIN),
                    () -> world.configure(name, next)));
                world.runUntil(SETTLED + TOLD_WITHIN + AFTER);
                assertEquals(List.of(), doubted, "members: " + count + ", seed " + seed);
                assertEquals(0, world.falselyGone, world.lastFalse);
            }
        }
    }

    /**
     * A member known only from gossip becomes gone in the end, even if nobody else is left to detect its
     * death.
     */
    @Test
    void whoNeverAnswersItIsGoneToItInTheEnd() {
        List<String> names = names(2), more = new ArrayList<>(names);
        more.add("newcomer");
        FleetWorld world = settled(1, names, new ArrayList<>());
        names.forEach(name -> world.configure(name, grouping(more)));
        world.cut("newcomer", "m1", 1);
        world.cut("m1", "newcomer", 1);
        world.start("newcomer", grouping(more), 1);
        world.runUntil(SETTLED + SECOND);
        GroupedMembership newcomer = world.processes.get("newcomer").machine;
        assertEquals(MemberState.PRESENT, newcomer.state("m1"), "m1 should be present by the gossip of m0");
        names.forEach(world::kill);
        world.runUntil(SETTLED + AFTER / 2);
        assertEquals(MemberState.PRESENT, newcomer.state("m1"),
            "m1 should not be suspect yet, as it may not know the newcomer");
        assertNotEquals(MemberState.PRESENT, newcomer.state("m0"),
            "m0 should not be present, as it answered before and no longer does");
        // Without any answers the newcomer has poor local health, and therefore long time-outs.
        world.runUntil(SETTLED + 4 * AFTER);
        assertEquals(MemberState.GONE, newcomer.state("m0"));
        assertEquals(MemberState.GONE, newcomer.state("m1"));
    }
}
