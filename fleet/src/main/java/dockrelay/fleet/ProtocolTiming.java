package dockrelay.fleet;

/** The time-outs of the membership protocol, in microseconds; all are multiples of the protocol period. */
public record ProtocolTiming(long period) {
    public static final ProtocolTiming DEFAULT = new ProtocolTiming(200_000);

    public ProtocolTiming {
        if (period < 10_000) {
            throw new IllegalArgumentException("protocol period is " + period + " us; minimum is 10 ms");
        }
    }

    /** A direct ping without an acknowledgement for this long is followed by indirect pings. */
    long directPingTimeout() {
        return period * 2 / 5;
    }

    /** Returns the minimum duration of a suspicion in a group of this many members. */
    long minSuspicionTime(int memberCount) {
        return Math.round(2.2 * period * Math.max(1, Math.log10(memberCount)));
    }

    /** Returns the duration of a suspicion without confirmations in a group of this many members. */
    long maxSuspicionTime(int memberCount) {
        return 3 * minSuspicionTime(memberCount);
    }

    /** A member from or about which nothing was ever received counts as gone after this time. */
    long joiningTimeout() {
        return 50 * period;
    }

    /** A member's view report is ignored once it is older than this. */
    public long reportExpiry() {
        return 20 * period;
    }

    /**
     * A member's state counts as stable once it has not changed for this long, which is well over the maximum
     * age of a view report.
     */
    public long stableAfter() {
        return 30 * period;
    }

    /**
     * A snapshot may be used for this long after it was computed. The remaining fifth of the time between
     * report expiry and stability allows for clocks that run at different rates.
     */
    public long snapshotExpiry() {
        return (stableAfter() - reportExpiry()) * 4 / 5;
    }
}
