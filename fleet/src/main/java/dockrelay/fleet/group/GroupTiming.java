package dockrelay.fleet.group;

import dockrelay.fleet.ProtocolTiming;

/** Query intervals, time-outs and expiry times of the protocol between groups, in microseconds. */
record GroupTiming(ProtocolTiming protocolTiming) {
    /** The interval between two queries for the same group. */
    long queryInterval() {
        return 5 * protocolTiming.period();
    }

    /** The interval at which a member queries a representative for changes of the table. */
    long tableQueryInterval() {
        return queryInterval() * 3 / 4;
    }

    /**
     * The shorter interval at which representatives query each other's tables, and query groups without
     * agreement: everything else that a group learns about other groups waits for these queries.
     */
    long shortQueryInterval() {
        return queryInterval() / 2;
    }

    /**
     * A group without agreement is queried more often only for this long after a change: it may never agree.
     */
    long unsettledTime() {
        return summaryExpiry();
    }

    /**
     * A member whose representative has no newer data than this about a group queries another
     * representative. By then the majority has excluded a group that is lost, so the query is not wasted on
     * it.
     */
    long switchAge() {
        return summaryExpiry() + queryInterval();
    }

    /** The time after which a member that switched to another representative returns to its usual one. */
    long switchTime() {
        return 8 * tableQueryInterval();
    }

    /** A query without a reply for this long has failed, and another member is asked. */
    long queryTimeout() {
        return 2 * protocolTiming.period();
    }

    /**
     * Data about a group is overdue after this time: a second representative queries the group too, as the
     * one that it is assigned to may have died.
     */
    long overdueAge() {
        return 9 * protocolTiming.period();
    }

    /** A group without newer data is unreachable: all representatives query it, and report that to others. */
    long unreachableAge() {
        return 12 * protocolTiming.period();
    }

    /** A summary older than this is ignored. */
    long summaryExpiry() {
        return protocolTiming.reportExpiry();
    }

    /** A summary by a minority of a group does not replace a majority's summary that is newer than this. */
    long majorityRetention() {
        return 8 * protocolTiming.period();
    }

    /** The additional time before a group without any received summary counts as unreachable. */
    long initialGraceTime() {
        return 50 * protocolTiming.period();
    }

    /** A reply that takes longer than this is not accepted. */
    long queryExpiry() {
        return summaryExpiry();
    }

    /** The unit of ages that are sent as one byte. */
    long ageUnit() {
        return protocolTiming.period() / 10;
    }
}
