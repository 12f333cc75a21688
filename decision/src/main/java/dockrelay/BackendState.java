package dockrelay;

/** This proxy's own observations of a backend. */
final class BackendState {
    final Ring.Slot slot;
    boolean answered = true, ejected; // a backend that started long ago counts as answered
    int inFlight, overdueAttempts, connectErrors, connections; // available while it is unreachable
    double failureScore, backoff, coldTokens; // length of the last ejection; send tokens while it is cold
    long unreachableUntil, connectFailedAt, failingSince, scoredAt, queuedAt, ejectedUntil, coldRefilledAt;
    long drainNoticeAt;

    BackendState(Ring.Slot slot) {
        this.slot = slot;
    }

    /** Resets the state for a new backend or one restarted under the same id, which is cold. */
    void restart(long now, double initialTokens) {
        coldTokens = initialTokens;
        coldRefilledAt = now;
        answered = ejected = false;
        failureScore = connectErrors = 0;
        ejectedUntil = unreachableUntil = 0;
    }
}
