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

/** A name more, whose process is there before the others have been told of it. */
class NewcomerTest {
    private static final int SIZE = 48;
    private static final long SETTLED = 15 * SECOND, TOLD_WITHIN = 6 * SECOND, AFTER = 10 * SECOND;

    /** Passes all on and notes who is doubted. */
    private record Noting(GroupedMembership.Callbacks to, String self, List<String> doubted) implements GroupedMembership.Callbacks {
        @Override
        public void send(String name, ByteBuffer datagram) {
            to.send(name, datagram);
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            if (change.newState() == MemberState.SUSPECT) {
                doubted.add(self + " holds " + change);
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

    /** A fleet that has settled by one list, and whom its members came to doubt. */
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

    /** Who does not have its name yet does not answer it, and nobody is to think the worse of them. */
    @Test
    void nobodyIsDoubtedForNotKnowingItYet() {
        List<String> doubted = new ArrayList<>();
        for (int count : new int[] {3, 12, SIZE, 2 * SIZE}) {
            for (long seed = 1; seed <= 10; seed++) {
                List<String> names = names(count), more = new ArrayList<>(names);
                more.add("newcomer");
                FleetWorld world = settled(seed, names, doubted);
                doubted.clear(); // at the start of all
                GroupAssignment next = grouping(more);
                world.start("newcomer", next, 1);
                names.forEach(name -> world.later((long) (world.random.nextDouble() * TOLD_WITHIN),
                    () -> world.configure(name, next)));
                world.runUntil(SETTLED + TOLD_WITHIN + AFTER);
                assertEquals(List.of(), doubted, "of " + count + ", seed " + seed);
                assertEquals(0, world.falselyGone, world.lastFalse);
            }
        }
    }

    /** One that it only heard of, and that nobody else is there to find out about, is gone in time too. */
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
        assertEquals(MemberState.PRESENT, newcomer.state("m1"), "by what m0 says");
        names.forEach(world::kill);
        world.runUntil(SETTLED + AFTER / 2);
        assertEquals(MemberState.PRESENT, newcomer.state("m1"), "it may not know the newcomer yet");
        assertNotEquals(MemberState.PRESENT, newcomer.state("m0"), "it answered, and does no more");
        world.runUntil(SETTLED + 4 * AFTER); // one that hears nobody at all doubts itself and waits long
        assertEquals(MemberState.GONE, newcomer.state("m0"));
        assertEquals(MemberState.GONE, newcomer.state("m1"));
    }
}
