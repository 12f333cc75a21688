package dockrelay.fleet.group;

import dockrelay.fleet.MemberState;
import dockrelay.fleet.group.GroupMessage.Kind;
import dockrelay.fleet.group.GroupMessage.TableRow;
import dockrelay.fleet.group.GroupMessage.UnreachableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The queries of a member to its own group's representatives for the table of the other groups. A member
 * queries one representative per round, and another one if that does not answer or lacks data. A
 * representative queries each of the others, so that their assigned parts add up to the whole table.
 */
final class TableClient {
    private final InterGroupProtocol protocol;
    private final Map<String, RemoteTable> remoteTables = new HashMap<>();
    private final Map<String, Long> nextQueryAt = new HashMap<>();
    private final int usualIndex; // selects the usual representative; spreads the members evenly over them
    private long nextRoundAt, returnAt;
    private int indexOffset, failedQueries;
    // The data of the member that answered last is kept until the member that was queried last answers.
    private String lastQueried, lastAnswered;

    TableClient(InterGroupProtocol protocol, long now) {
        this.protocol = protocol;
        this.nextRoundAt = now + (long) (protocol.random.nextDouble() * protocol.timing.tableQueryInterval());
        this.usualIndex = protocol.assignment.memberList(protocol.ownGroup).indexOf(protocol.self);
    }

    /** Sends the queries that are due; returns the time of the next one. */
    long tick(long now) {
        List<String> representatives = protocol.representatives.names();
        if (!protocol.isRepresentative()) {
            nextQueryAt.clear();
            if (now >= nextRoundAt) {
                nextRoundAt = now + (long) (protocol.timing.tableQueryInterval()
                    * (0.95 + 0.1 * protocol.random.nextDouble()));
                failedQueries = 0;
                if (lacksRecentData(now)) {
                    switchRepresentative(now);
                } else if (now >= returnAt) {
                    indexOffset = 0;
                }
                sendQuery(now);
            }
            String usualRepresentative = representatives.isEmpty() ? null
                : representatives.get(Math.floorMod(usualIndex, representatives.size()));
            remoteTables.keySet().removeIf(name -> !name.equals(usualRepresentative)
                && !name.equals(lastQueried) && !name.equals(lastAnswered));
            return nextRoundAt;
        }
        long nextDueAt = Long.MAX_VALUE;
        nextQueryAt.keySet().retainAll(representatives);
        remoteTables.keySet().retainAll(representatives);
        for (String representative : representatives) {
            if (!representative.equals(protocol.self)) {
                long dueAt = nextQueryAt.computeIfAbsent(representative, name -> now
                    + (long) (protocol.random.nextDouble() * protocol.timing.queryTimeout()));
                if (now >= dueAt) {
                    dueAt = now + (long) (protocol.timing.shortQueryInterval()
                        * (0.95 + 0.1 * protocol.random.nextDouble()));
                    nextQueryAt.put(representative, dueAt);
                    sendQuery(now, representative, true);
                }
                nextDueAt = Math.min(nextDueAt, dueAt);
            }
        }
        return nextDueAt;
    }

    /**
     * Switches to another representative for some rounds only; else all members would end up with the same
     * one.
     */
    private void switchRepresentative(long now) {
        indexOffset++;
        returnAt = now + protocol.timing.switchTime();
    }

    /**
     * Whether data about a group has been too old for so long that another representative may have newer
     * data. Groups known to be excluded do not matter: a query to another representative costs a whole
     * table, and the representatives share their data, including which groups are excluded.
     */
    private boolean lacksRecentData(long now) {
        for (int group = 0; group < protocol.assignment.groupCount(); group++) {
            if (group != protocol.ownGroup && protocol.table.dataAge(now, group) > protocol.timing.switchAge()
                && !protocol.totals.isUnreachableToMajority(now, group)) {
                return true;
            }
        }
        return false;
    }

    private void sendQuery(long now) {
        List<String> representatives = protocol.representatives.names();
        if (!representatives.isEmpty() && failedQueries < representatives.size()) {
            sendQuery(now, protocol.membership.tableQueryTarget(
                representatives.get(Math.floorMod(usualIndex + indexOffset, representatives.size()))), false);
            return;
        }
        List<String> candidates = protocol.assignment.memberNames(protocol.ownGroup).stream()
            .filter(name -> protocol.ownMembership.stateOf(name) == MemberState.PRESENT
            && !name.equals(protocol.self)).toList();
        if (!candidates.isEmpty()) {
            sendQuery(now, protocol.membership.tableQueryTarget(
                candidates.get(protocol.random.nextInt(candidates.size()))), false);
        }
    }

    /**
     * Queries a member for changes of the table. With {@code ownPart} it sends only the rows that it queried
     * itself: a representative queries all others, and their parts add up to the whole table.
     */
    private void sendQuery(long now, String target, boolean ownPart) {
        lastQueried = target;
        RemoteTable remoteTable = remoteTables.get(target);
        PendingQuery query = protocol.pendingQueries.add(now, Kind.TABLE_QUERY, target, -1, null);
        // Only representatives need the bitmaps of unreachable groups, and no more often than groups send
        // them.
        boolean wantsUnreachable = protocol.isRepresentative()
            && (remoteTable == null || remoteTable.queryCount++ % 2 == 0);
        // So far the rows that the target had not queried itself were left out.
        boolean fromStart = remoteTable == null || remoteTable.partial && !ownPart;
        protocol.send(target, protocol.newMessage(Kind.TABLE_QUERY, query.sequence)
            .since(fromStart ? 0 : remoteTable.epoch, fromStart ? 0 : remoteTable.version, wantsUnreachable,
            ownPart));
    }

    /** Queries another representative after a time-out. */
    void queryTimedOut(long now) {
        if (!protocol.isRepresentative() && failedQueries <= protocol.representatives.names().size()) {
            failedQueries++;
            switchRepresentative(now);
            sendQuery(now);
        }
    }

    /** Stores the rows and ages of a reply, and queries the rest if there is more. */
    void handleReply(long now, PendingQuery query, GroupMessage reply) {
        boolean sameList = reply.listHash == protocol.assignment.hash();
        if (reply.ages == null || sameList && reply.ages.length != protocol.assignment.groupCount()) {
            return;
        }
        RemoteTable remoteTable = remoteTables.computeIfAbsent(query.target, RemoteTable::new);
        if (query.sentAt < remoteTable.queriedAt) {
            return; // a reply to a later query arrived first
        }
        if (remoteTable.epoch != reply.epoch || remoteTable.rows.length != reply.ages.length) {
            remoteTable.reset(reply.epoch, reply.listHash, reply.ages.length);
        }
        lastAnswered = query.target;
        remoteTable.queriedAt = query.sentAt;
        remoteTable.version = reply.version;
        remoteTable.partial = reply.ownPart;
        for (TableRow row : reply.rows) {
            if (row.index() < remoteTable.rows.length && (sameList || row.key() != 0)) {
                remoteTable.rows[row.index()] = toSummary(row, reply.listHash, sameList);
            }
        }
        long roundTrip = now - query.sentAt;
        for (int index = 0; index < remoteTable.rows.length; index++) {
            int ageUnits = reply.ages[index] & 0xff;
            remoteTable.excluded[index] = ageUnits == GroupMessage.AGE_EXCLUDED;
            if (ageUnits <= GroupMessage.MAX_AGE_UNITS && remoteTable.rows[index] != null) {
                protocol.storeSummary(now, remoteTable.rows[index],
                    protocol.membership.ageAfterRoundTrip(ageUnits * protocol.timing.ageUnit(), roundTrip),
                    false);
            }
        }
        if (sameList) {
            for (UnreachableSet unreachableSet : reply.unreachableSets) {
                if (unreachableSet.group() < protocol.assignment.groupCount()
                    && unreachableSet.ageUnits() <= GroupMessage.MAX_AGE_UNITS) {
                    protocol.table.storeUnreachable(now, unreachableSet.group(), unreachableSet.unreachable(),
                        unreachableSet.ageUnits() * protocol.timing.ageUnit() + roundTrip);
                }
            }
        }
        if (reply.hasMore && !reply.rows.isEmpty()) {
            sendQuery(now, query.target, protocol.isRepresentative());
        }
    }

    /** Converts a received table row to a summary; {@code listHash} is that of the sender's list. */
    private GroupSummary toSummary(TableRow receivedRow, int listHash, boolean sameList) {
        boolean usesOwnList = receivedRow.key() == 0 && !receivedRow.otherList();
        int group = receivedRow.key() != 0 ? protocol.assignment.groupWithKey(receivedRow.key())
            : sameList ? receivedRow.index() : -1;
        TableRow row = usesOwnList ? receivedRow.withAllCounts(protocol.assignment.memberNames(group).size())
            : receivedRow;
        int key = row.key() != 0 ? row.key() : protocol.assignment.keyOf(group);
        int[] representatives = {};
        if (!usesOwnList && row.representative() != 0) {
            representatives = new int[] {row.representative()};
        } else if (usesOwnList && row.representative() > 0
            && row.representative() <= protocol.assignment.memberNames(group).size()) {
            representatives = new int[] {protocol.assignment.memberList(group)
                .idAt(row.representative() - 1)};
        }
        return new GroupSummary(key, row.otherList() ? row.listHash() : listHash,
            usesOwnList ? protocol.assignment.hash(group) : row.namesHash(), 0, row.presentMembers(),
            row.leftMembers(), row.goneMembers(), row.countedMembers(), row.agreement(),
            row.agreeingMembers(), representatives, representatives.length == 0 ? 0 : representatives[0]);
    }

    /** Returns the number of rows in all copies of other members' tables. */
    int heldRows() {
        return remoteTables.values().stream().mapToInt(remoteTable -> remoteTable.rows.length).sum();
    }

    /** Whether a representative recently reported a group as unreachable to a majority of the fleet. */
    boolean isReportedUnreachable(long now, int group) {
        for (RemoteTable remoteTable : remoteTables.values()) {
            if (remoteTable.listHash == protocol.assignment.hash() && group < remoteTable.excluded.length
                && remoteTable.excluded[group]
                && now - remoteTable.queriedAt <= protocol.timing.unreachableAge()) {
                return true;
            }
        }
        return false;
    }
}
