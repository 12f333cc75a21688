package dockrelay.proxy;

/**
 * Timeouts for renewing the watch on the list, for pushed and polled discovery. A change counts as known to
 * the proxy 6 s after discovery had it and could be reached, whether it arrived or not, so all delays in
 * between have to add up to less. Times are in milliseconds; docs/standing.md derives the sums.
 */
final class DiscoveryTimeouts {
    /**
     * Time after which a change that discovery has and could deliver counts as known to the proxy. Set by
     * the discovery protocol.
     */
    static final int TOLD = 6_000;
    /** The same time after SIGHUP has moved discovery to another address, counted from the signal. */
    static final int TOLD_MOVED = 4_000;
    /**
     * Interval of the empty lines that discovery sends while nothing changes, set by the discovery
     * protocol.
     */
    static final int HEARTBEAT = 2_000;
    /** Tolerance for a late heartbeat and for delays within this process. */
    static final int LATENESS = 500;
    /**
     * A watch without a byte for this long is broken. A hung host and an object that stops halfway look the
     * same.
     */
    static final int SILENT = HEARTBEAT + LATENESS;
    /** If an incomplete object makes no progress for this long, another call is made beside it. */
    static final int STALL = LATENESS;
    /** Maximum time that a connection may take to come up. */
    static final int LATE_CONNECTION = 1_000;
    /** Connect timeout: a connection that has not come up by now never will. */
    static final int CONNECT = LATE_CONNECTION + 200;
    /** If a call has no answer by then, another connection is opened beside it, without a call as yet. */
    static final int BESIDE = 1_500;
    /**
     * A call that has no answer by then is taken for dead, and the next call is made on the standby
     * connection, which has had time to come up. Not sooner: a busy discovery queues calls, and refuses a
     * caller together with all its queued calls when it calls again in the meantime.
     */
    static final int ANSWER = BESIDE + LATE_CONNECTION;
    /**
     * Maximum time between the starts of two calls while none is answered, however many failed, were
     * refused or were abandoned.
     */
    static final int MOST_APART = 2_000;
    /**
     * Bound of the first wait after a failure. The wait is random, because proxies fail together and must
     * not retry in step.
     */
    static final int FIRST_APART = 500;

    private DiscoveryTimeouts() {
    }

    /**
     * The rest of a randomly drawn wait after a failure, {@code sinceStart} ms after the start of the
     * failed call.
     */
    static long after(long sinceStart, long drawn) {
        return Math.max(0, Math.min(drawn, MOST_APART) - sinceStart);
    }

    /**
     * From the last byte of a watch to a new connection that is up, including one call that was not
     * answered.
     */
    static int silenced() {
        return SILENT + BESIDE + LATE_CONNECTION;
    }

    /**
     * From the moment at which discovery can be reached again: one wait, one call that is not answered, one
     * late connection.
     */
    static int reached() {
        return MOST_APART + BESIDE + LATE_CONNECTION;
    }

    /** From SIGHUP: one call that is not answered, one late connection. */
    static int moved() {
        return BESIDE + LATE_CONNECTION;
    }

    /** The minimum time that these delays leave for the call itself. */
    static int call() {
        return Math.min(TOLD - Math.max(silenced(), reached()), TOLD_MOVED - moved());
    }
}
