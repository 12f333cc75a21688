package dockrelay.lab.spec;

import dockrelay.lab.link.Passage;
import java.util.List;

/**
 * An experiment as read from its file, validated and with defaults filled in. Times are in microseconds,
 * sizes in bytes, speeds and work in units of a standard core.
 */
public record Experiment(String name, String description, long duration, long settlingTime, Proxies proxies,
    Nodes nodes,
                         Clients clients, List<Tenant> tenants, List<ServiceClass> classes,
                         Discovery discovery, RuleLimits ruleLimits,
                         Permissions permissions, List<Fault> faults) {

    /** The shape of the arrival rate over time. */
    public enum ArrivalPattern { POISSON, BURSTY, SWING, STEPS, TRACE }

    /** The distribution of a class's work per request. */
    public enum WorkDistribution { EXP, LOGNORMAL, FIXED }

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

        private final Boolean hitsNodes;

        FaultKind(Boolean nodes) {
            this.hitsNodes = nodes;
        }

        /** Whether the fault hits nodes. */
        public boolean targetsNodes() {
            return Boolean.TRUE.equals(hitsNodes);
        }

        /** Whether the fault hits proxies. */
        public boolean targetsProxies() {
            return Boolean.FALSE.equals(hitsNodes);
        }
    }

    /**
     * The proxy processes under test. They are assigned round-robin to their own zones, each of which forms
     * a group of the fleet.
     */
    public record Proxies(int count, long maxMemoryBytes, int maxDescriptors, double cpuCores,
        long maxStartTime,
                          boolean sharedListenSocket, long maxFileBytes, boolean pinnedToCore,
                          List<String> zones) {
        /** The zone of the proxy with this index; empty if no zones are configured. */
        public String zoneOf(int proxy) {
            return zones.isEmpty() ? "" : zones.get(proxy % zones.size());
        }
    }

    /** The emulated nodes (backends). */
    public record Nodes(int count, List<String> zones, int cellSize, List<NodeKind> kinds,
        OverloadSlowdown overloadSlowdown,
                        Connections connections, Probes probes) {
    }

    /** A kind of node: its share of all nodes and the ranges from which a node's parameters are drawn. */
    public record NodeKind(String name, double share, int cores, Range speed, Range slotsPerCore,
        Range maxQueuedPerCore,
                       Range coldSpeedShare, Range warmUpTime, WarmBy warmBy, Range errorRate,
                       boolean dropsExpired,
                       boolean stopsOnCancel) {
    }

    /**
     * Overload slowdown: a node that holds {@code thresholdPerCore} or more requests per core for
     * {@code onsetDelay} runs {@code slowdownFactor} times slower, until it has held no more than
     * {@code recoveryPerCore} per core for {@code recoveryDelay}, or for {@code maxDuration} at the
     * longest.
     */
    public record OverloadSlowdown(Range thresholdPerCore, Range onsetDelay, Range slowdownFactor,
        Range recoveryPerCore, Range recoveryDelay, Range maxDuration) {
    }

    /** What connections cost a node, how many it accepts, and its idle and connect timeouts. */
    public record Connections(Range handshakeWork, Range handshakeDelay, long idleTimeout,
        long connectTimeout,
        Range maxConnectionsPerCore, Range slowdownWhenFull) {
    }

    /** The work of a health probe, and the period and relative noise of the load reports. */
    public record Probes(Range probeWork, Range reportPeriod, Range reportNoise) {
    }

    /** A tenant: its share of the requests, and the request rate that all proxies together guarantee it. */
    public record Tenant(String name, double share, double quotaPerSecond) {
    }

    /**
     * One request of a recorded trace. An empty class, tenant or key and work of 0 or less are drawn
     * instead.
     */
    public record TraceEntry(long sendTime, String serviceClass, double work, String tenant,
        String routingKey) {
    }

    /**
     * The offered load and the clients' behaviour. {@code requestsPerSecond}, if above 0, overrides
     * {@code load}, which is relative to the capacity of all nodes.
     */
    public record Clients(double load, double requestsPerSecond, ArrivalPattern arrivalPattern,
        Range swingAmplitude, long swingPeriod,
                          List<Double> stepLoads, Range maxRetries, Range tryTimeoutShare,
                          Range retryBackoff, double honourRetryAfterProbability,
                          long maxRetryAfter, Range proxyRemovalDelay, int routingKeyCount,
                          double routingKeySkew, List<TraceEntry> trace) {
    }

    /** A service class of requests: its share of all requests, work, time limits, value and deduplication. */
    public record ServiceClass(String name, double share, Range meanWork, WorkDistribution workDistribution,
        Range workVariation,
        Range attemptNoise,
                               long latencyTarget, long deadline, double value, double lateValue,
                               Idempotency idempotency,
                               DedupScope dedupScope, long dedupWindow) {
    }

    /** Discovery's delays in noticing changes, and the service times of its calls. */
    public record Discovery(Range deathDetectionDelay, Range startDetectionDelay, Range callServiceTime,
        Range entryServiceTime,
        long callTimeout,
                            Range propagationDelay) {
    }

    /** The limits of the rules that the referee verifies. */
    public record RuleLimits(long responseSlack, long maxListFetchInterval, double maxColdShare,
        long warmUpTime, long drainGrace,
        long overloadTime, double overloadMultiple) {
    }

    /**
     * What the settings permit the proxies to do. {@code extraAttemptsPerSecond} is the fleet-wide budget
     * of redundant attempts, hedges and retries per second; 0 means no such budget.
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
     * An injected fault: once or repeated every {@code repeatInterval}, on victims that are named, or drawn
     * as a share or a count of all.
     */
    public record Fault(FaultKind kind, long startTime, long duration, double victimShare, int victimCount,
        List<String> victims,
        Range magnitude, long repeatInterval, int occurrences, FolderOnRestart folderOnRestart,
        DiskFault diskFault, Link link) {
    }
}
