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
    private static final int SAMPLE = 4, SAMPLE_MOST = 7;
    private static final int DRAW_TRIES = 6; // per sampled backend: bounds the work per request
    // An attempt is overdue this many deviations past the median, so that not every long one is hedged where
    // work varies widely, but at this share of the target at the latest: a hedge can then still meet it.
    private static final double OVERDUE_DEVIATIONS = 4, OVERDUE_MOST_AIM = 0.5;
    private static final double MEDIAN_STEP = 0.03; // relative, per answer: settles within tens of answers
    private static final int FIRST_ANSWERS = 40; // take larger steps, and do not count for the lowest median
    // Weight of one outcome in a failure score: three failures in a row eject a backend. So do two that are
    // this many mean targets apart, as these are not the same pause seen twice, and outcomes are rare there.
    private static final double BAD_WEIGHT = 0.3, BAD_WEIGHT_APART = 0.5, APART_AIMS = 8;
    /** An idle backend has less than this share of the mean in-flight load by weight, and a lower score. */
    private static final double IDLE_PART = 0.8, BAD_BUSY = 0.45;
    /** Score that ejects; it must also exceed the mean by the margin, as in overload all backends fail. */
    private static final double BAD_EJECT = 0.6, BAD_MARGIN = 0.35, BAD_MOST = 0.9;
    private static final double BAD_TRIAL = 0.5; // after an ejection: a failure ejects, a success restores
    /** The first ejection lasts this many mean targets and sends to a backend; later ones double. */
    private static final double EJECT_AIMS = 4, EJECT_SENDS = 8, EJECT_MOST_AIMS = 64;
    private static final double EJECT_AFTER_AIMS = 2; // of failures only: one short pause can cause many
    private static final double RECONNECT_AIMS = 16; // first backoff, long enough at two requests a second
    private static final double EJECT_MOST = 0.7; // of the window at a time: the rest cannot carry all
    /** Pressure (mean latency by target) up to which credits are full, and from which minimal or none. */
    private static final double STRAIN_LOW = 0.35, STRAIN_HIGH = 0.6;
    private static final double COPY_FULL = 0.12, COPY_NONE = 0.24;
    private static final double STRAIN_WEIGHT = 0.02; // of one outcome: averages about the last fifty
    /** Copies, hedges and retries that each request adds to their budgets, and the maximum of a budget. */
    private static final double COPIES_PER_REQUEST = 1, HEDGES_PER_REQUEST = 0.4, HEDGES_LEAST = 0.05;
    private static final double RETRIES_PER_REQUEST = 0.3, BUDGET_SAVED = 20;
    private static final double HEDGES_WINNING = 0.6; // for full credits; minimal at a third of it
    // The limit on own open requests is the success rate times this share of the mean target (Little's law),
    // plus this many standard deviations of a Poisson count, so that chance alone refuses no request.
    private static final double LIMIT_AIM = 0.5, LIMIT_DEVIATIONS = 2;
    /** The latency that the limit allows is also bounded by these multiples of the lowest median seen. */
    private static final double LIMIT_FLOORS = 3, LIMIT_LEAST_FLOORS = 1.4;
    private static final double FLOOR_RISE = 0.0005; // per answer: one quiet time must not bind for ever
    private static final double OVER_SHARE_FIRST = 10; // times the shed share: lower priority, not none
    // Shed share: step per answer (0 to 1 takes about 100), and maximum, as admitted requests test the load.
    private static final double SHED_STEP = 0.01, SHED_MOST = 0.95;
    private static final long TELL_EVERY = 1_000_000, TOLD_STALE = 5_000_000;
    private static final long FLEET_STALE = 1_500_000; // other proxies may rely on a view for so long
    private static final double HINT_MOST = 10; // times the usual hint, as a hint may be wrong
    private static final double HINT_COPIED = 1; // heavier requests are not copied or hedged: too costly
    private static final double HINT_TRUSTED = 0.2; // power of latency by hint; wrong hints show little
    private static final double CROWD = 2; // times its share of maxOpen is a backend's limit
    private static final double RATE_AIMS = 5; // mean targets over which the success rate per second is averaged
    private static final double COLD_PART = 0.7; // of the overload multiple of its share of answers
    // A token to send to a cold backend lapses after this share of the overload time, else many proxies'
    // saved tokens would be spent in one burst in a surge. In any overload time all proxies then send at most
    // (1 + this share) of COLD_LOAD_SHARE of the limit, apart from chance. Also bounds the tokens saved.
    private static final double COLD_KEPT = 0.4, COLD_SAVED = 1;
    private static final double COLD_DRAW = 2; // times the minimum capacity: most warm up sooner
    private static final double COME_BACK_AIMS = 0.1; // mean retry-after: early enough for the target
    private static final double TRIMMED = 0.95; // of the usual time budget: less means a retry
    private static final double FIRST_ASK_SHARE = 0.2; // of subscribeWithin: proxies must not call at once
    private static final long SUBSCRIBE_TOKEN = 0, TELL_TOKEN = 1;

    private final Settings settings;
    final Actions actions;
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Map<String, TenantState> tenants = new LinkedHashMap<>();
    private final Map<Integer, double[]> told = new LinkedHashMap<>();
    private final Map<String, Pending> pending = new HashMap<>();
    private final Map<Long, Pending> timers = new HashMap<>();
    private final Node[] drawn = new Node[SAMPLE_MOST];
    final Roster roster;
    private final ServiceState unknown;
    private final double meanAim;
    private long random, nextToken = TELL_TOKEN + 1, okRateAt, startedAt, fleetAsOf;
    private double strain, meanBadness, meanFloor, okRate, copyBudget, hedgeBudget = 1, retryBudget = 1;
    private double hedgeWins = HEDGES_WINNING; // optimistic, so that hedging starts
    private double provenWins; // starts at 0: copies begin once hedges have been seen to win
    private double mostOpen = Double.MAX_VALUE; // limit on own open requests
    private final Allowances allowances = new Allowances(); // empty unless proxies share budgets
    private FleetView fleet; // null until the host reports one
    private boolean subscribed, asking;
    private int open, inflightOfAll, failedAsks;
    private int overLimit, shedNow, noBackend, gaveUp, copiesSent, hedgesSent, retriesSent, ejections;

    /** Token bucket for this proxy's part of a tenant's quota, and the demand seen here. */
    private static final class TenantState {
        double quota, perSecond, asked, tokens, askedNow;
        long filledAt;
    }

    /** One attempt of a request. */
    private static final class Attempt {
        final Node node;
        final Backend entry; // as sent to: another process may reuse the id elsewhere
        final long sentAt;
        boolean ended, neverRan, overdue, settled;

        Attempt(Node node, long sentAt) {
            this.node = node;
            this.entry = node.place.entry;
            this.sentAt = sentAt;
        }

        /** Whether the process that got the attempt still has this backend id. */
        boolean sameLife() {
            return entry.startedAt() == node.place.entry.startedAt();
        }
    }

    /** An admitted request with its attempts, until the last attempt has ended. */
    private static final class Pending {
        final Request request;
        final ServiceState service;
        final long arrivedAt, deadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        int out, firstHedge;
        boolean closed, streaming, copied, counted;
        double size = 1;

        Pending(Request request, ServiceState service, long now) {
            this.request = request;
            this.service = service;
            this.arrivedAt = now;
            this.deadline = now + request.timeBudget();
        }
    }

    public RiqBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = seed;
        ServiceClass any = settings.classes().get(0);
        ServiceClass other = new ServiceClass("", any.aim(), 0, any.deadline(), Idempotency.AT_MOST_ONCE,
            DedupScope.CELL, 0, any.lateWorth(), null, null); // never run twice
        meanAim = settings.classes().stream().mapToDouble(ServiceClass::aim).average().orElse(0);
        roster = new Roster(settings.rules(), meanAim * RATE_AIMS, other);
        unknown = new ServiceState(other, roster.pool(other));
        for (ServiceClass spec : settings.classes()) {
            services.put(spec.name(), new ServiceState(spec, roster.pool(spec)));
        }
        for (Tenant tenant : settings.tenants()) {
            TenantState state = tenants.computeIfAbsent(tenant.name(), name -> new TenantState());
            state.quota = tenant.quotaPerSecond();
            state.perSecond = state.tokens = state.quota / settings.proxies();
        }
    }

    @Override public void onBackendList(long now, ListUpdateType scope, List<Backend> entries) {
        if (scope == ListUpdateType.CACHED) {
            okRateAt = now;
            if (settings.limits().peers() && !tenants.isEmpty() && settings.proxies() > 1) {
                actions.setTimer((long) (TELL_EVERY * (0.5 + uniform())), TELL_TOKEN);
            }
        }
        if (settings.mustSubscribe() && scope != ListUpdateType.OPERATED) {
            followDiscovery(scope);
        }
        if (scope != ListUpdateType.FAILED) {
            roster.take(now, scope == ListUpdateType.FULL || scope == ListUpdateType.CACHED, entries, this);
            rebuild(now);
        }
    }

    private void rebuild(long now) {
        boolean known = fleetKnown(now);
        roster.rebuild(now, known ? fleet.me() : settings.me(), known ? fleet.proxies() : settings.proxies());
    }

    /** Subscribes once, and again after failures with growing backoff, as all proxies share discovery. */
    private void followDiscovery(ListUpdateType scope) {
        double within = settings.rules().subscribeWithin();
        asking = asking && scope == ListUpdateType.CACHED;
        if (scope == ListUpdateType.CACHED) {
            actions.setTimer((long) (within * FIRST_ASK_SHARE * uniform()), SUBSCRIBE_TOKEN);
        } else if (scope == ListUpdateType.FAILED) {
            subscribed = false;
            failedAsks = Math.min(failedAsks + 1, 4);
            double wait = within * FIRST_ASK_SHARE * 0.5 * (1 << (failedAsks - 1));
            // Full jitter: proxies that were restarted together must not call together.
            actions.setTimer((long) (Math.min(wait, within) * uniform()), SUBSCRIBE_TOKEN);
        } else {
            subscribed = true;
            failedAsks = 0;
        }
    }

    @Override public void onRequest(long now, Request request) {
        // The success rate counts from the first request: traffic long after the first list is not refused.
        startedAt = startedAt == 0 ? now : startedAt;
        Pending p = new Pending(request, services.getOrDefault(request.serviceClass(), unknown), now);
        if (request.timeBudget() <= 0 || !admitted(now, p)) {
            // Jitter: clients that are refused together must not retry together.
            double spread = (mixed(random ^ request.id().hashCode()) >>> 11) * 0x1.0p-53;
            actions.refuse(request.id(), (long) (meanAim * COME_BACK_AIMS * (0.5 + spread)));
            return;
        }
        pending.put(request.id(), p);
        p.counted = !request.streamed(); // an upload may be slow, and no backend works on it meanwhile
        open += p.counted ? 1 : 0;
        earnBudgets(); // admitted requests only: refused ones must not pay for redundant attempts
        dispatch(now, p);
    }

    /** Admission control, as an early refusal is cheaper than a late failure. */
    private boolean admitted(long now, Pending p) {
        // Prevents queues that still meet the latency target but overload the backends.
        double latency = wanted(meanAim, meanFloor == 0 ? Double.MAX_VALUE : meanFloor);
        double usual = rate(now) * latency / 1e6;
        mostOpen = usual + LIMIT_DEVIATIONS * Math.sqrt(usual + 1) + 1;
        ServiceState service = p.service;
        // Scales latencies by hinted work, so that heavy requests do not make a backend look slow.
        double hint = p.request.workHint();
        double power = hint > 0 ? Math.min(1, service.hintCovers / (service.hintVaries + 1e-9)) : 0;
        double size = power > HINT_TRUSTED ? hint / Math.exp(service.hintLog) : 1;
        p.size = Math.pow(Math.min(HINT_MOST, Math.max(1 / HINT_MOST, size)), power);
        double budget = p.request.timeBudget();
        boolean trimmed = p.request.resubmission() || budget < service.usualBudget * TRIMMED;
        double nearer = budget > service.usualBudget ? 1 + MEDIAN_STEP / 10 : 1 - MEDIAN_STEP / 10;
        service.usualBudget = service.usualBudget == 0 ? budget : service.usualBudget * nearer;
        // Sheds requests above a tenant's quota first, so that such tenants cannot fill the fleet.
        String share = Allowances.TENANT + p.request.tenant();
        boolean within = tenants.isEmpty() || (allowances.has(share) ? allowances.take(now, share)
            : tenants.containsKey(p.request.tenant())
            && takeShare(now, tenants.get(p.request.tenant()), trimmed));
        // A client's retry whose target has passed in earlier tries is wasted work where late answers are.
        boolean hopeless = trimmed && service.spec.lateWorth() == 0
            && service.spec.deadline() - budget >= service.spec.aim();
        double shed = admission(service).shed;
        if (hopeless && shed > 0 || open >= mostOpen) {
            overLimit++;
            return false;
        }
        boolean kept = uniform() >= (within ? shed : OVER_SHARE_FIRST * shed);
        shedNow += kept ? 0 : 1;
        return kept;
    }

    private static boolean takeShare(long now, TenantState tenant, boolean again) {
        tenant.askedNow += again ? 0 : 1; // retries after refusals must not raise the demand
        double earned = (now - tenant.filledAt) / 1e6 * tenant.perSecond;
        tenant.tokens = Math.min(tenant.perSecond + 1, tenant.tokens + earned); // at most one second's worth
        tenant.filledAt = now;
        boolean has = tenant.tokens >= 1;
        tenant.tokens -= has ? 1 : 0;
        return has;
    }

    private double rate(long now) {
        double span = meanAim * RATE_AIMS;
        okRate *= Math.exp(-(now - okRateAt) / span);
        okRateAt = now;
        return okRate / (1 - Math.exp(-(now - startedAt + meanAim) / span)); // starts empty
    }

    private void earnBudgets() {
        double copies = COPIES_PER_REQUEST * between(COPY_NONE, COPY_FULL) * pay(provenWins);
        copyBudget = Math.min(BUDGET_SAVED, copyBudget + copies);
        double hedges = HEDGES_PER_REQUEST * between(STRAIN_HIGH, STRAIN_LOW) * pay(hedgeWins);
        hedgeBudget = Math.min(BUDGET_SAVED, hedgeBudget + Math.max(HEDGES_LEAST, hedges));
        retryBudget = Math.min(BUDGET_SAVED, retryBudget + RETRIES_PER_REQUEST);
    }

    /** Falls linearly from 1 at pressure {@code full} or less to 0 at pressure {@code none} or more. */
    private double between(double none, double full) {
        return Math.min(1, Math.max(0, (none - strain) / (none - full)));
    }

    /** Credit factor by the share of hedges that win: they rarely do where the work itself is long. */
    private static double pay(double wins) {
        return Math.min(1, Math.max(0, (wins / HEDGES_WINNING - 1.0 / 3) * 1.5));
    }

    private void dispatch(long now, Pending p) {
        int count = draw(now, p, false);
        if (count == 0) {
            noBackend++;
            giveUp(p);
            return;
        }
        boolean copies = p.service.spec.idempotency() == Idempotency.IDEMPOTENT && mayCopy(p);
        // Avoids cross-zone traffic, which is paid for, while the sample has an idle backend of the own zone.
        boolean stay = settings.crossZonePrice() > 0;
        int idle = 0, near = 0;
        for (int i = 0; i < count; i++) {
            Node node = drawn[i];
            if (idle(now, node)) {
                drawn[i] = drawn[idle];
                drawn[idle++] = node;
                if (stay && node.place.entry.zone().equals(settings.zone())) {
                    drawn[idle - 1] = drawn[near];
                    drawn[near++] = node;
                }
            }
        }
        if (idle == 0) {
            send(now, p, drawn[below(count)]);
        } else if (copies) {
            send(now, p, drawn[0]);
            int most = Math.min(idle, Math.max(1, settings.limits().maxAttempts() - 1));
            for (int i = 1; i < most && copyBudget >= 1 && allowances.take(now, Allowances.EXTRA); i++) {
                copyBudget -= 1;
                p.copied = true;
                copiesSent++;
                send(now, p, drawn[i]);
            }
        } else {
            send(now, p, drawn[below(near > 0 ? near : idle)]);
        }
        armHedge(now, p);
    }

    private boolean mayCopy(Pending p) {
        return settings.limits().secondCopies() && settings.limits().mayCancel() && !p.request.streamed()
            && (p.request.workHint() == 0 || p.size <= HINT_COPIED);
    }

    // Idle: none or clearly fewer own attempts than the mean, as on a busy proxy no backend is without any.
    private boolean idle(long now, Node node) {
        boolean little = node.inflight == 0
            || node.inflight * roster.weightOfAll < IDLE_PART * inflightOfAll * node.place.weight();
        // An ejected or long failing backend counts as idle for a trial, or its recovery would go unnoticed.
        boolean queued = node.queuedAt > 0 && now - node.queuedAt < meanAim * EJECT_AIMS;
        boolean trial = node.out || now - node.badSince >= meanAim * EJECT_AIMS;
        return little && !queued && node.overdue == 0 && node.heard && (node.badness < BAD_BUSY || trial);
    }

    /** Fills the sample with distinct usable backends, more while none is idle, and returns their number. */
    private int draw(long now, Pending p, boolean warmOnly) {
        int count = 0;
        boolean enough = false;
        Roster.Pool pool = roster.chosen(p.service.pool);
        for (int i = 0; i < SAMPLE_MOST * DRAW_TRIES && pool.window > 0
            && count < (enough ? SAMPLE : SAMPLE_MOST); i++) {
            int index = below(pool.window);
            Node node = pool.near.get(index).node();
            boolean again = false;
            for (int j = 0; j < count; j++) {
                again |= drawn[j] == node;
            }
            if (!again && usable(now, p, node) && accepted(now, p, node, pool.part(index), warmOnly)) {
                drawn[count++] = node;
                enough |= idle(now, node) || !node.heard; // new ones need a first answer
            }
        }
        if (count > 0) {
            return count;
        }
        // Prevents failing a request as none drawn is usable: takes the first usable, else any allowed one.
        boolean found = false;
        for (int i = 0; i < Math.min(Roster.LAST_RESORT, pool.size) && !found; i++) {
            Node node = pool.near.get(i).node();
            // Only the proxies with a cold backend in their window send to it, as they pace it.
            boolean open = allowed(now, p, node) && paced(now, node)
                && !((warmOnly || i >= pool.window) && roster.cold(now, node.place.entry));
            found = open && usable(now, p, node);
            if (found || open && count == 0) {
                drawn[0] = node;
                count = 1;
            }
        }
        return count;
    }

    /** Accepts a drawn backend in proportion to its weight, capacity share and share in this window. */
    private boolean accepted(long now, Pending p, Node node, double part, boolean warmOnly) {
        boolean cold = roster.cold(now, node.place.entry);
        double share = part * node.place.weight() / p.service.pool.mostWeight
            * (cold ? Math.min(1, COLD_DRAW * roster.warmth(now, node.place.entry)) : 1);
        return !(cold && warmOnly) && (share >= 1 || uniform() < share) && paced(now, node);
    }

    /** Limits the rate to a cold backend by its share of the fleet's answers, so as not to overload it. */
    private boolean paced(long now, Node node) {
        if (!roster.cold(now, node.place.entry)) {
            return true;
        }
        // While views of the fleet differ, windows may overlap: the total weight is used then, as its shares
        // never exceed the whole. The excess discounts answers by more backends than there are now.
        double answered = Math.max(1, roster.weightAnswered(now) / Math.max(1e-9, roster.warmWeight));
        double perSecond = rate(now) * COLD_PART * settings.rules().fallMultiple() * node.place.weight()
            * roster.warmth(now, node.place.entry)
            / Math.max(1e-9, answered * (fleetSettled(now) ? roster.warmWeight : roster.warmOfAll()));
        double kept = 1 + Math.min(COLD_SAVED, perSecond * settings.rules().fallTime() / 1e6 * COLD_KEPT);
        double tokens = node.coldTokens + (now - node.coldFilledAt) / 1e6 * perSecond;
        // Only whole tokens lapse: if the fraction did as well, proxies would get into lockstep.
        node.coldTokens = tokens - (tokens < kept ? 0 : Math.floor(tokens - kept) + 1);
        node.coldFilledAt = now;
        return node.coldTokens >= 1;
    }

    private boolean usable(long now, Pending p, Node node) {
        boolean trial = now >= node.ejectedUntil && node.inflight == 0
            && p.service.spec.idempotency() != Idempotency.AT_MOST_ONCE; // a trial must be repeatable
        // Prevents all admitted requests from overloading the one backend that is left of many.
        double most = CROWD * mostOpen * node.place.weight() * roster.warmth(now, node.place.entry)
            / roster.warmWeight + 1;
        return (!node.out || trial) && node.inflight < most
            && (now >= node.unreachableUntil || node.inflight < node.connections) && allowed(now, p, node);
    }

    /** Whether deduplication scope and window permit the backend, which must be ready and not tried yet. */
    private boolean allowed(long now, Pending p, Node node) {
        for (int i = 0; i < p.attempts.size(); i++) {
            Attempt a = p.attempts.get(i);
            DedupScope scope = p.service.spec.dedupScope();
            if (a.node == node || !a.neverRan && p.service.spec.idempotency() == Idempotency.DEDUPLICATED
                && (scope != DedupScope.ALL && !a.entry.zone().equals(node.place.entry.zone())
                || scope == DedupScope.CELL && a.entry.cell() != node.place.entry.cell()
                || now - a.sentAt >= p.service.spec.dedupWindow())) {
                return false;
            }
        }
        return node.place.entry.phase() == Phase.READY;
    }

    private boolean mayRepeat(long now, Pending p) {
        boolean harmless = p.service.spec.idempotency() != Idempotency.AT_MOST_ONCE && !p.request.streamed();
        return (harmless || !mayHaveRun(p)) && !p.closed && !p.streaming
            && (now < p.deadline || p.request.streamed())
            && p.attempts.size() < settings.limits().maxAttempts()
            && (p.out == 0 || settings.limits().secondCopies());
    }

    private static boolean mayHaveRun(Pending p) {
        return p.attempts.stream().anyMatch(attempt -> !attempt.neverRan);
    }

    private void send(long now, Pending p, Node node) {
        p.attempts.add(new Attempt(node, now));
        p.out++;
        node.inflight++;
        inflightOfAll++;
        node.coldTokens -= 1;
        if (node.out) {
            node.badness = BAD_TRIAL;
        }
        // Ends attempts at the target where late answers have no value, to free the backend.
        long left = p.arrivedAt + aim(p) - now;
        boolean toTheEnd = p.service.spec.lateWorth() > 0 || p.request.streamed();
        actions.send(p.request.id(), node.place.entry.id(), toTheEnd ? 0 : left);
    }

    private static long aim(Pending p) {
        return (long) (p.service.spec.aim() + p.service.spec.aimStretch() * p.request.workHint());
    }

    private long overdueAfter(Pending p) {
        ServiceState service = p.service;
        double aim = service.spec.aim();
        double wait = service.median == 0 ? aim * OVERDUE_MOST_AIM
            : (service.median + service.deviation * OVERDUE_DEVIATIONS) * p.size;
        return (long) Math.min(aim * OVERDUE_MOST_AIM, wait);
    }

    private void armHedge(long now, Pending p) {
        // A streamed request goes to one backend, and its duration depends on the client.
        boolean open = !p.closed && !p.request.streamed() && p.out > 0;
        if (open && p.attempts.size() < settings.limits().maxAttempts()) {
            long token = nextToken++;
            timers.put(token, p);
            actions.setTimer(overdueAfter(p), token);
        }
    }

    @Override public void onTimer(long now, long token) {
        if (token == SUBSCRIBE_TOKEN && !subscribed && !asking) {
            asking = true;
            actions.subscribe();
        } else if (token == TELL_TOKEN) {
            tell(now);
        }
        Pending p = timers.remove(token);
        if (p == null || p.closed || p.streaming) {
            return;
        }
        long due = overdueAfter(p);
        for (Attempt a : p.attempts) {
            if (!a.ended && !a.overdue && now - a.sentAt >= due) {
                a.overdue = true;
                a.node.overdue++;
                mark(now, a, true);
            }
        }
        // A stalled backend shows first by an overdue attempt.
        int before = p.attempts.size();
        if (hedgeBudget >= 1 && mayCopy(p) && repeated(now, p, true)) {
            hedgeBudget -= 1;
            hedgesSent++;
            p.firstHedge = p.firstHedge == 0 ? before : p.firstHedge;
        }
    }

    /** Sends another attempt if it is permitted and useful, to an idle backend of the sample if any. */
    private boolean repeated(long now, Pending p, boolean warmOnly) {
        if (!mayRepeat(now, p) || p.service.spec.lateWorth() == 0 && now - p.arrivedAt >= aim(p)) {
            return false;
        }
        int count = draw(now, p, warmOnly);
        if (count == 0 || !allowances.take(now, Allowances.EXTRA)) {
            return false;
        }
        int chosen = below(count);
        for (int i = count - 1; i >= 0; i--) {
            chosen = idle(now, drawn[i]) ? i : chosen;
        }
        send(now, p, drawn[chosen]);
        armHedge(now, p);
        return true;
    }

    @Override public void onOutcome(long now, String requestId, int attempt, long backend, Outcome outcome,
                          long latency, boolean requestClosed, LoadReport report) {
        Pending p = pending.get(requestId);
        if (p == null || attempt < 0 || attempt >= p.attempts.size() || p.attempts.get(attempt).ended) {
            return;
        }
        Attempt a = p.attempts.get(attempt);
        a.ended = true;
        a.neverRan = outcome.provesNotExecuted();
        p.out--;
        settle(a);
        a.node.queuedAt = report == null ? a.node.queuedAt : report.queued() > 0 ? now : 0;
        if (a.sentAt <= a.node.drainedAt) {
            actions.closeIdleConnections(a.entry.id()); // idle only now, after the drain notice
        }
        learn(now, p, a, outcome, latency);
        if (requestClosed && !p.closed) {
            if (p.firstHedge > 0) {
                double won = attempt >= p.firstHedge ? 1 : 0;
                hedgeWins += STRAIN_WEIGHT * (won - hedgeWins);
                provenWins += STRAIN_WEIGHT * (won - provenWins);
            }
            close(p, attempt);
        }
        if (!p.closed && p.out == 0) {
            // Failed connects cost no backend any work. Retries on full backends would keep all queues full.
            boolean free = outcome == Outcome.CONNECT_FAILURE;
            boolean lost = outcome == Outcome.NOT_SENT && p.request.streamed();
            if (!lost && (free || retryBudget >= 1) && repeated(now, p, false)) {
                retryBudget -= free ? 0 : 1;
                retriesSent++;
            } else {
                gaveUp++;
                giveUp(p);
            }
        }
        if (p.closed && p.out == 0) {
            pending.remove(requestId);
        }
    }

    private void settle(Attempt a) {
        if (!a.settled) {
            a.settled = true;
            a.node.inflight--;
            inflightOfAll--;
            a.node.overdue -= a.overdue ? 1 : 0;
        }
    }

    private void learn(long now, Pending p, Attempt a, Outcome outcome, long latency) {
        ServiceState service = p.service;
        if (outcome == Outcome.OK) {
            a.node.heard |= a.sameLife();
            a.node.connectFailures = 0;
            rate(now);
            okRate += 1e6 / (meanAim * RATE_AIMS);
            if (!p.copied) { // the faster of two answers is not a typical one
                learnLatency(service, latency / p.size);
                learnHint(service, latency, p.request.workHint());
            }
            strain += STRAIN_WEIGHT * (Math.min(latency / (double) service.spec.aim(), 2) - strain);
            if (!a.overdue) {
                mark(now, a, latency > overdueAfter(p) * 2);
            }
        } else if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
            if (outcome == Outcome.CONNECT_FAILURE) {
                unreachable(now, a);
            } else if (outcome != Outcome.TIMEOUT || !a.overdue) { // scored when it became overdue
                mark(now, a, true);
            }
            if (outcome == Outcome.TIMEOUT || outcome == Outcome.REJECTED) { // a full queue is overload
                shed(service.spec.aim(), service);
                strain += STRAIN_WEIGHT * (2 - strain);
            }
        }
    }

    // Backs off, by doubled times, from a backend without a connection: down, its connections all held by
    // other proxies, or the network cut. One failure among successes proves none of these, and would exclude
    // nearly all backends where connections are lost now and then; a second one, sent after the first, does.
    private void unreachable(long now, Attempt a) {
        Node node = a.node;
        if (!a.sameLife() || node.connectFailures > 0 && a.sentAt < node.connectFailedAt) {
            return; // sent before the last failure was known: the same failure twice
        }
        node.connectFailedAt = now;
        if (node.connectFailures++ == 0) {
            return;
        }
        node.connections = node.inflight; // one for each attempt in flight: no more are available
        int doubled = 1 << Math.min(node.connectFailures - 2, 9);
        double wait = meanAim * Math.min(EJECT_MOST_AIMS, RECONNECT_AIMS * doubled);
        node.unreachableUntil = now + (long) (wait * (0.75 + uniform() / 2));
    }

    private void learnLatency(ServiceState service, double latency) {
        if (service.answers++ == 0) {
            service.median = latency;
            service.deviation = latency / 3.0;
        }
        double step = Math.max(MEDIAN_STEP, 1.0 / (service.answers + 2));
        service.deviation *= Math.abs(latency - service.median) > service.deviation ? 1 + step : 1 - step;
        service.median *= latency > service.median ? 1 + step : 1 - step;
        if (service.answers > FIRST_ANSWERS) {
            service.floor = Math.min(service.floor * (1 + FLOOR_RISE), service.median);
            meanFloor += (meanFloor == 0 ? 1 : STRAIN_WEIGHT) * (service.floor - meanFloor);
        }
        shed(latency, service);
    }

    /** Regresses log latency on log hint: the power by which latency grows shows whether hints are right. */
    private static void learnHint(ServiceState service, double latency, long hint) {
        if (hint > 0) {
            double weight = service.usualLog == 0 ? 1 : STRAIN_WEIGHT;
            double longer = Math.log(latency + 1) - service.usualLog;
            double heavier = Math.log(hint) - service.hintLog;
            service.usualLog += weight * longer;
            service.hintLog += weight * heavier;
            service.hintCovers += weight < 1 ? weight * (longer * heavier - service.hintCovers) : 0;
            service.hintVaries += weight < 1 ? weight * (heavier * heavier - service.hintVaries) : 0;
        }
    }

    private static double wanted(double aim, double floor) {
        double latency = Math.min(aim * LIMIT_AIM, floor * LIMIT_FLOORS);
        // Prevents shedding for ever where the work alone takes that much of the target.
        return Math.max(latency, Math.min(aim * OVERDUE_MOST_AIM, floor * LIMIT_LEAST_FLOORS));
    }

    /** Moves the shed share so that the median settles at the allowed one: half of the answers are slower. */
    private void shed(double latency, ServiceState service) {
        boolean slow = latency > wanted(service.spec.aim(), service.floor);
        ServiceState at = admission(service);
        at.shed = Math.min(SHED_MOST, Math.max(0, at.shed + (slow ? SHED_STEP : -SHED_STEP)));
    }

    /** A restricted class sheds by itself: its few overloaded backends must not get other classes refused. */
    private ServiceState admission(ServiceState service) {
        return service.spec.runsIn() == null && service.spec.kindsOpen() == null ? unknown : service;
    }

    /** Outlier ejection by a failure score: lasting failures eject a backend, a good trial restores it. */
    private void mark(long now, Attempt a, boolean bad) {
        Node node = a.node;
        if (!a.sameLife()) {
            return; // the outcome of an earlier process says nothing about this one
        }
        double weight = now - node.markedAt >= meanAim * APART_AIMS ? BAD_WEIGHT_APART : BAD_WEIGHT;
        node.markedAt = now;
        node.badness += weight * ((bad ? 1 : 0) - node.badness);
        meanBadness += STRAIN_WEIGHT * ((bad ? 1 : 0) - meanBadness);
        double most = Math.max(BAD_EJECT, Math.min(BAD_MOST, meanBadness + BAD_MARGIN));
        node.badSince = !bad ? 0 : node.badSince == 0 ? now : node.badSince;
        boolean lasting = bad && (node.out || now - node.badSince >= meanAim * EJECT_AFTER_AIMS);
        if (lasting && node.badness > most && now >= node.ejectedUntil
            && (node.out || roster.ejected < unknown.pool.window * EJECT_MOST)) {
            double sends = EJECT_SENDS * unknown.pool.window * 1e6 / Math.max(1, rate(now));
            node.span = node.out ? 2 * node.span : Math.max(meanAim * EJECT_AIMS, sends);
            node.span = Math.min(meanAim * EJECT_MOST_AIMS, node.span);
            node.ejectedUntil = now + (long) (node.span * (0.75 + uniform() / 2));
            ejections++;
            roster.ejected += node.out ? 0 : 1;
            node.out = true;
            roster.outs.add(node);
        } else if (!bad && node.out && now >= node.ejectedUntil) {
            node.out = false;
            roster.ejected--;
        }
    }

    /** Closes a request and cancels its other attempts; {@code winner} is -1 where there is none. */
    private void close(Pending p, int winner) {
        p.closed = true;
        open -= p.counted ? 1 : 0;
        p.counted = false;
        cancelOthers(p, winner);
        if (p.out == 0) {
            pending.remove(p.request.id());
        }
    }

    private void cancelOthers(Pending p, int winner) {
        for (int i = 0; i < p.attempts.size() && settings.limits().mayCancel(); i++) {
            if (i != winner && !p.attempts.get(i).ended) {
                actions.cancel(p.request.id(), i);
            }
        }
    }

    /** Sends the final answer: a refusal where a retry by the client is safe, else a failure. */
    private void giveUp(Pending p) {
        close(p, -1);
        boolean harmless = p.service.spec.idempotency() == Idempotency.IDEMPOTENT || !mayHaveRun(p)
            || p.service.spec.idempotency() == Idempotency.DEDUPLICATED
            && p.service.spec.dedupScope() == DedupScope.ALL;
        if (harmless) {
            actions.refuse(p.request.id(), 0);
        } else {
            actions.fail(p.request.id());
        }
    }

    @Override public void onStreamStart(long now, String requestId, int attempt, long backend, long latency) {
        Pending p = pending.get(requestId);
        if (p != null && !p.closed && attempt >= 0 && attempt < p.attempts.size()) {
            p.streaming = true;
            open -= p.counted ? 1 : 0; // the rest depends on how fast the client reads
            p.counted = false;
            settle(p.attempts.get(attempt));
            p.attempts.get(attempt).node.heard |= p.attempts.get(attempt).sameLife();
            cancelOthers(p, attempt);
        }
    }

    @Override public void onClientDisconnected(long now, String requestId) {
        Pending p = pending.get(requestId);
        if (p != null && !p.closed) {
            close(p, -1);
        }
    }

    @Override public void onFleetView(long now, FleetView told) {
        boolean moved = !fleetKnown(now) || told.proxies() != fleet.proxies() || told.me() != fleet.me();
        fleet = told;
        fleetAsOf = now - told.age();
        if (moved) {
            rebuild(now); // windows depend on the number of proxies
        }
    }

    @Override public void onBudgetShares(long now, long telling, long until, List<BudgetShare> parts) {
        allowances.told(now, telling, until, parts);
    }

    @Override public List<BudgetUse> budgetUsage(long now) {
        return allowances.uses(now);
    }

    private boolean fleetKnown(long now) {
        return fleet != null && now - fleetAsOf <= FLEET_STALE;
    }

    /** Whether all proxies have the same view of the fleet as far as is known; true without any view. */
    private boolean fleetSettled(long now) {
        return fleet == null || fleetKnown(now) && fleet.agreement() == Agreement.ALL;
    }

    @Override public void onPeerMessage(long now, int from, String message) {
        String[] all = message.split(" ", -1);
        if (from < 0 || from >= settings.proxies() || from == settings.me() || all.length != tenants.size()) {
            return;
        }
        double[] asked = new double[all.length + 1];
        try {
            Arrays.setAll(asked, i -> i < all.length ? Double.parseDouble(all[i]) : now);
        } catch (NumberFormatException e) {
            return; // corrupt: the last valid message holds until it is stale
        }
        if (Arrays.stream(asked, 0, all.length).allMatch(each -> each >= 0 && each < 1e9)) {
            told.put(from, asked); // its last element is the time
        }
    }

    // While proxies disagree on who takes which share, shares must not add up to more than the whole.
    double partOfQuotas(long now, double even, double byDemand) {
        boolean settled = fleetSettled(now) && (fleet == null || fleet.countsAge() == 0); // first-hand
        return settled ? Math.max(byDemand, even / 4) : fleetKnown(now) ? fleet.share() : fleet.minShare();
    }

    // Sends each tenant's demand here to all peers, and sets this proxy's share of each quota by its share of
    // the demand, so that a tenant within its quota is not refused at a proxy with more than average traffic.
    private void tell(long now) {
        StringBuilder message = new StringBuilder();
        int i = 0;
        for (TenantState tenant : tenants.values()) {
            tenant.asked += 0.5 * (tenant.askedNow * 1e6 / TELL_EVERY - tenant.asked);
            tenant.askedNow = 0;
            double all = tenant.asked;
            int heard = 1;
            for (double[] asked : told.values()) {
                if (now - asked[tenants.size()] < TOLD_STALE) {
                    all += asked[i];
                    heard++;
                }
            }
            int proxies = fleetKnown(now) ? fleet.proxies() : settings.proxies();
            all *= Math.max(proxies, heard) / (double) heard; // the others count as average
            double even = 1.0 / proxies, part = all > 0 && heard > 1 ? tenant.asked / all : even;
            tenant.perSecond = tenant.quota * partOfQuotas(now, even, part);
            message.append(i++ == 0 ? "" : " ").append(Math.round(tenant.asked));
        }
        actions.broadcastToPeers(message.toString());
        actions.setTimer(TELL_EVERY, TELL_TOKEN);
    }

    @Override public String status(long now) {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
            "over-limit=%d shed=%d no-backend=%d gave-up=%d copies=%d hedges=%d retries=%d ejections=%d;"
            + " open=%d shed-share=%.2f strain=%.2f good/s=%.0f", overLimit, shedNow, noBackend, gaveUp,
            copiesSent, hedgesSent, retriesSent, ejections, open, unknown.shed, strain, rate(now)));
        Roster.Pool pool = unknown.pool; // only the first of the window if there are many
        (pool.size > Roster.LAST_RESORT ? pool.near.stream().limit(Roster.LAST_RESORT) : pool.stream())
            .map(Ring.Place::node).forEach(node -> text.append(String.format(Locale.ROOT,
                " [%d%s%s%s bad=%.2f]", node.inflight, node.out ? " out" : "",
                now < node.unreachableUntil ? " unreachable" : "",
                roster.cold(now, node.place.entry) ? " cold" : "", node.badness)));
        overLimit = shedNow = noBackend = gaveUp = copiesSent = hedgesSent = retriesSent = ejections = 0;
        return text.toString();
    }

    /** Random number in [0, 1) by SplitMix64: small, good enough for sampling, portable. */
    double uniform() {
        return (mixed(random += 0x9E3779B97F4A7C15L) >>> 11) * 0x1.0p-53;
    }

    static long mixed(long z) {
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    private int below(int bound) {
        return (int) (uniform() * bound);
    }
}
