package dockrelay.fleet.group;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** The queries that may still be answered. */
final class PendingQueries {
    private final GroupTiming timing;
    private final Map<Integer, PendingQuery> bySequence = new HashMap<>();
    /**
     * In the order in which they were sent, which is also the order of their time-outs and of their expiry.
     */
    private final Deque<PendingQuery> awaitingTimeout = new ArrayDeque<>(),
        awaitingExpiry = new ArrayDeque<>();
    private int lastSequence;

    PendingQueries(GroupTiming timing, Random random) {
        this.timing = timing;
        this.lastSequence = random.nextInt();
    }

    /** Creates and records a query with a new sequence number. */
    PendingQuery add(long now, GroupMessage.Kind kind, String target, int group, MemberLookup.Lookup lookup) {
        PendingQuery query = new PendingQuery(++lastSequence, kind, target, group, lookup, now,
            now + timing.queryTimeout());
        bySequence.put(query.sequence, query);
        awaitingTimeout.add(query);
        awaitingExpiry.add(query);
        return query;
    }

    /** Returns and removes the query that a reply matches; null if there is none or it has expired. */
    PendingQuery removeAnswered(int sequence, String sender, GroupMessage.Kind kind) {
        PendingQuery query = bySequence.get(sequence);
        if (query == null || !query.target.equals(sender) || query.kind != kind) {
            return null;
        }
        bySequence.remove(sequence);
        query.answered = true;
        return query;
    }

    /** Returns the next query that timed out, or null. A reply to it is still accepted until it expires. */
    PendingQuery nextTimedOut(long now) {
        while (!awaitingExpiry.isEmpty() && now - awaitingExpiry.peek().sentAt >= timing.queryExpiry()) {
            bySequence.remove(awaitingExpiry.poll().sequence);
        }
        while (!awaitingTimeout.isEmpty()
            && (awaitingTimeout.peek().answered || awaitingTimeout.peek().timeoutAt <= now)) {
            PendingQuery query = awaitingTimeout.poll();
            if (!query.answered) {
                return query;
            }
        }
        return null;
    }

    /** Returns when the next query times out, or {@code Long.MAX_VALUE}. */
    long nextTimeoutAt() {
        while (!awaitingTimeout.isEmpty() && awaitingTimeout.peek().answered) {
            awaitingTimeout.poll();
        }
        return awaitingTimeout.isEmpty() ? Long.MAX_VALUE : awaitingTimeout.peek().timeoutAt;
    }

    /** Extends the time-outs by a time in which this process did not run. */
    void extendTimeouts(long duration) {
        awaitingTimeout.forEach(query -> query.timeoutAt += duration);
    }
}
