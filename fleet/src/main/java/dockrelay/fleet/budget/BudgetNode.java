package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;
import dockrelay.fleet.budget.BudgetMessage.Kind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * One process's side of the protocol that shares token-bucket budgets among the whole fleet
 * (docs/budgets.md): it takes part in the election of the coordinator, holds leased shares and, while
 * it is the coordinator, grants them. A pure state machine: times are microseconds of a monotonic clock
 * that the caller passes in, and all output goes through {@link Callbacks}. Not thread-safe. In log lines
 * and console answers the coordinator is called keeper.
 */
public class BudgetNode {
    /** After this number of periods without a grant, the request also goes to other members. */
    private static final int MAX_BUDGETS = BudgetMessage.MAX_BUDGETS, REQUEST_RETRY_PERIODS = 3;
    /** Tick interval after leaving: nothing is due any more. */
    private static final long IDLE_TICK_MICROS = 3_600_000_000L;

    /** The output of the state machine. */
    public interface Callbacks {
        /** Sends a datagram to a member; it may be lost. */
        void send(String memberName, ByteBuffer datagram);

        /**
         * Sets the shares that may be spent until the given time. The spender confirms the update by
         * passing its number to {@link BudgetNode#reportUsage}.
         */
        void applyShares(long updateNumber, List<LeasedShare> shares, long validUntil);

        /** Reports an event for the log. */
        void logEvent(String text);
    }

    private final int selfId, instanceId;
    private final BudgetTiming timing;
    private final Random random;
    private final Callbacks callbacks;
    private final Voter voter;
    private final CoordinatorElection election;
    private final LeaseHolder leaseHolder;
    private final Map<String, Long> refusalCounts = new TreeMap<>();
    private Collection<Budget> budgets;
    private MemberList memberList;
    private LeaseLedger ledger; // null unless this process is the coordinator
    private Set<Integer> presentIds = new HashSet<>(), departedIds = new HashSet<>();
    private long nextRequestAt, nextTickAt, coordinatorSeenAt = Long.MIN_VALUE / 2, coordinatorTerm;
    private int coordinatorId;
    private boolean hasLeft;

    public BudgetNode(String selfName, Collection<String> memberNames, Collection<Budget> budgets,
                      int instanceId, BudgetTiming timing, Random random, Callbacks callbacks, long now) {
        this.selfId = MemberList.idOf(selfName);
        this.instanceId = instanceId;
        this.timing = timing;
        this.random = random;
        this.callbacks = callbacks;
        this.memberList = checkedMemberList(memberNames);
        this.budgets = checkedBudgets(budgets);
        this.voter = newVoter(this.selfId, instanceId, timing, now);
        this.election = newElection(this.selfId, instanceId, timing, voter, memberList, random, this::send,
            now);
        this.leaseHolder = newLeaseHolder(this.selfId, instanceId, timing, this.budgets, now);
        this.nextRequestAt = now + (long) (random.nextDouble() * timing.periodMicros());
        this.nextTickAt = nextRequestAt;
    }

    // Factory methods, overridden by tests that inject faulty components.

    Voter newVoter(int selfId, int instanceId, BudgetTiming timing, long now) {
        return new Voter(selfId, instanceId, timing, now);
    }

    CoordinatorElection newElection(int selfId, int instanceId, BudgetTiming timing, Voter voter,
                                    MemberList memberList, Random random, CoordinatorElection.Sender sender,
                                    long now) {
        return new CoordinatorElection(selfId, instanceId, timing, voter, memberList, random, sender, now);
    }

    LeaseHolder newLeaseHolder(int selfId, int instanceId, BudgetTiming timing, Collection<Budget> budgets,
                               long now) {
        return new LeaseHolder(selfId, instanceId, timing, budgets, now);
    }

    LeaseLedger newLedger(Collection<Budget> budgets, long term, BudgetTiming timing, long now) {
        return new LeaseLedger(budgets, term, timing, now);
    }

    /** Rejects lists that do not fit into a datagram: no coordinator could ever be elected with them. */
    private static MemberList checkedMemberList(Collection<String> names) {
        if (names.size() > BudgetMessage.MAX_VOTERS) {
            throw new BudgetException(BudgetException.Code.MEMBERS, names.size()
                + " members that share budgets", "allowed are " + BudgetMessage.MAX_VOTERS + " in one group");
        }
        return new MemberList(names);
    }

    private static Collection<Budget> checkedBudgets(Collection<Budget> budgets) {
        Set<Integer> ids = new HashSet<>();
        for (Budget budget : budgets) {
            if (!ids.add(budget.id())) {
                throw new BudgetException(BudgetException.Code.TWICE, "budget " + budget.name()
                    + " has the same id as another budget", "rename one of them");
            }
        }
        if (ids.size() > MAX_BUDGETS) {
            throw new BudgetException(BudgetException.Code.TOO_MANY, ids.size() + " budgets",
                "allowed are at most " + MAX_BUDGETS);
        }
        return List.copyOf(budgets);
    }

    /**
     * Applies a new list of members and budgets. The voter set is not configured; the members agree on
     * it.
     */
    public void configure(long now, Collection<String> memberNames, Collection<Budget> newBudgets) {
        Collection<Budget> checkedBudgets = checkedBudgets(newBudgets);
        memberList = checkedMemberList(memberNames);
        election.setMemberList(memberList);
        if (!checkedBudgets.equals(budgets)) {
            budgets = checkedBudgets;
            if (leaseHolder.configure(budgets)) {
                callbacks.applyShares(leaseHolder.updateNumber(), leaseHolder.shares(null),
                    leaseHolder.leaseEnd());
            }
            if (ledger != null) {
                ledger.configure(now, budgets);
            }
        }
    }

    /**
     * Sets the members that operators have declared retired: no process runs under these names or will
     * again.
     */
    public void setRetiredMembers(long now, Collection<String> names) {
        Set<Integer> retiredIds = idsOf(names);
        retiredIds.remove(selfId);
        election.setRetiredMembers(now, retiredIds);
    }

    /**
     * Passes on which members the membership protocol considers present and which departed for good.
     * These are hints; the budgets stay within their bounds even if they are wrong.
     */
    public void updatePresence(Collection<String> presentNames, Collection<String> departedNames) {
        presentIds = idsOf(presentNames);
        departedIds = idsOf(departedNames);
    }

    private static Set<Integer> idsOf(Collection<String> names) {
        Set<Integer> result = new HashSet<>();
        names.forEach(name -> result.add(MemberList.idOf(name)));
        return result;
    }

    // --- timers

    public long nextTickAt() {
        return nextTickAt;
    }

    public void tick(long now) {
        if (hasLeft) {
            nextTickAt = now + IDLE_TICK_MICROS;
            return;
        }
        if (leaseHolder.dropExpiredLease(now)) {
            callbacks.logEvent(
                "the lease has expired: nothing may be spent until a keeper grants a new one");
            callbacks.applyShares(leaseHolder.updateNumber(), leaseHolder.shares(null), now);
        }
        election.tick(now, presentIds, departedIds);
        updateLedger(now);
        if (now >= nextRequestAt) {
            nextRequestAt = Math.max(nextRequestAt + timing.periodMicros(), now + timing.periodMicros() / 2);
            requestLeases(now);
        }
        nextTickAt = Math.min(nextRequestAt, election.nextTickAt());
        nextTickAt = leaseHolder.leaseEnd() == Long.MIN_VALUE ? nextTickAt
            : Math.min(nextTickAt, leaseHolder.leaseEnd());
        nextTickAt = Math.max(nextTickAt, now + timing.periodMicros() / 100);
    }

    private void requestLeases(long now) {
        if (election.isCoordinator(now)) {
            coordinatorId = selfId;
            coordinatorTerm = election.term();
            coordinatorSeenAt = now;
            for (int i = 0; i < 2; i++) { // the first request may only move the holder to the new term
                BudgetMessage grant = ledger.handleRequest(now, leaseHolder.newLeaseRequest(now));
                if (grant != null) {
                    handleLeaseGrant(now, grant);
                }
            }
            String clockWarning = ledger.takeClockWarning();
            if (clockWarning != null) {
                callbacks.logEvent("B-CLOCK: the clock of member #" + clockWarning + " s against this one: "
                    + "the member gets no grants until both clocks agree again");
            }
            return;
        }
        boolean coordinatorKnown = now - coordinatorSeenAt < timing.voteDuration() && coordinatorId != selfId;
        if (coordinatorKnown) {
            send(coordinatorId, leaseHolder.newLeaseRequest(now));
        }
        if (!coordinatorKnown
            || now - leaseHolder.lastGrantAt() > REQUEST_RETRY_PERIODS * timing.periodMicros()) {
            List<Integer> others = new ArrayList<>(presentIds);
            others.removeIf(id -> id == selfId || coordinatorKnown && id == coordinatorId);
            if (others.isEmpty()) {
                for (int i = 0; i < memberList.size(); i++) {
                    others.add(memberList.idAt(i));
                }
                others.removeIf(id -> id == selfId);
            }
            if (!others.isEmpty()) {
                send(others.get(random.nextInt(others.size())), leaseHolder.newLeaseRequest(now));
            }
        }
    }

    // --- datagrams

    private void send(int memberId, BudgetMessage message) {
        int index = memberList.indexOf(memberId);
        if (index >= 0) {
            callbacks.send(memberList.nameAt(index), message.encode());
        }
    }

    /**
     * Handles a datagram from a peer. The name is the one configured for the sender's address, null
     * if the address is unknown. Datagrams that cannot be used are dropped and counted by reason.
     */
    public void receive(long now, String senderName, ByteBuffer datagram) {
        BudgetMessage message;
        try {
            message = BudgetMessage.decode(datagram);
        } catch (BudgetMessage.MalformedMessageException e) {
            refusalCounts.merge(e.getMessage(), 1L, Long::sum);
            return;
        }
        boolean otherInstance = message.senderId() == selfId && message.instanceId() != instanceId;
        if (senderName == null || message.senderId() != MemberList.idOf(senderName) || otherInstance) {
            refusalCounts.merge(senderName == null ? "stranger" : otherInstance ? "twin" : "misnamed", 1L,
                Long::sum);
            if (senderName == null) {
                election.noteUnlistedSender(now);
            }
            return;
        }
        if (hasLeft) {
            return;
        }
        election.noteInstance(message.senderId(), message.instanceId());
        switch (message.kind()) {
            case LEASE_REQUEST -> handleLeaseRequest(now, message);
            case LEASE_GRANT -> handleLeaseGrant(now, message);
            case REDIRECT -> noteCoordinator(now, message.coordinatorId(), message.term());
            case VOTE_REQUEST, VOTE_RENEWAL -> {
                BudgetMessage vote = voter.handleVoteRequest(now, message);
                if (message.kind() == Kind.VOTE_RENEWAL && vote.grantedOrExpired()
                    && message.senderId() != selfId) {
                    noteCoordinator(now, message.senderId(), message.term());
                    election.postponeElection(now);
                }
                send(message.senderId(), vote);
            }
            case VOTE -> {
                if (message.receiverInstanceId() == instanceId) {
                    election.handleVote(now, message.senderId(), message);
                    updateLedger(now);
                }
            }
            case RESIGN -> {
                if (voter.release(message.senderId(), message.instanceId(), message.term())) {
                    election.hastenElection(now);
                }
            }
            case LEAVE -> {
                if (ledger != null && election.isCoordinator(now)) {
                    ledger.removeParticipant(message.senderId(), message.instanceId());
                }
            }
            default -> refusalCounts.merge("unknown", 1L, Long::sum);
        }
    }

    /** Starts a new ledger for each term as coordinator, and drops it when the term ends. */
    private void updateLedger(long now) {
        boolean coordinator = election.isCoordinator(now);
        if (coordinator && (ledger == null || ledger.term() != election.term())) {
            ledger = newLedger(budgets, election.term(), timing, now);
            nextRequestAt = now;
            nextTickAt = now;
            callbacks.logEvent("the keeper of term " + election.term() + ", by " + election.voterCount()
                + " that vote");
        } else if (!coordinator && ledger != null) {
            ledger = null;
            callbacks.logEvent("no longer the keeper");
        }
    }

    private void noteCoordinator(long now, int id, long term) {
        if (term >= coordinatorTerm && id != selfId) {
            coordinatorId = id;
            coordinatorTerm = term;
            coordinatorSeenAt = now;
        }
    }

    private void handleLeaseRequest(long now, BudgetMessage request) {
        if (election.isCoordinator(now)) {
            BudgetMessage grant = ledger.handleRequest(now, request);
            if (grant != null) {
                send(request.senderId(), new BudgetMessage(Kind.LEASE_GRANT, selfId, instanceId,
                    grant.receiverInstanceId(), grant.term(), grant.requestNumber(), grant.grantVersion(),
                    0, false, selfId, null, null, grant.entries()));
            }
        } else if (now - coordinatorSeenAt < timing.voteDuration() && coordinatorId != selfId) {
            send(request.senderId(), new BudgetMessage(Kind.REDIRECT, selfId, instanceId,
                request.instanceId(), coordinatorTerm, 0, 0, 0, false, coordinatorId, null, null,
                List.of()));
        }
    }

    private void handleLeaseGrant(long now, BudgetMessage grant) {
        long previousUpdate = leaseHolder.updateNumber();
        if (leaseHolder.acceptGrant(now, grant)) {
            if (grant.senderId() != 0) {
                noteCoordinator(now, grant.senderId(), grant.term());
            }
            boolean sharesChanged = leaseHolder.updateNumber() != previousUpdate;
            callbacks.applyShares(leaseHolder.updateNumber(),
                leaseHolder.shares(sharesChanged ? grant : null), leaseHolder.leaseEnd());
        }
    }

    /**
     * Takes the spender's report. It confirms all share updates up to the given number: tokens of
     * earlier shares that exceed the confirmed ones are no longer available to the spender.
     */
    public void reportUsage(long updateNumber, Collection<ShareUsage> usages) {
        leaseHolder.reportUsage(updateNumber, usages);
    }

    /**
     * Returns all shares and resigns as coordinator. The spender must have stopped spending before this
     * call.
     */
    public void leave(long now) {
        BudgetMessage leaveMessage = leaseHolder.returnShares();
        if (election.isCoordinator(now)) {
            election.resign(now);
            ledger = null;
        } else if (now - coordinatorSeenAt < timing.voteDuration()) {
            send(coordinatorId, leaveMessage);
            send(coordinatorId, leaveMessage);
        }
        hasLeft = true;
    }

    // --- status

    /** Whether this process is the coordinator. */
    public boolean isCoordinator(long now) {
        return election.isCoordinator(now);
    }

    /** The name of the coordinator that this process knows of; null if there is none. */
    public String coordinatorName(long now) {
        return now - coordinatorSeenAt < timing.voteDuration() ? memberList.nameOrId(coordinatorId) : null;
    }

    /** The members whose votes the last failed election lacked, comma-separated; null if none failed. */
    public String missingVoters() {
        return election.missingVoters();
    }

    public List<BudgetStatus> budgetStatuses(long now) {
        return leaseHolder.budgetStatuses(now);
    }

    /** Counts of rejected datagrams by reason since the last call. */
    public Map<String, Long> takeRefusalCounts() {
        Map<String, Long> result = new TreeMap<>(refusalCounts);
        refusalCounts.clear();
        return result;
    }

    /**
     * Whether a datagram with this first byte belongs to the budget protocol; other protocols share the
     * socket.
     */
    public static boolean isBudgetDatagram(byte firstByte) {
        return firstByte == BudgetMessage.FIRST_MAGIC_BYTE;
    }
}
