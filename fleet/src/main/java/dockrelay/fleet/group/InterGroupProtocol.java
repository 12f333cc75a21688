package dockrelay.fleet.group;

import dockrelay.fleet.MemberList;
import dockrelay.fleet.MemberState;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.Membership;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.group.GroupMessage.Kind;
import dockrelay.fleet.group.GroupMessage.RefusalReason;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * One member's part of the protocol between groups, for one list of members. Its components share this
 * object to reach each other.
 */
final class InterGroupProtocol {
    final GroupedMembership membership;
    final String self;
    final GroupAssignment assignment;
    final int ownGroup;
    final Membership ownMembership;
    final GroupTiming timing;
    final Random random;
    final GroupTable table;
    final PendingQueries pendingQueries;
    final Representatives representatives;
    final UnreachableGroups unreachableGroups;
    final FleetTotals totals;
    final GroupPoller groupPoller;
    final TableClient tableClient;
    private final TableResponder tableResponder;
    private final GroupedMembership.Callbacks callbacks;
    private final MemberLookup memberLookup;
    private final int selfId;
    private final Map<RefusalReason, Long> refusalCounts = new EnumMap<>(RefusalReason.class);
    private long nextTickAt;

    InterGroupProtocol(GroupedMembership membership, String self, GroupAssignment assignment,
        Membership ownMembership, ProtocolTiming protocolTiming, Random random,
        GroupedMembership.Callbacks callbacks, long now) {
        this.membership = membership;
        this.self = self;
        this.selfId = MemberList.idOf(self);
        this.assignment = assignment;
        this.ownGroup = assignment.groupOf(self);
        this.ownMembership = ownMembership;
        this.timing = new GroupTiming(protocolTiming);
        this.random = random;
        this.callbacks = callbacks;
        this.table = new GroupTable(assignment, timing, now);
        this.pendingQueries = new PendingQueries(timing, random);
        this.representatives = new Representatives(ownMembership, self, assignment.memberNames(ownGroup),
            assignment.groupCount());
        this.unreachableGroups = new UnreachableGroups(this, now);
        this.totals = new FleetTotals(this);
        this.groupPoller = new GroupPoller(this);
        this.tableResponder = new TableResponder(this, random.nextInt() | 1);
        this.tableClient = new TableClient(this, now);
        this.memberLookup = new MemberLookup(this);
        this.nextTickAt = now;
    }

    // --- timers

    long nextTickAt() {
        return nextTickAt;
    }

    void tick(long now) {
        extendTimeoutsAfterStall(now);
        for (PendingQuery timedOutQuery = pendingQueries.nextTimedOut(now); timedOutQuery != null;
            timedOutQuery = pendingQueries.nextTimedOut(now)) {
            switch (timedOutQuery.kind) {
                case GROUP_QUERY -> groupPoller.queryTimedOut(now, timedOutQuery);
                case TABLE_QUERY -> tableClient.queryTimedOut(now);
                default -> memberLookup.queryTimedOut(now, timedOutQuery);
            }
        }
        sendDueQueries(now);
    }

    private void sendDueQueries(long now) {
        boolean isRepresentative = isRepresentative();
        unreachableGroups.setRepresentative(now, isRepresentative);
        long nextDueAt = Math.min(tableClient.tick(now), groupPoller.tick(now));
        nextTickAt = Math.min(nextDueAt, pendingQueries.nextTimeoutAt());
    }

    /** After a pause of this process, extends time-outs: the pause does not count against any member. */
    private void extendTimeoutsAfterStall(long now) {
        long stallTime = now - nextTickAt;
        if (stallTime >= timing.queryTimeout() / 4) {
            pendingQueries.extendTimeouts(stallTime);
            nextTickAt = now;
            if (stallTime >= timing.queryTimeout()) {
                unreachableGroups.restartObservation(now);
            }
        }
    }

    // --- datagrams

    /** Starts a message from this member. */
    MessageWriter newMessage(Kind kind, int sequence) {
        return new MessageWriter(kind, selfId, assignment.hash(), sequence);
    }

    void send(String receiver, MessageWriter message) {
        callbacks.send(receiver, message.finish());
    }

    /** Handles a datagram of this protocol; {@code from} is null if the sender's address has no name. */
    void receive(long now, String from, ByteBuffer datagram) {
        extendTimeoutsAfterStall(now);
        GroupMessage message;
        try {
            message = GroupMessage.decode(datagram);
        } catch (GroupMessage.DecodeException e) {
            refusalCounts.merge(e.reason, 1L, Long::sum);
            return;
        }
        if (from == null || from.equals(self) || assignment.groupOf(from) < 0) {
            refusalCounts.merge(RefusalReason.STRANGER, 1L, Long::sum);
        } else if (message.senderId != MemberList.idOf(from)) {
            refusalCounts.merge(RefusalReason.MISNAMED, 1L, Long::sum);
        } else {
            dispatch(now, from, message);
            sendDueQueries(now);
        }
    }

    private void dispatch(long now, String from, GroupMessage message) {
        switch (message.kind) {
            case GROUP_QUERY -> groupPoller.answerQuery(now, from, message);
            case TABLE_QUERY -> tableResponder.answerQuery(now, from, message);
            case MEMBER_QUERY -> memberLookup.answerQuery(now, from, message);
            case GROUP_REPLY -> {
                PendingQuery query = pendingQueries.removeAnswered(message.sequence, from, Kind.GROUP_QUERY);
                if (query != null) {
                    groupPoller.handleReply(now, query, message);
                }
            }
            case TABLE_REPLY -> {
                PendingQuery query = pendingQueries.removeAnswered(message.sequence, from, Kind.TABLE_QUERY);
                if (query != null) {
                    tableClient.handleReply(now, query, message);
                }
            }
            default -> {
                PendingQuery query = pendingQueries.removeAnswered(message.sequence, from, Kind.MEMBER_QUERY);
                if (query != null) {
                    memberLookup.handleReply(now, query, message);
                }
            }
        }
    }

    /** Stores a summary of another group with its maximum age in microseconds. */
    void storeSummary(long now, GroupSummary summary, long age, boolean firstHand) {
        int group = assignment.groupWithKey(summary.key());
        if (group >= 0 && group != ownGroup) {
            table.store(now, membership.mergeSummary(table.summary(group), table.summaryAge(now, group),
                summary), age, firstHand);
        }
    }

    // --- the own group

    /** Whether this member is a representative of its group. */
    boolean isRepresentative() {
        return ownMembership.stateOf(self) == MemberState.PRESENT && representatives.containsSelf();
    }

    /** Whether a peer has answered this member; before that it knows nothing about its group. */
    boolean hasJoined() {
        return ownMembership.stateOf(self) != MemberState.JOINING;
    }

    int presentMembers(long now) {
        return ownMembership.snapshot(now).presentMembers();
    }

    int leftMembers(long now) {
        return countInState(MemberState.LEFT);
    }

    private int countInState(MemberState state) {
        return (int) assignment.memberNames(ownGroup).stream()
            .filter(name -> ownMembership.stateOf(name) == state).count();
    }

    /** Returns this member's summary of its own group. */
    GroupSummary ownSummary(long now) {
        MembershipSnapshot snapshot = ownMembership.snapshot(now);
        return new GroupSummary(assignment.keyOf(ownGroup), assignment.hash(), assignment.hash(ownGroup),
            ownMembership.viewHash(), snapshot.presentMembers(), countInState(MemberState.LEFT),
            countInState(MemberState.GONE), snapshot.countedMembers(), snapshot.agreement(),
            snapshot.agreeingMembers(), representatives.ids(), selfId);
    }

    // --- results

    MembershipSnapshot snapshot(long now) {
        return totals.snapshot(now, ownMembership.snapshot(now));
    }

    List<GroupStatus> groupStatuses(long now) {
        List<GroupStatus> result = new ArrayList<>();
        for (int group = 0; group < assignment.groupCount(); group++) {
            result.add(group == ownGroup ? totals.ownGroupStatus(now, ownSummary(now))
                : totals.groupStatus(now, group));
        }
        return result;
    }

    void findMember(long now, String name) {
        memberLookup.start(now, name);
        sendDueQueries(now);
    }

    /** Ends this protocol, as another list of members replaces it. */
    void close() {
        memberLookup.finish();
    }

    void lookupCompleted(String name, MemberStatus status) {
        callbacks.memberLookupCompleted(name, status);
    }

    /** Adds the number of refused datagrams by reason since the last call, and resets the counts. */
    void takeRefusalCounts(Map<String, Long> counts) {
        refusalCounts.forEach((reason, count) ->
            counts.merge(reason.name().toLowerCase(java.util.Locale.ROOT), count, Long::sum));
        refusalCounts.clear();
    }
}
