package dockrelay.fleet.group;

import dockrelay.fleet.Membership;
import dockrelay.fleet.MemberList;
import dockrelay.fleet.MemberState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The representatives of the own group: the first few present members in a pseudo-random order, which is the
 * same for all members and independent of zones and numbering. They follow from the member's own view
 * without an election; members with different views have different representatives until the views converge.
 */
final class Speakers {
    /**
     * Minimum and maximum number of representatives, and the number of groups per representative. More of
     * them share the queries to other groups and the answers to members, but all of them query each other.
     * So their number grows with the number of groups.
     */
    static final int LEAST = 5, MOST = 12, PART = 16;
    private static final long ORDER = 0x5eaceL;

    private final List<String> order;
    private final Membership members;
    private final String self;
    private final int most;
    private List<String> now;

    Speakers(Membership members, String self, List<String> names, int groups) {
        this.most = most(groups);
        this.members = members;
        this.self = self;
        this.order = new ArrayList<>(names);
        this.order.sort(Comparator.comparingLong((String name) -> GroupAssignment.mixed(MemberList.idOf(name) ^ ORDER))
            .thenComparing(Comparator.naturalOrder()));
    }

    /** Returns the number of representatives per group in a fleet of this many groups. */
    static int most(int groups) {
        return Math.max(LEAST, Math.min(MOST, (groups + PART - 1) / PART));
    }

    /** Discards the computed representatives after a change of the view. */
    void changed() {
        now = null;
    }

    List<String> names() {
        if (now == null) {
            now = order.stream().filter(name -> members.state(name) == MemberState.PRESENT).limit(most)
                .toList();
        }
        return now;
    }

    boolean mine() {
        return names().contains(self);
    }

    int[] ids() {
        return names().stream().mapToInt(MemberList::idOf).toArray();
    }

    /**
     * Returns this member's rank among the representatives for a group: 0 if the group is assigned to it, by
     * the highest hash (rendezvous hashing), 1 if it is the next one.
     */
    int rank(int key) {
        long mine = drawn(self, key);
        return (int) names().stream().filter(name -> drawn(name, key) > mine).count();
    }

    private static long drawn(String name, int key) {
        return GroupAssignment.mixed((long) MemberList.idOf(name) << 32 ^ key & 0xffffffffL);
    }
}
