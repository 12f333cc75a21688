package dockrelay.fleet.group;

import dockrelay.fleet.group.GroupMessage.Kind;
import dockrelay.fleet.group.GroupMessage.RelayedSummary;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The queries of a representative to other groups. The representatives of a group divide the other groups
 * among themselves and query each once per round, at random offsets, and more often while a group has no
 * agreement. If the data about a group is overdue, a second representative queries it too, and all do if the
 * group seems unreachable. A query goes to a representative of the other group, or to any of its members if
 * none is known or none answers.
 */
final class GroupPoller {
    private static final int MAX_RELAY_REQUESTS = 4, PARALLEL_QUERIES = 7;
    /** After this many failed queries a group counts as unreachable, and is no longer retried at once. */
    private static final int MAX_FAILED_QUERIES = 8;

    private final InterGroupProtocol protocol;
    private final long[] nextQueryAt;
    private boolean wasRepresentative;
    private List<String> rankedRepresentatives; // the representatives for which the ranks were computed
    private final int[] ranks;
    // Per group: queries without a reply, queries since the last reply, index of the first name tried.
    private final int[] failedQueries, queriesSinceReply, firstNameIndex;

    GroupPoller(InterGroupProtocol protocol) {
        this.protocol = protocol;
        this.nextQueryAt = new long[protocol.assignment.groupCount()];
        this.ranks = new int[nextQueryAt.length];
        this.failedQueries = new int[nextQueryAt.length];
        this.queriesSinceReply = new int[nextQueryAt.length];
        this.firstNameIndex = new int[nextQueryAt.length];
        java.util.Arrays.fill(nextQueryAt, Long.MAX_VALUE);
    }

    /** Sends the queries that are due; returns the time of the next one. */
    long tick(long now) {
        long nextDueAt = Long.MAX_VALUE;
        boolean isRepresentative = protocol.isRepresentative(), idle = !isRepresentative
            && !wasRepresentative;
        wasRepresentative = isRepresentative;
        if (idle) {
            return nextDueAt;
        }
        updateRanks();
        for (int group = 0; group < nextQueryAt.length; group++) {
            if (!isRepresentative || group == protocol.ownGroup || !isAssigned(now, group)) {
                nextQueryAt[group] = Long.MAX_VALUE;
                continue;
            }
            if (nextQueryAt[group] == Long.MAX_VALUE) { // a newly assigned group: soon, but not all at once
                boolean overdue = protocol.table.dataAge(now, group) > protocol.timing.overdueAge();
                nextQueryAt[group] = now + (long) (protocol.random.nextDouble() * (overdue
                    ? protocol.timing.queryTimeout() / 4 : protocol.timing.queryInterval()));
                failedQueries[group] = 0;
                queriesSinceReply[group] = 0;
            }
            if (now >= nextQueryAt[group]) {
                sendQueries(now, group);
            }
            nextDueAt = Math.min(nextDueAt, nextQueryAt[group]);
        }
        return nextDueAt;
    }

    /** Recomputes the ranks if the representatives changed; this hashes each of them for each group. */
    private void updateRanks() {
        if (rankedRepresentatives != protocol.representatives.names()) {
            rankedRepresentatives = protocol.representatives.names();
            for (int group = 0; group < ranks.length; group++) {
                ranks[group] = protocol.representatives.ownRank(protocol.assignment.keyOf(group));
            }
        }
    }

    /** Whether this representative has to query a group: it is assigned to it, or the data is too old. */
    private boolean isAssigned(long now, int group) {
        long dataAge = protocol.table.dataAge(now, group);
        if (dataAge > protocol.timing.unreachableAge()) {
            return true; // all representatives query it, to establish quickly whether it is unreachable
        }
        return ranks[group] == 0 || ranks[group] == 1 && dataAge > protocol.timing.overdueAge();
    }

    /**
     * Whether the number of queries that failed since a group's last reply is too high for a single dead
     * member to be the cause.
     */
    boolean isUnresponsive(int group) {
        return failedQueries[group] >= MAX_FAILED_QUERIES;
    }

    /** Queries one member, or several at once if a query failed and the group's data is overdue. */
    private void sendQueries(long now, int group) {
        long interval = protocol.table.isUnsettled(now, group) ? protocol.timing.shortQueryInterval()
            : protocol.timing.queryInterval();
        nextQueryAt[group] = now + (long) (interval * (0.95 + 0.1 * protocol.random.nextDouble()));
        boolean overdue = failedQueries[group] > 0
            && protocol.table.dataAge(now, group) > protocol.timing.overdueAge();
        List<Integer> relayRequests = relayRequests(now);
        for (int i = overdue && failedQueries[group] < MAX_FAILED_QUERIES ? PARALLEL_QUERIES : 1; i > 0;
            i--) {
            String target = nextTarget(group);
            PendingQuery query = protocol.pendingQueries.add(now, Kind.GROUP_QUERY, target, group, null);
            protocol.send(target, protocol.newMessage(Kind.GROUP_QUERY, query.sequence)
                .relayRequests(i == 1 ? relayRequests : List.of()));
        }
    }

    /** Returns the next member to query: each known representative in turn, then all members. */
    private String nextTarget(int group) {
        List<String> names = protocol.assignment.memberNames(group);
        GroupSummary summary = protocol.table.summary(group);
        int representativeCount = summary == null ? 0 : summary.representatives().length,
            queryNumber = queriesSinceReply[group]++;
        if (queryNumber == 0) {
            firstNameIndex[group] = protocol.random.nextInt(names.size());
        }
        // The representatives of a minority do not know the majority: other members have to be tried as well.
        if (queryNumber < representativeCount && !(summary.isMinority() && protocol.random.nextBoolean())) {
            // Groups start with different representatives, which spreads the load over them.
            int representativeId
                = summary.representatives()[(protocol.ownGroup + queryNumber) % representativeCount];
            int nameIndex = protocol.assignment.memberList(group).indexOf(representativeId);
            if (nameIndex >= 0) {
                return protocol.membership.groupQueryTarget(group, names.get(nameIndex));
            }
        }
        return protocol.membership.groupQueryTarget(group,
            names.get((firstNameIndex[group] + queryNumber) % names.size()));
    }

    /** Returns some of the unreachable groups: another group may have recent data about them. */
    private List<Integer> relayRequests(long now) {
        List<Integer> unreachableKeys = new ArrayList<>();
        for (int group = 0; group < nextQueryAt.length; group++) {
            if (protocol.unreachableGroups.isUnreachable(now, group)
                && !protocol.unreachableGroups.isUnreachableToMajority(now, group)) {
                unreachableKeys.add(protocol.assignment.keyOf(group));
            }
        }
        Collections.shuffle(unreachableKeys, protocol.random);
        return unreachableKeys.subList(0, Math.min(MAX_RELAY_REQUESTS, unreachableKeys.size()));
    }

    /** Schedules a query to another member at once, unless too many have failed. */
    void queryTimedOut(long now, PendingQuery query) {
        int group = query.group;
        if (++failedQueries[group] < MAX_FAILED_QUERIES && nextQueryAt[group] != Long.MAX_VALUE) {
            nextQueryAt[group] = now;
        }
    }

    /** Answers another group's query with a summary of this group. */
    void answerQuery(long now, String from, GroupMessage query) {
        if (protocol.hasJoined()) {
            List<RelayedSummary> relayedSummaries = new ArrayList<>();
            for (int key : query.relayRequests) {
                int group = protocol.assignment.groupWithKey(key);
                if (group >= 0 && group != protocol.ownGroup && protocol.table.summary(group) != null
                    && protocol.table.summaryAge(now, group) <= protocol.timing.unreachableAge()) {
                    relayedSummaries.add(new RelayedSummary(protocol.table.summary(group),
                        protocol.table.summaryAge(now, group)));
                }
            }
            protocol.send(from, protocol.newMessage(Kind.GROUP_REPLY, query.sequence)
                .summary(protocol.ownSummary(now))
                .unreachable(query.listHash == protocol.assignment.hash()
                    ? protocol.unreachableGroups.unreachableBitmap(now) : null)
                .relayedSummaries(relayedSummaries));
        }
    }

    /** Stores the summaries and the unreachable groups of a reply. */
    void handleReply(long now, PendingQuery query, GroupMessage reply) {
        if (reply.summary == null) {
            return;
        }
        failedQueries[query.group] = 0;
        queriesSinceReply[query.group] = 0;
        long roundTrip = now - query.sentAt;
        protocol.storeSummary(now, reply.summary, protocol.membership.ageAfterRoundTrip(0, roundTrip), true);
        int group = protocol.assignment.groupWithKey(reply.summary.key());
        if (group >= 0 && reply.listHash == protocol.assignment.hash()) {
            protocol.table.storeUnreachable(now, group,
                reply.unreachable == null ? new byte[0] : reply.unreachable, roundTrip);
        }
        for (RelayedSummary relayedSummary : reply.relayedSummaries) {
            protocol.storeSummary(now, relayedSummary.summary(),
                protocol.membership.ageAfterRoundTrip(relayedSummary.age(), roundTrip), true);
        }
    }
}
