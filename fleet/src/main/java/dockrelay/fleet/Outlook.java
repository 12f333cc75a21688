package dockrelay.fleet;

import dockrelay.fleet.Datagram.Word;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;

/**
 * Compares a member's view with the latest reports of its peers' views: who agrees, how many members share
 * the work, and which share of a budget this member may spend. It never changes the state of a member.
 */
final class Outlook {
    private final MemberList roster;
    private final List<Member> members;
    private final Member me;
    private final Words words;
    private byte[] marks; // as in the own report

    Outlook(MemberList roster, List<Member> members, Member me, ProtocolTiming pace) {
        this.roster = roster;
        this.members = members;
        this.me = me;
        this.words = new Words(roster, pace.wordStale());
    }

    /**
     * Issues a new version of the own report. {@code steady} decides whether a state that has not changed for
     * that many microseconds counts as stable.
     */
    void speak(long now, long beat, LongPredicate steady) {
        marks = new byte[Words.length(members.size())];
        for (Member member : members) {
            Words.set(marks, member.index, (member.state.away() ? Words.AWAY : 0)
                + (member.state != MemberState.JOINING && steady.test(now - member.changedAt) ? Words.STEADY : 0));
        }
        hear(now, new Word(me.id, me.incarnation, beat, 0, roster.hash(), marks));
    }

    void hear(long now, Word word) {
        words.hear(now, word);
    }

    List<Word> toTell(long now) {
        return words.toTell(now);
    }

    /** Records since when each peer's view has differed from this member's view. */
    void disagree(long now) {
        for (Member member : members) {
            if (member == me || agrees(now, member) || words.age(now, member.index) < 0) {
                member.differsSince = -1;
            } else if (member.differsSince < 0) {
                member.differsSince = now;
            }
        }
    }

    /** Whether a peer's latest report is recent enough and equal to this member's view. */
    private boolean agrees(long now, Member member) {
        return words.age(now, member.index) >= 0 && words.sameList(now, member.index)
            && !words.differs(now, member.index, marks);
    }

    /** Returns the names of the members that are absent in only one of the two views. */
    private List<String> differing(long now, Member member) {
        List<String> result = new ArrayList<>();
        for (Member of : members) {
            int mark = words.mark(now, member.index, of.index);
            if (mark >= 0 && (mark & Words.AWAY) != 0 != of.state.away()) {
                result.add(of.name);
            }
        }
        return result;
    }

    /**
     * Returns the counts, agreement and budget share at {@code now}. docs/membership.md proves that the
     * shares of all members add up to at most 1.
     */
    MembershipSnapshot standing(long now, boolean left) {
        int n = members.size(), quorum = n / 2 + 1, said = 0, present = 0, agreeing = 0;
        boolean all = true;
        for (Member member : members) {
            said += member.state == MemberState.LEFT ? 1 : 0;
            if (member == me) {
                agreeing++;
                present++;
            } else if (!member.state.away() && member.state != MemberState.JOINING) {
                present++;
                boolean agrees = agrees(now, member);
                agreeing += agrees ? 1 : 0;
                all &= agrees;
            }
        }
        boolean major = 2 * agreeing > n - said;
        Agreement agreement = !major ? Agreement.MINORITY : all ? Agreement.ALL : Agreement.MAJORITY;
        int counted = 0, rank = 0, blocked = 0, grants = 0;
        for (Member of : members) {
            int away = 0, steadilyAway = 0;
            for (Member by : of.state.away() ? members : List.<Member>of()) {
                int mark = words.mark(now, by.index, of.index);
                away += mark >= 0 && (mark & Words.AWAY) != 0 ? 1 : 0;
                steadilyAway += mark == Words.AWAY + Words.STEADY ? 1 : 0;
            }
            boolean out = of.state == MemberState.LEFT || major && of.state == MemberState.GONE && 2 * away > n - said;
            counted += out ? 0 : 1;
            rank += !out && of.index < me.index ? 1 : 0;
            blocked += of.state.away() && steadilyAway >= n - quorum + 1 ? 1 : 0;
            grants += words.mark(now, of.index, me.index) == Words.STEADY ? 1 : 0;
        }
        double part = 1.0 / n, least = n == 1 ? 1 : part / 2;
        double share = n > 1 && (left || grants < quorum) ? least : part * (1 + 0.5 * blocked / (n
            - blocked));
        return new MembershipSnapshot(Math.max(1, counted), rank, share, least, agreement, agreeing, present, n,
            0);
    }

    /** Returns the status of all members, in the order of the list. */
    List<MemberStatus> rows(long now) {
        return members.stream().map(member -> new MemberStatus(member.name, member.state, now - member.since,
            member.by,
            member.incarnation, words.age(now, member.index), words.sameList(now, member.index),
            differing(now, member), member.differsSince < 0 ? -1 : now - member.differsSince)).toList();
    }
}
