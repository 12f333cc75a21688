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
 * One member's view of a fleet in groups: every member of its own group, and of the others what they say of
 * themselves. All times are microseconds of elapsed time, handed in. A fleet in one group is a
 * {@link Membership} and nothing else. docs/membership.md has what is asked of whom.
 */
public class GroupedMembership {
    /** What the machine has done. */
    public interface Callbacks extends Membership.Callbacks {
        /** What became of a question for a name: null where nobody who may know has answered. */
        void memberLookupCompleted(String name, MemberStatus row);
    }

    /** Members' doings go on to whoever owns this machine; some decide who speaks for the group. */
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
    private Between between; // null where all are in one group

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
            throw new IllegalArgumentException("the own name \"" + self + "\" is not among the members");
        }
        return of.memberNames(group);
    }

    private Between between(long now) {
        return new Between(this, self, grouping, own, pace, random, actions, now);
    }

    /** Goes by another list; what is known of members and groups on both is kept. */
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

    /** When the next tick is due. */
    public long nextTickAt() {
        return between == null ? own.nextTickAt() : Math.min(own.nextTickAt(), between.nextAt());
    }

    /** Does all that is due. */
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

    /** What a peer sent, by the name that its address has here; null where it has none. */
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

    /** Says goodbye. */
    public void leave(long now) {
        own.leave(now);
    }

    /** What this member may go by now, of the whole fleet. */
    public MembershipSnapshot snapshot(long now) {
        return between == null ? own.snapshot(now) : between.standing(now);
    }

    /** The members of the own group in order, as an operator is told of them. */
    public List<MemberStatus> memberStatuses(long now) {
        return own.memberStatuses(now);
    }

    /** All groups in order, as an operator is told of them. */
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

    /** Whether this member speaks for its group; in one group there is nobody to speak to. */
    public boolean isRepresentative() {
        return between != null && between.speaker();
    }

    /** Equal where two members of a group see the same ones of it. */
    public String digest() {
        return own.digest();
    }

    /** How far this member doubts itself, 0 to 8. */
    public int healthScore() {
        return own.health();
    }

    /** Datagrams that were not taken, by reason, since the last call. */
    public Map<String, Long> takeRefusalCounts() {
        Map<String, Long> result = new TreeMap<>(own.refused());
        if (between != null) {
            between.refused(result);
        }
        return result;
    }

    /** Asks for a member by name; it is told by {@link Callbacks#found}. */
    public void findMember(long now, String name) {
        if (between != null) {
            between.find(now, name);
        } else {
            actions.memberLookupCompleted(name, own.memberStatuses(now).stream().filter(row -> row.name().equals(name)).findFirst()
                .orElse(null));
        }
    }

    /** Whether these bytes are meant for this machine rather than somebody else on the same socket. */
    public static boolean isMembershipDatagram(byte first) {
        return Membership.ours(first) || first == Message.MAGIC;
    }

    // --- what broken ones in tests get wrong

    /** What is told in an answer was so no later than at the question. */
    long aged(long age, long trip) {
        return age + trip;
    }

    /** Whether a summary of this age still counts. */
    boolean fresh(long age) {
        return age <= pace.wordStale();
    }

    /** A group has one row, whoever tells it: the later word takes the place of the one before. */
    Summary taken(Summary before, long beforeAge, Summary told) {
        return told;
    }

    /** How many a group says count as there; it cannot have more than it has names. */
    int counted(Summary of, int names) {
        return Math.min(names, of.counted());
    }

    /** Whether a group told of has the names that it has here. */
    boolean sameNames(int told, int here) {
        return told == here;
    }

    /** Who is asked for another group, and for all groups within the own one. */
    String isRepresentative(int group, String chosen) {
        return chosen;
    }

    String source(String chosen) {
        return chosen;
    }

    MemberState state(String name) {
        return own.state(name);
    }

    Membership members() {
        return own;
    }

    /** How many rows of groups this member holds, its own table and those of its speakers. */
    int rowsHeld() {
        return between == null ? 0 : grouping.groupCount() - 1 + between.tables.held();
    }
}
