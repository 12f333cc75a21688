package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot.Agreement;
import java.util.Arrays;

/**
 * A group's summary by one of its members: the group's key; hashes of the whole list, of the group's names
 * and of the view; the member counts; and the ids of the representatives in order.
 */
record GroupSummary(int key, int listHash, int namesHash, int viewHash, int presentMembers, int leftMembers,
    int goneMembers, int countedMembers, Agreement agreement, int agreeingMembers, int[] representatives,
    int reporterId) {
    /** Whether the two are equal in all that the table passes on to members. */
    boolean hasSameContent(GroupSummary other) {
        return other != null && key == other.key && listHash == other.listHash && namesHash == other.namesHash
            && presentMembers == other.presentMembers && leftMembers == other.leftMembers
            && goneMembers == other.goneMembers && countedMembers == other.countedMembers
            && agreement == other.agreement && agreeingMembers == other.agreeingMembers
            && firstRepresentative() == other.firstRepresentative();
    }

    /** Whether the two differ at most in the number of members that agree. */
    boolean differsOnlyInAgreeing(GroupSummary other) {
        return other != null && hasSameContent(other.withAgreeingMembers(agreeingMembers));
    }

    /** Returns a copy with this number of members that agree. */
    GroupSummary withAgreeingMembers(int count) {
        return new GroupSummary(key, listHash, namesHash, viewHash, presentMembers, leftMembers, goneMembers,
            countedMembers, agreement, count, representatives, reporterId);
    }

    /** Returns the id of the group's first representative, or 0 if not known. */
    int firstRepresentative() {
        return representatives.length == 0 ? 0 : representatives[0];
    }

    /** Whether the reporting member had the same view as only a minority of its group. */
    boolean isMinority() {
        return agreement == Agreement.MINORITY;
    }

    /**
     * Returns a copy with all representatives of an earlier summary if this one has only the first of them.
     */
    GroupSummary withRepresentativesOf(GroupSummary earlier) {
        return earlier == null || representatives.length > 1 || earlier.representatives.length < 2
            || earlier.firstRepresentative() != firstRepresentative() ? this
            : new GroupSummary(key, listHash, namesHash, viewHash, presentMembers, leftMembers, goneMembers,
            countedMembers, agreement, agreeingMembers, earlier.representatives, reporterId);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof GroupSummary summary && hasSameContent(summary)
            && viewHash == summary.viewHash && reporterId == summary.reporterId
            && Arrays.equals(representatives, summary.representatives);
    }

    @Override
    public int hashCode() {
        return 31 * key + viewHash;
    }
}
