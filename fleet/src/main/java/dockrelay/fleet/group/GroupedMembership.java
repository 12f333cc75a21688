package dockrelay.fleet.group;

import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.Membership;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MemberState;
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
         * Reports the result of {@link #find}; {@code row} is null if nobody who may know the name answered.
         */
        void memberLookupCompleted(String name, MemberStatus row);
    }

    /** Forwards to the owner's callbacks; a change in the own group may also change its representatives. */
    private final class Passed implements Membership.Callbacks {
        @Override
        public void send(String to, ByteBuffer datagram) {
            actions.send(to, datagram);
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            if (between != null) {
                between.speakers.changed();
            }
            actions.memberChanged(change);
        }

        @Override
        public void incarnationChanged(long incarnation) {
            actions.incarnationChanged(incarnation);
        }

        @Override
        public void nameConflict(String name, String why) {
            actions.nameConflict(name, why);
        }
    }

    private final Membership own;
    private final String self;
    private final ProtocolTiming pace;
    private final Random random;
    private final Callbacks actions;
    private GroupAssignment grouping;
    private Between between; // null if all members are in one group

    /**
     * Starts the protocol at {@code now}; see {@link Membership} for the parameters.
     *
     * @throws IllegalArgumentException if {@code grouping} does not contain {@code self}
     */
    public GroupedMembership(String self, GroupAssignment grouping, long incarnation, int life, ProtocolTiming pace, Random random,
                  Callbacks actions, long now) {
        this.self = self;
        this.grouping = grouping;
        this.pace = pace;
        this.random = random;
        this.actions = actions;
        this.own = new Membership(self, names(grouping), incarnation, life, pace, random, new Passed(), now);
        if (!grouping.isSingleGroup()) {
            between = between(now);
        }
    }

    private List<String> names(GroupAssignment of) {
        int group = of.groupOf(self);
        if (group < 0) {
            throw new IllegalArgumentException("own name \"" + self + "\" is not in the list of members");
        }
        return of.memberNames(group);
    }

    private Between between(long now) {
        return new Between(this, self, grouping, own, pace, random, actions, now);
    }

    /** Replaces the list of members; the state of members and groups that are on both lists is kept. */
    public void configure(long now, GroupAssignment next) {
        List<String> names = names(next), namesBefore = names(grouping);
        Between before = between;
        if (next.isSingleGroup() && grouping.isSingleGroup() || !names.equals(namesBefore)) {
            own.configure(now, names);
        }
        grouping = next;
        between = next.isSingleGroup() ? null : between(now);
        if (between != null && before != null) {
            between.table.keep(before.table);
        }
        if (before != null) {
            before.end();
        }
    }

    /** Returns the time at which {@link #tick} is due next, in microseconds. */
    public long nextTickAt() {
        return between == null ? own.nextTickAt() : Math.min(own.nextTickAt(), between.nextAt());
    }

    /** Runs everything that is due in the own group and between groups. */
    public void tick(long now) {
        if (between == null) {
            own.tick(now);
            return;
        }
        if (now >= own.nextTickAt()) {
            own.tick(now);
        }
        between.tick(now);
    }

    /**
     * Handles a datagram from a peer, within the group or between groups.
     *
     * @param from the member name that the sender's address has on this side; null if it has none
     */
    public void receive(long now, String from, ByteBuffer datagram) {
        if (between == null) {
            own.receive(now, from, datagram);
        } else if (datagram.hasRemaining() && datagram.get(datagram.position()) == Message.MAGIC) {
            between.receive(now, from, datagram);
        } else if (from != null && grouping.groupOf(from) >= 0 && grouping.groupOf(from) != between.own) {
            own.answerForeign(now, from, datagram);
        } else {
            own.receive(now, from, datagram);
        }
    }

    /** Leaves the fleet: announces it to members of the own group. */
    public void leave(long now) {
        own.leave(now);
    }

    /** Returns the counts, agreement and budget share at {@code now}, over the whole fleet. */
    public MembershipSnapshot snapshot(long now) {
        return between == null ? own.snapshot(now) : between.standing(now);
    }

    /** Returns the status of the members of the own group, in the order of the list, for operators. */
    public List<MemberStatus> memberStatuses(long now) {
        return own.memberStatuses(now);
    }

    /** Returns the status of all groups in order, for operators. */
    public List<GroupStatus> groupStatuses(long now) {
        if (between != null) {
            return between.rows(now);
        }
        MembershipSnapshot here = own.snapshot(now);
        int left = 0, gone = 0;
        for (String name : grouping.memberNames(0)) {
            left += own.state(name) == MemberState.LEFT ? 1 : 0;
            gone += own.state(name) == MemberState.GONE ? 1 : 0;
        }
        return List.of(new GroupStatus(grouping.label(0), here.configuredMembers(), here.presentMembers(), left, gone,
            here.countedMembers(), here.agreement(), 0, true, true, self));
    }

    /** Whether this member is a representative of its group; false if there is only one group. */
    public boolean isRepresentative() {
        return between != null && between.speaker();
    }

    /** Returns a hash of the view of the own group, in hexadecimal. */
    public String digest() {
        return own.digest();
    }

    /** Returns the local health score of Lifeguard: 0 is healthy, 8 the worst. */
    public int healthScore() {
        return own.health();
    }

    /** Returns the number of rejected datagrams by reason since the last call, and resets the counts. */
    public Map<String, Long> takeRefusalCounts() {
        Map<String, Long> result = new TreeMap<>(own.refused());
        if (between != null) {
            between.refused(result);
        }
        return result;
    }

    /** Looks up a member by name; the result is passed to {@link Callbacks#found}. */
    public void findMember(long now, String name) {
        if (between != null) {
            between.find(now, name);
        } else {
            actions.memberLookupCompleted(name, own.memberStatuses(now).stream().filter(row -> row.name().equals(name)).findFirst()
                .orElse(null));
        }
    }

    /** Whether a datagram with this first byte belongs to this protocol; other protocols share the socket. */
    public static boolean isMembershipDatagram(byte first) {
        return Membership.ours(first) || first == Message.MAGIC;
    }

    // --- rules that tests override with faulty ones

    /** Adds the whole round trip to a reported age: the answer may have been composed right at its start. */
    long aged(long age, long trip) {
        return age + trip;
    }

    /** Whether a summary of this age is recent enough to count. */
    boolean fresh(long age) {
        return age <= pace.wordStale();
    }

    /** A group has one row, whoever reports it: a newer summary replaces the one before. */
    Summary taken(Summary before, long beforeAge, Summary told) {
        return told;
    }

    /** Returns the number of members that a group counts, limited to the number of its names. */
    int counted(Summary of, int names) {
        return Math.min(names, of.counted());
    }

    /** Whether a group has the same names in a received summary as on this member's list. */
    boolean sameNames(int told, int here) {
        return told == here;
    }

    /** Returns the member of another group to query for that group. */
    String isRepresentative(int group, String chosen) {
        return chosen;
    }

    /** Returns the member of the own group to query for the table of all groups. */
    String source(String chosen) {
        return chosen;
    }

    MemberState state(String name) {
        return own.state(name);
    }

    Membership members() {
        return own;
    }

    /**
     * Returns the number of group rows held, in this member's table and its copies of other members' tables.
     */
    int rowsHeld() {
        return between == null ? 0 : grouping.groupCount() - 1 + between.tables.held();
    }
}
