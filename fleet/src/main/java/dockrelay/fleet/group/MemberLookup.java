package dockrelay.fleet.group;

import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.group.GroupMessage.Kind;
import java.util.ArrayList;
import java.util.List;

/** Looks up a member of another group by asking members of that group. */
final class MemberLookup {
    private static final int MAX_ATTEMPTS = 6, MAX_LOOKUPS = 32;

    /** A lookup in progress. */
    static final class Lookup {
        final String name;
        final int group;
        int attempts;
        boolean finished;

        Lookup(String name, int group) {
            this.name = name;
            this.group = group;
        }
    }

    private final InterGroupProtocol protocol;
    private final List<Lookup> lookups = new ArrayList<>();

    MemberLookup(InterGroupProtocol protocol) {
        this.protocol = protocol;
    }

    /** Starts a lookup; the oldest one ends without a result if there are too many. */
    void start(long now, String name) {
        int group = protocol.assignment.groupOf(name);
        if (group < 0 || group == protocol.ownGroup) {
            protocol.lookupCompleted(name, memberStatus(now, name));
            return;
        }
        if (lookups.size() >= MAX_LOOKUPS) {
            finish(lookups.get(0), null);
        }
        Lookup lookup = new Lookup(name, group);
        lookups.add(lookup);
        sendQuery(now, lookup);
    }

    private MemberStatus memberStatus(long now, String name) {
        return protocol.ownMembership.memberStatuses(now).stream()
            .filter(status -> status.name().equals(name)).findFirst().orElse(null);
    }

    private void sendQuery(long now, Lookup lookup) {
        if (lookup.finished) {
            return;
        }
        if (lookup.attempts++ >= MAX_ATTEMPTS) {
            finish(lookup, null);
            return;
        }
        List<String> names = protocol.assignment.memberNames(lookup.group);
        GroupSummary summary = protocol.table.summary(lookup.group);
        int nameIndex = summary == null || lookup.attempts > summary.representatives().length ? -1
            : protocol.assignment.memberList(lookup.group)
            .indexOf(summary.representatives()[lookup.attempts - 1]);
        String target = names.get(nameIndex >= 0 ? nameIndex : protocol.random.nextInt(names.size()));
        PendingQuery query = protocol.pendingQueries.add(now, Kind.MEMBER_QUERY, target, lookup.group,
            lookup);
        protocol.send(target, protocol.newMessage(Kind.MEMBER_QUERY, query.sequence).memberName(lookup.name));
    }

    /** Queries another member of the group after a time-out. */
    void queryTimedOut(long now, PendingQuery query) {
        sendQuery(now, query.lookup);
    }

    /**
     * Answers a query, without a status if the name is not in this group: on the requester's list it may be
     * in another one.
     */
    void answerQuery(long now, String from, GroupMessage query) {
        if (query.memberName != null && protocol.hasJoined()) {
            MessageWriter reply = protocol.newMessage(Kind.MEMBER_REPLY, query.sequence);
            if (protocol.assignment.groupOf(query.memberName) == protocol.ownGroup) {
                reply.memberStatus(memberStatus(now, query.memberName));
            }
            protocol.send(from, reply);
        }
    }

    /** Ends the lookup if the reply has a status of the member, else queries another member. */
    void handleReply(long now, PendingQuery query, GroupMessage reply) {
        if (reply.memberStatus != null && reply.memberStatus.name().equals(query.lookup.name)) {
            finish(query.lookup, reply.memberStatus);
        } else {
            sendQuery(now, query.lookup);
        }
    }

    /** Ends all lookups without a result. */
    void finish() {
        new ArrayList<>(lookups).forEach(lookup -> finish(lookup, null));
    }

    private void finish(Lookup lookup, MemberStatus status) {
        if (!lookup.finished) {
            lookup.finished = true;
            lookups.remove(lookup);
            protocol.lookupCompleted(lookup.name, status);
        }
    }
}
