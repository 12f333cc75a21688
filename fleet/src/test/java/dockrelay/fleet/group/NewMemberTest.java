package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dockrelay.fleet.MemberState;
import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.MemberStatus;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A new member whose process starts before the other members have it on their lists. They do not answer it
 * yet, and it must not suspect them for that.
 */
class NewMemberTest {
    private static final int GROUP_SIZE = 48;
    private static final long STARTUP_TIME = 15 * SECOND, LIST_ROLLOUT_TIME = 6 * SECOND,
        OBSERVATION_TIME = 10 * SECOND;

    /** Forwards all calls and records suspicions. */
    private record RecordingCallbacks(GroupedMembership.Callbacks delegate, String self,
        List<String> suspicions) implements GroupedMembership.Callbacks {
        @Override
        public void send(String receiver, ByteBuffer datagram) {
            delegate.send(receiver, datagram);
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            if (change.newState() == MemberState.SUSPECT) {
                suspicions.add(self + " sees " + change);
            }
            delegate.memberChanged(change);
        }

        @Override
        public void incarnationChanged(long incarnation) {
            delegate.incarnationChanged(incarnation);
        }

        @Override
        public void nameConflict(String name, String reason) {
            delegate.nameConflict(name, reason);
        }

        @Override
        public void memberLookupCompleted(String name, MemberStatus status) {
            delegate.memberLookupCompleted(name, status);
        }
    }

    private static GroupAssignment assignment(List<String> names) {
        return GroupAssignment.ofAnySize(Map.of("", names), GROUP_SIZE);
    }

    /** Returns a fleet that has converged on one list, and records suspicions. */
    private static FleetSimulation convergedSimulation(long seed, List<String> names,
        List<String> suspicions) {
        FleetSimulation simulation = new FleetSimulation(seed, assignment(names),
            (self, assignment, incarnation, instanceId, timing, random, callbacks, now) ->
            new GroupedMembership(self, assignment, incarnation, instanceId, timing, random,
                new RecordingCallbacks(callbacks, self, suspicions), now), false, false);
        simulation.startAll(SECOND);
        simulation.runUntil(STARTUP_TIME);
        return simulation;
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
    void noMemberIsSuspectedWhileTheNewListSpreads() {
        List<String> suspicions = new ArrayList<>();
        for (int memberCount : new int[] {3, 12, GROUP_SIZE, 2 * GROUP_SIZE}) {
            for (long seed = 1; seed <= 10; seed++) {
                List<String> names = names(memberCount), extendedNames = new ArrayList<>(names);
                extendedNames.add("newcomer");
                FleetSimulation simulation = convergedSimulation(seed, names, suspicions);
                suspicions.clear(); // those from the start of the fleet
                GroupAssignment newAssignment = assignment(extendedNames);
                simulation.start("newcomer", newAssignment, 1);
                names.forEach(name -> simulation.schedule(
                    (long) (simulation.random.nextDouble() * LIST_ROLLOUT_TIME),
                    () -> simulation.configure(name, newAssignment)));
                simulation.runUntil(STARTUP_TIME + LIST_ROLLOUT_TIME + OBSERVATION_TIME);
                assertEquals(List.of(), suspicions, "members: " + memberCount + ", seed " + seed);
                assertEquals(0, simulation.falseDeclarations, simulation.lastFalseDeclaration);
            }
        }
    }

    /**
     * A member known only from gossip becomes gone in the end, even if nobody else is left to detect its
     * death.
     */
    @Test
    void memberKnownOnlyFromGossipBecomesGone() {
        List<String> names = names(2), extendedNames = new ArrayList<>(names);
        extendedNames.add("newcomer");
        FleetSimulation simulation = convergedSimulation(1, names, new ArrayList<>());
        names.forEach(name -> simulation.configure(name, assignment(extendedNames)));
        simulation.changeBlockCount("newcomer", "m1", 1);
        simulation.changeBlockCount("m1", "newcomer", 1);
        simulation.start("newcomer", assignment(extendedNames), 1);
        simulation.runUntil(STARTUP_TIME + SECOND);
        GroupedMembership newMember = simulation.processes.get("newcomer").membership;
        assertEquals(MemberState.PRESENT, newMember.stateOf("m1"),
            "m1 should be present by the gossip of m0");
        names.forEach(simulation::kill);
        simulation.runUntil(STARTUP_TIME + OBSERVATION_TIME / 2);
        assertEquals(MemberState.PRESENT, newMember.stateOf("m1"),
            "m1 should not be suspect yet, as it may not know the newcomer");
        assertNotEquals(MemberState.PRESENT, newMember.stateOf("m0"),
            "m0 should not be present, as it answered before and no longer does");
        // Without any answers the newcomer has poor local health, and therefore long time-outs.
        simulation.runUntil(STARTUP_TIME + 4 * OBSERVATION_TIME);
        assertEquals(MemberState.GONE, newMember.stateOf("m0"));
        assertEquals(MemberState.GONE, newMember.stateOf("m1"));
    }
}
