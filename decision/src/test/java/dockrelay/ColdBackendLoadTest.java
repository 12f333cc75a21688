package dockrelay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.DedupScope;
import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.LoadReport;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Phase;
import dockrelay.Balancer.Request;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates many proxies, which do not communicate, in front of one cold backend or only cold ones. What the
 * proxies that know of a backend's restart together send to it within any overload time must not exceed the
 * number N that the settings allow, plus chance (2 * sqrt(N) + 2). docs/standing.md derives the bound.
 */
class ColdBackendLoadTest {
    private static final long SECOND = 1_000_000;
    private static final long DEADLINE_MICROS = 600_000;
    private static final int BACKENDS = 8;
    private static final double COLD_SHARE = 0.25, OVERLOAD_MULTIPLE = 3;
    private static final long WARM_UP_MICROS = 10 * SECOND, OVERLOAD_MICROS = SECOND;
    private static final long RESTART_TIME = 1_005 * SECOND, BEGIN_TIME = 1_000 * SECOND,
        END_TIME = 1_016 * SECOND;
    /** A surge at a multiple of the usual request rate, such as by retries of refused clients. */
    private static final long SURGE_TIME = 1_009 * SECOND, SURGE_MICROS = 300_000;
    private static final double SURGE_FACTOR = 25;
    private static final double REQUESTS_PER_SECOND = 160;
    /** The utilization of warm backends at the usual request rate. */
    private static final double UTILIZATION = 0.8;

    /** How the proxies learn of the restart: at once, half of them late, or by their own restart. */
    private enum Notification { AT_ONCE, HALF_LATE, ALL_RESTARTED }

    /** A scheduled action; {@code order} makes the order of simultaneous events deterministic. */
    private record Event(long time, long order, LongConsumer action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<Long, List<Long>> coldSends = new HashMap<>();
    private final SplittableRandom random = new SplittableRandom(17);
    private final List<ProxyInstance> instances = new ArrayList<>();
    private final Map<Long, Long> freeAt = new HashMap<>();
    private long now = BEGIN_TIME, nextOrder, nextRequestId;
    private int coldCount;

    private void schedule(long time, LongConsumer action) {
        events.add(new Event(time, nextOrder++, action));
    }

    /** A proxy: a policy, and a host that models backends. */
    private final class ProxyInstance implements Balancer.Actions {
        private final Balancer.Settings settings;
        private RiqBalancer balancer;
        private Map<String, List<Long>> sends = new HashMap<>();
        private Map<String, Boolean> ended = new HashMap<>();
        private int incarnation;
        private boolean knowsRestart;

        ProxyInstance(int me, int proxies) {
            settings = new Balancer.Settings(proxies, me, "a",
                List.of(new Balancer.ServiceClass("safe", 200_000, 0, DEADLINE_MICROS, Idempotency.IDEMPOTENT,
                DedupScope.ALL, 400_000, 0.2, null, null)), List.of(), false,
                new Balancer.Limits(4, true, true, false, false),
                new Balancer.Rules(COLD_SHARE, WARM_UP_MICROS, OVERLOAD_MULTIPLE, OVERLOAD_MICROS,
                10 * SECOND, 0), 0);
        }

        void start(long coldSince) {
            incarnation++;
            sends = new HashMap<>();
            ended = new HashMap<>();
            balancer = new RiqBalancer(settings, random.nextLong(), this);
            List<Backend> entries = new ArrayList<>();
            for (int id = 1; id <= BACKENDS; id++) {
                entries.add(backend(id, id <= coldCount ? coldSince : 0));
            }
            knowsRestart = coldSince > 0;
            balancer.onBackendList(now, ListUpdateType.CACHED, entries);
        }

        void notifyRestart() {
            List<Backend> changes = new ArrayList<>();
            for (int id = 1; id <= coldCount; id++) {
                changes.add(backend(id, RESTART_TIME));
            }
            knowsRestart = true;
            balancer.onBackendList(now, ListUpdateType.DELTA, changes);
        }

        private Backend backend(long id, long startedAt) {
            return new Backend(id, "a", "k", 1, Phase.READY, 1, startedAt);
        }

        /** Reports that all backends but the first are gone. */
        void removeAllButFirstBackend() {
            List<Backend> changes = new ArrayList<>();
            for (int id = 2; id <= BACKENDS; id++) {
                changes.add(new Backend(id, "a", "k", 1, Phase.GONE, 1, 0));
            }
            balancer.onBackendList(now, ListUpdateType.DELTA, changes);
        }

        void request() {
            balancer.onRequest(now, new Request("r" + nextRequestId++, "safe", null, null, DEADLINE_MICROS, 0,
                false));
        }

        @Override
        public void send(String id, long backend, long timeout) {
            int attempt = sends.computeIfAbsent(id, key -> new ArrayList<>()).size();
            sends.get(id).add(backend);
            if (backend <= coldCount && knowsRestart) {
                coldSends.computeIfAbsent(backend, key -> new ArrayList<>()).add(now);
            }
            long workTime = (long) (SECOND / capacity(backend, now));
            freeAt.put(backend, Math.max(now, freeAt.getOrDefault(backend, 0L)) + workTime);
            long answeredAt = freeAt.get(backend) + 10_000 + random.nextLong(20_000);
            long latency = Math.min(DEADLINE_MICROS, answeredAt - now);
            Outcome outcome = latency < DEADLINE_MICROS ? Outcome.OK : Outcome.TIMEOUT;
            int scheduledIn = incarnation;
            schedule(now + latency, time -> {
                if (scheduledIn == incarnation && ended.putIfAbsent(id + "/" + attempt, true) == null) {
                    boolean firstSuccess = outcome == Outcome.OK && ended.putIfAbsent(id, true) == null;
                    balancer.onOutcome(time, id, attempt, backend, outcome, latency, firstSuccess, null);
                }
            });
        }

        @Override
        public void cancel(String id, int attempt) {
            int scheduledIn = incarnation;
            schedule(now, time -> {
                if (scheduledIn == incarnation && ended.putIfAbsent(id + "/" + attempt, true) == null) {
                    balancer.onOutcome(time, id, attempt, sends.get(id).get(attempt), Outcome.CANCELLED, 0,
                        true, (LoadReport) null);
                }
            });
        }

        @Override
        public void setTimer(long delay, long token) {
            int scheduledIn = incarnation;
            schedule(now + delay, time -> {
                if (scheduledIn == incarnation) {
                    balancer.onTimer(time, token);
                }
            });
        }

        @Override
        public void refuse(String id, long retryAfter) {
            ended.put(id, true);
        }

        @Override
        public void fail(String id) {
            ended.put(id, true);
        }

        @Override
        public void probe(long backend) {
            throw new AssertionError("probing is not permitted");
        }

        @Override
        public void closeIdleConnections(long backend) {
            return;
        }

        @Override
        public void subscribe() {
            return;
        }

        @Override
        public void broadcastToPeers(String message) {
            return;
        }
    }

    /** The requests per second that a backend can answer; it answers in order of arrival. */
    private double capacity(long backend, long time) {
        boolean warm = backend > coldCount || time < RESTART_TIME;
        double age = Math.min(1, Math.max(0, time - RESTART_TIME) / (double) WARM_UP_MICROS);
        return REQUESTS_PER_SECOND / BACKENDS / UTILIZATION
            * (warm ? 1 : COLD_SHARE + (1 - COLD_SHARE) * age);
    }

    private double allowedSends(long backend, long windowStart) {
        return OVERLOAD_MULTIPLE * capacity(backend, Math.max(RESTART_TIME, windowStart)) * OVERLOAD_MICROS
            / SECOND;
    }

    private void simulate(int proxies, boolean even, Notification notification) {
        instances.clear();
        double[] weights = new double[proxies];
        double totalWeight = 0;
        for (int i = 0; i < proxies; i++) {
            instances.add(new ProxyInstance(i, proxies));
            instances.get(i).start(0);
            weights[i] = even || i % 4 > 0 ? 1 : 5; // a quarter of the proxies get five times the traffic
            totalWeight += weights[i];
        }
        for (int i = 0; i < proxies; i++) {
            ProxyInstance instance = instances.get(i);
            boolean late = notification == Notification.HALF_LATE && i % 2 == 0;
            schedule(late ? RESTART_TIME + 5 * SECOND : RESTART_TIME, time -> {
                if (notification == Notification.ALL_RESTARTED) {
                    instance.start(RESTART_TIME);
                } else {
                    instance.notifyRestart();
                }
            });
            double rate = REQUESTS_PER_SECOND * weights[i] / totalWeight;
            long arrival = BEGIN_TIME + randomInterval(rate);
            while (arrival < END_TIME) {
                schedule(arrival, time -> instance.request());
                arrival += randomInterval(arrival >= SURGE_TIME && arrival < SURGE_TIME + SURGE_MICROS
                    ? rate * SURGE_FACTOR : rate);
            }
        }
        Event next = events.poll();
        while (next != null && next.time < END_TIME) {
            now = next.time;
            next.action.accept(now);
            next = events.poll();
        }
    }

    private long randomInterval(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND) + 1;
    }

    @ParameterizedTest
    @CsvSource({
        "2,true,AT_ONCE", "2,false,HALF_LATE", "2,true,ALL_RESTARTED",
        "6,true,AT_ONCE", "6,false,HALF_LATE", "6,true,ALL_RESTARTED",
        "20,true,AT_ONCE", "20,false,HALF_LATE", "20,true,ALL_RESTARTED",
        "30,true,AT_ONCE", "30,false,AT_ONCE", "30,true,HALF_LATE", "30,false,ALL_RESTARTED",
        "100,true,AT_ONCE", "100,false,AT_ONCE", "100,true,HALF_LATE", "100,false,ALL_RESTARTED"})
    void proxiesTogetherDoNotOverloadAColdBackend(int proxies, boolean even, Notification notification) {
        StringBuilder report = new StringBuilder();
        for (int count : new int[] {1, BACKENDS}) {
            coldCount = count;
            now = BEGIN_TIME;
            events.clear();
            coldSends.clear();
            freeAt.clear();
            simulate(proxies, even, notification);
            report.append(String.format(", of %d cold: %d sends, %.2f of the allowed ones", coldCount,
                coldSends.values().stream().mapToInt(List::size).sum(), maxShareOfAllowed()));
        }
        System.out.println(proxies + (even ? " even " : " uneven ") + notification + report);
    }

    /**
     * All proxies have saved up tokens for a cold backend when all other backends leave, and each proxy gets
     * two requests within a tenth of a second.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 6, 20, 30, 100})
    void savedTokensDoNotOverloadTheLastBackend(int proxies) {
        coldCount = 1;
        schedule(RESTART_TIME + 3 * SECOND,
            time -> instances.forEach(ProxyInstance::removeAllButFirstBackend));
        for (int i = 0; i < proxies * 2; i++) {
            int proxyIndex = i % proxies;
            schedule(RESTART_TIME + 3 * SECOND + 1 + random.nextLong(100_000),
                time -> instances.get(proxyIndex).request());
        }
        simulate(proxies, true, Notification.AT_ONCE);
        System.out.printf("%d proxies with saved tokens: %d sends, %.2f of the allowed ones%n", proxies,
            coldSends.getOrDefault(1L, List.of()).size(), maxShareOfAllowed());
    }

    /** The maximum over all cold backends of their sends, as a share of the allowed number. */
    private double maxShareOfAllowed() {
        double max = 0;
        for (Map.Entry<Long, List<Long>> entry : coldSends.entrySet()) {
            Deque<Long> window = new ArrayDeque<>();
            for (long sendTime : entry.getValue().stream()
                .filter(time -> time < RESTART_TIME + WARM_UP_MICROS).toList()) {
                window.add(sendTime);
                while (window.peek() <= sendTime - OVERLOAD_MICROS) {
                    window.poll();
                }
                double allowed = allowedSends(entry.getKey(), sendTime - OVERLOAD_MICROS);
                double bound = allowed + 2 * Math.sqrt(allowed) + 2;
                max = Math.max(max, window.size() / bound);
                assertTrue(window.size() <= bound,
                    window.size() + " sends in the second before " + (sendTime - RESTART_TIME) / 1e6
                    + " s after the restart, where " + bound + " are allowed");
            }
        }
        return max;
    }
}
