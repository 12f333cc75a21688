package dockrelay.fleet;

/** A member's entry in another member's view. Times are in microseconds. */
final class Member {
    final int index, id;
    final String name;
    MemberState state = MemberState.JOINING;
    long incarnation, since, changedAt, answeredAt = Long.MIN_VALUE / 2, syncedAt = Long.MIN_VALUE / 2;
    long listedAt; // start of the time it has been on the member list without interruption
    long differsSince = -1, clashAt, askedAt = Long.MIN_VALUE / 2;
    int life, lastLife, lifeBefore, clashes; // life is 0 while the process of the incarnation is unknown
    boolean doubled, hearsay;
    boolean knowsMe; // it has sent a datagram itself, so this member is on its list
    boolean behind; // it uses a lower incarnation than the one that peers know of its name
    String by;
    Suspicion suspicion;

    Member(int index, MemberList roster, long now, String by) {
        this.index = index;
        this.id = roster.idAt(index);
        this.name = roster.nameAt(index);
        this.since = now;
        this.listedAt = now;
        this.changedAt = now;
        this.by = by;
    }
}
