package dockrelay.proxy;

import java.util.concurrent.TimeUnit;

/**
 * States what a process may still take and answer after it was asked to stop (SIGTERM), before it may be
 * killed (SIGKILL). Pure: all times are {@link System#nanoTime} values that the caller passes in.
 *
 * <p>Invariant: no answer that the kill could cut is begun to a request that came after
 * {@link #CUT_PERMITTED_MILLIS}. Such an answer is begun only once all of it is there and fits into what the
 * system keeps for the connection, which delivers it although the process is gone. All others fail.
 */
final class DrainPolicy {
    /**
     * SIGKILL follows SIGTERM after the longest deadline (at most this value) plus 0.7 s. The drain uses only
     * part of the 0.7 s, to leave a margin.
     */
    private static final long MAX_DEADLINE_MICROS = 3_000_000;
    private static final long EXTRA_DRAIN_MILLIS = 450;
    /**
     * A request that came up to 0.7 s after SIGTERM may be cut by the kill. The rest is for the time until
     * this process notices the signal.
     */
    static final long CUT_PERMITTED_MILLIS = 500;
    /** The system counts its overhead in the size of a send buffer, up to as much again as the data. */
    private static final int SEND_BUFFER_OVERHEAD_FACTOR = 2;

    /** How an answer is passed on. */
    enum AnswerMode {
        /** As it arrives. */
        STREAMED,
        /** Once all of it has arrived. */
        WHOLE
    }

    private final long stopNanos, endNanos;

    /** The policy of a process that was asked to stop at this time. */
    DrainPolicy(long stopNanos, long longestDeadlineMicros) {
        this.stopNanos = stopNanos;
        endNanos = stopNanos
            + TimeUnit.MICROSECONDS.toNanos(Math.min(longestDeadlineMicros, MAX_DEADLINE_MICROS))
            + TimeUnit.MILLISECONDS.toNanos(EXTRA_DRAIN_MILLIS);
    }

    /** The time left until all requests have to be answered. */
    long millisUntilEnd(long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos));
    }

    /** The time budget of a request, in microseconds: the requested one, or what is left of the drain. */
    long timeBudgetMicros(long requestedMicros, long nowNanos) {
        return Math.min(requestedMicros, TimeUnit.NANOSECONDS.toMicros(endNanos - nowNanos));
    }

    /** How the answer to a request is passed on whose last byte was read at this time. */
    AnswerMode answerMode(long requestReadNanos) {
        return requestReadNanos - stopNanos <= TimeUnit.MILLISECONDS.toNanos(CUT_PERMITTED_MILLIS)
            ? AnswerMode.STREAMED : AnswerMode.WHOLE;
    }

    /** The longest answer, in bytes, that a send buffer of this size surely holds. */
    static long maxWholeAnswerBytes(long sendBufferBytes) {
        return sendBufferBytes / SEND_BUFFER_OVERHEAD_FACTOR;
    }
}
