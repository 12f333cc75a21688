package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot.Agreement;
import java.util.Arrays;

/**
 * A group's summary by one of its members: the group's key; hashes of the whole list, of the group's names
 * and of the view; the member counts; and the ids of the representatives in order.
 */
record Summary(int key, int list, int hash, int view, int present, int left, int gone, int counted,
               Agreement agreement, int agreeing, int[] speakers, int by) {
    /** Whether the two are equal in all that the table passes on to members. */
    boolean same(Summary other) {
        return other != null && key == other.key && list == other.list && hash == other.hash
            && present == other.present && left == other.left && gone == other.gone
            && counted == other.counted && agreement == other.agreement && agreeing == other.agreeing
            && first() == other.first();
    }

    /** Whether the two differ at most in the number of members that agree. */
    boolean sameBut(Summary other) {
        return other != null && same(other.agreeing(agreeing));
    }

    /** Returns a copy with this number of members that agree. */
    Summary agreeing(int count) {
        return new Summary(key, list, hash, view, present, left, gone, counted, agreement, count, speakers,
            by);
    }

    /** Returns the id of the group's first representative, or 0 if not known. */
    int first() {
        return speakers.length == 0 ? 0 : speakers[0];
    }

    boolean minority() {
        return agreement == Agreement.MINORITY;
    }

    /**
     * Returns a copy with all representatives of an earlier summary if this one has only the first of them.
     */
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
