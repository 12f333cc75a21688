package dockrelay.fleet.budget;

import java.util.Arrays;
import java.util.Set;

/** The names whose votes count, as agreed by a quorum of the names before: a fact, not a configuration. */
record Agreed(long term, long number, int[] ids) {
    Agreed {
        Arrays.sort(ids);
    }

    boolean newerThan(Agreed other) {
        return other == null || term > other.term || term == other.term && number > other.number;
    }

    /** More than half, or just half with the first one: any two quorums have somebody in common. */
    boolean quorum(Set<Integer> said, Set<Integer> but) {
        int of = 0, count = 0;
        boolean first = false;
        for (int id : ids) {
            if (!but.contains(id)) {
                first |= of++ == 0 && said.contains(id);
                count += said.contains(id) ? 1 : 0;
            }
        }
        return 2 * count > of || of > 0 && 2 * count == of && first;
    }

    boolean names(int id) {
        return Arrays.binarySearch(ids, id) >= 0;
    }

    static Agreed newer(Agreed one, Agreed other) {
        return other != null && other.newerThan(one) ? other : one;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Agreed agreed && term == agreed.term && number == agreed.number
            && Arrays.equals(ids, agreed.ids);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(term * 31 + number);
    }
}
