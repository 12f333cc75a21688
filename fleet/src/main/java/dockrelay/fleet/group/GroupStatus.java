package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot.Agreement;

/**
 * A group's status for operators: the counts of its latest summary, the summary's maximum age in
 * microseconds (negative if there is none), whether it is recent enough to count, whether the group has the
 * same list, and the first of its representatives (null if not known).
 */
public record GroupStatus(String label, int configuredMembers, int presentMembers, int leftMembers,
    int goneMembers, int countedMembers, Agreement agreement, long reportAge, boolean fresh,
    boolean sameMemberList, String representative) {
}
