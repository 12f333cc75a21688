package dockrelay.lab.scale.load;

import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of the requests of one phase of a run. Latencies are in microseconds from the
 * scheduled send time. A request without a response counts with the time that its client waited: without it,
 * the slowest requests would be missing from the distribution. Thread-safe.
 */
public final class Tally {
    private static final long MOST = 60_000_000;
    private final Histogram latency = new Histogram(MOST, 3), lateness = new Histogram(MOST, 3);
    private long served, refused, failed, unanswered;

    synchronized void addSent(long late) {
        lateness.recordValue(Math.max(0, Math.min(MOST, late)));
    }

    synchronized void addServed(long micros) {
        served++;
        latency.recordValue(Math.min(MOST, Math.max(0, micros)));
    }

    synchronized void addRefused() {
        refused++;
    }

    synchronized void addFailed() {
        failed++;
    }

    synchronized void addUnanswered(long micros) {
        unanswered++;
        latency.recordValue(Math.min(MOST, Math.max(0, micros)));
    }

    /** Latency in milliseconds at this percentile (0 to 100); NaN if there were no requests. */
    public synchronized double millis(double percentile) {
        return latency.getTotalCount() == 0 ? Double.NaN : latency.getValueAtPercentile(percentile) / 1e3;
    }

    /** The generator's own lateness at this percentile, in milliseconds. */
    public synchronized double lateMillis(double percentile) {
        return lateness.getValueAtPercentile(percentile) / 1e3;
    }

    public synchronized long sent() {
        return lateness.getTotalCount();
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
