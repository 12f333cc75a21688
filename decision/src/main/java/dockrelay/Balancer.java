package dockrelay;

import java.util.List;
import java.util.Set;

/**
 * The interface between a proxy (the host) and its balancing policy: settings, events and actions.
 *
 * <p>Every time, time span and latency is a {@code long} of microseconds on the host's own clock, unless its
 * name says otherwise; the current time is passed with each event. An instance is confined to one thread,
 * does no I/O and shares no state with other instances. It answers an event by calling {@link Actions} before
 * the event method returns. A request for which no action is called stays pending.
 *
 * <p>Events must be delivered in the order of their time, and the first list of backends (CACHED) before any
 * request. Invalid settings throw an IllegalArgumentException that names the setting; events for unknown ids
 * are ignored. A request of a class that the settings do not name is treated as AT_MOST_ONCE.
 */
public interface Balancer {

    /** Whether a backend may execute a request of a class more than once. */
    enum Idempotency { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** The backends that recognize each other's deduplicated requests: all, or those of one zone or cell. */
    enum DedupScope { ALL, ZONE, CELL }

    /** The state of a backend according to the list. */
    enum Phase { GONE, READY, DRAINING }

    /**
     * The type of a list update. FULL and DELTA come from discovery; CACHED is a full list that may be stale;
     * FAILED reports a failed discovery call and has no entries. OPERATED are changes made by the operators,
     * independent of discovery.
     */
    enum ListUpdateType { FULL, DELTA, CACHED, FAILED, OPERATED }

    /** The outcome of an attempt or a probe. */
    enum Outcome {
        OK(false), ERROR(false), REJECTED(true), TIMEOUT(false), CONNECT_FAILURE(true), RESET(false),
        CANCELLED(false), NOT_SENT(true);

        private final boolean provesNotExecuted;

        Outcome(boolean neverRan) {
            this.provesNotExecuted = neverRan;
        }

        /** Whether this outcome proves that the backend did not execute the request. */
        public boolean provesNotExecuted() {
            return provesNotExecuted;
        }
    }

    /**
     * The position of a backend in the ring order, which is the same on all proxies. The cost of a list
     * update grows with the number of ring blocks it touches, so hosts should group changes by position.
     */
    static long ringPosition(long backend) {
        return RiqBalancer.mix64(backend);
    }

    /**
     * A service class. An answer within {@code latencyTarget}, plus {@code targetPerWorkHint} times the
     * request's work hint, has the full value, a later one the share {@code lateValue} of it. Attempts
     * go only to backends in {@code allowedZones} and of {@code allowedKinds}: null allows all, and a set
     * without any known name allows none. Backends recognize a deduplicated request during
     * {@code dedupWindow}.
     */
    record ServiceClass(String name, long latencyTarget, double targetPerWorkHint, long deadline,
        Idempotency idempotency, DedupScope dedupScope, long dedupWindow, double lateValue,
        Set<String> allowedZones, Set<String> allowedKinds) {
        public ServiceClass {
            require(name != null, "class name");
            require(latencyTarget > 0, "class aim");
            require(deadline >= latencyTarget, "class deadline");
            require(idempotency != null, "class idempotency");
            require(dedupScope != null, "class dedupScope");
            require(dedupWindow >= 0, "class dedupWindow");
            require(targetPerWorkHint >= 0, "class aimStretch");
            require(lateValue >= 0, "class lateWorth");
        }

        /** Whether requests of this class may be sent to a backend of this zone and kind. */
        public boolean allows(String zone, String kind) {
            return (allowedZones == null || allowedZones.contains(zone))
                && (allowedKinds == null || allowedKinds.contains(kind));
        }
    }

    /** A tenant and the request rate that all proxies together guarantee to it. */
    record Tenant(String name, double quotaPerSecond) {
        public Tenant {
            require(name != null, "tenant name");
            require(quotaPerSecond >= 0, "tenant quotaPerSecond");
        }
    }

    /** Which actions the site permits, and the maximum number of attempts per request. */
    record Limits(int maxAttempts, boolean mayCancel, boolean redundantAttempts, boolean probes,
        boolean peers) {
        public Limits {
            require(maxAttempts >= 1, "limits maxAttempts");
        }
    }

    /**
     * Rules for cold backends, discovery calls and drains. A backend starts with {@code coldShare} of its
     * capacity and reaches all of it after {@code warmUpTime}; until then it fails if it gets
     * {@code overloadMultiple} times its capacity for {@code overloadTime}. A proxy must subscribe to
     * discovery within {@code subscribeWithin}, and must close idle connections to a draining backend within
     * {@code closeOnDrainWithin}; 0 means that there is no such rule.
     */
    record Rules(double coldShare, long warmUpTime, double overloadMultiple, long overloadTime,
        long subscribeWithin, long closeOnDrainWithin) {
        /** Rules with an overload time of one second. */
        public Rules(double coldShare, long warmUpTime, double overloadMultiple, long subscribeWithin,
            long closeOnDrainWithin) {
            this(coldShare, warmUpTime, overloadMultiple, 1_000_000, subscribeWithin, closeOnDrainWithin);
        }

        public Rules {
            require(coldShare > 0 && coldShare <= 1, "rules coldShare");
            require(warmUpTime >= 0, "rules coldTime");
            require(overloadMultiple > 0, "rules fallMultiple");
            require(overloadTime > 0, "rules fallTime");
            require(subscribeWithin >= 0, "rules askWithin");
            require(closeOnDrainWithin >= 0, "rules closeOnDrainWithin");
        }
    }

    /**
     * The settings of an instance. {@code me} is the index of this proxy among {@code proxies};
     * {@code crossZonePrice} is above 0 where traffic between zones is paid for.
     */
    record Settings(int proxies, int me, String zone, List<ServiceClass> classes, List<Tenant> tenants,
                    boolean mustSubscribe, Limits limits, Rules rules, double crossZonePrice) {
        public Settings {
            require(proxies >= 1, "proxies");
            require(me >= 0 && me < proxies, "me");
            require(zone != null, "zone");
            require(classes != null && !classes.isEmpty(), "classes");
            require(tenants != null, "tenants");
            require(limits != null, "limits");
            require(rules != null, "rules");
            require(crossZonePrice >= 0, "crossZonePrice");
        }
    }

    /** How many of the proxies have the same view of the fleet as this one. */
    enum Agreement { ALL, MAJORITY, MINORITY }

    /**
     * This proxy's view of the fleet, as of {@code age} ago: the number of proxies that share the work, and
     * the index of this one. It may spend {@code share} of fleet-wide limits whatever views the others have,
     * and {@code minShare} without hearing from any of them. A host that reports a view must repeat it well
     * within a second. Counts and agreement may rest on reports relayed by others that are up to
     * {@code countsAge} old, in which case other proxies may meanwhile have different counts and fleet-wide
     * limits must not be divided by them; 0 means that all of it is first-hand.
     */
    record FleetView(int proxies, int me, double share, double minShare, Agreement agreement, long age,
                 long countsAge) {
        public FleetView {
            require(proxies >= 1, "fleet proxies");
            require(me >= 0 && me < proxies, "fleet me");
            require(minShare >= 0 && minShare <= share && share <= 1, "fleet share");
            require(agreement != null, "fleet agreement");
            require(age >= 0 && countsAge >= 0, "fleet age");
        }
    }

    /**
     * This proxy's share of a fleet-wide budget: a token bucket with a capacity of {@code burst} that is
     * refilled with {@code rate} tokens per second; {@code addedTokens} are added once.
     */
    record BudgetShare(String budget, double rate, double burst, double addedTokens) {
        public BudgetShare {
            require(budget != null, "budget name");
            require(rate >= 0 && burst >= 0 && addedTokens >= 0, "budget part");
        }
    }

    /**
     * The use of a budget share: tokens requested and spent since the start, whether a request was refused a
     * token recently and there is still none, and the tokens left.
     */
    record BudgetUse(String budget, long asked, long spent, boolean waits, double left) {
    }

    /** A backend in the list of backends. {@code startedAt} is 0 if it started long ago. */
    record Backend(long id, String zone, String kind, long cell, Phase phase, double weight, long startedAt) {
    }

    /** A load report by a backend, with NaN for missing values. Reports are delayed and noisy. */
    record LoadReport(double outstanding, double queued, double utilization, double latencyMs,
                      double throughput, double errorsPerSecond) {
    }

    /**
     * A client's request; tenant and key may be null, and workHint is 0 if the client gave none. The body of
     * a streamed request is forwarded as it arrives: one attempt at a time can have it, and another attempt
     * only if the host still has all of it, else that attempt ends as NOT_SENT. The time budget of a streamed
     * request starts at its last byte, which the host ensures.
     */
    record Request(String id, String serviceClass, String tenant, String key, long timeBudget,
                   long workHint, boolean resubmission, boolean streamed) {
        /** A request that has been received completely. */
        public Request(String id, String serviceClass, String tenant, String key, long timeBudget,
                       long workHint, boolean resubmission) {
            this(id, serviceClass, tenant, key, timeBudget, workHint, resubmission, false);
        }
    }

    /** The list of backends, changes to it, or the failure of a subscription or fetch. */
    void onBackendList(long now, ListUpdateType type, List<Backend> entries);

    /** A client's request, which must be answered exactly once within its time budget. */
    void onRequest(long now, Request request);

    /**
     * An attempt ended; {@code report} may be null. The host has already forwarded the first OK to the
     * client, and {@code requestClosed} says whether the client has its answer.
     */
    void onOutcome(long now, String requestId, int attempt, long backend, Outcome outcome, long latency,
                   boolean requestClosed, LoadReport report);

    /** A streamed response began: the request is bound to this attempt. */
    void onStreamStart(long now, String requestId, int attempt, long backend, long latency);

    /** The client disconnected: its request needs no answer any more. */
    void onClientDisconnected(long now, String requestId);

    /** A timer set by this instance has expired. */
    void onTimer(long now, long token);

    /** The result of a probe; {@code report} may be null. */
    default void onProbeResult(long now, long backend, Outcome outcome, long latency, LoadReport report) {
    }

    /** A new view of the fleet; without any, the number of proxies in the settings is used. */
    void onFleetView(long now, FleetView view);

    /**
     * This proxy's shares of the fleet-wide budgets, which expire at {@code until}. A version that is already
     * known only changes the expiry, and an older one is ignored. A budget without any share so far restricts
     * nothing; one that has had a share is enforced from then on, and is empty once the shares expire.
     */
    default void onBudgetShares(long now, long version, long expiresAt, List<BudgetShare> shares) {
    }

    /** The use of all budget shares so far, for the host to divide the budgets by demand. */
    default List<BudgetUse> budgetUsage(long now) {
        return List.of();
    }

    /** A message from the proxy with index {@code from}. */
    void onPeerMessage(long now, int from, String message);

    /** A log line: counts of decisions since the last call, and the current state. */
    String status(long now);

    /** The actions that the host executes for the policy. */
    interface Actions {
        /** Starts the next attempt of a request (numbered from 0); timeout 0 means until its deadline. */
        void send(String requestId, long backend, long timeout);

        /** Cancels an attempt. */
        void cancel(String requestId, int attempt);

        /** Final answer: refused, and safe to retry, after {@code retryAfter} unless that is 0. */
        void refuse(String requestId, long retryAfter);

        /** Final answer: failed; a backend may or may not have executed the request. */
        void fail(String requestId);

        /** Requests a call of {@link Balancer#onTimer} with this token after the delay. */
        void setTimer(long delay, long token);

        /** Starts a probe of a backend. */
        void probe(long backend);

        /** Closes this proxy's idle connections to a backend, but not those in use. */
        void closeIdleConnections(long backend);

        /** Subscribes to changes of the list of backends. */
        void subscribe();

        /** Sends a short message to every other proxy. */
        void broadcastToPeers(String message);
    }

    /** Throws unless valid. The message names the setting by its configuration key: "class aim" is Aim. */
    private static void require(boolean valid, String setting) {
        if (!valid) {
            throw new IllegalArgumentException("setting missing or out of range: " + setting);
        }
    }
}
