package dockrelay.proxy;

/**
 * What the reads of a connection reveal about its peer. Bytes that have not been read yet may have been
 * written, and the connection closed behind them, at any time since the input was last empty. All times are
 * {@link System#nanoTime} values that the caller passes in.
 */
final class ClientInput {
    private long lastEmptyNanos;
    private long changeCount;
    private boolean empty = true, reading = true;

    ClientInput(long nowNanos) {
        lastEmptyNanos = nowNanos;
    }

    /** Bytes were read that arrived at the given time at the earliest, if the input was empty before. */
    void bytesRead(long earliestArrivalNanos) {
        leaveEmpty(earliestArrivalNanos);
    }

    /** A read found nothing: all that has arrived is read, and the peer has not closed the connection. */
    void readEmpty(long nowNanos) {
        empty = true;
        lastEmptyNanos = nowNanos;
    }

    /** From now on the input is not read. */
    void paused(long nowNanos) {
        leaveEmpty(nowNanos);
        reading = false;
    }

    /** From now on the input is read again. */
    void resumed() {
        reading = true;
        changeCount++;
    }

    private void leaveEmpty(long nowNanos) {
        changeCount++;
        if (empty) {
            empty = false;
            lastEmptyNanos = nowNanos;
        }
    }

    /** Grows with each read, pause and resumption. */
    long changeCount() {
        return changeCount;
    }

    /**
     * Notes that the input is empty if nothing has changed since the given count, while all connections with
     * input were read.
     */
    void confirmQuiet(long earlierChangeCount, long nowNanos) {
        if (reading && changeCount == earlierChangeCount) {
            readEmpty(nowNanos);
        }
    }

    /** Whether all that has arrived is read, and the input is read on. */
    boolean isEmpty() {
        return empty;
    }

    /** The latest time at which all that had arrived was read. */
    long lastEmptyNanos(long nowNanos) {
        return empty ? nowNanos : lastEmptyNanos;
    }
}
