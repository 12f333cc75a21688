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
 * Verifies the {@link Rule rules} that proxies must keep. Its only evidence is the traffic at the emulator's
 * sockets and what the operating system reports of the proxy processes.
 *
 * <p>Times are microseconds of the emulator's clock. All methods may be called from any thread.
 */
public final class Referee {
    /** Added to every time limit, for delays in sockets and in the kernel. */
    public static final long SOCKET_TOLERANCE_MICROS = 50_000;
    /** Violations beyond this number are counted, but not described. */
    private static final int MAX_DESCRIBED_VIOLATIONS = 200;
    /** A lost response this close to a kill or pause of its proxy is attributed to that fault. */
    private static final long FAULT_MARGIN_MICROS = 500_000;
    /**
     * The collapse of a cold backend breaks the rule if at least this share of its work came from proxies
     * that discovery had informed of its start.
     */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;

    /** The minimum burst of a budget, and the variation in delay between sending and arrival, in micros. */
    private static final double MIN_BURST = 2, NETWORK_JITTER_MICROS = 300_000;

    /** One violation of a rule. Request and proxy are empty where it concerns none in particular. */
    public record Violation(Rule rule, long atMicros, String request, String proxy, String description) {
    }

    /** Work that reached a cold backend before it collapsed. */
    public record ReceivedWork(int proxy, long receivedAtMicros, double workMicros) {
    }

    /** The entry of a backend that discovery last sent to a proxy; the time is that of the last change. */
    private record DiscoveryEntry(boolean usable, long changedAtMicros, long startedMillis) {
    }

    /** A time in which a fault of the lab keeps a proxy from answering. */
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

    /** A client has sent a request; {@code first} is false for a client's own retry. */
    public synchronized void requestSent(ClientRequest request, boolean first) {
        requestsById.put(request.id, request);
        allRequests++;
        firstRequests += first ? 1 : 0;
    }

    /**
     * The last byte of an attempt has reached a backend. Checks it against the rules; returns null if no
     * client sent such a request through this proxy.
     */
    public synchronized Attempt attemptArrived(int proxy, int backend, long nowMicros, String id,
        String method, String path, String idempotencyKey, String body) {
        ClientRequest request = requestsById.get(id);
        if (request == null || request.proxy != proxy) {
            recordViolation(Rule.FOREIGN, nowMicros, id, proxy, "request arrived at " + backendName(backend)
                + ", but no client sent " + (request == null ? "it" : "it through this proxy"));
            return null;
        }
        if (!request.method.equals(method) || !request.path.equals(path) || !request.body.equals(body)
            || !String.valueOf(request.idempotencyKey).equals(String.valueOf(idempotencyKey))) {
            recordViolation(Rule.FOREIGN, nowMicros, id, proxy, "request arrived modified at "
                + backendName(backend) + ": " + method + " " + path);
            return null;
        }
        ServiceClass serviceClass = experiment.classes().get(request.arrival.serviceClass());
        if (request.attempts.size() >= experiment.permissions().maxAttempts()) {
            recordViolation(Rule.ATTEMPTS, nowMicros, id, proxy, "attempt " + (request.attempts.size() + 1)
                + " exceeds maximum " + experiment.permissions().maxAttempts());
        }
        for (Attempt earlier : request.attempts) {
            if (earlier.state == Attempt.State.IN_FLIGHT && !experiment.permissions().redundantAttempts()) {
                recordViolation(Rule.ATTEMPTS, nowMicros, id, proxy,
                    "redundant attempt, not permitted, while one is in flight at "
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
        if (entry != null && !entry.usable && nowMicros > entry.changedAtMicros
            + experiment.ruleLimits().drainGrace() + SOCKET_TOLERANCE_MICROS) {
            recordViolation(Rule.DRAIN, nowMicros, id, proxy, "sent to " + backendName(backend) + " "
                + (nowMicros - entry.changedAtMicros) / 1000 + " ms after discovery marked it unusable");
        }
        Long detachedMicros = detachedAtMicros.get(pairKey(proxy, backend));
        if (detachedMicros != null && nowMicros > detachedMicros + experiment.ruleLimits().drainGrace()
            + SOCKET_TOLERANCE_MICROS) {
            recordViolation(Rule.DRAIN, nowMicros, id, proxy, "sent to " + backendName(backend) + " "
                + (nowMicros - detachedMicros) / 1000 + " ms after confirming DETACH");
        }
        if (!request.attempts.isEmpty() && experiment.permissions().extraAttemptsPerSecond() > 0) {
            takeExtraToken(nowMicros, id, proxy);
        }
        RandomGenerator random = RandomStreams.stream(request.arrival.salt(), "attempt at " + backend);
        double noiseSigma = serviceClass.attemptNoise().draw(random);
        double workMicros = request.arrival.work() * Math.exp(random.nextGaussian() * noiseSigma
            - noiseSigma * noiseSigma / 2);
        Attempt attempt = new Attempt(request, backend, request.attempts.size(), nowMicros,
            Math.max(1, workMicros));
        request.attempts.add(attempt);
        attempts++;
        return attempt;
    }

    /**
     * Takes a token from a bucket for the budget of all proxies together. The bucket is larger than theirs,
     * as attempts sent within the budget may arrive in bursts due to varying network delay.
     */
    private void takeExtraToken(long nowMicros, String id, int proxy) {
        double tokensPerSecond = experiment.permissions().extraAttemptsPerSecond();
        double maxTokens = Math.max(MIN_BURST, tokensPerSecond)
            + tokensPerSecond * NETWORK_JITTER_MICROS / 1e6;
        extraTokens = extraAttempts++ == 0 ? maxTokens : Math.min(maxTokens,
            extraTokens + tokensPerSecond * (nowMicros - lastExtraAtMicros) / 1e6);
        lastExtraAtMicros = nowMicros;
        extraTokens -= 1;
        if (extraTokens < 0) {
            recordViolation(Rule.BUDGET, nowMicros, id, proxy, String.format(java.util.Locale.ROOT,
                "%.1f extra attempts above the fleet's budget of %.1f per second", -extraTokens,
                tokensPerSecond));
        }
    }

    /**
     * The number of attempts that reached a backend after the request's first one; 0 without a budget for
     * extra attempts.
     */
    public synchronized long extraAttempts() {
        return extraAttempts;
    }

    /** Why a service class forbids an attempt after one that may have run; null if it permits it. */
    private String reasonToForbid(ServiceClass serviceClass, Attempt earlier, int backend, long nowMicros) {
        if (serviceClass.idempotency() == Idempotency.IDEMPOTENT) {
            return null;
        }
        if (serviceClass.idempotency() == Idempotency.AT_MOST_ONCE) {
            return serviceClass.name() + " may have run at " + backendName(earlier.backend)
                + " and was repeated at " + backendName(backend);
        }
        Plan.Node previousBackend = plan.nodes().get(earlier.backend),
            nextBackend = plan.nodes().get(backend);
        boolean inScope = switch (serviceClass.dedupScope()) {
            case ALL -> true;
            case ZONE -> previousBackend.zone().equals(nextBackend.zone());
            case CELL -> previousBackend.cell() == nextBackend.cell();
        };
        if (!inScope) {
            return serviceClass.name() + " was repeated from " + previousBackend.name() + " to "
                + nextBackend.name() + ", in another "
                + serviceClass.dedupScope().name().toLowerCase(java.util.Locale.ROOT);
        }
        return nowMicros - earlier.arrivedAtMicros <= serviceClass.dedupWindow() + SOCKET_TOLERANCE_MICROS
            ? null : serviceClass.name() + " was repeated at " + nextBackend.name() + " "
            + (nowMicros - earlier.arrivedAtMicros) / 1000 + " ms after " + previousBackend.name()
            + "; its deduplication window in ms is " + serviceClass.dedupWindow() / 1000;
    }

    /** An attempt has ended at its backend; {@code spentMicros} is the CPU time it took there. */
    public synchronized void attemptEnded(Attempt attempt, Attempt.State state, double spentMicros) {
        attempt.state = state;
        attempt.spentMicros = Math.max(0, spentMicros);
        rejectedAttempts += state == Attempt.State.REJECTED ? 1 : 0;
    }

    /** A client has received a complete response. */
    public synchronized void responseReceived(ClientRequest request, long nowMicros, int status,
        String body) {
        if (status == 200) {
            for (Attempt attempt : request.attempts) {
                if (attempt.state == Attempt.State.SERVED && attempt.expectedBody().equals(body)) {
                    attempt.responseDelivered = true;
                    break;
                }
            }
            if (request.attempts.stream().noneMatch(attempt -> attempt.responseDelivered)) {
                recordViolation(Rule.BODY, nowMicros, request.id, request.proxy,
                    "response body matches no attempt that a backend served: " + printablePrefix(body));
            }
        } else if (status == 429 || status == 503) {
            ServiceClass serviceClass = experiment.classes().get(request.arrival.serviceClass());
            boolean safeToRetry = serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || serviceClass.idempotency() == Idempotency.DEDUPLICATED
                && serviceClass.dedupScope() == Experiment.DedupScope.ALL;
            if (!safeToRetry && request.attempts.stream().anyMatch(attempt -> attempt.state.mayHaveRun())) {
                recordViolation(Rule.REFUSAL, nowMicros, request.id, request.proxy, serviceClass.name()
                    + " was rejected with " + status
                    + " although it may have run at " + backendName(request.attempts.get(0).backend));
            }
        }
    }

    /**
     * A client got no complete response: its timeout expired, or the proxy closed the connection. Returns
     * whether that breaks the rule; it does not if the lab had killed or paused the proxy.
     */
    public synchronized boolean responseMissing(ClientRequest request, long nowMicros, String description) {
        for (ExcusedPeriod period : excusedPeriods) {
            if (period.proxy == request.proxy
                && request.sentAtMicros <= period.untilMicros + FAULT_MARGIN_MICROS
                && nowMicros >= period.fromMicros - FAULT_MARGIN_MICROS) {
                return false;
            }
        }
        recordViolation(Rule.ANSWERED, nowMicros, request.id, request.proxy, description);
        return true;
    }

    /** Whether any attempt of this request has reached a backend. */
    public synchronized boolean reachedBackend(ClientRequest request) {
        return !request.attempts.isEmpty();
    }

    /** Discovery has sent this entry to a proxy. */
    public synchronized void discoveryEntrySent(int proxy, int backend, boolean usable, long startedMillis,
        long nowMicros) {
        DiscoveryEntry previous = discoveryEntries.get(pairKey(proxy, backend));
        long changedAtMicros = previous != null && previous.usable == usable ? previous.changedAtMicros
            : nowMicros;
        discoveryEntries.put(pairKey(proxy, backend), new DiscoveryEntry(usable, changedAtMicros,
            startedMillis));
    }

    /**
     * A proxy restarts: it has lost the list of backends, and the operators' marks too unless its folder is
     * kept.
     */
    public synchronized void proxyRestarted(int proxy, boolean keepsOperatorMarks) {
        discoveryEntries.keySet().removeIf(pair -> pair >>> 32 == proxy);
        if (!keepsOperatorMarks) {
            detachedAtMicros.keySet().removeIf(pair -> pair >>> 32 == proxy);
        }
    }

    /** A proxy has confirmed the DETACH of a backend, or was asked to ATTACH it again. */
    public synchronized void operatorMarked(int proxy, String backendName, boolean detached, long nowMicros) {
        for (Plan.Node backend : plan.nodes()) {
            if (backend.name().equals(backendName) && detached) {
                detachedAtMicros.putIfAbsent(pairKey(proxy, backend.index()), nowMicros);
            } else if (backend.name().equals(backendName)) {
                detachedAtMicros.remove(pairKey(proxy, backend.index()));
            }
        }
    }

    /**
     * A cold backend has collapsed under this work. That breaks the rule if most of it came from proxies that
     * had been informed of its start.
     */
    public synchronized void coldBackendCollapsed(int backend, long startedMillis,
        List<ReceivedWork> receivedWork, long nowMicros) {
        double totalMicros = 0, informedMicros = 0;
        for (ReceivedWork received : receivedWork) {
            DiscoveryEntry entry = discoveryEntries.get(pairKey(received.proxy, backend));
            totalMicros += received.workMicros;
            informedMicros += entry != null && entry.startedMillis >= startedMillis ? received.workMicros : 0;
        }
        if (informedMicros >= MIN_INFORMED_SHARE * totalMicros) {
            recordViolation(Rule.COLD, nowMicros, "", -1, backendName(backend)
                + " was overloaded while cold, " + Math.round(100 * informedMicros / totalMicros)
                + "% of its work from proxies informed of its start");
        }
    }

    /** A fault of the lab keeps this proxy from answering between two times. */
    public synchronized void excuseProxy(int proxy, long fromMicros, long untilMicros) {
        excusedPeriods.add(new ExcusedPeriod(proxy, fromMicros, untilMicros));
    }

    /** Records a violation that was found at a proxy's process. */
    public synchronized void processViolation(Rule rule, int proxy, long nowMicros, String description) {
        recordViolation(rule, nowMicros, "", proxy, description);
    }

    /** A backend has received a health probe. */
    public synchronized void probeReceived() {
        probes++;
    }

    /** A proxy has opened a connection to a backend. */
    public synchronized void connectionOpened() {
        connections++;
    }

    private void recordViolation(Rule rule, long nowMicros, String request, int proxy, String description) {
        violationCounts.merge(rule, 1, Integer::sum);
        if (violations.size() < MAX_DESCRIBED_VIOLATIONS) {
            violations.add(new Violation(rule, nowMicros, request, proxy < 0 ? "" : "n" + proxy,
                description));
        }
    }

    /** The violations first found, up to a fixed number. */
    public synchronized List<Violation> violations() {
        return new ArrayList<>(violations);
    }

    /** The number of all violations by rule; rules that were kept are absent. */
    public synchronized Map<Rule, Integer> violationCounts() {
        return new EnumMap<>(violationCounts);
    }

    /** Totals of the whole play. Work of attempts whose response no client received counts as wasted. */
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
        return new Totals(firstRequests, allRequests, attempts, rejectedAttempts, probes, connections,
            usefulMicros, wastedMicros);
    }

    /** Counts, and work in microseconds of CPU time on a standard core. */
    public record Totals(long firstRequests, long allRequests, long attempts, long rejectedAttempts,
        long probes, long connections, double usefulWorkMicros, double wastedWorkMicros) {
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
