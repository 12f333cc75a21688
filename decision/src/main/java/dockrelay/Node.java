package dockrelay;

/** This proxy's own observations of a backend. */
final class Node {
    final Ring.Place place;
    boolean heard = true, out; // a backend that started long ago counts as answered
    int inflight, overdue, connectFailures, connections;
    double badness, span, coldTokens;
    long unreachableUntil, connectFailedAt, badSince, markedAt, queuedAt, ejectedUntil, coldFilledAt;
    long drainedAt;

    Node(Ring.Place place) {
        this.place = place;
    }

    /** Resets the state for a new backend or one restarted under the same id, which is cold. */
    void restart(long now, double tokens) {
        coldTokens = tokens;
        coldFilledAt = now;
        heard = out = false;
        badness = connectFailures = 0;
        ejectedUntil = unreachableUntil = 0;
    }
}
