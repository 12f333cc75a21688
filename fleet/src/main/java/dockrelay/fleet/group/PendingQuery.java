package dockrelay.fleet.group;

/** A query that was sent. The age of what its reply reports is counted from the time of the query. */
final class PendingQuery {
    final int sequence, group; // the group is -1 if the query is not about a single group
    final GroupMessage.Kind kind;
    final String target;
    final long sentAt;
    final MemberLookup.Lookup lookup; // null unless the query is about a single member
    long timeoutAt;
    boolean answered;

    PendingQuery(int sequence, GroupMessage.Kind kind, String target, int group, MemberLookup.Lookup lookup,
        long sentAt, long timeoutAt) {
        this.sequence = sequence;
        this.kind = kind;
        this.target = target;
        this.group = group;
        this.lookup = lookup;
        this.sentAt = sentAt;
        this.timeoutAt = timeoutAt;
    }
}
