package dockrelay.lab.spec;

import dockrelay.lab.link.Passage;
import java.util.List;

/** What an experiment file says, checked and with its defaults. Times are in microseconds. */
public record Experiment(String name, String shows, long length, long settle, Proxies proxies, Nodes nodes,
                         Clients clients, List<Tenant> tenants, List<ServiceClass> classes,
                         Discovery discovery, RuleLimits ruleLimits,
                         Permissions permissions, List<Fault> faults) {

    /** How arrivals are spread over time. */
    public enum Arrivals { POISSON, BURSTY, SWING, STEPS, TRACE }

    /** How work is drawn. */
    public enum Spread { EXP, LOGNORMAL, FIXED }

    /** Whether a request may run twice, as the settings name it. */
    public enum Idempotency { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** Which nodes drop a repeat. */
    public enum DedupScope { ALL, ZONE, CELL }

    /** What makes a cold node warm. */
    public enum WarmBy { REQUESTS, TIME }

    /** What can break. */
    public enum FaultKind {
        CRASH(true), SLOW(true), FAST_ERRORS(true), NEIGHBOUR(true), DRAIN(true), DETACH(true), KILL(false),
        TERM(false), PAUSE(false), HANGUP(false), UPGRADE(false), OUTAGE(null),
        MOVE(null), LINK(null);

        private final Boolean nodes;

        FaultKind(Boolean nodes) {
            this.nodes = nodes;
        }

        /** Whether its victims are nodes. */
        public boolean targetsNodes() {
            return Boolean.TRUE.equals(nodes);
        }

        /** Whether its victims are proxies. */
        public boolean targetsProxies() {
            return Boolean.FALSE.equals(nodes);
        }
    }

    /** The processes under test; by turns in these zones of their own, each one's group of the fleet. */
    public record Proxies(int count, long maxMemoryBytes, int maxDescriptors, double cpuCores, long startWithin,
                          boolean sharedListenSocket, long maxFileBytes, boolean pinnedToCore, List<String> zones) {
        /** Empty where no zones are named. */
        public String zoneOf(int proxy) {
            return zones.isEmpty() ? "" : zones.get(proxy % zones.size());
        }
    }

    /** The emulated fleet. */
    public record Nodes(int count, List<String> zones, int cellSize, List<NodeKind> kinds, Choke choke,
                        Connections connections, Probes probes) {
    }

    /** A kind of machine. Speeds are in units of a standard core. */
    public record NodeKind(String name, double share, int cores, Range speed, Range slotsPerCore,
        Range queuePerCore,
                       Range coldFrom, Range coldTime, WarmBy warmBy, Range errorRate, boolean dropsExpired,
                       boolean stopsOnCancel) {
    }

    /** Crowding: a node that holds so many requests a core for so long turns slower. */
    public record Choke(Range at, Range over, Range slower, Range below, Range rest, Range most) {
    }

    /** What connections cost a node. */
    public record Connections(Range handshakeWork, Range handshakeDelay, long idleTimeout, long connectTimeout,
        Range capPerCore, Range fullTax) {
    }

    /** What probes cost, and how old and inexact reports are. */
    public record Probes(Range work, Range period, Range noise) {
    }

    /** A tenant: its part of the requests, and the rate that all proxies together owe it in full. */
    public record Tenant(String name, double share, double quotaPerSecond) {
    }

    /** One request of a recorded trace; an empty class, tenant or key is drawn, and work below 0 too. */
    public record Traced(long at, String serviceClass, double work, String tenant, String key) {
    }

    /** The load and how clients act. */
    public record Clients(double load, double rate, Arrivals arrivals, Range swing, long swingPeriod,
                          List<Double> steps, Range retries, Range tryShare, Range retryBackoff, double honourRetryAfterProbability,
                          long maxRetryAfter, Range proxyRemovalDelay, int keys, double keySkew, List<Traced> trace) {
    }

    /** A class of requests. */
    public record ServiceClass(String name, double share, Range work, Spread spread, Range cv,
        Range attemptNoise,
                               long latencyTarget, long deadline, double value, double lateValue, Idempotency idempotency,
                               DedupScope dedupScope, long dedupWindow) {
    }

    /** How late and how busy discovery is. */
    public record Discovery(Range deathDetectionDelay, Range startDetectionDelay, Range callServiceTime, Range entryServiceTime,
        long callTimeout,
                            Range propagationDelay) {
    }

    /** The figures of the rules. */
    public record RuleLimits(long responseSlack, long maxListFetchInterval, double maxColdShare, long warmUpTime, long drainGrace,
        long overloadTime, double overloadMultiple) {
    }

    /**
     * What the settings allow the proxies; extra is a budget of copies, hedges and retries a second, or 0.
     */
    public record Permissions(int maxAttempts, boolean mayCancel, boolean redundantAttempts, boolean probes,
        boolean peerProtocol, boolean retryAfter, double extraAttemptsPerSecond) {
    }

    /** What becomes of a proxy's folder between its processes. */
    public enum FolderOnRestart { KEPT, EMPTY }

    /** What befalls the files of a proxy's folder while no process has it. */
    public enum DiskFault { WHOLE, TRUNCATED, FLIPPED, REMOVED, SWAPPED }

    /** A fault of the network from the ones to the others, and back where it is of both directions. */
    public record Link(List<String> from, List<String> to, boolean both, Passage passage) {
    }

    /** Something that breaks: once, or again and again, on victims that are named or drawn. */
    public record Fault(FaultKind kind, long at, long lasts, double part, int count, List<String> victims,
        Range size, long every, int times, FolderOnRestart folder, DiskFault disk, Link link) {
    }
}
