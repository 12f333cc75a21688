package dockrelay.fleet;

import dockrelay.fleet.Datagram.Word;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;

/**
 * What a member's view comes to beside what the others said last of theirs: who agrees, how many share the
 * work, and which part of a budget is its own. It changes nothing that is held of anybody.
 */
final class Outlook {
    private final MemberList roster;
    private final List<Member> members;
    private final Member me;
    private final Words words;
    private byte[] marks; // as they are in the own word

    Outlook(MemberList roster, List<Member> members, Member me, ProtocolTiming pace) {
        this.roster = roster;
        this.members = members;
        this.me = me;
        this.words = new Words(roster, pace.wordStale());
    }

    /** Issues the own word anew; told how long something has not changed, it says whether that is steady. */
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

    /** Notes since when each member has been seeing others than this one does. */
    void disagree(long now) {
        for (Member member : members) {
            if (member == me || agrees(now, member) || words.age(now, member.index) < 0) {
                member.differsSince = -1;
            } else if (member.differsSince < 0) {
                member.differsSince = now;
            }
        }
    }

    /** Whether what a member said last, not too long ago, is what this one holds. */
    private boolean agrees(long now, Member member) {
        return words.age(now, member.index) >= 0 && words.sameList(now, member.index)
            && !words.differs(now, member.index, marks);
    }

    /** Whom a member holds away and this one does not, or the other way round. */
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

    /** What this member may go by now; docs/membership.md proves the share. */
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

    /** All members in order. */
    List<MemberStatus> rows(long now) {
        return members.stream().map(member -> new MemberStatus(member.name, member.state, now - member.since,
            member.by,
            member.incarnation, words.age(now, member.index), words.sameList(now, member.index),
            differing(now, member), member.differsSince < 0 ? -1 : now - member.differsSince)).toList();
    }
}
