package dockrelay;

import dockrelay.Balancer.Agreement;
import dockrelay.Balancer.Backend;
import dockrelay.Balancer.BudgetShare;
import dockrelay.Balancer.DedupScope;
import dockrelay.Balancer.FleetView;
import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.Limits;
import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.LoadReport;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Phase;
import dockrelay.Balancer.Request;
import dockrelay.Balancer.Rules;
import dockrelay.Balancer.ServiceClass;
import dockrelay.Balancer.Settings;
import dockrelay.Balancer.Tenant;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Feeds a long seeded sequence of events of all types to the policy, and computes a checksum of all its
 * actions and status lines: policies that decide identically have the same checksum.
 */
final class EventScript implements Balancer.Actions {
    private static final long SECOND = 1_000_000;
    private static final long MS = 1_000;
    private static final int[] SIZES = {1, 3, 8, 20, 48, 120, 300, 700, 1500};
    /** Up to this number of backends the checksum covers the whole status line, else only its counters. */
    private static final int MAX_LISTED_BACKENDS = 64;
    /** With more backends than this, weights are multiples of 1/8, so that sums of them are exact. */
    private static final int MAX_ANY_WEIGHT_SIZE = 500;
    private static final int EVENTS = 4_000;

    /** An attempt that has not ended. */
    private record ActiveAttempt(String requestId, int attempt, long backend, long sentAt) {
    }

    /** A timer of the policy; {@code number} orders those that are due at the same time. */
    private record Timer(long due, int number, long token) {
    }

    private final Random random;
    private final MessageDigest digest;
    private final int size;
    private final Settings settings;
    private final Balancer balancer;
    private final Map<Long, Backend> backends = new LinkedHashMap<>();
    private final List<ActiveAttempt> activeAttempts = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((first, second) -> first.due != second.due
        ? Long.compare(first.due, second.due) : Integer.compare(first.number, second.number));
    private long now = 1000 * SECOND;
    private int actions, sends, requests, timersSet, budgetVersion;

    EventScript(long seed) {
        random = new Random(seed * 7919);
        size = SIZES[(int) (seed % SIZES.length)];
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        settings = randomSettings();
        balancer = new RiqBalancer(settings, seed, this);
    }

    private Settings randomSettings() {
        int proxies = new int[] {1, 2, 5, 16, 48, 300}[random.nextInt(6)];
        List<ServiceClass> classes = new ArrayList<>();
        Idempotency[] idempotencies = Idempotency.values();
        for (int i = 0; i < 9; i++) {
            long latencyTarget = (50 + random.nextInt(300)) * MS;
            classes.add(new ServiceClass("c" + i, latencyTarget, i % 4 == 0 ? 0.3 : 0,
                latencyTarget * (2 + random.nextInt(3)), idempotencies[i % idempotencies.length],
                DedupScope.values()[random.nextInt(3)], 400 * MS, i % 5 == 4 ? 0 : 0.3,
                i < 4 ? null : randomZones(), i < 3 || i == 5 ? null : randomKinds()));
        }
        boolean withTenants = random.nextBoolean();
        Limits limits = new Limits(1 + random.nextInt(4), random.nextInt(4) > 0, random.nextInt(4) > 0, true,
            random.nextInt(3) > 0);
        return new Settings(proxies, random.nextInt(proxies), "z0", classes,
            withTenants ? List.of(new Tenant("t0", 40), new Tenant("t1", 200)) : List.of(),
            random.nextInt(3) == 0, limits, new Rules(0.2 + random.nextInt(5) / 10.0,
            (2 + random.nextInt(20)) * SECOND, 1 + random.nextInt(3), SECOND, SECOND,
            random.nextInt(4) == 0 ? 0 : 10 * SECOND), random.nextInt(2));
    }

    private Set<String> randomZones() {
        return random.nextInt(12) == 0 ? Set.of("nowhere") : Set.of("z" + random.nextInt(2), "z2");
    }

    private Set<String> randomKinds() {
        return Set.of("k" + random.nextInt(2));
    }

    private double randomWeight() {
        if (random.nextInt(3) > 0) {
            return 1;
        }
        return size <= MAX_ANY_WEIGHT_SIZE ? random.nextInt(20) / 10.0 : (1 + random.nextInt(32)) / 8.0;
    }

    private Backend randomBackend(long id) {
        int age = random.nextInt(10);
        long startedAt = age < 5 ? 0 : age < 9 ? now - random.nextInt(40) * SECOND : now + random.nextInt(50);
        Backend previous = backends.get(id);
        if (previous != null && random.nextInt(3) > 0) {
            startedAt = previous.startedAt();
        }
        Phase phase = random.nextInt(4) > 0 ? Phase.READY : Phase.values()[random.nextInt(3)];
        boolean keep = previous != null && random.nextInt(5) > 0;
        return new Backend(id, keep ? previous.zone() : "z" + random.nextInt(3),
            keep ? previous.kind() : "k" + random.nextInt(2), random.nextInt(3), phase,
            keep ? previous.weight() : randomWeight(), startedAt);
    }

    private long randomId() {
        long number = random.nextInt(size + size / 4 + 1);
        return number * 0x9E3779B97F4A7C15L; // spread over all longs, like ids that are hashes
    }

    private void updateBackends(ListUpdateType type) {
        List<Backend> entries = new ArrayList<>();
        if (type == ListUpdateType.FULL || type == ListUpdateType.CACHED) {
            boolean rarelyRemove = random.nextBoolean();
            for (Backend previous : new ArrayList<>(backends.values())) {
                if (random.nextInt(rarelyRemove ? 50 : 6) > 0) {
                    entries.add(random.nextInt(5) > 0 ? previous : randomBackend(previous.id()));
                }
            }
            while (entries.size() < size && random.nextInt(size * 3) > 0) {
                entries.add(randomBackend(randomId()));
            }
            Collections.shuffle(entries, random);
            backends.clear();
        } else {
            int count = random.nextInt(8) == 0 ? 1 + random.nextInt(size) : 1 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                entries.add(randomBackend(randomId())); // may contain a backend twice
            }
        }
        entries.forEach(entry -> backends.put(entry.id(), entry));
        backends.values().removeIf(entry -> entry.phase() == Phase.GONE);
        balancer.onBackendList(now, type, entries);
    }

    private void sendRequest() {
        String id = "r" + requests++;
        boolean streamed = random.nextInt(15) == 0;
        int classIndex = random.nextInt(settings.classes().size() + 1);
        ServiceClass serviceClass = settings.classes().get(classIndex % settings.classes().size());
        long timeBudget = random.nextInt(40) == 0 ? random.nextInt(3) - 1
            : random.nextInt(4) > 0 ? serviceClass.deadline() : serviceClass.deadline() / 2;
        balancer.onRequest(now, new Request(id,
            classIndex == settings.classes().size() ? "unheard" : serviceClass.name(),
            random.nextInt(3) > 0 ? "t" + random.nextInt(3) : null, null, timeBudget,
            random.nextInt(3) == 0 ? 1000 + random.nextInt(9000) : 0, random.nextInt(20) == 0, streamed));
    }

    private void endAttempt(int index, Outcome outcome) {
        ActiveAttempt attempt = activeAttempts.remove(index);
        boolean closed = outcome == Outcome.OK || answered.contains(attempt.requestId);
        if (outcome == Outcome.OK) {
            answered.add(attempt.requestId);
        }
        LoadReport report = random.nextInt(6) > 0 ? null
            : new LoadReport(1, random.nextInt(4) == 0 ? 2 : 0, Double.NaN, Double.NaN, Double.NaN,
                Double.NaN);
        balancer.onOutcome(now, attempt.requestId, attempt.attempt, attempt.backend, outcome,
            Math.max(1, now - attempt.sentAt), closed, report);
    }

    private Outcome randomOutcome() {
        return random.nextInt(5) > 0 ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)];
    }

    private void reportFleetView() {
        int proxies = 1 + random.nextInt(settings.proxies() + 1);
        double minShare = 0.5 / proxies;
        balancer.onFleetView(now, new FleetView(proxies, random.nextInt(proxies), Math.min(1, minShare * 2),
            minShare, Agreement.values()[random.nextInt(3)],
            random.nextInt(3) == 0 ? 2 * SECOND : random.nextInt(900) * MS, 0));
    }

    private void reportBudgetShares() {
        budgetVersion += random.nextInt(3) - (random.nextInt(5) == 0 ? 2 : 0);
        balancer.onBudgetShares(now, Math.max(0, budgetVersion), now + random.nextInt(3) * SECOND,
            List.of(new BudgetShare(BudgetBuckets.REDUNDANT, random.nextInt(50), 20, random.nextInt(10)),
                new BudgetShare(BudgetBuckets.TENANT_PREFIX + "t0", random.nextInt(90), 30, 5)));
        balancer.budgetUsage(now).forEach(usage -> record("use " + usage));
    }

    private void randomEvent() {
        int choice = random.nextInt(1000);
        if (choice < 430) {
            sendRequest();
        } else if (choice < 860 && !activeAttempts.isEmpty()) {
            int index = random.nextInt(3) > 0 ? 0 : random.nextInt(activeAttempts.size());
            endAttempt(index, randomOutcome());
        } else if (choice < 900) {
            updateBackends(ListUpdateType.DELTA);
        } else if (choice < 908) {
            updateBackends(ListUpdateType.OPERATED);
        } else if (choice < 915) {
            updateBackends(ListUpdateType.FULL);
        } else if (choice < 920) {
            balancer.onBackendList(now, ListUpdateType.FAILED, List.of());
        } else if (choice < 940) {
            reportFleetView();
        } else if (choice < 945) {
            reportBudgetShares();
        } else if (choice < 960 && !activeAttempts.isEmpty()) {
            ActiveAttempt attempt = activeAttempts.get(random.nextInt(activeAttempts.size()));
            answered.add(attempt.requestId);
            balancer.onStreamStart(now, attempt.requestId, attempt.attempt, attempt.backend,
                now - attempt.sentAt);
        } else if (choice < 970 && requests > 0) {
            balancer.onClientDisconnected(now, "r" + Math.max(0, requests - 1 - random.nextInt(4)));
        } else if (choice < 980) {
            balancer.onPeerMessage(now, random.nextInt(settings.proxies() + 1),
                random.nextInt(5) == 0 ? "x" : random.nextInt(90) + " " + random.nextInt(90));
        } else if (choice < 990) {
            String status = balancer.status(now);
            record("status " + (size <= MAX_LISTED_BACKENDS ? status : status.split(" \\[", 2)[0]));
        }
    }

    private long randomPause() {
        return switch (random.nextInt(60)) {
            case 0 -> random.nextInt(4) * SECOND;
            case 1, 2, 3 -> random.nextInt(300) * MS;
            default -> random.nextInt(3) == 0 ? 0 : random.nextInt(6) * MS;
        };
    }

    /** Runs all events and returns checksum, backends, proxies, recorded lines and sends. */
    String play() {
        for (int i = 0; i < size; i++) {
            Backend entry = randomBackend(randomId());
            backends.put(entry.id(), entry);
        }
        updateBackends(ListUpdateType.CACHED);
        for (int i = 0; i < EVENTS; i++) {
            long until = now + randomPause();
            while (!timers.isEmpty() && timers.peek().due <= until) {
                Timer timer = timers.poll();
                now = Math.max(now, timer.due);
                balancer.onTimer(now, timer.token);
            }
            now = until;
            randomEvent();
        }
        return HexFormat.of().formatHex(digest.digest(), 0, 12) + " " + size + " " + settings.proxies() + " "
            + actions + " " + sends;
    }

    private void record(String text) {
        digest.update((now + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
        actions++;
    }

    @Override
    public void send(String requestId, long backend, long timeout) {
        record("send " + requestId + " " + backend + " " + timeout);
        activeAttempts.add(new ActiveAttempt(requestId, attempts.merge(requestId, 1, Integer::sum) - 1,
            backend, now));
        sends++;
    }

    @Override
    public void cancel(String requestId, int attempt) {
        record("cancel " + requestId + " " + attempt);
    }

    @Override
    public void refuse(String requestId, long retryAfter) {
        record("refuse " + requestId + " " + retryAfter);
        answered.add(requestId);
    }

    @Override
    public void fail(String requestId) {
        record("fail " + requestId);
        answered.add(requestId);
    }

    @Override
    public void setTimer(long delay, long token) {
        record("timer " + delay + " " + token);
        timers.add(new Timer(now + delay, timersSet++, token));
    }

    @Override
    public void probe(long backend) {
        record("probe " + backend);
    }

    @Override
    public void closeIdleConnections(long backend) {
        record("hangUp " + backend);
    }

    @Override
    public void subscribe() {
        record("subscribe");
    }

    @Override
    public void broadcastToPeers(String message) {
        record("tell " + message);
    }
}
