package dockrelay.fleet;

/** A member's entry in another member's view. Times are in microseconds. */
final class Member {
    final int index, id;
    final String name;
    MemberState state = MemberState.JOINING;
    long incarnation, stateSince, presenceChangedAt, lastAckAt = Long.MIN_VALUE / 2,
        lastSyncAt = Long.MIN_VALUE / 2;
    long listedSince; // start of the time it has been on the member list without interruption
    long viewDiffersSince = -1, lastConflictAt, lastVerifyAt = Long.MIN_VALUE / 2;
    // instanceId is 0 while the process that uses the incarnation is unknown.
    int instanceId, lastInstanceId, previousInstanceId, conflicts;
    // Whether another process of the name uses the same incarnation, and whether the suspicion comes only
    // from a peer's report that it is gone.
    boolean duplicateIncarnation, suspectedOnGoneReport;
    boolean listsThisMember; // it has sent a datagram itself, so this member is on its list
    boolean incarnationBehind; // it uses a lower incarnation than the one that peers know of its name
    String reportedBy;
    Suspicion suspicion;

    Member(int index, MemberList memberList, long now, String reportedBy) {
        this.index = index;
        this.id = memberList.idAt(index);
        this.name = memberList.nameAt(index);
        this.stateSince = now;
        this.listedSince = now;
        this.presenceChangedAt = now;
        this.reportedBy = reportedBy;
    }
}
