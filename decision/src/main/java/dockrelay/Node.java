package dockrelay;

/** A backend as this proxy knows it beyond its entry. */
final class Node {
    final Ring.Place place;
    boolean heard = true, out; // one that started long ago counts as heard from
    int inflight, overdue, connectFailures, connections;
    double badness, span, coldTokens;
    long unreachableUntil, connectFailedAt, badSince, markedAt, queuedAt, ejectedUntil, coldFilledAt;
    long drainedAt;

    Node(Ring.Place place) {
        this.place = place;
    }

    /** New, or restarted under the same id: cold, and nothing known holds. */
    void restart(long now, double tokens) {
        coldTokens = tokens;
        coldFilledAt = now;
        heard = out = false;
        badness = connectFailures = 0;
        ejectedUntil = unreachableUntil = 0;
    }
}
