package dockrelay.lab.referee;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.RandomStreams;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.Experiment.Idempotency;
import dockrelay.lab.spec.Experiment.ServiceClass;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Judges from what crosses the world's sockets and what the system says of processes, and from nothing else.
 * Times
 * are the world's microseconds. It is told from several threads.
 */
public final class Referee {
    /** Every time limit is longer by this on sockets. */
    public static final long SOCKET_TOLERANCE_MICROS = 50_000;
    /** All are counted, so many are told. */
    private static final int MAX_DESCRIBED_VIOLATIONS = 200;
    /** What a kill or a pause has to do with a connection's end is seen this much around it. */
    private static final long FAULT_MARGIN_MICROS = 500_000;
    /**
     * A cold node's fall is the proxies' doing where so much of its work came from those told of its start.
     */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;

    /** The least burst of a budget, and how much later than others an attempt may arrive. */
    private static final double MIN_BURST = 2, NETWORK_JITTER_MICROS = 300_000;

    /** One breach. Request and proxy may be empty. */
    public record Violation(Rule rule, long atMicros, String request, String proxy, String description) {
    }

    /** Work that reached a cold node. */
    public record ReceivedWork(int proxy, long receivedAtMicros, double workMicros) {
    }

    /** What discovery last wrote to a proxy of a node. */
    private record DiscoveryEntry(boolean usable, long changedAtMicros, long startedMillis) {
    }

    private record ExcusedPeriod(int proxy, long fromMicros, long untilMicros) {
    }

    private final Plan plan;
    private final Experiment experiment;
    private final Map<String, ClientRequest> requestsById = new HashMap<>();
    private final Map<Long, DiscoveryEntry> discoveryEntries = new HashMap<>();
    private final Map<Long, Long> detachedAtMicros = new HashMap<>();
    private final List<ExcusedPeriod> excusedPeriods = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();
    private final Map<Rule, Integer> violationCounts = new EnumMap<>(Rule.class);
    private double extraTokens;
    private long extraAttempts, lastExtraAtMicros;
    private long attempts, firstRequests, allRequests, probes, connections, rejectedAttempts;

    public Referee(Plan plan) {
        this.plan = plan;
        this.experiment = plan.experiment();
    }

    public synchronized void requestSent(ClientRequest request, boolean first) {
        requestsById.put(request.id, request);
        allRequests++;
        firstRequests += first ? 1 : 0;
    }

    /** An attempt's last byte has reached a node; null where no client sent such a request. */
    public synchronized Attempt attemptArrived(int proxy, int backend, long nowMicros, String id, String method, String path,
        String idempotencyKey, String body) {
        ClientRequest request = requestsById.get(id);
        if (request == null || request.proxy != proxy) {
            recordViolation(Rule.FOREIGN, nowMicros, id, proxy, "reached " + backendName(backend) + ", but no client sent "
                + (request == null ? "it" : "it by this proxy"));
            return null;
        }
        if (!request.method.equals(method) || !request.path.equals(path) || !request.body.equals(body)
            || !String.valueOf(request.idempotencyKey).equals(String.valueOf(idempotencyKey))) {
            recordViolation(Rule.FOREIGN, nowMicros, id, proxy, "reached " + backendName(backend) + " changed: " + method + " "
                + path);
            return null;
        }
        ServiceClass serviceClass = experiment.classes().get(request.arrival.serviceClass());
        if (request.attempts.size() >= experiment.permissions().maxAttempts()) {
            recordViolation(Rule.ATTEMPTS, nowMicros, id, proxy, "attempt " + (request.attempts.size() + 1) + " of "
                + experiment.permissions().maxAttempts());
        }
        for (Attempt earlier : request.attempts) {
            if (earlier.state == Attempt.State.IN_FLIGHT && !experiment.permissions().redundantAttempts()) {
                recordViolation(Rule.ATTEMPTS, nowMicros, id, proxy, "a second copy beside the one at "
                    + backendName(earlier.backend));
            }
            if (earlier.state.mayHaveRun()) {
                String reason = reasonToForbid(serviceClass, earlier, backend, nowMicros);
                if (reason != null) {
                    recordViolation(Rule.REPEAT, nowMicros, id, proxy, reason);
                }
            }
        }
        DiscoveryEntry entry = discoveryEntries.get(pairKey(proxy, backend));
        if (entry != null && !entry.usable && nowMicros > entry.changedAtMicros + experiment.ruleLimits().drainGrace() + SOCKET_TOLERANCE_MICROS) {
            recordViolation(Rule.DRAIN, nowMicros, id, proxy, "sent to " + backendName(backend) + " "
                + (nowMicros - entry.changedAtMicros) / 1000 + " ms after it was told to stop");
        }
        Long detachedMicros = detachedAtMicros.get(pairKey(proxy, backend));
        if (detachedMicros != null && nowMicros > detachedMicros + experiment.ruleLimits().drainGrace() + SOCKET_TOLERANCE_MICROS) {
            recordViolation(Rule.DRAIN, nowMicros, id, proxy, "sent to " + backendName(backend) + " " + (nowMicros - detachedMicros) / 1000
                + " ms after its yes to DETACH");
        }
        if (!request.attempts.isEmpty() && experiment.permissions().extraAttemptsPerSecond() > 0) {
            takeExtraToken(nowMicros, id, proxy);
        }
        RandomGenerator random = RandomStreams.stream(request.arrival.salt(), "attempt at " + backend);
        double noiseSigma = serviceClass.attemptNoise().draw(random);
        double workMicros = request.arrival.work() * Math.exp(random.nextGaussian() * noiseSigma - noiseSigma * noiseSigma / 2);
        Attempt attempt = new Attempt(request, backend, request.attempts.size(), nowMicros, Math.max(1, workMicros));
        request.attempts.add(attempt);
        attempts++;
        return attempt;
    }

    /** A bucket of the whole: what is sent within it may arrive bunched by what the way takes. */
    private void takeExtraToken(long nowMicros, String id, int proxy) {
        double tokensPerSecond = experiment.permissions().extraAttemptsPerSecond();
        double maxTokens = Math.max(MIN_BURST, tokensPerSecond) + tokensPerSecond * NETWORK_JITTER_MICROS / 1e6;
        extraTokens = extraAttempts++ == 0 ? maxTokens : Math.min(maxTokens, extraTokens + tokensPerSecond * (nowMicros - lastExtraAtMicros) / 1e6);
        lastExtraAtMicros = nowMicros;
        extraTokens -= 1;
        if (extraTokens < 0) {
            recordViolation(Rule.BUDGET, nowMicros, id, proxy, String.format(java.util.Locale.ROOT,
                "%.1f more than the whole fleet's budget of %.1f a second", -extraTokens, tokensPerSecond));
        }
    }

    /** Further attempts that reached a node. */
    public synchronized long extraAttempts() {
        return extraAttempts;
    }

    /** Why a class forbids another attempt after one that may have run; null where it does not. */
    private String reasonToForbid(ServiceClass serviceClass, Attempt earlier, int backend, long nowMicros) {
        if (serviceClass.idempotency() == Idempotency.IDEMPOTENT) {
            return null;
        }
        if (serviceClass.idempotency() == Idempotency.AT_MOST_ONCE) {
            return serviceClass.name() + " may have run at " + backendName(earlier.backend) + " and went to " + backendName(backend);
        }
        Plan.Node previousBackend = plan.nodes().get(earlier.backend), nextBackend = plan.nodes().get(backend);
        boolean inScope = switch (serviceClass.dedupScope()) {
            case ALL -> true;
            case ZONE -> previousBackend.zone().equals(nextBackend.zone());
            case CELL -> previousBackend.cell() == nextBackend.cell();
        };
        if (!inScope) {
            return serviceClass.name() + " went from " + previousBackend.name() + " to " + nextBackend.name() + ", another "
                + serviceClass.dedupScope().name().toLowerCase(java.util.Locale.ROOT);
        }
        return nowMicros - earlier.arrivedAtMicros <= serviceClass.dedupWindow() + SOCKET_TOLERANCE_MICROS ? null : serviceClass.name() + " went to " + nextBackend.name()
            + " "
            + (nowMicros - earlier.arrivedAtMicros) / 1000 + " ms after " + previousBackend.name() + ", which remembers it for "
            + serviceClass.dedupWindow() / 1000;
    }

    public synchronized void attemptEnded(Attempt attempt, Attempt.State state, double spentMicros) {
        attempt.state = state;
        attempt.spentMicros = Math.max(0, spentMicros);
        rejectedAttempts += state == Attempt.State.REJECTED ? 1 : 0;
    }

    /** A client has a whole answer. */
    public synchronized void responseReceived(ClientRequest request, long nowMicros, int status, String body) {
        if (status == 200) {
            for (Attempt attempt : request.attempts) {
                if (attempt.state == Attempt.State.SERVED && attempt.expectedBody().equals(body)) {
                    attempt.responseDelivered = true;
                    break;
                }
            }
            if (request.attempts.stream().noneMatch(attempt -> attempt.responseDelivered)) {
                recordViolation(Rule.BODY, nowMicros, request.id, request.proxy, "served what no node made for it: " + printablePrefix(body));
            }
        } else if (status == 429 || status == 503) {
            ServiceClass serviceClass = experiment.classes().get(request.arrival.serviceClass());
            boolean safeToRetry = serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || serviceClass.idempotency() == Idempotency.DEDUPLICATED && serviceClass.dedupScope() == Experiment.DedupScope.ALL;
            if (!safeToRetry && request.attempts.stream().anyMatch(attempt -> attempt.state.mayHaveRun())) {
                recordViolation(Rule.REFUSAL, nowMicros, request.id, request.proxy, serviceClass.name() + " was refused with " + status
                    + " though it may have run at " + backendName(request.attempts.get(0).backend));
            }
        }
    }

    /**
     * A client got no whole answer: its time ran out, or the proxy ended the connection. Returns whether that
     * breaks the rule; it does not where the proxy was killed or paused, which is the lab's doing.
     */
    public synchronized boolean responseMissing(ClientRequest request, long nowMicros, String description) {
        for (ExcusedPeriod period : excusedPeriods) {
            if (period.proxy == request.proxy && request.sentAtMicros <= period.untilMicros + FAULT_MARGIN_MICROS
                && nowMicros >= period.fromMicros - FAULT_MARGIN_MICROS) {
                return false;
            }
        }
        recordViolation(Rule.ANSWERED, nowMicros, request.id, request.proxy, description);
        return true;
    }

    /** Whether any node has seen this try. */
    public synchronized boolean reachedBackend(ClientRequest request) {
        return !request.attempts.isEmpty();
    }

    /** Discovery has written this entry to a proxy. */
    public synchronized void discoveryEntrySent(int proxy, int backend, boolean usable, long startedMillis, long nowMicros) {
        DiscoveryEntry previous = discoveryEntries.get(pairKey(proxy, backend));
        long changedAtMicros = previous != null && previous.usable == usable ? previous.changedAtMicros : nowMicros;
        discoveryEntries.put(pairKey(proxy, backend), new DiscoveryEntry(usable, changedAtMicros, startedMillis));
    }

    /** A proxy that starts anew knows nothing, but for the operators' marks where its folder is kept. */
    public synchronized void proxyRestarted(int proxy, boolean keepsOperatorMarks) {
        discoveryEntries.keySet().removeIf(pair -> pair >>> 32 == proxy);
        if (!keepsOperatorMarks) {
            detachedAtMicros.keySet().removeIf(pair -> pair >>> 32 == proxy);
        }
    }

    /** A proxy said yes to taking a node out, or was asked to use it again. */
    public synchronized void operatorMarked(int proxy, String backendName, boolean detached, long nowMicros) {
        for (Plan.Node backend : plan.nodes()) {
            if (backend.name().equals(backendName) && detached) {
                detachedAtMicros.putIfAbsent(pairKey(proxy, backend.index()), nowMicros);
            } else if (backend.name().equals(backendName)) {
                detachedAtMicros.remove(pairKey(proxy, backend.index()));
            }
        }
    }

    /** A cold node fell over under this work. */
    public synchronized void coldBackendCollapsed(int backend, long startedMillis, List<ReceivedWork> receivedWork, long nowMicros) {
        double totalMicros = 0, informedMicros = 0;
        for (ReceivedWork received : receivedWork) {
            DiscoveryEntry entry = discoveryEntries.get(pairKey(received.proxy, backend));
            totalMicros += received.workMicros;
            informedMicros += entry != null && entry.startedMillis >= startedMillis ? received.workMicros : 0;
        }
        if (informedMicros >= MIN_INFORMED_SHARE * totalMicros) {
            recordViolation(Rule.COLD, nowMicros, "", -1, backendName(backend) + " was pushed over while cold, "
                + Math.round(100 * informedMicros / totalMicros) + "% of it by proxies told of its start");
        }
    }

    /** The lab itself keeps this proxy from answering between two times. */
    public synchronized void excuseProxy(int proxy, long fromMicros, long untilMicros) {
        excusedPeriods.add(new ExcusedPeriod(proxy, fromMicros, untilMicros));
    }

    public synchronized void processViolation(Rule rule, int proxy, long nowMicros, String description) {
        recordViolation(rule, nowMicros, "", proxy, description);
    }

    public synchronized void probeReceived() {
        probes++;
    }

    public synchronized void connectionOpened() {
        connections++;
    }

    private void recordViolation(Rule rule, long nowMicros, String request, int proxy, String description) {
        violationCounts.merge(rule, 1, Integer::sum);
        if (violations.size() < MAX_DESCRIBED_VIOLATIONS) {
            violations.add(new Violation(rule, nowMicros, request, proxy < 0 ? "" : "n" + proxy, description));
        }
    }

    public synchronized List<Violation> violations() {
        return new ArrayList<>(violations);
    }

    public synchronized Map<Rule, Integer> violationCounts() {
        return new EnumMap<>(violationCounts);
    }

    /** Figures of the whole run. Work that no client's answer came from is waste. */
    public synchronized Totals totals() {
        double usefulMicros = 0, wastedMicros = 0;
        for (ClientRequest request : requestsById.values()) {
            for (Attempt attempt : request.attempts) {
                if (attempt.responseDelivered) {
                    usefulMicros += attempt.spentMicros;
                } else {
                    wastedMicros += attempt.spentMicros;
                }
            }
        }
        return new Totals(firstRequests, allRequests, attempts, rejectedAttempts, probes, connections, usefulMicros, wastedMicros);
    }

    /** Counts, and work in microseconds of a standard core. */
    public record Totals(long firstRequests, long allRequests, long attempts, long rejectedAttempts, long probes,
        long connections, double usefulWorkMicros, double wastedWorkMicros) {
    }

    private String backendName(int backend) {
        return plan.nodes().get(backend).name();
    }

    private static long pairKey(int proxy, int backend) {
        return (long) proxy << 32 | backend;
    }

    private static String printablePrefix(String text) {
        String printable = text.replaceAll("[^ -~]", "?");
        return printable.length() > 60 ? printable.substring(0, 60) + "..." : printable;
    }
}
