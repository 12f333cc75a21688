package dockrelay.fleet.group;

import dockrelay.fleet.group.GroupMessage.Kind;
import dockrelay.fleet.group.GroupMessage.TableRow;
import dockrelay.fleet.group.GroupMessage.UnreachableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Answers table queries of members of the own group, with the rows that changed since the last reply and the
 * age of each group's data as one byte.
 */
final class TableResponder {
    private final InterGroupProtocol protocol;
    private final int epoch;

    TableResponder(InterGroupProtocol protocol, int epoch) {
        this.protocol = protocol;
        this.epoch = epoch;
    }

    /** Sends the rows that changed since the version that the sender has, as many as fit, and all ages. */
    void answerQuery(long now, String sender, GroupMessage query) {
        boolean keyed = query.listHash != protocol.assignment.hash();
        long sinceVersion = query.epoch == epoch ? query.version : 0;
        GroupTable table = protocol.table;
        int groupCount = protocol.assignment.groupCount();
        List<Integer> changedGroups = new ArrayList<>();
        for (int group = 0; group < groupCount; group++) {
            if (group != protocol.ownGroup && table.summary(group) != null
                && table.version(group) > sinceVersion && isWanted(query, group)) {
                changedGroups.add(group);
            }
        }
        changedGroups.sort(Comparator.comparingLong(table::version));
        List<TableRow> rows = new ArrayList<>();
        if (keyed) { // on the requester's list the two members may be in different groups
            rows.add(toRow(protocol.ownGroup, protocol.ownSummary(now), true));
        }
        changedGroups.forEach(group -> rows.add(toRow(group, table.summary(group), keyed)));
        MessageWriter reply = protocol.newMessage(Kind.TABLE_REPLY, query.sequence);
        // Either the distance to the group and its age, or the age alone.
        int ageBytes = groupCount * (query.ownPart ? 2 : 1);
        int writtenRows = reply.rows(rows, keyed, ageBytes + 24, query.readsCompact
            ? group -> protocol.assignment.memberNames(group).size() : null);
        boolean hasMore = writtenRows < rows.size();
        long upToVersion = hasMore ? table.version(rows.get(writtenRows - 1).index()) : table.version();
        byte[] ages = new byte[groupCount];
        for (int group = 0; group < groupCount; group++) {
            int age = encodedAge(now, group, keyed, upToVersion);
            ages[group] = (byte) (isWanted(query, group) || age == GroupMessage.AGE_EXCLUDED ? age
                : GroupMessage.AGE_UNKNOWN);
        }
        reply.upTo(epoch, upToVersion, hasMore);
        if (query.ownPart) {
            reply.ownAges(ages);
        } else {
            reply.ages(ages);
        }
        if (query.wantsUnreachable && !keyed) {
            List<UnreachableSet> unreachableSets = new ArrayList<>();
            for (int group = 0; group < groupCount; group++) {
                byte[] unreachable = group == protocol.ownGroup ? null : table.unreachable(now, group);
                if (unreachable != null && unreachable.length > 0 && isWanted(query, group)) {
                    unreachableSets.add(new UnreachableSet(group, java.util.Arrays.copyOf(unreachable,
                        (groupCount + 7) / 8), toUnits(table.unreachableAge(now, group))));
                }
            }
            if (query.readsCompact) {
                reply.sharedUnreachableSets(unreachableSets);
            } else {
                reply.unreachableSets(unreachableSets);
            }
        }
        protocol.send(sender, reply);
    }

    /**
     * Whether a row belongs into the reply: a query for the own part gets only rows that this member
     * queried.
     */
    private boolean isWanted(GroupMessage query, int group) {
        return !query.ownPart || group == protocol.ownGroup || protocol.table.isFirstHand(group);
    }

    /** Returns the age byte of a group: its age in units, or one of the special values. */
    private int encodedAge(long now, int group, boolean keyed, long upToVersion) {
        if (group == protocol.ownGroup) {
            return keyed ? 0 : GroupMessage.AGE_UNKNOWN;
        } else if (protocol.unreachableGroups.isUnreachableToMajority(now, group)
            || protocol.unreachableGroups.isUndecided(now, group)
            && protocol.tableClient.isReportedUnreachable(now, group)) {
            return GroupMessage.AGE_EXCLUDED;
        } else if (protocol.table.summary(group) == null || protocol.table.version(group) > upToVersion) {
            return GroupMessage.AGE_UNKNOWN;
        }
        return toUnits(protocol.table.summaryAge(now, group));
    }

    /** Rounds up: an age must never be understated. */
    private int toUnits(long ageMicros) {
        long units = (ageMicros + protocol.timing.ageUnit() - 1) / protocol.timing.ageUnit();
        return units > GroupMessage.MAX_AGE_UNITS ? GroupMessage.AGE_TOO_OLD : (int) units;
    }

    private TableRow toRow(int group, GroupSummary summary, boolean keyed) {
        boolean otherList = summary.listHash() != protocol.assignment.hash();
        int representative = summary.firstRepresentative();
        if (!keyed && !otherList) {
            representative = 1 + protocol.assignment.memberList(group).indexOf(summary.firstRepresentative());
        }
        return new TableRow(group, protocol.assignment.keyOf(group), otherList, summary.listHash(),
            summary.namesHash(), summary.presentMembers(), summary.leftMembers(), summary.goneMembers(),
            summary.countedMembers(), summary.agreement(), summary.agreeingMembers(), representative);
    }
}
