package dockrelay.fleet;

import dockrelay.fleet.Datagram.ViewReport;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;

/**
 * Compares a member's view with the latest reports of its peers' views: who agrees, how many members share
 * the work, and which share of a budget this member may spend. It never changes the state of a member.
 */
final class ViewComparison {
    private final MemberList memberList;
    private final List<Member> members;
    private final Member selfMember;
    private final ViewReports reports;
    private byte[] ownFlags; // as in the own report

    ViewComparison(MemberList memberList, List<Member> members, Member selfMember, ProtocolTiming timing) {
        this.memberList = memberList;
        this.members = members;
        this.selfMember = selfMember;
        this.reports = new ViewReports(memberList, timing.reportExpiry());
    }

    /**
     * Issues a new version of the own report. {@code isStable} decides whether a state that has not changed
     * for that many microseconds counts as stable.
     */
    void issueOwnReport(long now, long heartbeat, LongPredicate isStable) {
        ownFlags = new byte[ViewReports.flagBytes(members.size())];
        for (Member member : members) {
            ViewReports.setFlags(ownFlags, member.index, (member.state.isAbsent() ? ViewReports.ABSENT : 0)
                + (member.state != MemberState.JOINING && isStable.test(now - member.presenceChangedAt)
                ? ViewReports.STABLE : 0));
        }
        receiveReport(now, new ViewReport(selfMember.id, selfMember.incarnation, heartbeat, 0,
            memberList.hash(), ownFlags));
    }

    /** Stores a report, its own or that of a peer. */
    void receiveReport(long now, ViewReport report) {
        reports.store(now, report);
    }

    /** Returns the reports to relay to a peer, newest first. */
    List<ViewReport> reportsToSend(long now) {
        return reports.reportsToSend(now);
    }

    /** Records since when each peer's view has differed from this member's view. */
    void updateDisagreements(long now) {
        for (Member member : members) {
            if (member == selfMember || agreesWithOwnView(now, member)
                || reports.ageOf(now, member.index) < 0) {
                member.viewDiffersSince = -1;
            } else if (member.viewDiffersSince < 0) {
                member.viewDiffersSince = now;
            }
        }
    }

    /** Whether a peer's latest report is recent enough and equal to this member's view. */
    private boolean agreesWithOwnView(long now, Member member) {
        return reports.ageOf(now, member.index) >= 0 && reports.hasSameList(now, member.index)
            && !reports.absencesDiffer(now, member.index, ownFlags);
    }

    /** Returns the names of the members that are absent in only one of the two views. */
    private List<String> differingMembers(long now, Member member) {
        List<String> result = new ArrayList<>();
        for (Member other : members) {
            int flags = reports.flags(now, member.index, other.index);
            if (flags >= 0 && (flags & ViewReports.ABSENT) != 0 != other.state.isAbsent()) {
                result.add(other.name);
            }
        }
        return result;
    }

    /**
     * Returns the counts, agreement and budget share at {@code now}. docs/membership.md proves that the
     * shares of all members add up to at most 1.
     */
    MembershipSnapshot snapshot(long now, boolean hasLeft) {
        int configuredMembers = members.size(), quorum = configuredMembers / 2 + 1, leftMembers = 0,
            presentMembers = 0, agreeingMembers = 0;
        boolean allAgree = true;
        for (Member member : members) {
            leftMembers += member.state == MemberState.LEFT ? 1 : 0;
            if (member == selfMember) {
                agreeingMembers++;
                presentMembers++;
            } else if (!member.state.isAbsent() && member.state != MemberState.JOINING) {
                presentMembers++;
                boolean agrees = agreesWithOwnView(now, member);
                agreeingMembers += agrees ? 1 : 0;
                allAgree &= agrees;
            }
        }
        boolean hasMajority = 2 * agreeingMembers > configuredMembers - leftMembers;
        Agreement agreement = !hasMajority ? Agreement.MINORITY : allAgree ? Agreement.ALL
            : Agreement.MAJORITY;
        int countedMembers = 0, ownRank = 0, blockedMembers = 0, presenceConfirmations = 0;
        for (Member other : members) {
            int absentReports = 0, stableAbsentReports = 0;
            for (Member reporter : other.state.isAbsent() ? members : List.<Member>of()) {
                int flags = reports.flags(now, reporter.index, other.index);
                absentReports += flags >= 0 && (flags & ViewReports.ABSENT) != 0 ? 1 : 0;
                stableAbsentReports += flags == ViewReports.ABSENT + ViewReports.STABLE ? 1 : 0;
            }
            boolean excluded = other.state == MemberState.LEFT
                || hasMajority && other.state == MemberState.GONE
                && 2 * absentReports > configuredMembers - leftMembers;
            countedMembers += excluded ? 0 : 1;
            ownRank += !excluded && other.index < selfMember.index ? 1 : 0;
            blockedMembers += other.state.isAbsent() && stableAbsentReports >= configuredMembers - quorum + 1
                ? 1 : 0;
            presenceConfirmations += reports.flags(now, other.index, selfMember.index) == ViewReports.STABLE
                ? 1 : 0;
        }
        double equalShare = 1.0 / configuredMembers, minShare = configuredMembers == 1 ? 1 : equalShare / 2;
        double budgetShare = configuredMembers > 1 && (hasLeft || presenceConfirmations < quorum) ? minShare
            : equalShare * (1 + 0.5 * blockedMembers / (configuredMembers - blockedMembers));
        return new MembershipSnapshot(Math.max(1, countedMembers), ownRank, budgetShare, minShare, agreement,
            agreeingMembers, presentMembers, configuredMembers, 0);
    }

    /** Returns the status of all members, in the order of the list. */
    List<MemberStatus> memberStatuses(long now) {
        return members.stream().map(member -> new MemberStatus(member.name, member.state,
            now - member.stateSince, member.reportedBy, member.incarnation, reports.ageOf(now, member.index),
            reports.hasSameList(now, member.index), differingMembers(now, member),
            member.viewDiffersSince < 0 ? -1 : now - member.viewDiffersSince)).toList();
    }
}
