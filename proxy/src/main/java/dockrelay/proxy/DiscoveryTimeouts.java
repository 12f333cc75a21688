package dockrelay.proxy;

/**
 * Timeouts for renewing the watch on the list, for both discovery modes. A change counts as known to the
 * proxy 6 s after discovery had it and could be reached, whether it arrived or not, so all delays in
 * between have to add up to less. Times are in milliseconds; docs/standing.md derives the sums.
 */
final class DiscoveryTimeouts {
    /**
     * Time after which a change that discovery has and could deliver counts as known to the proxy. Set by
     * the discovery protocol.
     */
    static final int DELIVERY_DEADLINE_MILLIS = 6_000;
    /** The same time after SIGHUP has moved discovery to another address, counted from the signal. */
    static final int DELIVERY_DEADLINE_AFTER_MOVE_MILLIS = 4_000;
    /**
     * Interval of the empty lines that discovery sends while nothing changes, set by the discovery
     * protocol.
     */
    static final int HEARTBEAT_INTERVAL_MILLIS = 2_000;
    /** Tolerance for a late heartbeat and for delays within this process. */
    static final int LATENESS_TOLERANCE_MILLIS = 500;
    /**
     * A watch without a byte for this long is broken. A hung host and an object that stops halfway look the
     * same.
     */
    static final int SILENCE_TIMEOUT_MILLIS = HEARTBEAT_INTERVAL_MILLIS + LATENESS_TOLERANCE_MILLIS;
    /** If an incomplete object makes no progress for this long, another call is made beside it. */
    static final int STALL_TIMEOUT_MILLIS = LATENESS_TOLERANCE_MILLIS;
    /** Maximum time that a connection may take to come up. */
    static final int MAX_CONNECT_DELAY_MILLIS = 1_000;
    /** Connect timeout: a connection that has not come up by now never will. */
    static final int CONNECT_TIMEOUT_MILLIS = MAX_CONNECT_DELAY_MILLIS + 200;
    /** If a call has no answer by then, another connection is opened beside it, without a call as yet. */
    static final int STANDBY_DELAY_MILLIS = 1_500;
    /**
     * A call that has no answer by then is considered dead, and the next call is made on the standby
     * connection, which has had time to come up. Not sooner: a busy discovery queues calls, and refuses a
     * caller together with all its queued calls when it calls again in the meantime.
     */
    static final int ANSWER_TIMEOUT_MILLIS = STANDBY_DELAY_MILLIS + MAX_CONNECT_DELAY_MILLIS;
    /**
     * Maximum time between the starts of two calls while none is answered, however many failed, were
     * refused or were abandoned.
     */
    static final int MAX_CALL_INTERVAL_MILLIS = 2_000;
    /**
     * Bound of the first wait after a failure. The wait is random, because proxies fail together and must
     * not retry in step.
     */
    static final int FIRST_BACKOFF_MILLIS = 500;

    private DiscoveryTimeouts() {
    }

    /**
     * The rest of a randomly drawn wait after a failure, {@code sinceStartMillis} after the start of the
     * failed call.
     */
    static long remainingWait(long sinceStartMillis, long drawnMillis) {
        return Math.max(0, Math.min(drawnMillis, MAX_CALL_INTERVAL_MILLIS) - sinceStartMillis);
    }

    /**
     * From the last byte of a watch to a new connection that is up, including one call that was not
     * answered.
     */
    static int reconnectMillisAfterSilence() {
        return SILENCE_TIMEOUT_MILLIS + STANDBY_DELAY_MILLIS + MAX_CONNECT_DELAY_MILLIS;
    }

    /**
     * From the moment at which discovery can be reached again: one wait, one call that is not answered, one
     * late connection.
     */
    static int reconnectMillisAfterOutage() {
        return MAX_CALL_INTERVAL_MILLIS + STANDBY_DELAY_MILLIS + MAX_CONNECT_DELAY_MILLIS;
    }

    /** From SIGHUP: one call that is not answered, one late connection. */
    static int connectMillisAfterMove() {
        return STANDBY_DELAY_MILLIS + MAX_CONNECT_DELAY_MILLIS;
    }

    /** The minimum time that these delays leave for the call itself. */
    static int minCallMillis() {
        return Math.min(DELIVERY_DEADLINE_MILLIS - Math.max(reconnectMillisAfterSilence(),
            reconnectMillisAfterOutage()), DELIVERY_DEADLINE_AFTER_MOVE_MILLIS - connectMillisAfterMove());
    }
}
