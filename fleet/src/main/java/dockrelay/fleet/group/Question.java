package dockrelay.fleet.group;

/** One that was asked; an answer tells what was so when it was asked. */
final class Question {
    final int sequence, group; // below 0 where it is not of one group
    final Message.Kind kind;
    final String to;
    final long at;
    final Finder.Search search; // null where it is not for a name
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
