package dockrelay.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Decides, for a request whose body is streamed, when its client is read and until when it may be answered.
 * A pure state machine: all times are {@link System#nanoTime} values that the caller passes in.
 *
 * <p>Invariant: a request is answered within its time budget, counted from the earliest moment at which its
 * client can have written its last byte, whether or not that byte has been read, plus
 * {@link #UNCERTAINTY_NANOS}, or from the moment at which that byte was read, if this is earlier; and no
 * attempt begins when the client may have closed its connection more than {@link #MAX_PRESENCE_AGE_NANOS}
 * ago.
 *
 * <p>While the backend accepts nothing, the client is not read, and nothing is known of it. The body is then
 * read ahead, into memory and up to a limit, once half of the time budget has passed and before each attempt.
 * If this empties the input, the client has not written the end of its request yet, and is still connected.
 */
final class UploadMonitor {
    /** An attempt must not begin later than 100 ms after the client's close; sending it takes a moment. */
    static final long MAX_PRESENCE_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /**
     * An answer is lost only half a second after its time. While it is not known when the client has written
     * its request, this part of it is used, as most clients have not done so at the earliest moment.
     */
    private static final long UNCERTAINTY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Upper bound that Linux sets on a send buffer by default (tcp_wmem). */
    private static final long MAX_SEND_BUFFER_BYTES = 4 << 20;
    /** Size of the receive buffers of client connections. */
    static final int RECEIVE_BUFFER_BYTES = 256 << 10;
    /** The kernel doubles the size of a buffer that is set, to allow for its overhead. */
    private static final int BUFFER_OVERHEAD_FACTOR = 2;
    /** The most that has arrived at this machine without being read. */
    static final long MAX_UNREAD_HERE_BYTES = BUFFER_OVERHEAD_FACTOR * RECEIVE_BUFFER_BYTES;
    /** The most that a client can have written without being read. */
    static final long MAX_UNREAD_BYTES = MAX_SEND_BUFFER_BYTES + MAX_UNREAD_HERE_BYTES;
    /** Reading ahead begins when the time budget divided by this number has passed. */
    private static final int READ_AHEAD_DIVISOR = 2;
    /** From then on it is tried again each time the time budget divided by this number has passed. */
    private static final int RETRY_DIVISOR = 8;

    /** What the time demands. */
    enum Step {
        /** Nothing. */
        NONE,
        /** The attempts have to end, so that the request can still be answered by what they have reached. */
        END_ATTEMPTS,
        /** The request has to be answered. */
        RESPOND
    }

    /** Whether the client is still connected. */
    enum Presence {
        /** It was, a moment ago. */
        PRESENT,
        /** It is being read to find out. */
        PENDING,
        /** The limit on reading ahead keeps it from being found out. */
        UNKNOWN
    }

    /** The deadlines of a request, in nanoseconds from its last byte. */
    record Deadlines(long budgetNanos, long attemptNanos, long responseNanos) {
        /** The deadlines for a time budget in microseconds. */
        static Deadlines ofBudgetMicros(long budgetMicros) {
            return new Deadlines(TimeUnit.MICROSECONDS.toNanos(budgetMicros),
                TimeUnit.MICROSECONDS.toNanos(RequestTable.attemptDeadline(budgetMicros)),
                TimeUnit.MICROSECONDS.toNanos(RequestTable.responseDeadline(budgetMicros)));
        }
    }

    private final ClientInput input;
    private final Deadlines deadlines;
    private final long declaredBytes, maxReadAheadBytes;
    private long receivedBytes, readAheadBytes;
    private long lastIncompleteNanos; // when more bytes were missing than the kernel can hold
    private long endNanos, readNanos; // the earliest end of the request, and when it was read completely
    private boolean sinkWritable = true, readingAhead, exhausted, complete;

    /**
     * Starts when the body begins to be streamed.
     *
     * @param declaredBytes length of the body, negative if it is not declared
     * @param receivedBytes bytes of the body that have been read already
     * @param maxReadAheadBytes limit on the bytes that are read although the backend accepts none
     */
    UploadMonitor(ClientInput input, Deadlines deadlines, long declaredBytes, long receivedBytes,
                  long maxReadAheadBytes, long nowNanos) {
        this.input = input;
        this.deadlines = deadlines;
        this.declaredBytes = declaredBytes;
        this.receivedBytes = receivedBytes;
        this.maxReadAheadBytes = maxReadAheadBytes;
        this.lastIncompleteNanos = input.lastEmptyNanos(nowNanos);
        noteIncomplete(nowNanos);
    }

    /** Bytes of the body were read. */
    void bytesRead(long nowNanos, long count) {
        receivedBytes += count;
        noteIncomplete(nowNanos);
        if (!sinkWritable) {
            readAheadBytes += count;
            if (readAheadBytes >= maxReadAheadBytes) {
                exhausted = true;
                readingAhead = false;
            }
        }
    }

    private void noteIncomplete(long nowNanos) {
        if (declaredBytes - receivedBytes > MAX_UNREAD_BYTES) {
            lastIncompleteNanos = nowNanos;
        }
    }

    /** The last byte of the body was read: from now on the earliest end of the request is fixed. */
    void completed(long nowNanos) {
        endNanos = earliestEndNanos(nowNanos);
        readNanos = nowNanos;
        complete = true;
        readingAhead = false;
    }

    /** The backend's connection accepts more of the body, or no more. */
    void setSinkWritable(boolean writable) {
        sinkWritable = writable;
        if (writable) {
            readAheadBytes = 0;
            exhausted = false;
            readingAhead = false;
        }
    }

    /** Whether the client is to be read, as far as memory permits. */
    boolean wantsRead() {
        return sinkWritable || readingAhead;
    }

    /** Whether the client is to be read although its receiver accepts nothing, as far as memory permits. */
    boolean isReadingAhead() {
        return readingAhead;
    }

    /** Bytes that were read although the receiver accepted nothing, since it last accepted any. */
    long readAheadBytes() {
        return readAheadBytes;
    }

    /** The most that is still to be read ahead, in bytes. */
    long maxRemainingReadAhead() {
        long remaining = maxReadAheadBytes - readAheadBytes;
        return declaredBytes < 0 ? remaining : Math.min(remaining, declaredBytes - receivedBytes);
    }

    /** The input was found to be empty, which is what reading ahead is for. */
    void inputEmpty() {
        readingAhead = false;
    }

    /** The earliest time at which the client can have written the last byte of its request. */
    private long earliestEndNanos(long nowNanos) {
        if (complete) {
            return endNanos;
        }
        noteIncomplete(nowNanos);
        long lastEmptyNanos = input.lastEmptyNanos(nowNanos);
        return lastEmptyNanos - lastIncompleteNanos > 0 ? lastEmptyNanos : lastIncompleteNanos;
    }

    /** The time for which the request may have been written completely, at most. */
    long maxAgeNanos(long nowNanos) {
        return Math.max(0, nowNanos - earliestEndNanos(nowNanos));
    }

    /** The part of the time budget that has passed, while the end of the request is uncertain. */
    private long spentNanos(long nowNanos) {
        long uncertainty = (complete ? readNanos : nowNanos) - earliestEndNanos(nowNanos);
        return maxAgeNanos(nowNanos) - Math.max(0, Math.min(uncertainty, UNCERTAINTY_NANOS));
    }

    /** What the time demands now; may begin to read ahead. */
    Step step(long nowNanos) {
        long age = spentNanos(nowNanos);
        if (age >= deadlines.responseNanos) {
            return Step.RESPOND;
        } else if (age >= deadlines.attemptNanos) {
            return Step.END_ATTEMPTS;
        }
        if (maxAgeNanos(nowNanos) >= deadlines.budgetNanos / READ_AHEAD_DIVISOR) {
            readAhead();
        }
        return Step.NONE;
    }

    private void readAhead() {
        readingAhead = !sinkWritable && !exhausted && !complete;
    }

    /** The time until {@link #step} is due again. */
    long nanosUntilNextStep(long nowNanos) {
        long spent = spentNanos(nowNanos);
        if (spent >= deadlines.attemptNanos) {
            return Math.max(0, deadlines.responseNanos - spent);
        }
        long untilReadAhead = deadlines.budgetNanos / READ_AHEAD_DIVISOR - maxAgeNanos(nowNanos);
        long next = untilReadAhead > 0 ? untilReadAhead : deadlines.budgetNanos / RETRY_DIVISOR;
        return complete ? deadlines.attemptNanos - spent : Math.min(next, deadlines.attemptNanos - spent);
    }

    /** Whether time is running out although the client is being read, so that its input may be empty. */
    boolean needsProbe(long nowNanos) {
        return !complete && wantsRead() && !input.isEmpty()
            && maxAgeNanos(nowNanos) >= deadlines.budgetNanos / READ_AHEAD_DIVISOR;
    }

    /** Whether the client is still connected, which an attempt requires; may begin to read ahead. */
    Presence clientPresence(long nowNanos) {
        if (nowNanos - input.lastEmptyNanos(nowNanos) <= MAX_PRESENCE_AGE_NANOS) {
            return Presence.PRESENT;
        }
        readAhead();
        return exhausted ? Presence.UNKNOWN : Presence.PENDING;
    }
}
