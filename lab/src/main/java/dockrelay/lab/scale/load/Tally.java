package dockrelay.lab.scale.load;

import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of the requests of one phase of a run. Latencies are in microseconds from the
 * scheduled send time. A request without a response counts with the time that its client waited; otherwise
 * the slowest requests would be missing from the distribution. Thread-safe.
 */
public final class Tally {
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3),
        latenessMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private long served, refused, failed, unanswered;

    /** Counts a request that was sent this much after its scheduled time. */
    synchronized void addSent(long lateMicros) {
        latenessMicros.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, lateMicros)));
    }

    synchronized void addServed(long micros) {
        served++;
        latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, micros)));
    }

    synchronized void addRefused() {
        refused++;
    }

    synchronized void addFailed() {
        failed++;
    }

    synchronized void addUnanswered(long micros) {
        unanswered++;
        latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, micros)));
    }

    /** Latency in milliseconds at this percentile (0 to 100); NaN if there were no requests. */
    public synchronized double latencyMillis(double percentile) {
        return latencyMicros.getTotalCount() == 0 ? Double.NaN
            : latencyMicros.getValueAtPercentile(percentile) / 1e3;
    }

    /** The generator's own lateness at this percentile, in milliseconds. */
    public synchronized double latenessMillis(double percentile) {
        return latenessMicros.getValueAtPercentile(percentile) / 1e3;
    }

    public synchronized long sent() {
        return latenessMicros.getTotalCount();
    }

    /** Answered with status 200. */
    public synchronized long served() {
        return served;
    }

    /** Rejected with status 429 or 503. */
    public synchronized long refused() {
        return refused;
    }

    /** Answered with any other status, or the connection was refused or closed. */
    public synchronized long failed() {
        return failed;
    }

    /** Timed out at the client. */
    public synchronized long unanswered() {
        return unanswered;
    }
}
