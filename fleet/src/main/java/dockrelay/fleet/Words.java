package dockrelay.fleet;

import dockrelay.fleet.Datagram.Word;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The latest view report of each member with its maximum age. The age of a relayed report grows by the time
 * that it was held here and by the round trip that brought it.
 */
final class Words {
    /** Two flag bits per member: whether it is absent, and whether that has not changed for a while. */
    static final int AWAY = 2, STEADY = 1;
    private static final int AWAY_BITS = 0xaa;

    private static final class Held {
        final Word word;
        final long at;

        Held(Word word, long at) {
            this.word = word;
            this.at = at;
        }

        long age(long now) {
            return word.age() + now - at;
        }
    }

    private final MemberList roster;
    private final Held[] held;
    private final long stale;

    Words(MemberList roster, long stale) {
        this.roster = roster;
        this.held = new Held[roster.size()];
        this.stale = stale;
    }

    /** Stores a report that is newer than the stored one of the same member, or equal with a lower age. */
    void hear(long now, Word word) {
        int of = roster.indexOf(word.id());
        if (of < 0 || word.age() > stale) {
            return;
        }
        Held before = held[of];
        long newer = before == null ? 1 : word.incarnation() != before.word.incarnation()
            ? word.incarnation() - before.word.incarnation() : word.beat() - before.word.beat();
        if (newer > 0 || newer == 0 && word.age() < before.age(now)) {
            held[of] = new Held(word, now);
        }
    }

    /** Returns the reports that are not stale, newest first, as not all may fit into a datagram. */
    List<Word> toTell(long now) {
        List<Word> result = new ArrayList<>(held.length);
        for (Held one : held) {
            if (one != null && one.age(now) <= stale) {
                Word word = one.word;
                result.add(new Word(word.id(), word.incarnation(), word.beat(), one.age(now), word.list(),
                    word.marks()));
            }
        }
        result.sort(Comparator.comparingLong(Word::age));
        return result;
    }

    /**
     * Returns the maximum age of a member's report in microseconds, or -1 if there is none or it is stale.
     */
    long age(long now, int of) {
        return held[of] == null || held[of].age(now) > stale ? -1 : held[of].age(now);
    }

    /** Whether a member has the same list of names; true if that is not known. */
    boolean sameList(long now, int of) {
        return age(now, of) < 0 || held[of].word.list() == roster.hash();
    }

    /** Returns the flags that one member reports of another, or -1 if they are not known. */
    int mark(long now, int by, int of) {
        if (age(now, by) < 0 || held[by].word.list() != roster.hash()
            || held[by].word.marks().length != length(roster.size())) {
            return -1;
        }
        return mark(held[by].word.marks(), of);
    }

    /** Whether a member's report has other members absent than these flags have; false without a report. */
    boolean differs(long now, int by, byte[] marks) {
        if (age(now, by) < 0 || held[by].word.marks().length != marks.length) {
            return false;
        }
        byte[] theirs = held[by].word.marks();
        for (int i = 0; i < marks.length; i++) {
            if (((theirs[i] ^ marks[i]) & AWAY_BITS) != 0) {
                return true;
            }
        }
        return false;
    }

    static int length(int members) {
        return (members + 3) / 4;
    }

    static int mark(byte[] marks, int of) {
        return marks[of / 4] >> of % 4 * 2 & 3;
    }

    static void set(byte[] marks, int of, int mark) {
        marks[of / 4] |= (byte) (mark << of % 4 * 2);
    }
}
