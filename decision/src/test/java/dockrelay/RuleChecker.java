package dockrelay;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.DedupScope;
import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Phase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Checks, between a policy and its host, the rules that can be verified at a single proxy. It does not depend
 * on how the policy decides.
 */
final class RuleChecker implements Balancer.Actions {
    /** An attempt as sent by the policy. */
    private static final class Attempt {
        long backend;
        long sentAt;
        boolean ended;
        boolean notExecuted;
    }

    /** A drain notice, with the attempts in flight at that time, until all connections are closed. */
    private static final class Drain {
        long lastUsedAt;
        final List<Attempt> busyAttempts = new ArrayList<>();
    }

    /** A request with its attempts; {@code deadline} is a time of the clock. */
    private static final class RequestState {
        Balancer.ServiceClass service;
        long deadline;
        boolean closed;
        final List<Attempt> attempts = new ArrayList<>();
    }

    final List<String> violations = new ArrayList<>();
    private final Balancer.Settings settings;
    private final Balancer.Actions host;
    private final Map<String, RequestState> requests = new HashMap<>();
    private final Map<Long, Backend> backends = new HashMap<>();
    private final Map<Long, Drain> drains = new TreeMap<>();
    private final Set<Long> connected = new HashSet<>();
    private final Map<Long, List<Long>> coldSends = new HashMap<>();
    long now;

    RuleChecker(Balancer.Settings settings, Balancer.Actions host) {
        this.settings = settings;
        this.host = host;
    }

    void updateBackends(Balancer.ListUpdateType type, List<Backend> entries) {
        if (type == Balancer.ListUpdateType.FULL || type == Balancer.ListUpdateType.CACHED) {
            backends.clear();
        }
        for (Backend entry : entries) {
            backends.put(entry.id(), entry);
            if (entry.phase() == Phase.DRAINING && connected.remove(entry.id())) {
                Drain drain = new Drain();
                drain.lastUsedAt = now;
                drain.busyAttempts.addAll(attemptsInFlightAt(entry.id()));
                drains.put(entry.id(), drain);
            }
        }
    }

    private List<Attempt> attemptsInFlightAt(long backend) {
        return requests.values().stream().flatMap(state -> state.attempts.stream())
            .filter(attempt -> attempt.backend == backend && !attempt.ended).collect(Collectors.toList());
    }

    /** Advances the clock and checks that idle connections to draining backends are closed in time. */
    void advanceTo(long time) {
        now = time;
        drains.forEach((id, drain) -> addViolationIf(drain.busyAttempts.isEmpty()
            && now - drain.lastUsedAt > settings.rules().closeOnDrainWithin(),
            "idle connections not closed after a drain notice of backend " + id));
    }

    void addRequest(Balancer.Request request) {
        RequestState state = new RequestState();
        for (Balancer.ServiceClass service : settings.classes()) {
            state.service = service.name().equals(request.serviceClass()) ? service : state.service;
        }
        state.deadline = now + request.timeBudget();
        requests.put(request.id(), state);
    }

    void endAttempt(String id, int attempt, Outcome outcome) {
        RequestState state = requests.get(id);
        state.attempts.get(attempt).ended = true;
        state.attempts.get(attempt).notExecuted = outcome.provesNotExecuted();
        state.closed |= outcome == Outcome.OK;
        Drain drain = drains.get(state.attempts.get(attempt).backend);
        if (drain != null && drain.busyAttempts.remove(state.attempts.get(attempt))) {
            drain.lastUsedAt = now; // the connection is idle from now on
        }
    }

    void clientDisconnected(String id) {
        requests.get(id).closed = true;
    }

    /** Checks at the end that every request has been answered. */
    void checkAllAnswered() {
        requests.forEach((id, state) -> addViolationIf(!state.closed, "not answered: " + id));
    }

    private void addViolationIf(boolean violated, String message) {
        if (violated) {
            violations.add(message);
        }
    }

    @Override
    public void send(String id, long backend, long timeout) {
        RequestState state = requests.get(id);
        addViolationIf(state.closed, "attempt sent for a closed request: " + id);
        Backend target = backends.get(backend);
        addViolationIf(target == null || target.phase() != Phase.READY,
            "attempt sent to a backend that is not ready: " + backend);
        addViolationIf(target != null && !state.service.allows(target.zone(), target.kind()),
            "attempt sent to a backend that the class may not use: " + id);
        connected.add(backend);
        addViolationIf(state.attempts.size() >= settings.limits().maxAttempts(),
            "more attempts than permitted: " + id);
        boolean inFlight = state.attempts.stream().anyMatch(attempt -> !attempt.ended);
        addViolationIf(inFlight && !settings.limits().redundantAttempts(),
            "redundant attempt not permitted: " + id);
        for (Attempt attempt : state.attempts) {
            if (attempt.notExecuted) {
                continue;
            }
            addViolationIf(state.service.idempotency() == Idempotency.AT_MOST_ONCE,
                "at-most-once request repeated: " + id);
            if (state.service.idempotency() == Idempotency.DEDUPLICATED) {
                Backend firstBackend = backends.getOrDefault(attempt.backend, target);
                boolean sameScope = state.service.dedupScope() == DedupScope.ALL
                    || firstBackend.zone().equals(target.zone())
                    && (state.service.dedupScope() == DedupScope.ZONE
                    || firstBackend.cell() == target.cell());
                addViolationIf(!sameScope, "deduplicated request repeated outside its scope: " + id);
                addViolationIf(now - attempt.sentAt > state.service.dedupWindow(),
                    "deduplicated request repeated after its window: " + id);
            }
        }
        if (target != null && target.startedAt() > 0
            && now - target.startedAt() < settings.rules().warmUpTime()) {
            List<Long> sends = coldSends.computeIfAbsent(backend, key -> new ArrayList<>());
            sends.add(now);
            sends.removeIf(sendTime -> now - sendTime > OVERLOAD_MICROS);
            addViolationIf(sends.size() > MAX_COLD_SENDS,
                "sends to a cold backend within the overload time: " + sends.size());
        }
        Attempt attempt = new Attempt();
        attempt.backend = backend;
        attempt.sentAt = now;
        state.attempts.add(attempt);
        host.send(id, backend, timeout);
    }

    /** The maximum step of the test's clock, by which an answer may be late. */
    private static final long ANSWER_SLACK_MICROS = 8 * Host.MS;
    /** The rate of the test's traffic divided by six backends, times an overload multiple of three. */
    private static final int MAX_COLD_SENDS = 60;
    private static final long OVERLOAD_MICROS = Host.SECOND;

    @Override
    public void cancel(String id, int attempt) {
        addViolationIf(attempt >= requests.get(id).attempts.size(),
            "cancelled an attempt that was not sent: " + id);
        addViolationIf(!settings.limits().mayCancel(), "cancelling is not permitted");
        host.cancel(id, attempt);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        RequestState state = requests.get(id);
        checkAnswer(id, state);
        boolean mayHaveExecuted = state.attempts.stream().anyMatch(attempt -> !attempt.notExecuted);
        addViolationIf(mayHaveExecuted && (state.service.idempotency() == Idempotency.AT_MOST_ONCE

                || state.service.idempotency() == Idempotency.DEDUPLICATED
                && state.service.dedupScope() != DedupScope.ALL),
            "refused although a backend may have executed it: " + id);
        host.refuse(id, retryAfter);
    }

    @Override
    public void fail(String id) {
        checkAnswer(id, requests.get(id));
        host.fail(id);
    }

    private void checkAnswer(String id, RequestState state) {
        addViolationIf(state.closed, "answered twice: " + id);
        addViolationIf(now > state.deadline + ANSWER_SLACK_MICROS, "answered after its deadline: " + id);
        state.closed = true;
    }

    @Override
    public void setTimer(long delay, long token) {
        addViolationIf(delay < 0, "timer with a negative delay");
        host.setTimer(delay, token);
    }

    @Override
    public void probe(long backend) {
        addViolationIf(!settings.limits().probes(), "probing is not permitted");
        host.probe(backend);
    }

    @Override
    public void closeIdleConnections(long backend) {
        if (drains.containsKey(backend) && drains.get(backend).busyAttempts.isEmpty()) {
            drains.remove(backend);
        }
        if (attemptsInFlightAt(backend).isEmpty()) {
            connected.remove(backend);
        }
        host.closeIdleConnections(backend);
    }

    @Override
    public void subscribe() {
        host.subscribe();
    }

    @Override
    public void broadcastToPeers(String message) {
        addViolationIf(!settings.limits().peers() || message.length() > 256,
            "peer message not permitted or too long");
        host.broadcastToPeers(message);
    }
}
