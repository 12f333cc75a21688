package dockrelay.fleet.group;

import dockrelay.fleet.MemberList;
import dockrelay.fleet.MemberState;
import dockrelay.fleet.Membership;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The representatives of the own group: the first few present members in a pseudo-random order, which is the
 * same for all members and independent of zones and numbering. They follow from the member's own view
 * without an election; members with different views have different representatives until the views converge.
 */
final class Representatives {
    /**
     * Minimum and maximum number of representatives, and the number of groups per representative. More of
     * them share the queries to other groups and the answers to members, but all of them query each other.
     * So their number grows with the number of groups.
     */
    static final int MIN_COUNT = 5, MAX_COUNT = 12, GROUPS_PER_REPRESENTATIVE = 16;
    private static final long ORDER_SEED = 0x5eaceL;

    private final List<String> order;
    private final Membership membership;
    private final String self;
    private final int count;
    private List<String> current;

    Representatives(Membership membership, String self, List<String> names, int groupCount) {
        this.count = countFor(groupCount);
        this.membership = membership;
        this.self = self;
        this.order = new ArrayList<>(names);
        this.order.sort(Comparator.comparingLong((String name) ->
            GroupAssignment.mix(MemberList.idOf(name) ^ ORDER_SEED))
            .thenComparing(Comparator.naturalOrder()));
    }

    /** Returns the number of representatives per group in a fleet of this many groups. */
    static int countFor(int groupCount) {
        return Math.max(MIN_COUNT,
            Math.min(MAX_COUNT, (groupCount + GROUPS_PER_REPRESENTATIVE - 1) / GROUPS_PER_REPRESENTATIVE));
    }

    /** Discards the computed representatives after a change of the view. */
    void invalidate() {
        current = null;
    }

    /** Returns the names of the current representatives in order. */
    List<String> names() {
        if (current == null) {
            current = order.stream().filter(name -> membership.stateOf(name) == MemberState.PRESENT)
                .limit(count).toList();
        }
        return current;
    }

    boolean containsSelf() {
        return names().contains(self);
    }

    /** Returns the ids of the current representatives in order. */
    int[] ids() {
        return names().stream().mapToInt(MemberList::idOf).toArray();
    }

    /**
     * Returns this member's rank among the representatives for a group: 0 if the group is assigned to it, by
     * the highest hash (rendezvous hashing), 1 if it is the next one.
     */
    int ownRank(int groupKey) {
        long ownHash = hashFor(self, groupKey);
        return (int) names().stream().filter(name -> hashFor(name, groupKey) > ownHash).count();
    }

    private static long hashFor(String name, int groupKey) {
        return GroupAssignment.mix((long) MemberList.idOf(name) << 32 ^ groupKey & 0xffffffffL);
    }
}
