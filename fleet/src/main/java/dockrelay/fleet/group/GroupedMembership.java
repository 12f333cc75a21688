package dockrelay.fleet.group;

import dockrelay.fleet.MemberState;
import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.Membership;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.ProtocolTiming;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * One member's view of a fleet that is divided into groups: each member of its own group, and a summary of
 * each other group. A fleet in one group behaves exactly as a {@link Membership}. Like that one, this is a
 * state machine without I/O: the owner passes in the elapsed time in microseconds. Not thread-safe.
 * docs/membership.md describes the queries between groups.
 */
public class GroupedMembership {
    /** What the owner has to do for this state machine. Called on the thread that calls the state machine. */
    public interface Callbacks extends Membership.Callbacks {
        /**
         * Reports the result of {@link #findMember}; {@code status} is null if no member that may know the
         * name answered.
         */
        void memberLookupCompleted(String name, MemberStatus status);
    }

    /** Forwards to the owner's callbacks; a change in the own group may also change its representatives. */
    private final class ForwardingCallbacks implements Membership.Callbacks {
        @Override
        public void send(String receiver, ByteBuffer datagram) {
            callbacks.send(receiver, datagram);
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            if (interGroupProtocol != null) {
                interGroupProtocol.representatives.invalidate();
            }
            callbacks.memberChanged(change);
        }

        @Override
        public void incarnationChanged(long incarnation) {
            callbacks.incarnationChanged(incarnation);
        }

        @Override
        public void nameConflict(String name, String reason) {
            callbacks.nameConflict(name, reason);
        }
    }

    private final Membership ownMembership;
    private final String self;
    private final ProtocolTiming timing;
    private final Random random;
    private final Callbacks callbacks;
    private GroupAssignment assignment;
    private InterGroupProtocol interGroupProtocol; // null if all members are in one group

    /**
     * Starts the protocol at {@code now}; see {@link Membership} for the parameters.
     *
     * @throws IllegalArgumentException if {@code assignment} does not contain {@code self}
     */
    public GroupedMembership(String self, GroupAssignment assignment, long incarnation, int instanceId,
        ProtocolTiming timing, Random random, Callbacks callbacks, long now) {
        this.self = self;
        this.assignment = assignment;
        this.timing = timing;
        this.random = random;
        this.callbacks = callbacks;
        this.ownMembership = new Membership(self, ownGroupNames(assignment), incarnation, instanceId, timing,
            random, new ForwardingCallbacks(), now);
        if (!assignment.isSingleGroup()) {
            interGroupProtocol = newInterGroupProtocol(now);
        }
    }

    private List<String> ownGroupNames(GroupAssignment assignment) {
        int group = assignment.groupOf(self);
        if (group < 0) {
            throw new IllegalArgumentException("own name \"" + self + "\" is not in the list of members");
        }
        return assignment.memberNames(group);
    }

    private InterGroupProtocol newInterGroupProtocol(long now) {
        return new InterGroupProtocol(this, self, assignment, ownMembership, timing, random, callbacks, now);
    }

    /** Replaces the list of members; the state of members and groups that are on both lists is kept. */
    public void configure(long now, GroupAssignment newAssignment) {
        List<String> newNames = ownGroupNames(newAssignment), oldNames = ownGroupNames(assignment);
        InterGroupProtocol oldProtocol = interGroupProtocol;
        if (newAssignment.isSingleGroup() && assignment.isSingleGroup() || !newNames.equals(oldNames)) {
            ownMembership.configure(now, newNames);
        }
        assignment = newAssignment;
        interGroupProtocol = newAssignment.isSingleGroup() ? null : newInterGroupProtocol(now);
        if (interGroupProtocol != null && oldProtocol != null) {
            interGroupProtocol.table.copyFrom(oldProtocol.table);
        }
        if (oldProtocol != null) {
            oldProtocol.close();
        }
    }

    /** Returns the time at which {@link #tick} is due next, in microseconds. */
    public long nextTickAt() {
        return interGroupProtocol == null ? ownMembership.nextTickAt()
            : Math.min(ownMembership.nextTickAt(), interGroupProtocol.nextTickAt());
    }

    /** Runs everything that is due in the own group and between groups. */
    public void tick(long now) {
        if (interGroupProtocol == null) {
            ownMembership.tick(now);
            return;
        }
        if (now >= ownMembership.nextTickAt()) {
            ownMembership.tick(now);
        }
        interGroupProtocol.tick(now);
    }

    /**
     * Handles a datagram from a peer, within the group or between groups.
     *
     * @param from the member name that the sender's address has on this side; null if it has none
     */
    public void receive(long now, String from, ByteBuffer datagram) {
        if (interGroupProtocol == null) {
            ownMembership.receive(now, from, datagram);
        } else if (datagram.hasRemaining()
            && datagram.get(datagram.position()) == GroupMessage.FIRST_MAGIC_BYTE) {
            interGroupProtocol.receive(now, from, datagram);
        } else if (from != null && assignment.groupOf(from) >= 0
            && assignment.groupOf(from) != interGroupProtocol.ownGroup) {
            ownMembership.receiveFromUnlisted(now, from, datagram);
        } else {
            ownMembership.receive(now, from, datagram);
        }
    }

    /** Leaves the fleet: announces it to members of the own group. */
    public void leave(long now) {
        ownMembership.leave(now);
    }

    /** Returns the counts, agreement and budget share at {@code now}, over the whole fleet. */
    public MembershipSnapshot snapshot(long now) {
        return interGroupProtocol == null ? ownMembership.snapshot(now) : interGroupProtocol.snapshot(now);
    }

    /** Returns the status of the members of the own group, in the order of the list, for operators. */
    public List<MemberStatus> memberStatuses(long now) {
        return ownMembership.memberStatuses(now);
    }

    /** Returns the status of all groups in order, for operators. */
    public List<GroupStatus> groupStatuses(long now) {
        if (interGroupProtocol != null) {
            return interGroupProtocol.groupStatuses(now);
        }
        MembershipSnapshot snapshot = ownMembership.snapshot(now);
        int leftMembers = 0, goneMembers = 0;
        for (String name : assignment.memberNames(0)) {
            leftMembers += ownMembership.stateOf(name) == MemberState.LEFT ? 1 : 0;
            goneMembers += ownMembership.stateOf(name) == MemberState.GONE ? 1 : 0;
        }
        return List.of(new GroupStatus(assignment.label(0), snapshot.configuredMembers(),
            snapshot.presentMembers(), leftMembers, goneMembers, snapshot.countedMembers(),
            snapshot.agreement(), 0, true, true, self));
    }

    /** Whether this member is a representative of its group; false if there is only one group. */
    public boolean isRepresentative() {
        return interGroupProtocol != null && interGroupProtocol.isRepresentative();
    }

    /** Returns a hash of the view of the own group, in hexadecimal. */
    public String digest() {
        return ownMembership.digest();
    }

    /** Returns the local health score of Lifeguard: 0 is healthy, 8 the worst. */
    public int healthScore() {
        return ownMembership.healthScore();
    }

    /** Returns the number of refused datagrams by reason since the last call, and resets the counts. */
    public Map<String, Long> takeRefusalCounts() {
        Map<String, Long> result = new TreeMap<>(ownMembership.takeRefusalCounts());
        if (interGroupProtocol != null) {
            interGroupProtocol.takeRefusalCounts(result);
        }
        return result;
    }

    /** Looks up a member by name; the result is passed to {@link Callbacks#memberLookupCompleted}. */
    public void findMember(long now, String name) {
        if (interGroupProtocol != null) {
            interGroupProtocol.findMember(now, name);
        } else {
            callbacks.memberLookupCompleted(name, ownMembership.memberStatuses(now).stream()
                .filter(status -> status.name().equals(name)).findFirst().orElse(null));
        }
    }

    /** Whether a datagram with this first byte belongs to this protocol; other protocols share the socket. */
    public static boolean isMembershipDatagram(byte firstByte) {
        return Membership.isMembershipDatagram(firstByte) || firstByte == GroupMessage.FIRST_MAGIC_BYTE;
    }

    // --- rules that tests override with faulty ones

    /** Adds the whole round trip to a reported age: the answer may have been composed right at its start. */
    long ageAfterRoundTrip(long age, long roundTrip) {
        return age + roundTrip;
    }

    /** Whether a summary of this age is recent enough to count. */
    boolean isFresh(long age) {
        return age <= timing.reportExpiry();
    }

    /** A group has one row, whoever reports it: a newer summary replaces the one before. */
    GroupSummary mergeSummary(GroupSummary stored, long storedAge, GroupSummary received) {
        return received;
    }

    /** Returns the number of members that a group counts, limited to the number of its names. */
    int countedMembers(GroupSummary summary, int nameCount) {
        return Math.min(nameCount, summary.countedMembers());
    }

    /** Whether a group has the same names in a received summary as on this member's list. */
    boolean hasSameNames(int receivedHash, int ownHash) {
        return receivedHash == ownHash;
    }

    /** Returns the member of another group to query for that group: the selected one. */
    String groupQueryTarget(int group, String selected) {
        return selected;
    }

    /** Returns the member of the own group to query for the table of all groups: the selected one. */
    String tableQueryTarget(String selected) {
        return selected;
    }

    MemberState stateOf(String name) {
        return ownMembership.stateOf(name);
    }

    Membership ownMembership() {
        return ownMembership;
    }

    /**
     * Returns the number of group rows held, in this member's table and its copies of other members' tables.
     */
    int heldRows() {
        return interGroupProtocol == null ? 0
            : assignment.groupCount() - 1 + interGroupProtocol.tableClient.heldRows();
    }
}
