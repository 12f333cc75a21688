package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;
import dockrelay.fleet.budget.BudgetMessage.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Leader election for the coordinator of the budgets. Starts an election while no coordinator is
 * known, stays coordinator as long as a quorum renews its votes, and changes the voter set by joint
 * consensus: a change needs a quorum of the old set and one of the new set. Times are in microseconds
 * of the caller's clock.
 */
class CoordinatorElection {
    /** Votes are counted for this number of the latest renewals. */
    private static final int MAX_TRACKED_RENEWALS = 8;
    /**
     * Members without a vote get every n-th renewal only. A member that lost its state in a restart
     * learns of the coordinator from it before it could start an election.
     */
    private static final int RENEWALS_PER_NON_VOTER_UPDATE = 3;
    /**
     * How long a datagram from an unlisted sender blocks elections without a known voter set, in vote
     * durations.
     */
    private static final int UNLISTED_SENDER_VOTE_DURATIONS = 5;

    /** Sends a message to a configured member, by the id of its name. */
    interface Sender {
        void send(int memberId, BudgetMessage message);
    }

    /** A renewal sent to the voters, and the votes that it has received. */
    private record Renewal(long sentAt, boolean includesPendingSet, Set<Integer> votes) {
    }

    private final int selfId, instanceId;
    private final BudgetTiming timing;
    private final Voter voter;
    private final Random random;
    private final Sender sender;
    private final Map<Integer, Integer> instanceIds = new HashMap<>();
    private final Map<Long, Renewal> renewals = new HashMap<>();
    private final Set<Integer> grantedVotes = new HashSet<>(), informedVotes = new HashSet<>();
    private MemberList memberList;
    private VoterSet committedSet, pendingSet;
    private long term = -1, leadershipEnd = Long.MIN_VALUE, requestNumber, lastElectionAt, electionDeadline,
        nextRenewalAt, nextElectionAt;
    private long voteRequestsSentAt, voterSetVersion, unlistedSenderSeenAt = Long.MIN_VALUE / 2;
    private Set<Integer> retiredIds = Set.of();
    private long retirementEffectiveAt;
    private boolean coordinator, electionRunning;
    private String missingVoters;

    CoordinatorElection(int selfId, int instanceId, BudgetTiming timing, Voter voter, MemberList memberList,
                        Random random, Sender sender, long now) {
        this.selfId = selfId;
        this.instanceId = instanceId;
        this.timing = timing;
        this.voter = voter;
        this.memberList = memberList;
        this.random = random;
        this.sender = sender;
        instanceIds.put(selfId, instanceId);
        postponeElection(now);
    }

    void setMemberList(MemberList newMemberList) {
        memberList = newMemberList;
    }

    /**
     * Takes the members that operators have declared retired, of which no process runs any more. Once
     * the votes that they may have granted have expired, quorums are counted without them, so that the
     * remaining voters suffice.
     */
    void setRetiredMembers(long now, Set<Integer> ids) {
        if (!ids.equals(retiredIds)) {
            retiredIds = ids;
            retirementEffectiveAt = now + timing.maxVoteDuration();
        }
    }

    private Set<Integer> excludedVoters(long now) {
        return now >= retirementEffectiveAt ? retiredIds : Set.of();
    }

    /** Whether this process is the coordinator at this moment. */
    boolean isCoordinator(long now) {
        return coordinator && now < leadershipEnd;
    }

    long term() {
        return term;
    }

    /**
     * The members whose votes were missing in the last failed election, comma-separated, for the
     * console; null after a successful one.
     */
    String missingVoters() {
        return missingVoters;
    }

    int voterCount() {
        return committedSet == null ? 0 : committedSet.memberIds().length;
    }

    /** Postpones the next election because a coordinator is active. */
    void postponeElection(long now) {
        nextElectionAt = now + timing.voteDuration() + randomElectionDelay() / 2;
    }

    long nextTickAt() {
        return coordinator ? Math.min(nextRenewalAt, leadershipEnd) : electionRunning ? electionDeadline
            : nextElectionAt;
    }

    /** Does what is due; takes the ids of the present and the departed members. */
    void tick(long now, Set<Integer> present, Set<Integer> departed) {
        if (coordinator && now >= leadershipEnd) {
            stepDown(now);
        } else if (coordinator && now >= nextRenewalAt) {
            renewVotes(now, present, departed);
        } else if (electionRunning && now >= electionDeadline) {
            abandonElection(now);
        } else if (!coordinator && !electionRunning && now >= nextElectionAt) {
            if (voter.isFree(now)) {
                startElection(now);
            } else {
                nextElectionAt = now + timing.periodMicros() / 2
                    + (long) (random.nextDouble() * timing.electionTimeout());
            }
        }
    }

    private void stepDown(long now) {
        coordinator = false;
        renewals.clear();
        postponeElection(now);
    }

    private BudgetMessage newMessage(Kind kind, int receiverId, long messageTerm, VoterSet committed,
                                     VoterSet pending) {
        return new BudgetMessage(kind, selfId, instanceId, instanceIds.getOrDefault(receiverId, 0),
            messageTerm, requestNumber, 0, 0, false, 0, committed, pending, List.of());
    }

    private void startElection(long now) {
        electionRunning = true;
        voteRequestsSentAt = now;
        electionDeadline = now + timing.electionTimeout();
        grantedVotes.clear();
        informedVotes.clear();
        committedSet = null;
        pendingSet = null;
        requestNumber++;
        term = voter.term() + 1;
        Set<Integer> voterIds = potentialVoters();
        // to itself too: the vote belongs to the process that has the configured address
        for (int id : voterIds) {
            sender.send(id, newMessage(Kind.VOTE_REQUEST, id, term, null, null));
        }
    }

    /** All members that may have a vote, as far as this process knows. */
    private Set<Integer> potentialVoters() {
        Set<Integer> voterIds = new HashSet<>();
        for (int i = 0; i < memberList.size(); i++) {
            voterIds.add(memberList.idAt(i));
        }
        for (VoterSet voterSet : new VoterSet[] {voter.committedSet(), voter.pendingSet(),
            committedSet, pendingSet}) {
            for (int id : voterSet == null ? new int[0] : voterSet.memberIds()) {
                voterIds.add(id);
            }
        }
        return voterIds;
    }

    private void abandonElection(long now) {
        electionRunning = false;
        Set<Integer> missing = potentialVoters();
        missing.removeAll(grantedVotes);
        missing.removeAll(excludedVoters(now));
        missingVoters = String.join(",", missing.stream().map(memberList::nameOrId).sorted().toList());
        for (int id : grantedVotes) {
            if (id != selfId) {
                sender.send(id, newMessage(Kind.RESIGN, id, term, null, null));
            }
        }
        voter.release(selfId, instanceId, term);
        nextElectionAt = now + timing.periodMicros() / 2 + randomElectionDelay();
    }

    /**
     * A random delay that grows with the number of members: fleets of any size start about as many
     * elections in total, and rarely two at the same time.
     */
    private long randomElectionDelay() {
        return (long) (random.nextDouble() * Math.max(3, memberList.size() / 2) * timing.electionTimeout());
    }

    /** Takes the answer to a vote request or to a renewal. */
    void handleVote(long now, int senderId, BudgetMessage vote) {
        voter.observeTerm(vote.grantedOrExpired() ? 0 : vote.term());
        if (electionRunning && vote.requestNumber() == requestNumber && vote.term() <= term) {
            committedSet = VoterSet.newerOf(committedSet, vote.committedSet());
            pendingSet = VoterSet.newerOf(pendingSet, vote.pendingSet());
            if (vote.grantedOrExpired()) {
                grantedVotes.add(senderId);
                if (vote.committedSet() != null) {
                    informedVotes.add(senderId);
                }
            }
            if (!vote.grantedOrExpired()) {
                // the refusing voter may have voted for another candidate: end this election early
                electionDeadline = Math.min(electionDeadline, now + timing.electionTimeout() / 8);
            }
            if (isElected(now)) {
                becomeCoordinator(now);
            }
        } else if (coordinator && vote.grantedOrExpired() && vote.term() == term
            && renewals.containsKey(vote.requestNumber())) {
            handleRenewedVote(now, vote.requestNumber(), senderId);
        }
    }

    private boolean isElected(long now) {
        VoterSet pending = pendingSet != null && pendingSet.isNewerThan(committedSet) ? pendingSet : null;
        if (committedSet != null && hasQuorum(informedVotes(), committedSet, pending, excludedVoters(now))) {
            return true;
        }
        if (committedSet == null
            && now - unlistedSenderSeenAt < UNLISTED_SENDER_VOTE_DURATIONS * timing.voteDuration()) {
            return false; // no known voter set, and a running process is missing from the list
        }
        Set<Integer> requiredVoters = potentialVoters();
        requiredVoters.removeAll(excludedVoters(now));
        // every member answered: no voter set can be known to anyone else
        return grantedVotes.containsAll(requiredVoters);
    }

    /**
     * Notes a datagram from an unlisted sender: the configured list does not name all running
     * processes.
     */
    void noteUnlistedSender(long now) {
        unlistedSenderSeenAt = now;
    }

    /**
     * The members that voted for this process and reported a voter set. Their votes count for a known
     * voter set, because they know every set that they helped to agree on.
     */
    Set<Integer> informedVotes() {
        return informedVotes;
    }

    Set<Integer> grantedVotes() {
        return grantedVotes;
    }

    private void becomeCoordinator(long now) {
        electionRunning = false;
        coordinator = true;
        missingVoters = null;
        voterSetVersion = 0;
        leadershipEnd = voteRequestsSentAt + timing.reliedVoteDuration();
        if (committedSet == null) {
            committedSet = new VoterSet(term, 0,
                potentialVoters().stream().mapToInt(Integer::intValue).toArray());
        }
        pendingSet = pendingSet != null && pendingSet.isNewerThan(committedSet) ? pendingSet : null;
        nextRenewalAt = now;
    }

    private void renewVotes(long now, Set<Integer> present, Set<Integer> departed) {
        if (pendingSet == null) {
            pendingSet = nextVoterSet(present, departed);
        }
        nextRenewalAt = now + timing.renewalInterval();
        requestNumber++;
        renewals.put(requestNumber, new Renewal(now, pendingSet != null, new HashSet<>()));
        renewals.remove(requestNumber - MAX_TRACKED_RENEWALS);
        Set<Integer> recipients = new HashSet<>();
        for (VoterSet voterSet : new VoterSet[] {committedSet, pendingSet}) {
            for (int id : voterSet == null ? new int[0] : voterSet.memberIds()) {
                if (recipients.add(id)) {
                    sender.send(id, newMessage(Kind.VOTE_RENEWAL, id, term, committedSet, pendingSet));
                }
            }
        }
        for (int i = 0; i < memberList.size() && requestNumber % RENEWALS_PER_NON_VOTER_UPDATE == 0; i++) {
            int id = memberList.idAt(i);
            if (id != selfId && recipients.add(id)) {
                sender.send(id, newMessage(Kind.VOTE_RENEWAL, id, term, committedSet, pendingSet));
            }
        }
    }

    /**
     * The voter set to change to: the present members, and voters that may be absent for a moment
     * only; null if the set stays as it is.
     */
    private VoterSet nextVoterSet(Set<Integer> present, Set<Integer> departed) {
        List<Integer> newVoters = new ArrayList<>();
        for (int id : committedSet.memberIds()) {
            if (!departed.contains(id) && !retiredIds.contains(id) || id == selfId) {
                newVoters.add(id);
            }
        }
        for (int id : present) {
            if (!committedSet.contains(id)) {
                newVoters.add(id);
            }
        }
        int[] ids = newVoters.stream().mapToInt(Integer::intValue).toArray();
        VoterSet newSet = new VoterSet(term, ++voterSetVersion, ids);
        return java.util.Arrays.equals(newSet.memberIds(), committedSet.memberIds()) ? null : newSet;
    }

    private void handleRenewedVote(long now, long renewalNumber, int voterId) {
        Renewal renewal = renewals.get(renewalNumber);
        renewal.votes.add(voterId);
        if (!hasQuorum(renewal.votes, committedSet, pendingSet, excludedVoters(now))) {
            return;
        }
        leadershipEnd = Math.max(leadershipEnd, renewal.sentAt + timing.reliedVoteDuration());
        if (renewal.includesPendingSet && pendingSet != null) {
            committedSet = pendingSet;
            pendingSet = null;
            renewals.clear();
        }
    }

    /**
     * Whether the votes are a quorum of the committed voter set and, during a change, of the pending
     * one as well.
     */
    boolean hasQuorum(Set<Integer> votes, VoterSet committed, VoterSet pending, Set<Integer> excluded) {
        return committed.isQuorum(votes, excluded) && (pending == null || pending.isQuorum(votes, excluded));
    }

    /**
     * Gives up the coordinator role and releases the votes, so that the next coordinator need not wait
     * for their expiry.
     */
    void resign(long now) {
        if (coordinator) {
            stepDown(now);
            for (int id : potentialVoters()) {
                if (id != selfId) {
                    sender.send(id, newMessage(Kind.RESIGN, id, term, null, null));
                }
            }
            voter.release(selfId, instanceId, term);
        }
    }

    /**
     * Notes the instance id that a member's process uses, since a vote request has to name it. During
     * an election a member that turns out to have another instance is asked again.
     */
    void noteInstance(int memberId, int memberInstanceId) {
        Integer previousInstanceId = instanceIds.put(memberId, memberInstanceId);
        if (electionRunning && (previousInstanceId == null || previousInstanceId != memberInstanceId)
            && !grantedVotes.contains(memberId)) {
            sender.send(memberId, newMessage(Kind.VOTE_REQUEST, memberId, term, null, null));
        }
    }

    /** Brings the next election forward because the coordinator has resigned. */
    void hastenElection(long now) {
        nextElectionAt = Math.min(nextElectionAt, now + randomElectionDelay() / 2);
    }
}
