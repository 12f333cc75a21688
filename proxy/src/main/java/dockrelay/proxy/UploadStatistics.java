package dockrelay.proxy;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** How a streamed request body has been transferred so far. Times are {@link System#nanoTime} values. */
final class UploadStatistics {
    private static final double MILLIS_PER_NANO = 1e-6;
    /** A transfer that was paused for less than this in all is not worth a line in the log. */
    private static final long MIN_REPORTED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final long firstByteNanos;
    private long readBytes, forwardedBytes, lastByteNanos;
    private long pauseCount, pausedNanos, pausedSinceNanos;
    private boolean complete, paused;

    /** Starts with the bytes of the body that have been read already. */
    UploadStatistics(long nowNanos, long readBytes) {
        this.firstByteNanos = nowNanos;
        this.lastByteNanos = nowNanos;
        this.readBytes = readBytes;
    }

    /** Bytes of the body were read from the client. */
    void read(long nowNanos, int bytes, boolean isLast) {
        readBytes += bytes;
        lastByteNanos = nowNanos;
        complete |= isLast;
    }

    /** Bytes of the body were passed on to a backend's connection. */
    void forwarded(int bytes) {
        forwardedBytes += bytes;
    }

    /** Reading was paused. */
    void paused(long nowNanos) {
        if (!paused) {
            paused = true;
            pausedSinceNanos = nowNanos;
            pauseCount++;
        }
    }

    /** Reading was resumed. */
    void resumed(long nowNanos) {
        if (paused) {
            paused = false;
            pausedNanos += nowNanos - pausedSinceNanos;
        }
    }

    private long pausedNanos(long nowNanos) {
        return pausedNanos + (paused ? nowNanos - pausedSinceNanos : 0);
    }

    /** Whether reading was paused for so long that the log should tell. */
    boolean isPausedLong(long nowNanos) {
        return pausedNanos(nowNanos) >= MIN_REPORTED_PAUSE_NANOS;
    }

    /** Describes the transfer for the log; ages are relative to the given time. */
    String describe(long nowNanos) {
        return String.format(Locale.ROOT, "read=%d forwarded=%d complete=%s first-byte-ms=%.0f"
            + " last-byte-ms=%.0f pauses=%d paused-ms=%.0f%s",
            readBytes, forwardedBytes, complete, (firstByteNanos - nowNanos) * MILLIS_PER_NANO,
            (lastByteNanos - nowNanos) * MILLIS_PER_NANO, pauseCount, pausedNanos(nowNanos) * MILLIS_PER_NANO,
            paused ? " paused-now" : "");
    }
}
