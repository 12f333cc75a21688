package dockrelay.fleet.budget;

import dockrelay.fleet.budget.BudgetMessage.Kind;

/**
 * The vote of one member. It is granted to one candidate at a time and for a limited time, and not
 * until any vote that the previous process of this name may have granted has expired. Remembers the
 * voter sets that a coordinator announced.
 */
class Voter {
    private final int selfId, instanceId;
    private final BudgetTiming timing;
    private final long firstVoteAt;
    private long term, voteEnd, grantedTerm;
    private int candidateId, candidateInstanceId;
    private boolean granted;
    private VoterSet committedSet, pendingSet;

    Voter(int selfId, int instanceId, BudgetTiming timing, long now) {
        this.selfId = selfId;
        this.instanceId = instanceId;
        this.timing = timing;
        this.firstVoteAt = firstVoteTime(now);
    }

    /** The highest term that this process knows of. */
    long term() {
        return term;
    }

    void observeTerm(long observedTerm) {
        term = Math.max(term, observedTerm);
    }

    VoterSet committedSet() {
        return committedSet;
    }

    VoterSet pendingSet() {
        return pendingSet;
    }

    /** The time from which on this process votes: votes of the previous process have expired by then. */
    long firstVoteTime(long startedAt) {
        return startedAt + timing.maxVoteDuration();
    }

    /**
     * Whether the vote was granted to this instance. The same name is not enough: an earlier or
     * concurrent process of that name may still rely on the vote.
     */
    boolean isCandidateInstance(int instance) {
        return candidateInstanceId == instance;
    }

    /** Whether the vote can be granted: no other process relies on it. */
    boolean isFree(long now) {
        return now >= firstVoteAt && !(granted && now < voteEnd);
    }

    /**
     * Answers a vote request or a renewal. The answer carries the voter sets remembered before this
     * message.
     */
    BudgetMessage handleVoteRequest(long now, BudgetMessage request) {
        boolean newElection = request.kind() == Kind.VOTE_REQUEST;
        boolean grantedToSender = granted && now < voteEnd && candidateId == request.senderId()
            && isCandidateInstance(request.instanceId());
        boolean grant = now >= firstVoteAt && request.receiverInstanceId() == instanceId
            && (newElection ? request.term() > term : request.term() >= term)
            && (isFree(now) || grantedToSender);
        VoterSet previousCommittedSet = committedSet, previousPendingSet = pendingSet;
        if (grant) {
            granted = true;
            candidateId = request.senderId();
            candidateInstanceId = request.instanceId();
            voteEnd = now + timing.voteDuration();
            grantedTerm = request.term();
            term = request.term();
            if (!newElection && (committedSet == null || !committedSet.isNewerThan(request.committedSet()))) {
                committedSet = request.committedSet();
                pendingSet = request.pendingSet();
            }
        }
        return new BudgetMessage(Kind.VOTE, selfId, instanceId, request.instanceId(), term,
            request.requestNumber(), 0, 0, grant, request.senderId(), previousCommittedSet,
            previousPendingSet, java.util.List.of());
    }

    /** Releases the vote if it was granted to the process that resigns; returns whether it was. */
    boolean release(int resigningId, int resigningInstanceId, long resignedTerm) {
        boolean freed = granted && candidateId == resigningId && candidateInstanceId == resigningInstanceId
            && resignedTerm >= grantedTerm;
        granted &= !freed;
        return freed;
    }
}
