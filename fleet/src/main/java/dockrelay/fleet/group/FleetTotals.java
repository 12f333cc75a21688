package dockrelay.fleet.group;

import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MembershipSnapshot.Agreement;

/** Totals over all groups, from the table: the counted members, this member's rank, and the agreement. */
final class FleetTotals {
    private final InterGroupProtocol protocol;

    FleetTotals(InterGroupProtocol protocol) {
        this.protocol = protocol;
    }

    /** Whether a group's latest summary is recent enough to count. */
    boolean isFresh(long now, int group) {
        return protocol.table.summary(group) != null
            && protocol.membership.isFresh(protocol.table.summaryAge(now, group));
    }

    /**
     * Whether a group is excluded: it is unreachable both to a majority of the fleet and to this
     * member.
     */
    boolean isExcluded(long now, int group) {
        return group != protocol.ownGroup
            && protocol.table.timeSinceContact(now, group) > protocol.timing.unreachableAge()
            && isUnreachableToMajority(now, group);
    }

    /** Whether a majority of the fleet reports a group unreachable, by this member or its representative. */
    boolean isUnreachableToMajority(long now, int group) {
        return protocol.unreachableGroups.isUnreachableToMajority(now, group)
            || protocol.tableClient.isReportedUnreachable(now, group);
    }

    private boolean hasSameNames(int group) {
        return protocol.membership.hasSameNames(protocol.table.summary(group).namesHash(),
            protocol.assignment.hash(group));
    }

    /**
     * Returns how many of a group's names are counted: none if the group is excluded, and all if its summary
     * is stale or is based on other names than this member's list.
     */
    int countedMembers(long now, int group) {
        int nameCount = protocol.assignment.memberNames(group).size();
        return isExcluded(now, group) ? 0 : isFresh(now, group) && hasSameNames(group)
            ? protocol.membership.countedMembers(protocol.table.summary(group), nameCount) : nameCount;
    }

    /** Returns the known number of members that have left; majorities are of the other members. */
    int leftMembers(long now) {
        int total = protocol.leftMembers(now);
        for (int group = 0; group < protocol.assignment.groupCount(); group++) {
            GroupSummary summary = group == protocol.ownGroup ? null : protocol.table.summary(group);
            total += summary != null && summary.namesHash() == protocol.assignment.hash(group)
                ? summary.leftMembers() : 0;
        }
        return total;
    }

    /** Extends a snapshot of the own group to the whole fleet. */
    MembershipSnapshot snapshot(long now, MembershipSnapshot ownGroupSnapshot) {
        int groupCount = protocol.assignment.groupCount(), totalMembers = protocol.assignment.memberCount();
        int countedMembers = 0, ownRank = 0, presentMembers = 0, agreeingMembers = 0;
        long oldestReportAge = 0;
        boolean allAgree = ownGroupSnapshot.agreement() == Agreement.ALL;
        for (int group = 0; group < groupCount; group++) {
            if (group == protocol.ownGroup) {
                ownRank = countedMembers + ownGroupSnapshot.ownRank();
                countedMembers += ownGroupSnapshot.countedMembers();
                presentMembers += ownGroupSnapshot.presentMembers();
                agreeingMembers += ownGroupSnapshot.agreeingMembers();
                continue;
            }
            countedMembers += countedMembers(now, group);
            if (isExcluded(now, group)) {
                continue;
            }
            oldestReportAge = Math.max(oldestReportAge, protocol.table.dataAge(now, group));
            GroupSummary summary = protocol.table.summary(group);
            boolean summaryIsFresh = isFresh(now, group),
                sameList = summaryIsFresh && summary.listHash() == protocol.assignment.hash();
            presentMembers += summaryIsFresh && hasSameNames(group) ? summary.presentMembers() : 0;
            agreeingMembers += sameList ? summary.agreeingMembers() : 0;
            allAgree &= sameList && hasSameNames(group) && summary.agreement() == Agreement.ALL;
        }
        Agreement agreement = 2 * presentMembers <= totalMembers - leftMembers(now) ? Agreement.MINORITY
            : allAgree ? Agreement.ALL : Agreement.MAJORITY;
        double groupShare = (double) protocol.assignment.memberNames(protocol.ownGroup).size() / totalMembers;
        return new MembershipSnapshot(Math.max(1, countedMembers), ownRank,
            groupShare * ownGroupSnapshot.budgetShare(), groupShare * ownGroupSnapshot.minBudgetShare(),
            agreement, agreeingMembers, presentMembers, totalMembers, oldestReportAge);
    }

    /** Returns the status of another group, from its latest summary. */
    GroupStatus groupStatus(long now, int group) {
        GroupSummary summary = protocol.table.summary(group);
        int nameCount = protocol.assignment.memberNames(group).size();
        boolean summaryIsFresh = isFresh(now, group),
            sameList = summary == null || summary.listHash() == protocol.assignment.hash();
        if (summary == null) {
            return new GroupStatus(protocol.assignment.label(group), nameCount, 0, 0, 0,
                countedMembers(now, group), Agreement.MINORITY, -1, false, true, null);
        }
        int representativeIndex = protocol.assignment.memberList(group)
            .indexOf(summary.firstRepresentative());
        return new GroupStatus(protocol.assignment.label(group), nameCount, summary.presentMembers(),
            summary.leftMembers(), summary.goneMembers(), countedMembers(now, group), summary.agreement(),
            protocol.table.summaryAge(now, group), summaryIsFresh, sameList,
            representativeIndex < 0 ? null : protocol.assignment.memberNames(group).get(representativeIndex));
    }

    /** Returns the status of the own group, from this member's own summary of it. */
    GroupStatus ownGroupStatus(long now, GroupSummary summary) {
        int representativeIndex = protocol.assignment.memberList(protocol.ownGroup)
            .indexOf(summary.firstRepresentative());
        return new GroupStatus(protocol.assignment.label(protocol.ownGroup),
            protocol.assignment.memberNames(protocol.ownGroup).size(), summary.presentMembers(),
            summary.leftMembers(), summary.goneMembers(), summary.countedMembers(), summary.agreement(), 0,
            true, true, representativeIndex < 0 ? null
                : protocol.assignment.memberNames(protocol.ownGroup).get(representativeIndex));
    }
}
