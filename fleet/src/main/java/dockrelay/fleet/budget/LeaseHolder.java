package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;
import dockrelay.fleet.budget.BudgetMessage.Kind;
import dockrelay.fleet.budget.BudgetMessage.BudgetEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The shares that this process has leased. A lease counts from the moment at which the request was
 * sent. A reduced share is reported to the coordinator only after the spender has confirmed it, so the
 * coordinator never assumes less than may still be spent.
 */
class LeaseHolder {
    private static final int MAX_TRACKED_REQUESTS = 32;
    /**
     * Smoothing factors of the demand, which is sampled every 100 ms: a rise is followed faster than a
     * fall.
     */
    private static final double RISE_SMOOTHING = 0.3, FALL_SMOOTHING = 0.12;
    private static final BudgetEntry NO_SHARE = new BudgetEntry(0, 0, 0, 0, 0);

    /** The state of one budget. */
    private static final class HeldShare {
        final Budget budget;
        long maxRate, maxBurst; // upper bound of what the spender may use at present
        long grantedRate, grantedBurst; // the last share passed to the spender
        double demand;
        int waitingRequests;
        long spentTokens, tokens;
        boolean removed; // removed from the configuration: dropped once the spender has confirmed

        HeldShare(Budget budget) {
            this.budget = budget;
        }
    }

    private final int selfId, instanceId;
    private final BudgetTiming timing;
    private final Map<Integer, HeldShare> sharesById = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Long> requestTimes = new LinkedHashMap<>();
    private final long startedAt;
    private long term, grantVersion, confirmedVersion, requestNumber, lastExpiredRequest, lastGrantAt,
        updateNumber;
    private long leaseEnd = Long.MIN_VALUE;
    private boolean expired;

    LeaseHolder(int selfId, int instanceId, BudgetTiming timing, Collection<Budget> budgets, long now) {
        this.selfId = selfId;
        this.instanceId = instanceId;
        this.timing = timing;
        this.startedAt = now;
        this.lastGrantAt = Long.MIN_VALUE / 2;
        configure(budgets);
    }

    /**
     * Applies a new list of budgets. Shares of removed budgets are returned once the spender has
     * confirmed. Returns whether any budget was removed.
     */
    boolean configure(Collection<Budget> budgets) {
        Map<Integer, HeldShare> previousShares = new LinkedHashMap<>(sharesById);
        sharesById.clear();
        for (Budget budget : budgets) {
            HeldShare share = new HeldShare(budget);
            HeldShare previousShare = previousShares.remove(budget.id());
            if (previousShare != null) {
                share.maxRate = previousShare.maxRate;
                share.maxBurst = previousShare.maxBurst;
                share.grantedRate = previousShare.grantedRate;
                share.grantedBurst = previousShare.grantedBurst;
            }
            sharesById.put(budget.id(), share);
        }
        previousShares.forEach((id, share) -> {
            share.removed = true;
            share.grantedRate = 0;
            share.grantedBurst = 0;
            sharesById.put(id, share);
        });
        updateNumber += previousShares.isEmpty() ? 0 : 1;
        return !previousShares.isEmpty();
    }

    long term() {
        return term;
    }

    /** The number of the last share update passed to the spender, which names it in its reports. */
    long updateNumber() {
        return updateNumber;
    }

    long leaseEnd() {
        return leaseEnd;
    }

    long lastGrantAt() {
        return lastGrantAt;
    }

    /** Drops all shares if the lease has expired since the last call; returns whether it did. */
    boolean dropExpiredLease(long now) {
        if (leaseEnd == Long.MIN_VALUE || now < leaseEnd) {
            return false;
        }
        leaseEnd = Long.MIN_VALUE;
        expired = true;
        lastExpiredRequest = requestNumber;
        confirmedVersion = grantVersion;
        updateNumber++;
        sharesById.values().forEach(share -> {
            share.maxRate = 0;
            share.maxBurst = 0;
            share.grantedRate = 0;
            share.grantedBurst = 0;
        });
        return true;
    }

    /** Takes the spender's report, which confirms all share updates up to the given number. */
    void reportUsage(long confirmedUpdate, Collection<ShareUsage> usages) {
        for (ShareUsage usage : usages) {
            HeldShare share = sharesById.get(MemberList.idOf(usage.budgetName()));
            if (share != null) {
                share.demand += (usage.demand() > share.demand ? RISE_SMOOTHING : FALL_SMOOTHING)
                    * (usage.demand() - share.demand);
                share.waitingRequests = usage.waitingRequests();
                share.spentTokens = usage.spentTokens();
                share.tokens = usage.remainingTokens();
            }
        }
        if (confirmedUpdate != updateNumber) {
            return;
        }
        sharesById.values().removeIf(share -> share.removed);
        if (!expired) {
            confirmedVersion = grantVersion;
            sharesById.values().forEach(share -> {
                share.maxRate = share.grantedRate;
                // Without a rate a spent token is not refilled: its part of the burst is returned at once.
                share.maxBurst = share.grantedRate > 0 ? share.grantedBurst
                    : Math.min(share.grantedBurst, roundUpToToken(share.tokens));
            });
        }
    }

    private static long roundUpToToken(long tokens) {
        return (tokens + Budget.MICROTOKENS_PER_TOKEN - 1) / Budget.MICROTOKENS_PER_TOKEN
            * Budget.MICROTOKENS_PER_TOKEN;
    }

    /** Creates the lease request, which reports the shares held and the demand. */
    BudgetMessage newLeaseRequest(long now) {
        requestTimes.put(++requestNumber, now);
        requestTimes.keySet().removeIf(oldNumber -> oldNumber <= requestNumber - MAX_TRACKED_REQUESTS);
        List<BudgetEntry> entries = new ArrayList<>();
        sharesById.forEach((id, share) -> entries.add(new BudgetEntry(id, share.maxRate, share.maxBurst,
            (long) share.demand, share.waitingRequests)));
        return new BudgetMessage(Kind.LEASE_REQUEST, selfId, instanceId, 0, term, requestNumber,
            expired ? 0 : confirmedVersion, now - startedAt, expired, 0, null, null, entries);
    }

    /** Takes a coordinator's grant; returns whether it was accepted. */
    boolean acceptGrant(long now, BudgetMessage grant) {
        Long sentAt = requestTimes.get(grant.requestNumber());
        if (grant.receiverInstanceId() != instanceId || grant.term() < term || sentAt == null
            || grant.requestNumber() <= lastExpiredRequest) {
            return false;
        }
        if (grant.term() > term) {
            // Grants of earlier coordinators are ignored from here on, so the report stays true.
            term = grant.term();
            grantVersion = 0;
            confirmedVersion = 0;
        }
        if (grant.grantVersion() < grantVersion || grant.grantVersion() == 0) {
            return false;
        }
        long newLeaseEnd = leaseEnd(now, sentAt);
        if (now >= newLeaseEnd) {
            return false;
        }
        lastGrantAt = now;
        boolean sharesChanged = grant.grantVersion() > grantVersion;
        if (sharesChanged) {
            grantVersion = grant.grantVersion();
            expired = false;
            updateNumber++;
            Map<Integer, BudgetEntry> entriesById = new HashMap<>();
            grant.entries().forEach(entry -> entriesById.put(entry.budgetId(), entry));
            sharesById.forEach((id, share) -> {
                BudgetEntry entry = share.removed ? NO_SHARE : entriesById.getOrDefault(id, NO_SHARE);
                share.grantedRate = entry.rate();
                share.grantedBurst = entry.burst();
                share.maxRate = Math.max(share.maxRate, share.grantedRate);
                share.maxBurst = Math.max(share.maxBurst, share.grantedBurst);
            });
        }
        leaseEnd = Math.max(leaseEnd, newLeaseEnd);
        return true;
    }

    /**
     * The end of a lease, counted from the moment of the request: however late the grant arrives, the
     * coordinator considers the lease expired no earlier than this.
     */
    long leaseEnd(long now, long sentAt) {
        return sentAt + timing.reliedLeaseDuration();
    }

    /**
     * The shares for the spender. The extra tokens of a grant must be added exactly once, so they are
     * included only when the grant is passed on for the first time; callers pass null otherwise.
     */
    List<LeasedShare> shares(BudgetMessage grant) {
        List<LeasedShare> shares = new ArrayList<>();
        sharesById.forEach((id, share) -> {
            long addedTokens = 0;
            for (BudgetEntry entry : grant == null ? List.<BudgetEntry>of() : grant.entries()) {
                addedTokens = entry.budgetId() == id ? entry.waitingOrAddedTokens() : addedTokens;
            }
            shares.add(new LeasedShare(share.budget.name(), share.grantedRate, share.grantedBurst,
                addedTokens));
        });
        return shares;
    }

    /** Drops all shares and creates the message that returns them. */
    BudgetMessage returnShares() {
        leaseEnd = 0;
        dropExpiredLease(0);
        return BudgetMessage.withoutPayload(Kind.LEAVE, selfId, instanceId, 0, term, ++requestNumber);
    }

    /** The status of each configured budget, for the console. */
    List<BudgetStatus> budgetStatuses(long now) {
        return sharesById.values().stream().filter(share -> !share.removed)
            .map(share -> new BudgetStatus(share.budget, share.maxRate, share.maxBurst, share.demand,
                share.waitingRequests, share.spentTokens,
                leaseEnd == Long.MIN_VALUE ? 0 : Math.max(0, leaseEnd - now), now - lastGrantAt)).toList();
    }
}
