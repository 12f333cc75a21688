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
 * A long seeded sequence of events of all kinds, played through the module, and a checksum of all that the
 * module did and said: two modules that decide alike to the last bit give the same one.
 */
final class EventScript implements Balancer.Actions {
    private static final long SECOND = 1_000_000;
    private static final long MS = 1_000;
    private static final int[] SIZES = {1, 3, 8, 20, 48, 120, 300, 700, 1500};
    /** Up to here the whole line of the status counts, past it the figures before the backends. */
    private static final int SHOWN = 64;
    /** Past this many backends weights are multiples of a power of two, so that sums are exact. */
    private static final int ANY_WEIGHT = 500;
    private static final int EVENTS = 4_000;

    /** An attempt that is out. */
    private record Out(String request, int attempt, long backend, long sentAt) {
    }

    private record Timer(long due, int number, long token) {
    }

    private final Random random;
    private final MessageDigest digest;
    private final int size;
    private final Settings settings;
    private final Balancer module;
    private final Map<Long, Backend> list = new LinkedHashMap<>();
    private final List<Out> out = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((one, other) ->
        one.due != other.due ? Long.compare(one.due, other.due) : Integer.compare(one.number, other.number));
    private long now = 1000 * SECOND;
    private int actions, sends, requests, set, telling;

    EventScript(long seed) {
        random = new Random(seed * 7919);
        size = SIZES[(int) (seed % SIZES.length)];
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        settings = settings();
        module = new RiqBalancer(settings, seed, this);
    }

    private Settings settings() {
        int proxies = new int[] {1, 2, 5, 16, 48, 300}[random.nextInt(6)];
        List<ServiceClass> classes = new ArrayList<>();
        Idempotency[] kinds = Idempotency.values();
        for (int i = 0; i < 9; i++) {
            long aim = (50 + random.nextInt(300)) * MS;
            classes.add(new ServiceClass("c" + i, aim, i % 4 == 0 ? 0.3 : 0, aim * (2 + random.nextInt(3)),
                kinds[i % kinds.length], DedupScope.values()[random.nextInt(3)], 400 * MS,
                i % 5 == 4 ? 0 : 0.3, i < 4 ? null : zones(), i < 3 || i == 5 ? null : kinds()));
        }
        boolean fair = random.nextBoolean();
        Limits limits = new Limits(1 + random.nextInt(4), random.nextInt(4) > 0, random.nextInt(4) > 0, true,
            random.nextInt(3) > 0);
        return new Settings(proxies, random.nextInt(proxies), "z0", classes,
            fair ? List.of(new Tenant("t0", 40), new Tenant("t1", 200)) : List.of(), random.nextInt(3) == 0,
            limits, new Rules(0.2 + random.nextInt(5) / 10.0, (2 + random.nextInt(20)) * SECOND,
                1 + random.nextInt(3), SECOND, SECOND, random.nextInt(4) == 0 ? 0 : 10 * SECOND),
            random.nextInt(2));
    }

    private Set<String> zones() {
        return random.nextInt(12) == 0 ? Set.of("nowhere") : Set.of("z" + random.nextInt(2), "z2");
    }

    private Set<String> kinds() {
        return Set.of("k" + random.nextInt(2));
    }

    private double weight() {
        if (random.nextInt(3) > 0) {
            return 1;
        }
        return size <= ANY_WEIGHT ? random.nextInt(20) / 10.0 : (1 + random.nextInt(32)) / 8.0;
    }

    private Backend backend(long id) {
        int age = random.nextInt(10);
        long startedAt = age < 5 ? 0 : age < 9 ? now - random.nextInt(40) * SECOND : now + random.nextInt(50);
        Backend before = list.get(id);
        if (before != null && random.nextInt(3) > 0) {
            startedAt = before.startedAt();
        }
        Phase phase = random.nextInt(4) > 0 ? Phase.READY : Phase.values()[random.nextInt(3)];
        boolean kept = before != null && random.nextInt(5) > 0;
        return new Backend(id, kept ? before.zone() : "z" + random.nextInt(3),
            kept ? before.kind() : "k" + random.nextInt(2), random.nextInt(3), phase,
            kept ? before.weight() : weight(), startedAt);
    }

    private long id() {
        long number = random.nextInt(size + size / 4 + 1);
        return number * 0x9E3779B97F4A7C15L; // anywhere among the longs, as names' ids are
    }

    private void members(ListUpdateType scope) {
        List<Backend> entries = new ArrayList<>();
        if (scope == ListUpdateType.FULL || scope == ListUpdateType.CACHED) {
            boolean rarely = random.nextBoolean();
            for (Backend before : new ArrayList<>(list.values())) {
                if (random.nextInt(rarely ? 50 : 6) > 0) {
                    entries.add(random.nextInt(5) > 0 ? before : backend(before.id()));
                }
            }
            while (entries.size() < size && random.nextInt(size * 3) > 0) {
                entries.add(backend(id()));
            }
            Collections.shuffle(entries, random);
            list.clear();
        } else {
            int count = random.nextInt(8) == 0 ? 1 + random.nextInt(size) : 1 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                entries.add(backend(id())); // one of them may be there twice
            }
        }
        entries.forEach(entry -> list.put(entry.id(), entry));
        list.values().removeIf(entry -> entry.phase() == Phase.GONE);
        module.onBackendList(now, scope, entries);
    }

    private void request() {
        String id = "r" + requests++;
        boolean streamed = random.nextInt(15) == 0;
        int which = random.nextInt(settings.classes().size() + 1);
        ServiceClass spec = settings.classes().get(which % settings.classes().size());
        long budget = random.nextInt(40) == 0 ? random.nextInt(3) - 1
            : random.nextInt(4) > 0 ? spec.deadline() : spec.deadline() / 2;
        module.onRequest(now, new Request(id, which == settings.classes().size() ? "unheard" : spec.name(),
            random.nextInt(3) > 0 ? "t" + random.nextInt(3) : null, null, budget,
            random.nextInt(3) == 0 ? 1000 + random.nextInt(9000) : 0, random.nextInt(20) == 0, streamed));
    }

    private void outcome(int which, Outcome outcome) {
        Out attempt = out.remove(which);
        boolean closed = outcome == Outcome.OK || answered.contains(attempt.request);
        if (outcome == Outcome.OK) {
            answered.add(attempt.request);
        }
        LoadReport report = random.nextInt(6) > 0 ? null
            : new LoadReport(1, random.nextInt(4) == 0 ? 2 : 0, Double.NaN, Double.NaN, Double.NaN,
                Double.NaN);
        module.onOutcome(now, attempt.request, attempt.attempt, attempt.backend, outcome,
            Math.max(1, now - attempt.sentAt), closed, report);
    }

    private Outcome some() {
        return random.nextInt(5) > 0 ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)];
    }

    private void fleet() {
        int proxies = 1 + random.nextInt(settings.proxies() + 1);
        double least = 0.5 / proxies;
        module.onFleetView(now, new FleetView(proxies, random.nextInt(proxies), Math.min(1, least * 2), least,
            Agreement.values()[random.nextInt(3)], random.nextInt(3) == 0 ? 2 * SECOND : random.nextInt(900)
            * MS, 0));
    }

    private void budgets() {
        telling += random.nextInt(3) - (random.nextInt(5) == 0 ? 2 : 0);
        module.onBudgetShares(now, Math.max(0, telling), now + random.nextInt(3) * SECOND,
            List.of(new BudgetShare(BudgetBuckets.REDUNDANT, random.nextInt(50), 20, random.nextInt(10)),
                new BudgetShare(BudgetBuckets.TENANT_PREFIX + "t0", random.nextInt(90), 30, 5)));
        module.budgetUsage(now).forEach(use -> note("use " + use));
    }

    private void step() {
        int what = random.nextInt(1000);
        if (what < 430) {
            request();
        } else if (what < 860 && !out.isEmpty()) {
            int which = random.nextInt(3) > 0 ? 0 : random.nextInt(out.size());
            outcome(which, some());
        } else if (what < 900) {
            members(ListUpdateType.DELTA);
        } else if (what < 908) {
            members(ListUpdateType.OPERATED);
        } else if (what < 915) {
            members(ListUpdateType.FULL);
        } else if (what < 920) {
            module.onBackendList(now, ListUpdateType.FAILED, List.of());
        } else if (what < 940) {
            fleet();
        } else if (what < 945) {
            budgets();
        } else if (what < 960 && !out.isEmpty()) {
            Out attempt = out.get(random.nextInt(out.size()));
            answered.add(attempt.request);
            module.onStreamStart(now, attempt.request, attempt.attempt, attempt.backend,
                now - attempt.sentAt);
        } else if (what < 970 && requests > 0) {
            module.onClientDisconnected(now, "r" + Math.max(0, requests - 1 - random.nextInt(4)));
        } else if (what < 980) {
            module.onPeerMessage(now, random.nextInt(settings.proxies() + 1),
                random.nextInt(5) == 0 ? "x" : random.nextInt(90) + " " + random.nextInt(90));
        } else if (what < 990) {
            String status = module.status(now);
            note("status " + (size <= SHOWN ? status : status.split(" \\[", 2)[0]));
        }
    }

    private long pause() {
        return switch (random.nextInt(60)) {
            case 0 -> random.nextInt(4) * SECOND;
            case 1, 2, 3 -> random.nextInt(300) * MS;
            default -> random.nextInt(3) == 0 ? 0 : random.nextInt(6) * MS;
        };
    }

    /** Plays it all, and returns a line with its checksum and what it consisted of. */
    String play() {
        for (int i = 0; i < size; i++) {
            Backend entry = backend(id());
            list.put(entry.id(), entry);
        }
        members(ListUpdateType.CACHED);
        for (int i = 0; i < EVENTS; i++) {
            long until = now + pause();
            while (!timers.isEmpty() && timers.peek().due <= until) {
                Timer timer = timers.poll();
                now = Math.max(now, timer.due);
                module.onTimer(now, timer.token);
            }
            now = until;
            step();
        }
        return HexFormat.of().formatHex(digest.digest(), 0, 12) + " " + size + " " + settings.proxies() + " "
            + actions + " " + sends;
    }

    private void note(String text) {
        digest.update((now + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
        actions++;
    }

    @Override
    public void send(String requestId, long backend, long timeout) {
        note("send " + requestId + " " + backend + " " + timeout);
        out.add(new Out(requestId, attempts.merge(requestId, 1, Integer::sum) - 1, backend, now));
        sends++;
    }

    @Override
    public void cancel(String requestId, int attempt) {
        note("cancel " + requestId + " " + attempt);
    }

    @Override
    public void refuse(String requestId, long retryAfter) {
        note("refuse " + requestId + " " + retryAfter);
        answered.add(requestId);
    }

    @Override
    public void fail(String requestId) {
        note("fail " + requestId);
        answered.add(requestId);
    }

    @Override
    public void setTimer(long delay, long token) {
        note("timer " + delay + " " + token);
        timers.add(new Timer(now + delay, set++, token));
    }

    @Override
    public void probe(long backend) {
        note("probe " + backend);
    }

    @Override
    public void closeIdleConnections(long backend) {
        note("hangUp " + backend);
    }

    @Override
    public void subscribe() {
        note("subscribe");
    }

    @Override
    public void broadcastToPeers(String message) {
        note("tell " + message);
    }
}
