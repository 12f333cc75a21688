package dockrelay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The balancing policy of a proxy, by Redundant-to-Idle-Queue (RIQ): draw SAMPLE_SIZE backends at random and
 * send an idempotent request to every idle one, or else once to a random one of them; cancel the other
 * attempts at the first success. A comment at each deviation from this says which failure it prevents.
 */
public final class RiqBalancer implements Balancer {
    /** Backends drawn, and the maximum while none is idle: queueing while others are idle costs the most. */
    private static final int SAMPLE_SIZE = 4, MAX_SAMPLE_SIZE = 7;
    private static final int DRAWS_PER_SAMPLE = 6; // per sampled backend: bounds the work per request
    // An attempt is overdue this many deviations past the median, so that not every long one is hedged where
    // work varies widely, but at this share of the target at the latest: a hedge can then still meet it.
    private static final double OVERDUE_DEVIATIONS = 4, MAX_OVERDUE_SHARE = 0.5;
    private static final double MEDIAN_STEP = 0.03; // relative, per answer: settles within tens of answers
    private static final int FIRST_ANSWERS = 40; // take larger steps and do not set the lowest median
    // Weight of one outcome in a failure score: three failures in a row eject a backend. So do two that are
    // this many mean targets apart, as these are not the same pause seen twice, and outcomes are rare there.
    private static final double SCORE_WEIGHT = 0.3, APART_WEIGHT = 0.5, APART_TARGETS = 8;
    /** An idle backend has less than this share of the mean in-flight load by weight, and a lower score. */
    private static final double IDLE_LOAD_SHARE = 0.8, BUSY_SCORE = 0.45;
    /** Score that ejects; it must also exceed the mean by the margin, as in overload all backends fail. */
    private static final double EJECT_SCORE = 0.6, EJECT_MARGIN = 0.35, MAX_EJECT_SCORE = 0.9;
    private static final double TRIAL_SCORE = 0.5; // after an ejection: a failure ejects, a success restores
    /** The first ejection lasts at least this many mean targets and sends to a backend; later ones double. */
    private static final double EJECT_TARGETS = 4, EJECT_SENDS = 8, MAX_EJECT_TARGETS = 64;
    private static final double EJECT_AFTER = 2; // mean targets of failures only: one pause can cause many
    private static final double RECONNECT_TARGETS = 16; // first backoff, long enough at two requests a second
    private static final double MAX_EJECTED = 0.7; // share of the window at a time: the rest cannot carry all
    /** Pressure (mean latency by target) up to which credits are full, and from which minimal or none. */
    private static final double FULL_HEDGE_PRESSURE = 0.35, MIN_HEDGE_PRESSURE = 0.6;
    private static final double FULL_COPY_PRESSURE = 0.12, NO_COPY_PRESSURE = 0.24;
    private static final double SMOOTHING = 0.02; // weight of an outcome: the last fifty or so count
    /** Copies, hedges and retries that each request adds to their budgets, and the maximum of a budget. */
    private static final double COPY_CREDIT = 1, HEDGE_CREDIT = 0.4, MIN_HEDGE_CREDIT = 0.05;
    private static final double RETRY_CREDIT = 0.3, MAX_BUDGET = 20;
    private static final double HEDGE_WIN_SHARE = 0.6; // for full credits; minimal at a third of it
    // The limit on own open requests is the success rate times this share of the mean target (Little's law),
    // plus this many standard deviations of a Poisson count, so that chance alone refuses no request.
    private static final double LIMIT_TARGET_SHARE = 0.5, LIMIT_DEVIATIONS = 2;
    /** The latency that the limit allows is also bounded by these multiples of the lowest median seen. */
    private static final double MAX_LIMIT_MEDIANS = 3, MIN_LIMIT_MEDIANS = 1.4;
    private static final double MIN_MEDIAN_RISE = 0.0005; // per answer: a quiet period must not bind forever
    private static final double OVER_QUOTA_SHED_FACTOR = 10; // times the shed share: lower priority, not none
    // Shed share: step per answer (0 to 1 takes about 100), and maximum, as admitted requests test the load.
    private static final double SHED_STEP = 0.01, MAX_SHED = 0.95;
    private static final long DEMAND_PERIOD_MICROS = 1_000_000, DEMAND_STALE_MICROS = 5_000_000;
    private static final long FLEET_STALE_MICROS = 1_500_000; // other proxies may rely on a view for so long
    private static final double MAX_HINT_RATIO = 10; // times the usual hint, as a hint may be wrong
    private static final double MAX_COPIED_WORK = 1; // heavier requests are not copied or hedged: too costly
    private static final double MIN_HINT_POWER = 0.2; // power of latency by hint; wrong hints show little
    private static final double MAX_LOAD_FACTOR = 2; // times its share of maxOpen is a backend's limit
    private static final double RATE_TARGETS = 5; // mean targets, over which the success rate is averaged
    private static final double COLD_LOAD_SHARE = 0.7; // of the overload multiple of its share of answers
    // A token to send to a cold backend lapses after this share of the overload time, else many proxies'
    // saved tokens would be spent in one burst in a surge. In any overload time all proxies then send at most
    // (1 + this share) of COLD_LOAD_SHARE of the limit, apart from chance. More than one spare token is lost.
    private static final double COLD_TOKEN_LIFE = 0.4, MAX_SAVED_TOKENS = 1;
    private static final double COLD_SAMPLE_FACTOR = 2; // times the minimum capacity: most warm up sooner
    private static final double RETRY_AFTER_TARGETS = 0.1; // mean retry-after: early enough for the target
    private static final double RETRY_BUDGET_SHARE = 0.95; // of the usual time budget: less means a retry
    private static final double FIRST_CALL_SHARE = 0.2; // of subscribeWithin: proxies must not call at once
    private static final long SUBSCRIBE_TOKEN = 0, DEMAND_TOKEN = 1;

    private final Settings settings;
    final Actions actions;
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Map<String, TenantState> tenants = new LinkedHashMap<>();
    private final Map<Integer, double[]> demandByPeer = new LinkedHashMap<>();
    private final Map<String, OpenRequest> pending = new HashMap<>();
    private final Map<Long, OpenRequest> hedgeTimers = new HashMap<>();
    private final BackendState[] sample = new BackendState[MAX_SAMPLE_SIZE];
    final BackendPools backends;
    private final ServiceState unrestricted;
    private final double meanTarget;
    private long randomState, nextToken = DEMAND_TOKEN + 1, successRateAt, firstRequestAt, fleetAsOf;
    private double pressure, meanScore, meanMinMedian, rawRate, copyBudget, hedgeBudget = 1, retryBudget = 1;
    private double hedgeWinShare = HEDGE_WIN_SHARE; // optimistic, so that hedging starts
    private double provenWinShare; // starts at 0: copies begin once hedges have been seen to win
    private double maxOpen = Double.MAX_VALUE; // limit on own open requests
    private final BudgetBuckets budgets = new BudgetBuckets(); // empty unless proxies share budgets
    private FleetView fleet; // null until the host reports one
    private boolean subscribed, subscribing;
    private int openCount, totalInFlight, failedCalls;
    private int overLimit, shedCount, noBackend, gaveUp, copiesSent, hedgesSent, retriesSent, ejections;

    /** Token bucket for this proxy's part of a tenant's quota, and the demand seen here, all per second. */
    private static final class TenantState {
        double quota, quotaShare, demand, tokens, newRequests;
        long refilledAt;
    }

    /** One attempt of a request. */
    private static final class Attempt {
        final BackendState backend;
        final Backend entry; // as sent to: another process may reuse the id elsewhere
        final long sentAt;
        boolean ended, notExecuted, overdue, released;

        Attempt(BackendState backend, long sentAt) {
            this.backend = backend;
            this.entry = backend.slot.entry;
            this.sentAt = sentAt;
        }

        /** Whether the process that got the attempt still has this backend id. */
        boolean sameProcess() {
            return entry.startedAt() == backend.slot.entry.startedAt();
        }
    }

    /** An admitted request with its attempts, until the last attempt has ended. */
    private static final class OpenRequest {
        final Request request;
        final ServiceState service;
        final long arrivedAt, deadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        int activeAttempts, firstHedge;
        boolean closed, streaming, copied, countedOpen;
        double work = 1;

        OpenRequest(Request request, ServiceState service, long now) {
            this.request = request;
            this.service = service;
            this.arrivedAt = now;
            this.deadline = now + request.timeBudget();
        }
    }

    public RiqBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.randomState = seed;
        ServiceClass firstClass = settings.classes().get(0);
        // A class that the settings do not name is treated as if its requests must never be executed twice.
        ServiceClass unknownClass = new ServiceClass("", firstClass.latencyTarget(), 0, firstClass.deadline(),
            Idempotency.AT_MOST_ONCE, DedupScope.CELL, 0, firstClass.lateValue(), null, null);
        meanTarget = settings.classes().stream().mapToDouble(ServiceClass::latencyTarget).average().orElse(0);
        backends = new BackendPools(settings.rules(), meanTarget * RATE_TARGETS, unknownClass);
        unrestricted = new ServiceState(unknownClass, backends.poolFor(unknownClass));
        for (ServiceClass serviceClass : settings.classes()) {
            services.put(serviceClass.name(), new ServiceState(serviceClass, backends.poolFor(serviceClass)));
        }
        for (Tenant tenant : settings.tenants()) {
            TenantState tenantState = tenants.computeIfAbsent(tenant.name(), name -> new TenantState());
            tenantState.quota = tenant.quotaPerSecond();
            tenantState.quotaShare = tenantState.tokens = tenantState.quota / settings.proxies();
        }
    }

    @Override public void onBackendList(long now, ListUpdateType type, List<Backend> entries) {
        if (type == ListUpdateType.CACHED) {
            successRateAt = now;
            if (settings.limits().peers() && !tenants.isEmpty() && settings.proxies() > 1) {
                actions.setTimer((long) (DEMAND_PERIOD_MICROS * (0.5 + uniform())), DEMAND_TOKEN);
            }
        }
        if (settings.mustSubscribe() && type != ListUpdateType.OPERATED) {
            scheduleSubscription(type);
        }
        if (type != ListUpdateType.FAILED) {
            backends.update(now, type == ListUpdateType.FULL || type == ListUpdateType.CACHED, entries, this);
            rebuild(now);
        }
    }

    private void rebuild(long now) {
        boolean live = hasView(now);
        backends.rebuild(now, live ? fleet.me() : settings.me(), live ? fleet.proxies() : settings.proxies());
    }

    /** Subscribes once, and again after failures with growing backoff, as all proxies share discovery. */
    private void scheduleSubscription(ListUpdateType type) {
        double maxDelay = settings.rules().subscribeWithin();
        subscribing = subscribing && type == ListUpdateType.CACHED;
        if (type == ListUpdateType.CACHED) {
            actions.setTimer((long) (maxDelay * FIRST_CALL_SHARE * uniform()), SUBSCRIBE_TOKEN);
        } else if (type == ListUpdateType.FAILED) {
            subscribed = false;
            failedCalls = Math.min(failedCalls + 1, 4);
            double delay = maxDelay * FIRST_CALL_SHARE * 0.5 * (1 << (failedCalls - 1));
            // Full jitter: proxies that were restarted together must not call together.
            actions.setTimer((long) (Math.min(delay, maxDelay) * uniform()), SUBSCRIBE_TOKEN);
        } else {
            subscribed = true;
            failedCalls = 0;
        }
    }

    @Override public void onRequest(long now, Request request) {
        // The success rate counts from the first request: traffic long after the first list is not refused.
        firstRequestAt = firstRequestAt == 0 ? now : firstRequestAt;
        OpenRequest req = new OpenRequest(request,
            services.getOrDefault(request.serviceClass(), unrestricted), now);
        if (request.timeBudget() <= 0 || !admit(now, req)) {
            // Jitter: clients that are refused together must not retry together.
            double spread = (mix64(randomState ^ request.id().hashCode()) >>> 11) * 0x1.0p-53;
            actions.refuse(request.id(), (long) (meanTarget * RETRY_AFTER_TARGETS * (0.5 + spread)));
            return;
        }
        pending.put(request.id(), req);
        req.countedOpen = !request.streamed(); // an upload may be slow, and no backend works on it meanwhile
        openCount += req.countedOpen ? 1 : 0;
        earnCredits(); // admitted requests only: refused ones must not pay for redundant attempts
        dispatch(now, req);
    }

    /** Admission control, as an early refusal is cheaper than a late failure. */
    private boolean admit(long now, OpenRequest req) {
        // Prevents queues that still meet the latency target but overload the backends.
        double latency = allowedMedian(meanTarget, meanMinMedian == 0 ? Double.MAX_VALUE : meanMinMedian);
        double meanOpen = successRate(now) * latency / 1e6;
        maxOpen = meanOpen + LIMIT_DEVIATIONS * Math.sqrt(meanOpen + 1) + 1;
        ServiceState service = req.service;
        // Scales latencies by hinted work, so that heavy requests do not make a backend look slow.
        double workHint = req.request.workHint();
        double power = workHint > 0 ? Math.min(1, service.covariance / (service.variance + 1e-9)) : 0;
        double hintRatio = power > MIN_HINT_POWER ? workHint / Math.exp(service.meanLogHint) : 1;
        req.work = Math.pow(Math.min(MAX_HINT_RATIO, Math.max(1 / MAX_HINT_RATIO, hintRatio)), power);
        double timeBudget = req.request.timeBudget();
        boolean retry = req.request.resubmission() || timeBudget < service.usualBudget * RETRY_BUDGET_SHARE;
        double step = timeBudget > service.usualBudget ? 1 + MEDIAN_STEP / 10 : 1 - MEDIAN_STEP / 10;
        service.usualBudget = service.usualBudget == 0 ? timeBudget : service.usualBudget * step;
        // Sheds requests above a tenant's quota first, so that such tenants cannot fill the fleet.
        String budget = BudgetBuckets.TENANT_PREFIX + req.request.tenant();
        boolean withinQuota = tenants.isEmpty() || (budgets.restricts(budget) ? budgets.take(now, budget)
            : tenants.containsKey(req.request.tenant())
            && takeQuotaToken(now, tenants.get(req.request.tenant()), retry));
        // If late answers have no value, a client retry whose target passed in earlier tries is wasted work.
        boolean hopeless = retry && service.spec.lateValue() == 0
            && service.spec.deadline() - timeBudget >= service.spec.latencyTarget();
        double shedShare = sheddingState(service).shedShare;
        if (hopeless && shedShare > 0 || openCount >= maxOpen) {
            overLimit++;
            return false;
        }
        boolean admitted = uniform() >= (withinQuota ? shedShare : OVER_QUOTA_SHED_FACTOR * shedShare);
        shedCount += admitted ? 0 : 1;
        return admitted;
    }

    private static boolean takeQuotaToken(long now, TenantState tenant, boolean retry) {
        tenant.newRequests += retry ? 0 : 1; // retries after refusals must not raise the demand
        double earned = (now - tenant.refilledAt) / 1e6 * tenant.quotaShare;
        tenant.tokens = Math.min(tenant.quotaShare + 1, tenant.tokens + earned); // at most one second's worth
        tenant.refilledAt = now;
        boolean available = tenant.tokens >= 1;
        tenant.tokens -= available ? 1 : 0;
        return available;
    }

    private double successRate(long now) {
        double window = meanTarget * RATE_TARGETS;
        rawRate *= Math.exp(-(now - successRateAt) / window);
        successRateAt = now;
        return rawRate / (1 - Math.exp(-(now - firstRequestAt + meanTarget) / window)); // starts empty
    }

    private void earnCredits() {
        double copies = COPY_CREDIT * linear(NO_COPY_PRESSURE, FULL_COPY_PRESSURE) * gain(provenWinShare);
        copyBudget = Math.min(MAX_BUDGET, copyBudget + copies);
        double hedges = HEDGE_CREDIT * linear(MIN_HEDGE_PRESSURE, FULL_HEDGE_PRESSURE) * gain(hedgeWinShare);
        hedgeBudget = Math.min(MAX_BUDGET, hedgeBudget + Math.max(MIN_HEDGE_CREDIT, hedges));
        retryBudget = Math.min(MAX_BUDGET, retryBudget + RETRY_CREDIT);
    }

    /** Falls linearly from 1 at pressure {@code oneAt} or less to 0 at {@code zeroAt} or more. */
    private double linear(double zeroAt, double oneAt) {
        return Math.min(1, Math.max(0, (zeroAt - pressure) / (zeroAt - oneAt)));
    }

    /** Credit factor by the share of hedges that win: they rarely do where the work itself is long. */
    private static double gain(double winShare) {
        return Math.min(1, Math.max(0, (winShare / HEDGE_WIN_SHARE - 1.0 / 3) * 1.5));
    }

    private void dispatch(long now, OpenRequest req) {
        int sampleSize = drawSample(now, req, false);
        if (sampleSize == 0) {
            noBackend++;
            answerFailure(req);
            return;
        }
        boolean copyAllowed = req.service.spec.idempotency() == Idempotency.IDEMPOTENT && mayCopy(req);
        // Avoids cross-zone traffic, which is paid for, while the sample has an idle backend of the own zone.
        boolean preferOwnZone = settings.crossZonePrice() > 0;
        int idleCount = 0, ownZoneCount = 0;
        for (int i = 0; i < sampleSize; i++) {
            BackendState backend = sample[i];
            if (isIdle(now, backend)) {
                sample[i] = sample[idleCount];
                sample[idleCount++] = backend;
                if (preferOwnZone && backend.slot.entry.zone().equals(settings.zone())) {
                    sample[idleCount - 1] = sample[ownZoneCount];
                    sample[ownZoneCount++] = backend;
                }
            }
        }
        if (idleCount == 0) {
            send(now, req, sample[randomBelow(sampleSize)]);
        } else if (copyAllowed) {
            send(now, req, sample[0]);
            int limit = Math.min(idleCount, Math.max(1, settings.limits().maxAttempts() - 1));
            for (int i = 1; i < limit && copyBudget >= 1 && budgets.take(now, BudgetBuckets.REDUNDANT); i++) {
                copyBudget -= 1;
                req.copied = true;
                copiesSent++;
                send(now, req, sample[i]);
            }
        } else {
            send(now, req, sample[randomBelow(ownZoneCount > 0 ? ownZoneCount : idleCount)]);
        }
        armHedgeTimer(now, req);
    }

    private boolean mayCopy(OpenRequest req) {
        return settings.limits().redundantAttempts() && settings.limits().mayCancel()
            && !req.request.streamed() && (req.request.workHint() == 0 || req.work <= MAX_COPIED_WORK);
    }

    // Idle: none or clearly fewer own attempts than the mean, as on a busy proxy no backend is without any.
    private boolean isIdle(long now, BackendState backend) {
        boolean lightlyLoaded = backend.inFlight == 0 || backend.inFlight * backends.windowWeight
            < IDLE_LOAD_SHARE * totalInFlight * backend.slot.weight();
        boolean queueing = backend.queuedAt > 0 && now - backend.queuedAt < meanTarget * EJECT_TARGETS;
        // An ejected or long failing backend counts as idle for a trial, or its recovery would go unnoticed.
        boolean trial = backend.ejected || now - backend.failingSince >= meanTarget * EJECT_TARGETS;
        return lightlyLoaded && !queueing && backend.overdueAttempts == 0 && backend.answered
            && (backend.failureScore < BUSY_SCORE || trial);
    }

    /** Fills the sample with distinct usable backends, more while none is idle, and returns their number. */
    private int drawSample(long now, OpenRequest req, boolean warmOnly) {
        int count = 0;
        boolean idleFound = false;
        BackendPools.Pool pool = backends.withWindow(req.service.pool);
        for (int i = 0; i < MAX_SAMPLE_SIZE * DRAWS_PER_SAMPLE && pool.windowSize > 0
            && count < (idleFound ? SAMPLE_SIZE : MAX_SAMPLE_SIZE); i++) {
            int index = randomBelow(pool.windowSize);
            BackendState backend = pool.candidates.get(index).state();
            boolean seen = false;
            for (int j = 0; j < count; j++) {
                seen |= sample[j] == backend;
            }
            if (!seen && isUsable(now, req, backend)
                && accept(now, req, backend, pool.share(index), warmOnly)) {
                sample[count++] = backend;
                idleFound |= isIdle(now, backend) || !backend.answered; // new ones need a first answer
            }
        }
        if (count > 0) {
            return count;
        }
        // If no drawn backend is usable, takes the first usable one, or an allowed one, instead of failing.
        boolean found = false;
        for (int i = 0; i < Math.min(BackendPools.MAX_FALLBACKS, pool.size) && !found; i++) {
            BackendState backend = pool.candidates.get(i).state();
            // Only the proxies with a cold backend in their window send to it, as they pace it.
            boolean eligible = allowed(now, req, backend) && withinColdRate(now, backend)
                && !((warmOnly || i >= pool.windowSize) && backends.isCold(now, backend.slot.entry));
            found = eligible && isUsable(now, req, backend);
            if (found || eligible && count == 0) {
                sample[0] = backend;
                count = 1;
            }
        }
        return count;
    }

    /** Accepts a drawn backend by weight and warm-up, so that all proxies send a cold one only its part. */
    private boolean accept(long now, OpenRequest req, BackendState backend, double share, boolean warmOnly) {
        boolean cold = backends.isCold(now, backend.slot.entry);
        double chance = share * backend.slot.weight() / req.service.pool.maxWeight
            * (cold ? Math.min(1, COLD_SAMPLE_FACTOR * backends.capacityShare(now, backend.slot.entry)) : 1);
        return !(cold && warmOnly) && (chance >= 1 || uniform() < chance) && withinColdRate(now, backend);
    }

    /** Limits the rate to a cold backend by its share of the fleet's answers, so as not to overload it. */
    private boolean withinColdRate(long now, BackendState backend) {
        if (!backends.isCold(now, backend.slot.entry)) {
            return true;
        }
        // While views of the fleet differ, windows may overlap: the total weight is used then, as its shares
        // never exceed the whole. The excess discounts a rate from more backends than there are now.
        double excess = Math.max(1, backends.answeringWeight(now) / Math.max(1e-9, backends.warmWeight));
        double rate = successRate(now) * COLD_LOAD_SHARE * settings.rules().overloadMultiple()
            * backend.slot.weight() * backends.capacityShare(now, backend.slot.entry)
            / Math.max(1e-9, excess * (viewsAgree(now) ? backends.warmWeight : backends.totalWarmWeight()));
        double limit = 1 + Math.min(MAX_SAVED_TOKENS, rate * settings.rules().overloadTime() / 1e6
            * COLD_TOKEN_LIFE);
        double tokens = backend.coldTokens + (now - backend.coldRefilledAt) / 1e6 * rate;
        // Only whole tokens lapse: if the fraction did as well, proxies would get into lockstep.
        backend.coldTokens = tokens - (tokens < limit ? 0 : Math.floor(tokens - limit) + 1);
        backend.coldRefilledAt = now;
        return backend.coldTokens >= 1;
    }

    private boolean isUsable(long now, OpenRequest req, BackendState backend) {
        boolean trial = now >= backend.ejectedUntil && backend.inFlight == 0
            && req.service.spec.idempotency() != Idempotency.AT_MOST_ONCE; // a trial must be repeatable
        // Prevents all admitted requests from overloading the one backend that is left of many.
        double maxInFlight = MAX_LOAD_FACTOR * maxOpen * backend.slot.weight()
            * backends.capacityShare(now, backend.slot.entry) / backends.warmWeight + 1;
        return (!backend.ejected || trial) && backend.inFlight < maxInFlight
            && (now >= backend.unreachableUntil || backend.inFlight < backend.connections)
            && allowed(now, req, backend);
    }

    /** Whether deduplication scope and window permit the backend, which must be ready and not tried yet. */
    private boolean allowed(long now, OpenRequest req, BackendState backend) {
        for (int i = 0; i < req.attempts.size(); i++) {
            Attempt attempt = req.attempts.get(i);
            DedupScope scope = req.service.spec.dedupScope();
            if (attempt.backend == backend || !attempt.notExecuted
                && req.service.spec.idempotency() == Idempotency.DEDUPLICATED
                && (scope != DedupScope.ALL && !attempt.entry.zone().equals(backend.slot.entry.zone())
                || scope == DedupScope.CELL && attempt.entry.cell() != backend.slot.entry.cell()
                || now - attempt.sentAt >= req.service.spec.dedupWindow())) {
                return false;
            }
        }
        return backend.slot.entry.phase() == Phase.READY;
    }

    private boolean mayRetry(long now, OpenRequest req) {
        boolean safe = req.service.spec.idempotency() != Idempotency.AT_MOST_ONCE && !req.request.streamed();
        return (safe || !mayHaveExecuted(req)) && !req.closed && !req.streaming
            && (now < req.deadline || req.request.streamed())
            && req.attempts.size() < settings.limits().maxAttempts()
            && (req.activeAttempts == 0 || settings.limits().redundantAttempts());
    }

    private static boolean mayHaveExecuted(OpenRequest req) {
        return req.attempts.stream().anyMatch(attempt -> !attempt.notExecuted);
    }

    private void send(long now, OpenRequest req, BackendState backend) {
        req.attempts.add(new Attempt(backend, now));
        req.activeAttempts++;
        backend.inFlight++;
        totalInFlight++;
        backend.coldTokens -= 1;
        if (backend.ejected) {
            backend.failureScore = TRIAL_SCORE;
        }
        // Ends attempts at the target where late answers have no value, to free the backend.
        long remaining = req.arrivedAt + target(req) - now;
        boolean untilDeadline = req.service.spec.lateValue() > 0 || req.request.streamed();
        actions.send(req.request.id(), backend.slot.entry.id(), untilDeadline ? 0 : remaining);
    }

    private static long target(OpenRequest req) {
        return (long) (req.service.spec.latencyTarget() + req.service.spec.targetPerWorkHint()
            * req.request.workHint());
    }

    private long overdueAfter(OpenRequest req) {
        ServiceState service = req.service;
        double target = service.spec.latencyTarget();
        double delay = service.median == 0 ? target * MAX_OVERDUE_SHARE
            : (service.median + service.deviation * OVERDUE_DEVIATIONS) * req.work;
        return (long) Math.min(target * MAX_OVERDUE_SHARE, delay);
    }

    private void armHedgeTimer(long now, OpenRequest req) {
        // A streamed request goes to one backend, and its duration depends on the client.
        boolean mayHedge = !req.closed && !req.request.streamed() && req.activeAttempts > 0;
        if (mayHedge && req.attempts.size() < settings.limits().maxAttempts()) {
            long token = nextToken++;
            hedgeTimers.put(token, req);
            actions.setTimer(overdueAfter(req), token);
        }
    }

    @Override public void onTimer(long now, long token) {
        if (token == SUBSCRIBE_TOKEN && !subscribed && !subscribing) {
            subscribing = true;
            actions.subscribe();
        } else if (token == DEMAND_TOKEN) {
            exchangeDemand(now);
        }
        OpenRequest req = hedgeTimers.remove(token);
        if (req == null || req.closed || req.streaming) {
            return;
        }
        long due = overdueAfter(req);
        for (Attempt attempt : req.attempts) {
            if (!attempt.ended && !attempt.overdue && now - attempt.sentAt >= due) {
                attempt.overdue = true;
                attempt.backend.overdueAttempts++;
                recordScore(now, attempt, true);
            }
        }
        // A stalled backend shows first by an overdue attempt.
        int attemptsBefore = req.attempts.size();
        if (hedgeBudget >= 1 && mayCopy(req) && sendAnother(now, req, true)) {
            hedgeBudget -= 1;
            hedgesSent++;
            req.firstHedge = req.firstHedge == 0 ? attemptsBefore : req.firstHedge;
        }
    }

    /** Sends another attempt if it is permitted and useful, to an idle backend of the sample if any. */
    private boolean sendAnother(long now, OpenRequest req, boolean warmOnly) {
        if (!mayRetry(now, req) || req.service.spec.lateValue() == 0 && now - req.arrivedAt >= target(req)) {
            return false;
        }
        int count = drawSample(now, req, warmOnly);
        if (count == 0 || !budgets.take(now, BudgetBuckets.REDUNDANT)) {
            return false;
        }
        int chosen = randomBelow(count);
        for (int i = count - 1; i >= 0; i--) {
            chosen = isIdle(now, sample[i]) ? i : chosen;
        }
        send(now, req, sample[chosen]);
        armHedgeTimer(now, req);
        return true;
    }

    @Override public void onOutcome(long now, String requestId, int index, long backend, Outcome outcome,
                          long latency, boolean requestClosed, LoadReport report) {
        OpenRequest req = pending.get(requestId);
        if (req == null || index < 0 || index >= req.attempts.size() || req.attempts.get(index).ended) {
            return;
        }
        Attempt attempt = req.attempts.get(index);
        attempt.ended = true;
        attempt.notExecuted = outcome.provesNotExecuted();
        req.activeAttempts--;
        release(attempt);
        attempt.backend.queuedAt = report == null ? attempt.backend.queuedAt : report.queued() > 0 ? now : 0;
        if (attempt.sentAt <= attempt.backend.drainNoticeAt) {
            actions.closeIdleConnections(attempt.entry.id()); // idle only now, after the drain notice
        }
        recordOutcome(now, req, attempt, outcome, latency);
        if (requestClosed && !req.closed) {
            if (req.firstHedge > 0) {
                double won = index >= req.firstHedge ? 1 : 0;
                hedgeWinShare += SMOOTHING * (won - hedgeWinShare);
                provenWinShare += SMOOTHING * (won - provenWinShare);
            }
            closeRequest(req, index);
        }
        if (!req.closed && req.activeAttempts == 0) {
            // Failed connects cost no backend any work. Retries on full backends would keep all queues full.
            boolean freeRetry = outcome == Outcome.CONNECT_FAILURE;
            boolean bodyLost = outcome == Outcome.NOT_SENT && req.request.streamed();
            if (!bodyLost && (freeRetry || retryBudget >= 1) && sendAnother(now, req, false)) {
                retryBudget -= freeRetry ? 0 : 1;
                retriesSent++;
            } else {
                gaveUp++;
                answerFailure(req);
            }
        }
        if (req.closed && req.activeAttempts == 0) {
            pending.remove(requestId);
        }
    }

    /** Stops counting an attempt as in flight. */
    private void release(Attempt attempt) {
        if (!attempt.released) {
            attempt.released = true;
            attempt.backend.inFlight--;
            totalInFlight--;
            attempt.backend.overdueAttempts -= attempt.overdue ? 1 : 0;
        }
    }

    private void recordOutcome(long now, OpenRequest req, Attempt attempt, Outcome outcome, long latency) {
        ServiceState service = req.service;
        if (outcome == Outcome.OK) {
            attempt.backend.answered |= attempt.sameProcess();
            attempt.backend.connectErrors = 0;
            successRate(now);
            rawRate += 1e6 / (meanTarget * RATE_TARGETS);
            if (!req.copied && !req.request.streamed()) { // of two, the faster; of uploads, by length
                recordLatency(service, latency / req.work);
                recordHint(service, latency, req.request.workHint());
            }
            pressure += SMOOTHING * (Math.min(latency / (double) service.spec.latencyTarget(), 2) - pressure);
            if (!attempt.overdue) {
                recordScore(now, attempt, !req.request.streamed() && latency > overdueAfter(req) * 2);
            }
        } else if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
            if (outcome == Outcome.CONNECT_FAILURE) {
                recordConnectFailure(now, attempt);
            } else if (outcome != Outcome.TIMEOUT || !attempt.overdue) { // scored when it became overdue
                recordScore(now, attempt, true);
            }
            if (outcome == Outcome.TIMEOUT || outcome == Outcome.REJECTED) { // a full queue is overload
                adjustShedShare(service.spec.latencyTarget(), service);
                pressure += SMOOTHING * (2 - pressure);
            }
        }
    }

    // Backs off, by doubled times, from a backend without a connection: down, its connections all held by
    // other proxies, or the network cut. One failure among successes proves none of these, and would exclude
    // nearly all backends if connections get lost; a second in a row, sent once the first was known, does.
    private void recordConnectFailure(long now, Attempt attempt) {
        BackendState backend = attempt.backend;
        if (!attempt.sameProcess() || backend.connectErrors > 0 && attempt.sentAt < backend.connectFailedAt) {
            return; // sent before the last failure was known: the same failure twice
        }
        backend.connectFailedAt = now;
        if (backend.connectErrors++ == 0) {
            return;
        }
        backend.connections = backend.inFlight; // one for each attempt in flight: no more are available
        int backoffFactor = 1 << Math.min(backend.connectErrors - 2, 9);
        double backoff = meanTarget * Math.min(MAX_EJECT_TARGETS, RECONNECT_TARGETS * backoffFactor);
        backend.unreachableUntil = now + (long) (backoff * (0.75 + uniform() / 2));
    }

    private void recordLatency(ServiceState service, double latency) {
        if (service.answerCount++ == 0) {
            service.median = latency;
            service.deviation = latency / 3.0;
        }
        double step = Math.max(MEDIAN_STEP, 1.0 / (service.answerCount + 2));
        service.deviation *= Math.abs(latency - service.median) > service.deviation ? 1 + step : 1 - step;
        service.median *= latency > service.median ? 1 + step : 1 - step;
        if (service.answerCount > FIRST_ANSWERS) {
            service.minMedian = Math.min(service.minMedian * (1 + MIN_MEDIAN_RISE), service.median);
            meanMinMedian += (meanMinMedian == 0 ? 1 : SMOOTHING) * (service.minMedian - meanMinMedian);
        }
        adjustShedShare(latency, service);
    }

    /** Regresses log latency on log hint: the power by which latency grows shows whether hints are right. */
    private static void recordHint(ServiceState service, double latency, long hint) {
        if (hint > 0) {
            double weight = service.meanLogLatency == 0 ? 1 : SMOOTHING;
            double timeDiff = Math.log(latency + 1) - service.meanLogLatency;
            double hintDiff = Math.log(hint) - service.meanLogHint;
            service.meanLogLatency += weight * timeDiff;
            service.meanLogHint += weight * hintDiff;
            service.covariance += weight < 1 ? weight * (timeDiff * hintDiff - service.covariance) : 0;
            service.variance += weight < 1 ? weight * (hintDiff * hintDiff - service.variance) : 0;
        }
    }

    private static double allowedMedian(double target, double minMedian) {
        double latency = Math.min(target * LIMIT_TARGET_SHARE, minMedian * MAX_LIMIT_MEDIANS);
        // Prevents permanent shedding where the work alone takes that much of the target.
        return Math.max(latency, Math.min(target * MAX_OVERDUE_SHARE, minMedian * MIN_LIMIT_MEDIANS));
    }

    /** Moves the shed share so that the median settles at the allowed one: half of the answers are slower. */
    private void adjustShedShare(double latency, ServiceState service) {
        boolean slow = latency > allowedMedian(service.spec.latencyTarget(), service.minMedian);
        ServiceState state = sheddingState(service);
        state.shedShare = Math.min(MAX_SHED, Math.max(0, state.shedShare + (slow ? SHED_STEP : -SHED_STEP)));
    }

    /** A restricted class sheds by itself: its few overloaded backends must not get other classes refused. */
    private ServiceState sheddingState(ServiceState state) {
        return state.spec.allowedZones() == null && state.spec.allowedKinds() == null ? unrestricted : state;
    }

    /** Outlier ejection by a failure score: lasting failures eject a backend, a good trial restores it. */
    private void recordScore(long now, Attempt attempt, boolean failed) {
        BackendState backend = attempt.backend;
        if (!attempt.sameProcess()) {
            return; // the outcome of an earlier process says nothing about this one
        }
        double weight = now - backend.scoredAt >= meanTarget * APART_TARGETS ? APART_WEIGHT : SCORE_WEIGHT;
        backend.scoredAt = now;
        backend.failureScore += weight * ((failed ? 1 : 0) - backend.failureScore);
        meanScore += SMOOTHING * ((failed ? 1 : 0) - meanScore);
        double ejectScore = Math.max(EJECT_SCORE, Math.min(MAX_EJECT_SCORE, meanScore + EJECT_MARGIN));
        backend.failingSince = !failed ? 0 : backend.failingSince == 0 ? now : backend.failingSince;
        boolean eject = failed && (backend.ejected || now - backend.failingSince >= meanTarget * EJECT_AFTER);
        if (eject && backend.failureScore > ejectScore && now >= backend.ejectedUntil
            && (backend.ejected || backends.ejectedCount < unrestricted.pool.windowSize * MAX_EJECTED)) {
            double base = EJECT_SENDS * unrestricted.pool.windowSize * 1e6 / Math.max(1, successRate(now));
            backend.backoff = backend.ejected ? 2 * backend.backoff
                : Math.max(meanTarget * EJECT_TARGETS, base);
            backend.backoff = Math.min(meanTarget * MAX_EJECT_TARGETS, backend.backoff);
            backend.ejectedUntil = now + (long) (backend.backoff * (0.75 + uniform() / 2));
            ejections++;
            backends.ejectedCount += backend.ejected ? 0 : 1;
            backend.ejected = true;
            backends.ejectedBackends.add(backend);
        } else if (!failed && backend.ejected && now >= backend.ejectedUntil) {
            backend.ejected = false;
            backends.ejectedCount--;
        }
    }

    /** Closes a request and cancels its other attempts; {@code winner} is -1 where there is none. */
    private void closeRequest(OpenRequest req, int winner) {
        req.closed = true;
        openCount -= req.countedOpen ? 1 : 0;
        req.countedOpen = false;
        cancelOthers(req, winner);
        if (req.activeAttempts == 0) {
            pending.remove(req.request.id());
        }
    }

    private void cancelOthers(OpenRequest req, int winner) {
        for (int i = 0; i < req.attempts.size() && settings.limits().mayCancel(); i++) {
            if (i != winner && !req.attempts.get(i).ended) {
                actions.cancel(req.request.id(), i);
            }
        }
    }

    /** Sends the final answer: a refusal where a retry by the client is safe, else a failure. */
    private void answerFailure(OpenRequest req) {
        closeRequest(req, -1);
        boolean safeToRetry = req.service.spec.idempotency() == Idempotency.IDEMPOTENT
            || !mayHaveExecuted(req) || req.service.spec.idempotency() == Idempotency.DEDUPLICATED
            && req.service.spec.dedupScope() == DedupScope.ALL;
        if (safeToRetry) {
            actions.refuse(req.request.id(), 0);
        } else {
            actions.fail(req.request.id());
        }
    }

    @Override public void onStreamStart(long now, String requestId, int index, long backend, long latency) {
        OpenRequest req = pending.get(requestId);
        if (req != null && !req.closed && index >= 0 && index < req.attempts.size()) {
            req.streaming = true;
            openCount -= req.countedOpen ? 1 : 0; // the rest depends on how fast the client reads
            req.countedOpen = false;
            release(req.attempts.get(index));
            req.attempts.get(index).backend.answered |= req.attempts.get(index).sameProcess();
            cancelOthers(req, index);
        }
    }

    @Override public void onClientDisconnected(long now, String requestId) {
        OpenRequest req = pending.get(requestId);
        if (req != null && !req.closed) {
            closeRequest(req, -1);
        }
    }

    @Override public void onFleetView(long now, FleetView view) {
        boolean changed = !hasView(now) || view.proxies() != fleet.proxies() || view.me() != fleet.me();
        fleet = view;
        fleetAsOf = now - view.age();
        if (changed) {
            rebuild(now); // windows depend on the number of proxies
        }
    }

    @Override public void onBudgetShares(long now, long version, long expiresAt, List<BudgetShare> shares) {
        budgets.update(now, version, expiresAt, shares);
    }

    @Override public List<BudgetUse> budgetUsage(long now) {
        return budgets.usage(now);
    }

    private boolean hasView(long now) {
        return fleet != null && now - fleetAsOf <= FLEET_STALE_MICROS;
    }

    /** Whether all proxies have the same view of the fleet as far as is known; true without any view. */
    private boolean viewsAgree(long now) {
        return fleet == null || hasView(now) && fleet.agreement() == Agreement.ALL;
    }

    @Override public void onPeerMessage(long now, int peer, String message) {
        String[] parts = message.split(" ", -1);
        if (peer < 0 || peer >= settings.proxies() || peer == settings.me()
            || parts.length != tenants.size()) {
            return;
        }
        double[] demand = new double[parts.length + 1];
        try {
            Arrays.setAll(demand, i -> i < parts.length ? Double.parseDouble(parts[i]) : now);
        } catch (NumberFormatException e) {
            return; // corrupt: the last valid message holds until it is stale
        }
        if (Arrays.stream(demand, 0, parts.length).allMatch(value -> value >= 0 && value < 1e9)) {
            demandByPeer.put(peer, demand); // its last element is the time
        }
    }

    // While proxies disagree on who takes which share, shares must not add up to more than the whole.
    double quotaShare(long now, double evenShare, double demandShare) {
        boolean agree = viewsAgree(now) && (fleet == null || fleet.countsAge() == 0); // first-hand
        return agree ? Math.max(demandShare, evenShare / 4) : hasView(now) ? fleet.share() : fleet.minShare();
    }

    // Divides quotas by demand: a tenant within its quota is not refused at a proxy with more traffic.
    private void exchangeDemand(long now) {
        StringBuilder message = new StringBuilder();
        int tenantIndex = 0;
        for (TenantState tenant : tenants.values()) {
            tenant.demand += 0.5 * (tenant.newRequests * 1e6 / DEMAND_PERIOD_MICROS - tenant.demand);
            tenant.newRequests = 0;
            double total = tenant.demand;
            int reporting = 1;
            for (double[] peerDemand : demandByPeer.values()) {
                if (now - peerDemand[tenants.size()] < DEMAND_STALE_MICROS) {
                    total += peerDemand[tenantIndex];
                    reporting++;
                }
            }
            int proxies = hasView(now) ? fleet.proxies() : settings.proxies();
            total *= Math.max(proxies, reporting) / (double) reporting; // the others count as average
            double even = 1.0 / proxies, share = total > 0 && reporting > 1 ? tenant.demand / total : even;
            tenant.quotaShare = tenant.quota * quotaShare(now, even, share);
            message.append(tenantIndex++ == 0 ? "" : " ").append(Math.round(tenant.demand));
        }
        actions.broadcastToPeers(message.toString());
        actions.setTimer(DEMAND_PERIOD_MICROS, DEMAND_TOKEN);
    }

    @Override public String status(long now) {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
            "over-limit=%d shed=%d no-backend=%d gave-up=%d copies=%d hedges=%d retries=%d ejections=%d;"
            + " open=%d shed-share=%.2f strain=%.2f good/s=%.0f", overLimit, shedCount, noBackend, gaveUp,
            copiesSent, hedgesSent, retriesSent, ejections, openCount, unrestricted.shedShare, pressure,
            successRate(now)));
        BackendPools.Pool pool = unrestricted.pool; // only the first of the window if there are many
        (pool.size > BackendPools.MAX_FALLBACKS ? pool.candidates.stream().limit(BackendPools.MAX_FALLBACKS)
            : pool.stream()).map(Ring.Slot::state).forEach(b -> text.append(String.format(Locale.ROOT,
                " [%d%s%s%s bad=%.2f]", b.inFlight, b.ejected ? " out" : "",
                now < b.unreachableUntil ? " unreachable" : "",
                backends.isCold(now, b.slot.entry) ? " cold" : "", b.failureScore)));
        overLimit = shedCount = noBackend = gaveUp = copiesSent = hedgesSent = retriesSent = ejections = 0;
        return text.toString();
    }

    /** Random number in [0, 1) by SplitMix64: small, good enough for sampling, portable. */
    double uniform() {
        return (mix64(randomState += 0x9E3779B97F4A7C15L) >>> 11) * 0x1.0p-53;
    }

    static long mix64(long bits) {
        bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
        bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
        return bits ^ (bits >>> 31);
    }

    private int randomBelow(int bound) {
        return (int) (uniform() * bound);
    }
}
