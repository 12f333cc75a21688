package dockrelay.fleet.group;

/** A query that was sent. The age of what its reply reports is counted from the time of the query. */
final class Question {
    final int sequence, group; // the group is -1 if the query is not about a single group
    final Message.Kind kind;
    final String to;
    final long at;
    final Finder.Search search; // null unless the query is about a single member
    long failAt;
    boolean answered;

    Question(int sequence, Message.Kind kind, String to, int group, Finder.Search search, long at,
             long failAt) {
        this.sequence = sequence;
        this.kind = kind;
        this.to = to;
        this.group = group;
        this.search = search;
        this.at = at;
        this.failAt = failAt;
    }
}
