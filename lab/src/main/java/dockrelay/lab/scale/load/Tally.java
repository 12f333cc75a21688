package dockrelay.lab.scale.load;

import org.HdrHistogram.Histogram;

/**
 * What became of the requests of one part of a run. Times are microseconds from the intended send. One that
 * had no answer counts with the time that its client waited: left out, the worst ones would be missing.
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

    /** Milliseconds that this share of the requests (in hundreds) took at most; NaN where there was none. */
    public synchronized double millis(double percentile) {
        return latency.getTotalCount() == 0 ? Double.NaN : latency.getValueAtPercentile(percentile) / 1e3;
    }

    /** How late the generator itself sent, in milliseconds. */
    public synchronized double lateMillis(double percentile) {
        return lateness.getValueAtPercentile(percentile) / 1e3;
    }

    public synchronized long sent() {
        return lateness.getTotalCount();
    }

    public synchronized long served() {
        return served;
    }

    public synchronized long refused() {
        return refused;
    }

    /** Answered by anything else, or the connection was refused or ended. */
    public synchronized long failed() {
        return failed;
    }

    public synchronized long unanswered() {
        return unanswered;
    }
}
