package dockrelay.fleet.group;

import java.util.BitSet;

/**
 * Determines which groups are unreachable to this representative, and which of those are unreachable to a
 * majority of the fleet; only the latter are excluded from the counts. A group is unreachable only after
 * failed queries of this member, and only for the time in which this process was running and was a
 * representative.
 */
final class Silence {
    private final Between here;
    private final BitSet out = new BitSet();
    private long listeningSince, computedAt = Long.MIN_VALUE / 2;
    private boolean speaking;

    Silence(Between here, long now) {
        this.here = here;
        this.listeningSince = now;
    }

    /** Restarts the observation after a pause of this process. */
    void woken(long now) {
        listeningSince = now;
        computedAt = Long.MIN_VALUE / 2;
    }

    void speaking(long now, boolean speaks) {
        if (speaks && !speaking) {
            listeningSince = now;
        }
        speaking = speaks;
    }

    /** Whether a group has been unreachable to this representative for long enough. */
    boolean of(long now, int group) {
        return speaking && group != here.own && here.asker.vain(group)
            && Math.min(here.table.quiet(now, group), now - listeningSince) > here.rhythm.silent();
    }

    /**
     * Whether this member has no recent data about a group, but cannot tell from its own queries that the
     * group is unreachable: it is not a representative, or has just become one, as when another
     * representative was suspect for a moment.
     */
    boolean undecided(long now, int group) {
        return group != here.own && here.table.quiet(now, group) > here.rhythm.silent() && !of(now, group);
    }

    /**
     * Returns the bitmap of the groups that are unreachable to this representative; null if there are none.
     */
    byte[] said(long now) {
        BitSet silent = new BitSet();
        for (int group = 0; group < here.grouping.groupCount(); group++) {
            silent.set(group, of(now, group));
        }
        return silent.isEmpty() ? null : silent.toByteArray();
    }

    /** Whether groups with a majority of the members that have not left report a group unreachable. */
    boolean agreed(long now, int group) {
        if (now - computedAt >= here.rhythm.retry() / 4) {
            computedAt = now;
            compute(now);
        }
        return out.get(group);
    }

    private void compute(long now) {
        out.clear();
        int groups = here.grouping.groupCount(), mine = -1, most = 0;
        for (int group = 0; group < groups; group++) {
            if (!of(now, group)) {
                continue;
            }
            if (mine < 0) {
                mine = here.present(now);
                most = here.grouping.memberCount() - here.count.left(now);
            }
            int say = mine;
            for (int other = 0; other < groups; other++) {
                byte[] silent = other == here.own || !here.count.fresh(now, other) ? null
                    : here.table.silent(now, other);
                if (silent != null && group / 8 < silent.length
                    && (silent[group / 8] >> group % 8 & 1) != 0) {
                    say += here.table.summary(other).present();
                }
            }
            out.set(group, 2 * say > most);
        }
    }
}
