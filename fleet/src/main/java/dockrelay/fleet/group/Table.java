package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot.Agreement;

/**
 * What one member holds of each group but its own: one row a group, whoever told it, and since when it may be
 * no longer true. What changes gets a number, so that others can be told what is new to them.
 */
class Table {
    /** What is held of a group. */
    static final class Held {
        Summary summary; // null where it was never heard of
        long origin;     // it was so then, at the earliest
        long version, changedAt;
        byte[] silent;   // to whom this group hears nothing, in the order of the groups; null where unknown
        long silentAt;
        boolean firstHand; // this member was told of it by a group, not by its own
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

    /** What another list's table has of groups that this one has too. */
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

    /** Takes what is younger; a minority's word not at once where another's is held. */
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
            // How many agree changes with each word while something goes on: what it comes to is told.
            taken = taken.agreeing(of.summary.agreeing());
        }
        boolean same = taken.same(of.summary);
        // Who asks for this member's own part was not told a row while it was somebody else's.
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

    /** Whether a group is known by this member's own question, not by what others of its group said. */
    boolean firstHand(int group) {
        return held[group].firstHand;
    }

    /** Whether something is going on in a group: its members did not agree lately. */
    boolean unsettled(long now, int group) {
        Held of = held[group];
        return of.summary != null && of.summary.agreement() != Agreement.ALL
            && now - of.changedAt < rhythm.unsettled();
    }

    /** Takes to whom a group hears nothing. */
    void silent(long now, int group, byte[] silent, long age) {
        Held of = held[group];
        if (of.silent == null || now - age > of.silentAt) {
            of.silent = silent;
            of.silentAt = now - age;
        }
    }

    /** What a group said last; null where it never did. */
    Summary summary(int group) {
        return held[group].summary;
    }

    /** How old that is at the most; below 0 where there is none. */
    long age(long now, int group) {
        return held[group].summary == null ? -1 : now - held[group].origin;
    }

    /** Since when nothing has been heard of a group: as long as this list is gone by, where it never was. */
    long quiet(long now, int group) {
        return held[group].summary == null ? Math.max(0, now - since - rhythm.unheard()) : now
            - held[group].origin;
    }

    /** For how long a group may have been unheard of. */
    long unsure(long now, int group) {
        return now - (held[group].summary == null ? since : held[group].origin);
    }

    /** To whom a group hears nothing, if it said so not too long ago; else null. */
    byte[] silent(long now, int group) {
        Held of = held[group];
        return of.silent == null || now - of.silentAt > rhythm.stale() ? null : of.silent;
    }

    long silentAge(long now, int group) {
        return now - held[group].silentAt;
    }

    /** The number of the last change of a group's row. */
    long version(int group) {
        return held[group].version;
    }

    long version() {
        return version;
    }
}
