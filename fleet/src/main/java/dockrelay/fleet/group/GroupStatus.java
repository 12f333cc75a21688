package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot.Agreement;

/**
 * A group as an operator is told of it: what it said last of itself, how long ago at the most (below 0 where
 * it never did), whether that still counts and whether it goes by the same list; and the first of its members
 * that speak for it (null where that is not known).
 */
public record GroupStatus(String label, int configuredMembers, int presentMembers, int leftMembers, int goneMembers, int countedMembers,
                       Agreement agreement, long reportAge, boolean fresh, boolean sameMemberList, String representative) {
}
