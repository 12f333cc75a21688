package dockrelay.fleet.group;

import dockrelay.fleet.ProtocolTiming;

/** Query intervals, time-outs and expiry times of the protocol between groups, in microseconds. */
record Rhythm(ProtocolTiming pace) {
    /** The interval between two queries for the same group. */
    long round() {
        return 5 * pace.period();
    }

    /** The interval at which a member queries a representative for changes of the table. */
    long table() {
        return round() * 3 / 4;
    }

    /**
     * The shorter interval at which representatives query each other's tables, and query groups without
     * agreement: everything else that a group learns about other groups waits for these queries.
     */
    long soon() {
        return round() / 2;
    }

    /**
     * A group without agreement is queried more often only for this long after a change: it may never agree.
     */
    long unsettled() {
        return stale();
    }

    /**
     * A member whose representative has no newer data than this about a group queries another
     * representative. By then the majority has excluded a group that is lost, so the query is not wasted on
     * it.
     */
    long missed() {
        return stale() + round();
    }

    /** The time after which a member that switched to another representative returns to its usual one. */
    long aside() {
        return 8 * table();
    }

    /** A query without a reply for this long has failed, and another member is asked. */
    long retry() {
        return 2 * pace.period();
    }

    /**
     * Data about a group is overdue after this time: a second representative queries the group too, as the
     * one that it is assigned to may have died.
     */
    long late() {
        return 9 * pace.period();
    }

    /** A group without newer data is unreachable: all representatives query it, and report that to others. */
    long silent() {
        return 12 * pace.period();
    }

    /** A summary older than this is ignored. */
    long stale() {
        return pace.wordStale();
    }

    /** A summary by a minority of a group does not replace a majority's summary that is newer than this. */
    long retained() {
        return 8 * pace.period();
    }

    /** The additional time before a group that was never heard of counts as unreachable. */
    long unheard() {
        return 50 * pace.period();
    }

    /** A reply that takes longer than this is not accepted. */
    long forgotten() {
        return stale();
    }

    /** The unit of ages that are sent as one byte. */
    long unit() {
        return pace.period() / 10;
    }
}
