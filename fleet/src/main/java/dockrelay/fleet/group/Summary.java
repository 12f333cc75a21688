package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot.Agreement;
import java.util.Arrays;

/**
 * What a group says of itself by one of its members: which it is by key, the hashes of the whole list, of the
 * group's names and of the view, the counts, and who speaks for it, first things first, as ids.
 */
record Summary(int key, int list, int hash, int view, int present, int left, int gone, int counted,
               Agreement agreement, int agreeing, int[] speakers, int by) {
    /** Whether it tells the members of a group nothing new. */
    boolean same(Summary other) {
        return other != null && key == other.key && list == other.list && hash == other.hash
            && present == other.present && left == other.left && gone == other.gone
            && counted == other.counted && agreement == other.agreement && agreeing == other.agreeing
            && first() == other.first();
    }

    /** Whether nothing but how many agree is told. */
    boolean sameBut(Summary other) {
        return other != null && same(other.agreeing(agreeing));
    }

    /** The same with so many that agree. */
    Summary agreeing(int count) {
        return new Summary(key, list, hash, view, present, left, gone, counted, agreement, count, speakers,
            by);
    }

    /** Who speaks first for the group; 0 where that is not known. */
    int first() {
        return speakers.length == 0 ? 0 : speakers[0];
    }

    boolean minority() {
        return agreement == Agreement.MINORITY;
    }

    /** With the speakers that an earlier one named, where this one has come with the first only. */
    Summary speaking(Summary before) {
        return before == null || speakers.length > 1 || before.speakers.length < 2
            || before.first() != first() ? this : new Summary(key, list, hash, view, present, left, gone,
                counted, agreement, agreeing, before.speakers, by);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Summary summary && same(summary) && view == summary.view && by == summary.by
            && Arrays.equals(speakers, summary.speakers);
    }

    @Override
    public int hashCode() {
        return 31 * key + view;
    }
}
