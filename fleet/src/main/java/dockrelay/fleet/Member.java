package dockrelay.fleet;

/** A member as another one holds it. */
final class Member {
    final int index, id;
    final String name;
    MemberState state = MemberState.JOINING;
    long incarnation, since, changedAt, answeredAt = Long.MIN_VALUE / 2, syncedAt = Long.MIN_VALUE / 2;
    long listedAt; // on lists of names without a break since then
    long differsSince = -1, clashAt, askedAt = Long.MIN_VALUE / 2;
    int life, lastLife, lifeBefore, clashes; // a life is 0 while that of its incarnation is not known
    boolean doubled, hearsay;
    boolean knowsMe; // it has sent something itself, so this one's name is on its list
    boolean behind; // it goes by a lower incarnation than it once had, which others still know
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
