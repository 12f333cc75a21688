package dockrelay.fleet;

import dockrelay.fleet.Datagram.Word;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What each member said last that it holds of all, with how long ago that was at the most: what is passed on
 * grows older by the time it was held here and by the round trip that brought it.
 */
final class Words {
    /** Two bits a member: whether it is away, and whether that has been so long enough to count on. */
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

    /** Takes what is newer of its kind, or the same with a lower age. */
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

    /** Those that still tell something, the newest first: where not all fit, news gets on. */
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

    /** How old a member's word is at the most; below 0 where it has none that tells anything. */
    long age(long now, int of) {
        return held[of] == null || held[of].age(now) > stale ? -1 : held[of].age(now);
    }

    /** Whether a member was given the same names; also true where nothing is known. */
    boolean sameList(long now, int of) {
        return age(now, of) < 0 || held[of].word.list() == roster.hash();
    }

    /** What a member holds of another one; below 0 where that is not known. */
    int mark(long now, int by, int of) {
        if (age(now, by) < 0 || held[by].word.list() != roster.hash()
            || held[by].word.marks().length != length(roster.size())) {
            return -1;
        }
        return mark(held[by].word.marks(), of);
    }

    /** Whether a member holds others away than these marks do; false where nothing of it is known. */
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
