package dockrelay.fleet;

/**
 * A member's conclusions from its view at one moment: the number of members that share the work and its own
 * rank among them; the share of a fleet-wide budget that it may spend whatever views the others have; how
 * many members have the same view; and the maximum age of the reports of other groups that this is based on,
 * in microseconds (0 if all members are in one group).
 */
public record MembershipSnapshot(int countedMembers, int ownRank, double budgetShare, double minBudgetShare,
    Agreement agreement, int agreeingMembers, int presentMembers, int configuredMembers,
    long oldestReportAge) {
    /** Whether all present members, a majority of all members, or only a minority have the same view. */
    public enum Agreement { ALL, MAJORITY, MINORITY }
}
