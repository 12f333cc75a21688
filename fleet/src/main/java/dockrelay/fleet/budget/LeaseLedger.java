package dockrelay.fleet.budget;

import dockrelay.fleet.budget.BudgetMessage.Kind;
import dockrelay.fleet.budget.BudgetMessage.BudgetEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The coordinator's record of the leases: which process holds which share, and for how long. A
 * process never holds more than is recorded here; a reduced share stays recorded in full until its
 * holder has confirmed the reduction.
 */
class LeaseLedger {
    /** Smaller relative changes of a share are not passed on. */
    private static final double MIN_RELATIVE_CHANGE = 0.05;
    /** Minimum interval between two divisions by demand. */
    private static final long MIN_DIVISION_INTERVAL_MICROS = 80_000;
    /** A process that has sent no request for this number of periods no longer waits for a token. */
    private static final int MAX_WAITING_PERIODS = 4;
    /**
     * Part of the rate that is leased: clocks may run 3 % apart, and each holder refills its bucket by
     * its own.
     */
    private static final double LEASED_RATE_FRACTION = 0.97;
    /**
     * Interval over which clocks are compared. They may drift by 3 %, plus the variation of the network
     * delay.
     */
    private static final long CLOCK_CHECK_INTERVAL_MICROS = 10_000_000;
    /** Deviations in a row after which a clock is distrusted. */
    private static final int MIN_DRIFT_DETECTIONS = 2;
    private static final double MAX_CLOCK_DRIFT = 0.03, MAX_DELAY_VARIATION_MICROS = 100_000;

    /** One process's lease of one budget. */
    static final class Lease {
        long maxRate, maxBurst; // upper bound of what the process holds
        long grantedRate, grantedBurst, addedTokens; // the share granted last
        double demand;
        long waitingRequests, lastServedAt = Long.MIN_VALUE;
        long targetRate;
    }

    /** A process that holds leases. */
    private static final class Participant {
        final int memberId;
        final Map<Integer, Lease> leasesById = new HashMap<>();
        long grantVersion = 1, lastRequestNumber, leaseEnd, lastRequestAt, clockCheckedAt,
            minClockOffset = Long.MAX_VALUE, previousMinClockOffset;
        int clockChecks, driftDetections;
        boolean clockUntrusted;

        Participant(int memberId) {
            this.memberId = memberId;
        }
    }

    /**
     * One budget: the whole, the sum of its leases, and what processes may hold that have not reported
     * yet.
     */
    static final class BudgetAccount {
        final Budget budget;
        final long leasableRate, unreportedUntil; // until then leases of earlier terms may still be in use
        long unreportedRate, unreportedBurst, leasedRate, leasedBurst, refilledAt;
        double freeTokens;
        boolean starving; // a process lacks most of its share: reductions apply to all others, however small

        BudgetAccount(Budget budget, long now, long unreportedUntil) {
            this.budget = budget;
            this.unreportedUntil = unreportedUntil;
            this.leasableRate = (long) (budget.rate() * LEASED_RATE_FRACTION);
            this.unreportedRate = leasableRate;
            this.unreportedBurst = budget.burst();
            this.refilledAt = now;
        }

        void setLease(Lease lease, long rate, long burst) {
            leasedRate += rate - lease.maxRate;
            leasedBurst += burst - lease.maxBurst;
            lease.maxRate = rate;
            lease.maxBurst = burst;
        }

        long freeRate() {
            return leasableRate - unreportedRate - leasedRate;
        }

        long freeBurst() {
            return budget.burst() - unreportedBurst - leasedBurst;
        }
    }

    private final BudgetTiming timing;
    private final long term;
    private final Map<Integer, BudgetAccount> accounts = new LinkedHashMap<>();
    private final Map<Long, Participant> participants = new LinkedHashMap<>();
    private long lastDivisionAt = Long.MIN_VALUE;
    private String clockWarning;

    LeaseLedger(Collection<Budget> budgets, long term, BudgetTiming timing, long now) {
        this.term = term;
        this.timing = timing;
        configure(now, budgets);
    }

    /**
     * Applies new or changed budgets. Existing leases stay recorded until they are returned or expire.
     */
    final void configure(long now, Collection<Budget> budgets) {
        Map<Integer, BudgetAccount> previousAccounts = new HashMap<>(accounts);
        accounts.clear();
        for (Budget budget : budgets) {
            BudgetAccount previousAccount = previousAccounts.remove(budget.id());
            BudgetAccount account = new BudgetAccount(budget, now,
                previousAccount == null ? now + timing.maxLeaseDuration() : previousAccount.unreportedUntil);
            if (previousAccount != null) {
                account.unreportedRate = previousAccount.unreportedRate;
                account.unreportedBurst = previousAccount.unreportedBurst;
                account.leasedRate = previousAccount.leasedRate;
                account.leasedBurst = previousAccount.leasedBurst;
                account.freeTokens = previousAccount.freeTokens;
            }
            accounts.put(budget.id(), account);
        }
        // A budget that is added again later starts as unknown: others may still hold all of it.
        participants.values().forEach(participant ->
            participant.leasesById.keySet().removeAll(previousAccounts.keySet()));
        lastDivisionAt = Long.MIN_VALUE;
    }

    long term() {
        return term;
    }

    /**
     * Describes a process whose clock drifts from this one's, once per detection; null if there is
     * none.
     */
    String takeClockWarning() {
        String warning = clockWarning;
        clockWarning = null;
        return warning;
    }

    /** The key of a process: its member id and its instance id. */
    long participantKey(int memberId, int instanceId) {
        return (long) memberId << 32 | instanceId & 0xffffffffL;
    }

    /**
     * Releases expired leases and, once all leases of earlier terms have expired, the unreported
     * shares.
     */
    private void releaseExpired(long now) {
        for (Iterator<Participant> iterator = participants.values().iterator(); iterator.hasNext();) {
            Participant participant = iterator.next();
            if (now >= participant.leaseEnd) {
                iterator.remove();
                releaseLeases(participant);
            }
        }
        for (BudgetAccount account : accounts.values()) {
            if (now >= account.unreportedUntil) {
                account.unreportedRate = 0;
                account.unreportedBurst = 0;
            }
            double earned = Math.max(0, account.freeRate()) * ((now - account.refilledAt) / 1e6);
            account.freeTokens = Math.max(0, Math.min(account.freeBurst(), account.freeTokens + earned));
            account.refilledAt = now;
        }
    }

    private void releaseLeases(Participant participant) {
        participant.leasesById.forEach((id, lease) -> {
            BudgetAccount account = accounts.get(id);
            if (account != null) {
                account.setLease(lease, 0, 0);
            }
        });
        lastDivisionAt = Long.MIN_VALUE;
    }

    /** Removes a process that has returned all its leases. */
    void removeParticipant(int memberId, int instanceId) {
        Participant participant = participants.remove(participantKey(memberId, instanceId));
        if (participant != null) {
            releaseLeases(participant);
        }
    }

    /**
     * Answers a lease request, which reports what the sender holds and wants; null if it gets no
     * answer. A sender that is not in this term yet gets an empty grant that moves it there. From then
     * on no earlier coordinator can raise its share, so what its next request reports is reliable.
     */
    BudgetMessage handleRequest(long now, BudgetMessage request) {
        releaseExpired(now);
        if (request.term() != term) {
            return newGrant(request, 0, List.of());
        }
        Participant participant = participants.get(participantKey(request.senderId(), request.instanceId()));
        boolean firstRequest = participant == null;
        if (firstRequest) {
            participant = new Participant(request.senderId());
            participants.put(participantKey(request.senderId(), request.instanceId()), participant);
            lastDivisionAt = Long.MIN_VALUE;
        } else if (isOutdated(request.requestNumber(), participant.lastRequestNumber)) {
            return null; // reordered or duplicate
        }
        participant.lastRequestNumber = request.requestNumber();
        participant.lastRequestAt = now;
        boolean expired = request.grantedOrExpired() || request.grantVersion() > participant.grantVersion
            || firstRequest && request.grantVersion() > 0;
        boolean acknowledged = !firstRequest && !expired
            && request.grantVersion() == participant.grantVersion;
        if (acknowledged) {
            checkClock(now, participant, request.senderClock()); // a first request may be a delayed one
        }
        Map<Integer, BudgetEntry> reportedById = new HashMap<>();
        request.entries().forEach(entry -> reportedById.put(entry.budgetId(), entry));
        for (BudgetAccount account : accounts.values()) {
            BudgetEntry entry = reportedById.getOrDefault(account.budget.id(),
                new BudgetEntry(0, 0, 0, 0, 0));
            Lease lease = participant.leasesById.computeIfAbsent(account.budget.id(), id -> new Lease());
            lease.demand = entry.demand();
            lease.waitingRequests = entry.waitingOrAddedTokens();
            if (expired) {
                recordConfirmedLease(account, lease, 0, 0);
            } else if (firstRequest) {
                recordConfirmedLease(account, lease, entry.rate(), entry.burst());
                account.unreportedRate = Math.max(0, account.unreportedRate - entry.rate());
                account.unreportedBurst = Math.max(0, account.unreportedBurst - entry.burst());
            } else if (acknowledged) {
                // A holder that has confirmed all grants may have returned part of its share on its own.
                recordConfirmedLease(account, lease, Math.min(lease.grantedRate, entry.rate()),
                    Math.min(lease.grantedBurst, entry.burst()));
            }
        }
        if (expired) {
            participant.grantVersion = Math.max(participant.grantVersion, request.grantVersion()) + 1;
        }
        if (firstRequest || expired || acknowledged) {
            updateGrants(now, participant);
        }
        participant.leaseEnd = now + (participant.clockUntrusted ? 2 : 1) * timing.leaseDuration();
        if (participant.clockUntrusted) {
            return null;
        }
        List<BudgetEntry> entries = new ArrayList<>();
        participant.leasesById.forEach((id, lease) -> entries.add(
            new BudgetEntry(id, lease.grantedRate, lease.grantedBurst, 0, lease.addedTokens)));
        return newGrant(request, participant.grantVersion, entries);
    }

    private BudgetMessage newGrant(BudgetMessage request, long version, List<BudgetEntry> entries) {
        return new BudgetMessage(Kind.LEASE_GRANT, 0, 0, request.instanceId(), term,
            request.requestNumber(), version, 0, false, 0, null, null, entries);
    }

    /** Records a lease of this size, with no other grant in flight. */
    private static void recordConfirmedLease(BudgetAccount account, Lease lease, long rate, long burst) {
        account.setLease(lease, rate, burst);
        lease.grantedRate = rate;
        lease.grantedBurst = burst;
        lease.addedTokens = 0;
    }

    /**
     * Detects a clock that runs slow, whose leases would last too long. A delayed message makes
     * clocks seem apart for a moment; therefore the smallest difference of an interval is compared with
     * that of the interval before, and a process is distrusted only after two deviations in a row.
     */
    private void checkClock(long now, Participant participant, long participantClock) {
        participant.minClockOffset = Math.min(participant.minClockOffset, now - participantClock);
        if (participant.clockCheckedAt == 0) {
            participant.clockCheckedAt = now;
        } else if (now - participant.clockCheckedAt >= CLOCK_CHECK_INTERVAL_MICROS) {
            double drift = participant.minClockOffset - (double) participant.previousMinClockOffset;
            boolean drifted = participant.clockChecks++ > 0
                && Math.abs(drift) > MAX_CLOCK_DRIFT * (now - participant.clockCheckedAt)
                + MAX_DELAY_VARIATION_MICROS;
            participant.driftDetections = drifted ? participant.driftDetections + 1 : 0;
            participant.clockUntrusted = participant.driftDetections >= MIN_DRIFT_DETECTIONS;
            if (participant.clockUntrusted) {
                clockWarning = String.format(java.util.Locale.ROOT, "%08x drifted by %.2f s in %.2f",
                    participant.memberId, drift / 1e6, (now - participant.clockCheckedAt) / 1e6);
            }
            participant.clockCheckedAt = now;
            participant.previousMinClockOffset = participant.minClockOffset;
            participant.minClockOffset = Long.MAX_VALUE;
        }
    }

    /** Computes the target share of each process from all demands. */
    private void computeTargetRates(long now) {
        if (lastDivisionAt != Long.MIN_VALUE && now - lastDivisionAt < MIN_DIVISION_INTERVAL_MICROS) {
            return;
        }
        lastDivisionAt = now;
        for (BudgetAccount account : accounts.values()) {
            int id = account.budget.id();
            List<Lease> leases = participants.values().stream()
                .map(participant -> participant.leasesById.get(id)).filter(lease -> lease != null).toList();
            double[] demands = leases.stream().mapToDouble(lease -> lease.demand).toArray();
            long[] targetRates = MaxMinDivision.divide(account.leasableRate, demands);
            account.starving = false;
            for (int i = 0; i < targetRates.length; i++) {
                Lease lease = leases.get(i);
                lease.targetRate = targetRates[i];
                account.starving |= lease.maxRate < targetRates[i] / 2;
            }
        }
    }

    /**
     * Whether the burst suffices for two tokens per process; otherwise single tokens are leased in
     * turn.
     */
    private boolean isDividedByRate(BudgetAccount account) {
        return account.budget.burst() >= 2 * Budget.MICROTOKENS_PER_TOKEN * participants.size();
    }

    /** Updates what is granted to a process, by the target shares and the free tokens. */
    private void updateGrants(long now, Participant participant) {
        computeTargetRates(now);
        boolean changed = false;
        for (BudgetAccount account : accounts.values()) {
            Lease lease = participant.leasesById.get(account.budget.id());
            long targetRate = 0, targetBurst = 0, addedTokens = 0;
            if (isDividedByRate(account)) {
                targetRate = lease.targetRate;
                targetBurst = burstFor(account, targetRate);
            } else if (isNextInLine(now, account, lease)) {
                targetBurst = Budget.MICROTOKENS_PER_TOKEN;
                addedTokens = Budget.MICROTOKENS_PER_TOKEN;
            } else if (lease.waitingRequests > 0) {
                targetBurst = lease.maxBurst;
            }
            long grantedRate = limitIncrease(lease.maxRate, targetRate, account.freeRate());
            long grantedBurst = limitIncrease(lease.maxBurst, targetBurst, freeBurst(account));
            boolean makesRoom = account.starving && grantedRate < lease.grantedRate;
            if (addedTokens > 0 || makesRoom || isSignificant(grantedRate, lease.grantedRate)
                || isSignificant(grantedBurst, lease.grantedBurst)) {
                changed = true;
                recordGrant(account, lease, grantedRate, grantedBurst);
                lease.grantedRate = grantedRate;
                lease.grantedBurst = grantedBurst;
                lease.addedTokens = addedTokens;
                account.freeTokens -= addedTokens;
                lease.lastServedAt = addedTokens > 0 ? now : lease.lastServedAt;
            }
        }
        participant.grantVersion += changed ? 1 : 0;
    }

    /** The burst of a process: one token, plus a part of the remainder in proportion to its rate. */
    long burstFor(BudgetAccount account, long rate) {
        double remainder = account.budget.burst()
            - (double) Budget.MICROTOKENS_PER_TOKEN * participants.size();
        return Budget.MICROTOKENS_PER_TOKEN + (long) (remainder * (rate / (double) account.leasableRate));
    }

    /** Whether a request is a duplicate or was overtaken by a later one. */
    boolean isOutdated(long number, long lastNumber) {
        return number <= lastNumber;
    }

    /**
     * Records a grant. Until the process confirms it, the process may use the larger of the old and the
     * new share.
     */
    void recordGrant(BudgetAccount account, Lease lease, long rate, long burst) {
        account.setLease(lease, Math.max(lease.maxRate, rate), Math.max(lease.maxBurst, burst));
    }

    long freeBurst(BudgetAccount account) {
        return account.freeBurst();
    }

    /**
     * The new amount of a lease: a reduction always applies, an increase only as far as tokens are
     * free.
     */
    private static long limitIncrease(long current, long target, long free) {
        return target <= current ? target : current + Math.min(target - current, Math.max(0, free));
    }

    /** Whether a change of a share is large enough to be passed on. */
    private static boolean isSignificant(long newAmount, long oldAmount) {
        return newAmount != oldAmount && (newAmount == 0 || oldAmount == 0
            || Math.abs(newAmount - oldAmount) > MIN_RELATIVE_CHANGE * Math.max(newAmount, oldAmount));
    }

    /**
     * Whether a free token goes to this process: the least recently served waiting process comes first.
     */
    private boolean isNextInLine(long now, BudgetAccount account, Lease lease) {
        long availableTokens = (long) Math.min(account.freeTokens, account.freeBurst() + lease.maxBurst)
            / Budget.MICROTOKENS_PER_TOKEN;
        if (lease.waitingRequests == 0 || lease.maxBurst >= Budget.MICROTOKENS_PER_TOKEN
            || availableTokens < 1) {
            return false;
        }
        int waitingBefore = 0;
        for (Participant other : participants.values()) {
            Lease otherLease = other.leasesById.get(account.budget.id());
            waitingBefore += otherLease != null && otherLease != lease && otherLease.waitingRequests > 0
                && otherLease.maxBurst < Budget.MICROTOKENS_PER_TOKEN
                && now - other.lastRequestAt < MAX_WAITING_PERIODS * timing.periodMicros()
                && otherLease.lastServedAt < lease.lastServedAt ? 1 : 0;
        }
        return waitingBefore < availableTokens;
    }
}
