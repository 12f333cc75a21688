package dockrelay.fleet;

/**
 * What a member may go by, at one moment: how many share the work and which of them it is, by number; the
 * part of a budget of all together that it may spend, whatever others believe; who shares its view; and how
 * old the oldest of what others told is that this rests on, in microseconds (0 where all are in one group).
 */
public record MembershipSnapshot(int countedMembers, int ownRank, double budgetShare, double minBudgetShare, Agreement agreement,
                       int agreeingMembers, int presentMembers, int configuredMembers, long oldestReportAge) {
    /** How many of the members see the same ones as this one does. */
    public enum Agreement { ALL, MAJORITY, MINORITY }
}
