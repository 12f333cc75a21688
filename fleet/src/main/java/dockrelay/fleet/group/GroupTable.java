package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot.Agreement;

/**
 * A member's table of the other groups: one row per group, whoever reported it, with the time since which it
 * may be outdated. Each change gets a version number, so that replies contain only what is new to the
 * receiver.
 */
class GroupTable {
    /** The row of a group. */
    static final class Row {
        GroupSummary summary; // null if no summary of the group was ever received
        long earliestOrigin; // the earliest time at which the summary may have been made
        long version, changedAt;
        byte[] unreachable; // bitmap of the groups that are unreachable to this group; null if unknown
        long unreachableAt;
        boolean firstHand; // received from another group, not from a member of the own group
    }

    private final GroupAssignment assignment;
    private final GroupTiming timing;
    private final Row[] rows;
    private final long startedAt;
    private long version;

    GroupTable(GroupAssignment assignment, GroupTiming timing, long now) {
        this.assignment = assignment;
        this.timing = timing;
        this.rows = new Row[assignment.groupCount()];
        this.startedAt = now;
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Row();
        }
    }

    /** Copies the rows of groups that are also in the table of an earlier list. */
    void copyFrom(GroupTable earlier) {
        for (Row row : earlier.rows) {
            int group = row.summary == null ? -1 : assignment.groupWithKey(row.summary.key());
            if (group >= 0) {
                rows[group].summary = row.summary;
                rows[group].earliestOrigin = row.earliestOrigin;
                rows[group].version = ++version;
            }
        }
    }

    /** Stores a newer summary. A summary by a minority replaces a majority's summary only after a while. */
    void store(long now, GroupSummary receivedSummary, long age, boolean firstHand) {
        int group = assignment.groupWithKey(receivedSummary.key());
        if (group < 0 || age > timing.summaryExpiry()) {
            return;
        }
        Row row = rows[group];
        long earliestOrigin = now - age;
        if (row.summary != null && (earliestOrigin <= row.earliestOrigin
            || receivedSummary.isMinority() && !row.summary.isMinority()
            && now - row.earliestOrigin < timing.majorityRetention())) {
            return;
        }
        GroupSummary storedSummary = receivedSummary.withRepresentativesOf(row.summary);
        if (receivedSummary.differsOnlyInAgreeing(row.summary)
            && now - row.changedAt < timing.unsettledTime()) {
            // During a change the number of members that agree differs with each summary: only the final
            // number is passed on.
            storedSummary = storedSummary.withAgreeingMembers(row.summary.agreeingMembers());
        }
        boolean sameContent = storedSummary.hasSameContent(row.summary);
        // A row that was not first-hand has not been sent to those that query only first-hand rows.
        if (!sameContent || firstHand && !row.firstHand) {
            row.version = ++version;
        }
        if (!sameContent) {
            row.changedAt = now;
        }
        row.firstHand = firstHand;
        row.summary = storedSummary;
        row.earliestOrigin = earliestOrigin;
    }

    /** Whether a group's row comes from this member's own queries, not from others of its group. */
    boolean isFirstHand(int group) {
        return rows[group].firstHand;
    }

    /** Whether a group changed recently and its members do not agree yet. */
    boolean isUnsettled(long now, int group) {
        Row row = rows[group];
        return row.summary != null && row.summary.agreement() != Agreement.ALL
            && now - row.changedAt < timing.unsettledTime();
    }

    /** Stores the bitmap of the groups that are unreachable to a group, if it is newer. */
    void storeUnreachable(long now, int group, byte[] unreachable, long age) {
        Row row = rows[group];
        if (row.unreachable == null || now - age > row.unreachableAt) {
            row.unreachable = unreachable;
            row.unreachableAt = now - age;
        }
    }

    /** Returns a group's latest summary, or null. */
    GroupSummary summary(int group) {
        return rows[group].summary;
    }

    /** Returns the maximum age of the latest summary in microseconds, or -1 if there is none. */
    long summaryAge(long now, int group) {
        return rows[group].summary == null ? -1 : now - rows[group].earliestOrigin;
    }

    /**
     * Returns the time since the latest summary of a group may have been made. A group without any summary
     * gets a grace time from the start of this table.
     */
    long timeSinceContact(long now, int group) {
        return rows[group].summary == null ? Math.max(0, now - startedAt - timing.initialGraceTime())
            : now - rows[group].earliestOrigin;
    }

    /** Returns the time since the latest summary of a group, or since the start of this table. */
    long dataAge(long now, int group) {
        return now - (rows[group].summary == null ? startedAt : rows[group].earliestOrigin);
    }

    /** Returns the bitmap of the groups that are unreachable to a group; null if unknown or stale. */
    byte[] unreachable(long now, int group) {
        Row row = rows[group];
        return row.unreachable == null || now - row.unreachableAt > timing.summaryExpiry() ? null
            : row.unreachable;
    }

    /** Returns the maximum age of the bitmap of unreachable groups in microseconds. */
    long unreachableAge(long now, int group) {
        return now - rows[group].unreachableAt;
    }

    /** Returns the version number of the last change of a group's row. */
    long version(int group) {
        return rows[group].version;
    }

    /** Returns the version number of the last change of any row. */
    long version() {
        return version;
    }
}
