package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot.Agreement;

/**
 * A member's table of the other groups: one row per group, whoever reported it, with the time since which it
 * may be outdated. Each change gets a version number, so that replies contain only what is new to the
 * receiver.
 */
class Table {
    /** The row of a group. */
    static final class Held {
        Summary summary; // null if the group was never heard of
        long origin;     // the earliest time at which the summary may have been made
        long version, changedAt;
        byte[] silent;   // bitmap of the groups that are unreachable to this group; null if unknown
        long silentAt;
        boolean firstHand; // received from another group, not from a member of the own group
    }

    private final GroupAssignment grouping;
    private final Rhythm rhythm;
    private final Held[] held;
    private final long since;
    private long version;

    Table(GroupAssignment grouping, Rhythm rhythm, long now) {
        this.grouping = grouping;
        this.rhythm = rhythm;
        this.held = new Held[grouping.groupCount()];
        this.since = now;
        for (int i = 0; i < held.length; i++) {
            held[i] = new Held();
        }
    }

    /** Copies the rows of groups that are also in the table of an earlier list. */
    void keep(Table before) {
        for (Held of : before.held) {
            int group = of.summary == null ? -1 : grouping.group(of.summary.key());
            if (group >= 0) {
                held[group].summary = of.summary;
                held[group].origin = of.origin;
                held[group].version = ++version;
            }
        }
    }

    /** Stores a newer summary. A summary by a minority replaces a majority's summary only after a while. */
    void hear(long now, Summary told, long age, boolean firstHand) {
        int group = grouping.group(told.key());
        if (group < 0 || age > rhythm.stale()) {
            return;
        }
        Held of = held[group];
        long origin = now - age;
        if (of.summary != null && (origin <= of.origin || told.minority() && !of.summary.minority()
            && now - of.origin < rhythm.retained())) {
            return;
        }
        Summary taken = told.speaking(of.summary);
        if (told.sameBut(of.summary) && now - of.changedAt < rhythm.unsettled()) {
            // During a change the number of members that agree differs with each summary: only the final
            // number is passed on.
            taken = taken.agreeing(of.summary.agreeing());
        }
        boolean same = taken.same(of.summary);
        // A row that was not first-hand has not been sent to those that query only first-hand rows.
        if (!same || firstHand && !of.firstHand) {
            of.version = ++version;
        }
        if (!same) {
            of.changedAt = now;
        }
        of.firstHand = firstHand;
        of.summary = taken;
        of.origin = origin;
    }

    /** Whether a group's row comes from this member's own queries, not from others of its group. */
    boolean firstHand(int group) {
        return held[group].firstHand;
    }

    /** Whether a group changed recently and its members do not agree yet. */
    boolean unsettled(long now, int group) {
        Held of = held[group];
        return of.summary != null && of.summary.agreement() != Agreement.ALL
            && now - of.changedAt < rhythm.unsettled();
    }

    /** Stores the bitmap of the groups that are unreachable to a group, if it is newer. */
    void silent(long now, int group, byte[] silent, long age) {
        Held of = held[group];
        if (of.silent == null || now - age > of.silentAt) {
            of.silent = silent;
            of.silentAt = now - age;
        }
    }

    /** Returns a group's latest summary, or null. */
    Summary summary(int group) {
        return held[group].summary;
    }

    /** Returns the maximum age of the latest summary in microseconds, or -1 if there is none. */
    long age(long now, int group) {
        return held[group].summary == null ? -1 : now - held[group].origin;
    }

    /**
     * Returns how long nothing has been heard of a group. A group that was never heard of gets additional
     * time from the start of this table.
     */
    long quiet(long now, int group) {
        return held[group].summary == null ? Math.max(0, now - since - rhythm.unheard()) : now
            - held[group].origin;
    }

    /** Returns the time since the latest summary of a group, or since the start of this table. */
    long unsure(long now, int group) {
        return now - (held[group].summary == null ? since : held[group].origin);
    }

    /** Returns the bitmap of the groups that are unreachable to a group; null if unknown or stale. */
    byte[] silent(long now, int group) {
        Held of = held[group];
        return of.silent == null || now - of.silentAt > rhythm.stale() ? null : of.silent;
    }

    long silentAge(long now, int group) {
        return now - held[group].silentAt;
    }

    /** Returns the version number of the last change of a group's row. */
    long version(int group) {
        return held[group].version;
    }

    long version() {
        return version;
    }
}
