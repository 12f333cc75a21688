package dockrelay.proxy;

/**
 * How soon the list is asked for anew, in either manner of discovery. What discovery had to tell counts as
 * told 6 s after it had it and could be reached, whether it arrived or not: all that can lie between has to
 * fit into that. Times are in milliseconds; docs/standing.md has the sums in words.
 */
final class DiscoveryTimeouts {
    /**
     * What discovery has and could tell counts as told so long after (the pages of protocol and standing
     * test).
     */
    static final int TOLD = 6_000;
    /** After SIGHUP it counts this long after the signal. */
    static final int TOLD_MOVED = 4_000;
    /** As long as nothing changes an empty line comes this often (the protocol's page). */
    static final int HEARTBEAT = 2_000;
    /** The line may be late, and so may this process be, by so much. */
    static final int LATENESS = 500;
    /** Without a byte for so long a watch is broken; a half-dead host and half an object are as silent. */
    static final int SILENT = HEARTBEAT + LATENESS;
    /** Half an object that stands still for so long gets another call beside it. */
    static final int STALL = LATENESS;
    /** A connection may come up so late. */
    static final int LATE_CONNECTION = 1_000;
    /** One that has not come up by then never will. */
    static final int CONNECT = LATE_CONNECTION + 200;
    /** A call that has no answer by then gets another connection beside it, and no more than that. */
    static final int BESIDE = 1_500;
    /**
     * One that has no answer by then is taken for dead, and the next call is made on the connection beside
     * it, which had time to come up. Not sooner: discovery that has many callers lets a call wait for its
     * turn, and refuses the caller, with all calls that it has waiting, when it calls again meanwhile.
     */
    static final int ANSWER = BESIDE + LATE_CONNECTION;
    /**
     * Tries begin no further apart than this while none has spoken, however many failed, were refused or
     * given up: it is counted from the start of one to the start of the next.
     */
    static final int MOST_APART = 2_000;
    /**
     * The first wait after a failure, by chance anywhere below it: proxies fail together and must not
     * call so.
     */
    static final int FIRST_APART = 500;

    private DiscoveryTimeouts() {
    }

    /**
     * How long to wait after a failure, so long after the start of the failed try, by a wait drawn by
     * chance.
     */
    static long after(long sinceStart, long drawn) {
        return Math.max(0, Math.min(drawn, MOST_APART) - sinceStart);
    }

    /** From a watch's last byte to a connection that is up, one try having said nothing. */
    static int silenced() {
        return SILENT + BESIDE + LATE_CONNECTION;
    }

    /**
     * From the moment at which discovery can be reached again: a wait, a try that says nothing, a late
     * one.
     */
    static int reached() {
        return MOST_APART + BESIDE + LATE_CONNECTION;
    }

    /** From SIGHUP: a try that says nothing, a late one. */
    static int moved() {
        return BESIDE + LATE_CONNECTION;
    }

    /** The least that these leave for the call itself. */
    static int call() {
        return Math.min(TOLD - Math.max(silenced(), reached()), TOLD_MOVED - moved());
    }
}
