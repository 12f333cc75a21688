package dockrelay.fleet.group;

import java.util.BitSet;

/**
 * Which groups this speaker hears nothing of, and which of those most of the fleet hears nothing of: only
 * they are counted out. It takes questions of its own in vain, and counts from when this process could
 * listen: it was running, and a speaker.
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

    /** This process did not run until now. */
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

    /** Whether this speaker has heard nothing of a group for long. */
    boolean of(long now, int group) {
        return speaking && group != here.own && here.asker.vain(group)
            && Math.min(here.table.quiet(now, group), now - listeningSince) > here.rhythm.silent();
    }

    /**
     * Whether this member holds nothing young of a group either, but cannot say by questions of its own that
     * it is silent: it does not speak, or has come to just now, as when a speaker was suspect for a moment.
     */
    boolean undecided(long now, int group) {
        return group != here.own && here.table.quiet(now, group) > here.rhythm.silent() && !of(now, group);
    }

    /** All that this speaker hears nothing of, in order; null where there is none. */
    byte[] said(long now) {
        BitSet silent = new BitSet();
        for (int group = 0; group < here.grouping.groupCount(); group++) {
            silent.set(group, of(now, group));
        }
        return silent.isEmpty() ? null : silent.toByteArray();
    }

    /** Whether groups with most of those that have not left say so too. */
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
