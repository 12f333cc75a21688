package dockrelay.fleet.group;

import dockrelay.fleet.Membership;
import dockrelay.fleet.Roster;
import dockrelay.fleet.State;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Who speaks for the own group: the first few that are present, in an order that all see alike and that no
 * zone or number decides. It follows from the own view alone: nobody is elected, and two views have speakers
 * of their own for as long as they differ.
 */
final class Speakers {
    /** Each asks its part of the other groups and tells its part of the members: the more, the less each. */
    static final int SPEAKERS = 5;
    private static final long ORDER = 0x5eaceL;

    private final List<String> order;
    private final Membership members;
    private final String self;
    private List<String> now;

    Speakers(Membership members, String self, List<String> names) {
        this.members = members;
        this.self = self;
        this.order = new ArrayList<>(names);
        this.order.sort(Comparator.comparingLong((String name) -> Grouping.mixed(Roster.id(name) ^ ORDER))
            .thenComparing(Comparator.naturalOrder()));
    }

    /** The view has changed. */
    void changed() {
        now = null;
    }

    List<String> names() {
        if (now == null) {
            now = order.stream().filter(name -> members.state(name) == State.PRESENT).limit(SPEAKERS)
                .toList();
        }
        return now;
    }

    boolean mine() {
        return names().contains(self);
    }

    int[] ids() {
        return names().stream().mapToInt(Roster::id).toArray();
    }

    /** Which of them asks for another group: the one that draws the highest number for it. */
    String asking(int key) {
        String best = null;
        long highest = 0;
        for (String name : names()) {
            long drawn = Grouping.mixed((long) Roster.id(name) << 32 ^ key & 0xffffffffL);
            if (best == null || drawn > highest) {
                best = name;
                highest = drawn;
            }
        }
        return best;
    }
}
