package dockrelay.fleet.group;

import dockrelay.fleet.Membership;
import dockrelay.fleet.MemberList;
import dockrelay.fleet.MemberState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Who speaks for the own group: the first few that are present, in an order that all see alike and that no
 * zone or number decides. It follows from the own view alone: nobody is elected, and two views have speakers
 * of their own for as long as they differ.
 */
final class Speakers {
    /**
     * Each asks its part of the other groups and tells its part of the members: the more, the less each; but
     * all ask each other. So there are more where there are many groups, by the part that each then has.
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

    /** How many speak for each of so many groups. */
    static int most(int groups) {
        return Math.max(LEAST, Math.min(MOST, (groups + PART - 1) / PART));
    }

    /** The view has changed. */
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
     * Whose turn it is to ask for another group: 0 for the one whose part it is, which draws the highest
     * number for it, 1 for the next.
     */
    int rank(int key) {
        long mine = drawn(self, key);
        return (int) names().stream().filter(name -> drawn(name, key) > mine).count();
    }

    private static long drawn(String name, int key) {
        return GroupAssignment.mixed((long) MemberList.idOf(name) << 32 ^ key & 0xffffffffL);
    }
}
