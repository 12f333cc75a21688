package dockrelay.lab.spec;

import dockrelay.lab.link.Passage;
import java.util.List;

/**
 * An experiment as read from its file, validated and with defaults filled in. Times are in microseconds,
 * sizes in bytes, speeds and work in units of a standard core.
 */
public record Experiment(String name, String shows, long length, long settle, Proxies proxies, Nodes nodes,
                         Clients clients, List<Tenant> tenants, List<ServiceClass> classes,
                         Discovery discovery, RuleLimits ruleLimits,
                         Permissions permissions, List<Fault> faults) {

    /** The shape of the arrival rate over time. */
    public enum Arrivals { POISSON, BURSTY, SWING, STEPS, TRACE }

    /** The distribution of a class's work per request. */
    public enum Spread { EXP, LOGNORMAL, FIXED }

    /** Whether a request may be executed more than once, in the proxies' settings' terms. */
    public enum Idempotency { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** The nodes among which a repeated request is deduplicated. */
    public enum DedupScope { ALL, ZONE, CELL }

    /** Whether a cold node warms up by the work it has done or by elapsed time. */
    public enum WarmBy { REQUESTS, TIME }

    /** A kind of injected fault; it hits nodes, proxies, or neither (discovery or links). */
    public enum FaultKind {
        CRASH(true), SLOW(true), FAST_ERRORS(true), NEIGHBOUR(true), DRAIN(true), DETACH(true), KILL(false),
        TERM(false), PAUSE(false), HANGUP(false), UPGRADE(false), OUTAGE(null),
        MOVE(null), LINK(null);

        private final Boolean nodes;

        FaultKind(Boolean nodes) {
            this.nodes = nodes;
        }

        /** Whether the fault hits nodes. */
        public boolean targetsNodes() {
            return Boolean.TRUE.equals(nodes);
        }

        /** Whether the fault hits proxies. */
        public boolean targetsProxies() {
            return Boolean.FALSE.equals(nodes);
        }
    }

    /**
     * The proxy processes under test. They are assigned round-robin to their own zones, each of which forms
     * a group of the fleet.
     */
    public record Proxies(int count, long maxMemoryBytes, int maxDescriptors, double cpuCores, long startWithin,
                          boolean sharedListenSocket, long maxFileBytes, boolean pinnedToCore, List<String> zones) {
        /** The zone of the proxy with this index; empty if no zones are configured. */
        public String zoneOf(int proxy) {
            return zones.isEmpty() ? "" : zones.get(proxy % zones.size());
        }
    }

    /** The emulated nodes (backends). */
    public record Nodes(int count, List<String> zones, int cellSize, List<NodeKind> kinds, Choke choke,
                        Connections connections, Probes probes) {
    }

    /** A kind of node: its share of all nodes and the ranges from which a node's parameters are drawn. */
    public record NodeKind(String name, double share, int cores, Range speed, Range slotsPerCore,
        Range queuePerCore,
                       Range coldFrom, Range coldTime, WarmBy warmBy, Range errorRate, boolean dropsExpired,
                       boolean stopsOnCancel) {
    }

    /**
     * Overload slowdown: a node that holds {@code at} or more requests per core for {@code over} runs
     * {@code slower} times slower, until it has held no more than {@code below} per core for {@code rest},
     * or for {@code most} at the longest.
     */
    public record Choke(Range at, Range over, Range slower, Range below, Range rest, Range most) {
    }

    /** What connections cost a node, how many it accepts, and its idle and connect timeouts. */
    public record Connections(Range handshakeWork, Range handshakeDelay, long idleTimeout, long connectTimeout,
        Range capPerCore, Range fullTax) {
    }

    /** The work of a health probe, and the period and relative noise of the load reports. */
    public record Probes(Range work, Range period, Range noise) {
    }

    /** A tenant: its share of the requests, and the request rate that all proxies together guarantee it. */
    public record Tenant(String name, double share, double quotaPerSecond) {
    }

    /**
     * One request of a recorded trace. An empty class, tenant or key and work of 0 or less are drawn
     * instead.
     */
    public record Traced(long at, String serviceClass, double work, String tenant, String key) {
    }

    /**
     * The offered load and the clients' behaviour. {@code rate}, in requests per second, overrides {@code
     * load}.
     */
    public record Clients(double load, double rate, Arrivals arrivals, Range swing, long swingPeriod,
                          List<Double> steps, Range retries, Range tryShare, Range retryBackoff, double honourRetryAfterProbability,
                          long maxRetryAfter, Range proxyRemovalDelay, int keys, double keySkew, List<Traced> trace) {
    }

    /** A service class of requests. */
    public record ServiceClass(String name, double share, Range work, Spread spread, Range cv,
        Range attemptNoise,
                               long latencyTarget, long deadline, double value, double lateValue, Idempotency idempotency,
                               DedupScope dedupScope, long dedupWindow) {
    }

    /** Discovery's delays in noticing changes, and the service times of its calls. */
    public record Discovery(Range deathDetectionDelay, Range startDetectionDelay, Range callServiceTime, Range entryServiceTime,
        long callTimeout,
                            Range propagationDelay) {
    }

    /** The limits of the rules that the referee verifies. */
    public record RuleLimits(long responseSlack, long maxListFetchInterval, double maxColdShare, long warmUpTime, long drainGrace,
        long overloadTime, double overloadMultiple) {
    }

    /**
     * What the settings permit the proxies to do. {@code extra} is the fleet-wide budget of redundant
     * attempts, hedges and retries per second; 0 means no such budget.
     */
    public record Permissions(int maxAttempts, boolean mayCancel, boolean redundantAttempts, boolean probes,
        boolean peerProtocol, boolean retryAfter, double extraAttemptsPerSecond) {
    }

    /** Whether a proxy that is restarted keeps its data folder. */
    public enum FolderOnRestart { KEPT, EMPTY }

    /** Damage done to the files of a proxy's folder between two of its processes. */
    public enum DiskFault { WHOLE, TRUNCATED, FLIPPED, REMOVED, SWAPPED }

    /** A network fault on the traffic between two sets of parties, in one or both directions. */
    public record Link(List<String> from, List<String> to, boolean both, Passage passage) {
    }

    /**
     * An injected fault: once or repeated every {@code every}, on victims that are named, or drawn as a
     * share or a count of all.
     */
    public record Fault(FaultKind kind, long at, long lasts, double part, int count, List<String> victims,
        Range size, long every, int times, FolderOnRestart folder, DiskFault disk, Link link) {
    }
}
