package dockrelay.fleet.budget;

import java.util.Arrays;
import java.util.Set;

/**
 * The set of members whose votes count, in the version that a quorum of the previous set agreed on.
 * It is replicated state of the protocol and not read from the configuration. Versions are ordered by
 * term, then by number.
 */
record Agreed(long term, long number, int[] ids) {
    Agreed {
        Arrays.sort(ids);
    }

    boolean newerThan(Agreed other) {
        return other == null || term > other.term || term == other.term && number > other.number;
    }

    /**
     * Whether the granted votes are a quorum of the voters that are not excluded: more than half of
     * them, or exactly half including the voter with the lowest id. Any two quorums have a voter in
     * common.
     */
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
