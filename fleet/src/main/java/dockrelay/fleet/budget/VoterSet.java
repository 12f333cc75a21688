package dockrelay.fleet.budget;

import java.util.Arrays;
import java.util.Set;

/**
 * The set of members whose votes count, in the version that a quorum of the previous set agreed on.
 * It is replicated state of the protocol and not read from the configuration. Versions are ordered by
 * term, then by number.
 */
record VoterSet(long term, long version, int[] memberIds) {
    VoterSet {
        Arrays.sort(memberIds);
    }

    boolean isNewerThan(VoterSet other) {
        return other == null || term > other.term || term == other.term && version > other.version;
    }

    /**
     * Whether the granted votes are a quorum of the voters that are not excluded: more than half of
     * them, or exactly half including the voter with the lowest id. Any two quorums have a voter in
     * common.
     */
    boolean isQuorum(Set<Integer> votes, Set<Integer> excluded) {
        int eligible = 0, granted = 0;
        boolean lowestIdVoted = false;
        for (int id : memberIds) {
            if (!excluded.contains(id)) {
                lowestIdVoted |= eligible++ == 0 && votes.contains(id);
                granted += votes.contains(id) ? 1 : 0;
            }
        }
        return 2 * granted > eligible || eligible > 0 && 2 * granted == eligible && lowestIdVoted;
    }

    boolean contains(int id) {
        return Arrays.binarySearch(memberIds, id) >= 0;
    }

    static VoterSet newerOf(VoterSet first, VoterSet second) {
        return second != null && second.isNewerThan(first) ? second : first;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VoterSet that && term == that.term && version == that.version
            && Arrays.equals(memberIds, that.memberIds);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(term * 31 + version);
    }
}
