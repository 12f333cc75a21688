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
 * Many instances of the module, which know nothing of each other, before cold backends, one or all: what
 * those of them that know of its start send one together in any fall time stays within what the settings
 * allow it then, N, and chance (twice the root of N, and two). The sums are in docs/standing.md.
 */
class ColdFleetTest {
    private static final long SECOND = 1_000_000;
    private static final long DEADLINE = 600_000;
    private static final int BACKENDS = 8;
    private static final double COLD_SHARE = 0.25, FALL_MULTIPLE = 3;
    private static final long COLD = 10 * SECOND, FALL = SECOND;
    private static final long STARTS = 1_005 * SECOND, BEGINS = 1_000 * SECOND, ENDS = 1_016 * SECOND;
    /** The clients come at some times their rate for a while: refused ones that come again, say. */
    private static final long SURGE = 1_009 * SECOND, SURGE_LASTS = 300_000;
    private static final double SURGE_TIMES = 25;
    private static final double PER_SECOND = 160;
    /** Of what a warm backend can do, its part of that rate is this share. */
    private static final double USED = 0.8;

    /** How the start comes to be known. */
    private enum Told { AT_ONCE, HALF_LATE, ALL_RESTARTED }

    private record Event(long at, long order, LongConsumer body) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<Long, List<Long>> coldSends = new HashMap<>();
    private final SplittableRandom random = new SplittableRandom(17);
    private final List<Instance> instances = new ArrayList<>();
    private final Map<Long, Long> freeAt = new HashMap<>();
    private long now = BEGINS, order, ids;
    private int cold;

    private void at(long time, LongConsumer body) {
        events.add(new Event(time, order++, body));
    }

    /** One proxy: a module, and a host that models backends. */
    private final class Instance implements Balancer.Actions {
        private final Balancer.Settings settings;
        private RiqBalancer module;
        private Map<String, List<Long>> sends = new HashMap<>();
        private Map<String, Boolean> done = new HashMap<>();
        private int life;
        private boolean knows;

        Instance(int me, int proxies) {
            settings = new Balancer.Settings(proxies, me, "a",
                List.of(new Balancer.ServiceClass("safe", 200_000, 0, DEADLINE, Idempotency.IDEMPOTENT,
                    DedupScope.ALL, 400_000, 0.2, null, null)),
                List.of(), false, new Balancer.Limits(4, true, true, false, false),
                new Balancer.Rules(COLD_SHARE, COLD, FALL_MULTIPLE, FALL, 10 * SECOND, 0), 0);
        }

        void start(long coldSince) {
            life++;
            sends = new HashMap<>();
            done = new HashMap<>();
            module = new RiqBalancer(settings, random.nextLong(), this);
            List<Backend> all = new ArrayList<>();
            for (int id = 1; id <= BACKENDS; id++) {
                all.add(backend(id, id <= cold ? coldSince : 0));
            }
            knows = coldSince > 0;
            module.onBackendList(now, ListUpdateType.CACHED, all);
        }

        void told() {
            List<Backend> changes = new ArrayList<>();
            for (int id = 1; id <= cold; id++) {
                changes.add(backend(id, STARTS));
            }
            knows = true;
            module.onBackendList(now, ListUpdateType.DELTA, changes);
        }

        private Backend backend(long id, long startedAt) {
            return new Backend(id, "a", "k", 1, Phase.READY, 1, startedAt);
        }

        /** All but the first one leave. */
        void alone() {
            List<Backend> changes = new ArrayList<>();
            for (int id = 2; id <= BACKENDS; id++) {
                changes.add(new Backend(id, "a", "k", 1, Phase.GONE, 1, 0));
            }
            module.onBackendList(now, ListUpdateType.DELTA, changes);
        }

        void request() {
            module.onRequest(now, new Request("r" + ids++, "safe", null, null, DEADLINE, 0, false));
        }

        @Override
        public void send(String id, long backend, long timeout) {
            int attempt = sends.computeIfAbsent(id, key -> new ArrayList<>()).size();
            sends.get(id).add(backend);
            if (backend <= cold && knows) {
                coldSends.computeIfAbsent(backend, key -> new ArrayList<>()).add(now);
            }
            long worked = (long) (SECOND / capacity(backend, now));
            freeAt.put(backend, Math.max(now, freeAt.getOrDefault(backend, 0L)) + worked);
            long answered = freeAt.get(backend) + 10_000 + random.nextLong(20_000);
            long latency = Math.min(DEADLINE, answered - now);
            Outcome outcome = latency < DEADLINE ? Outcome.OK : Outcome.TIMEOUT;
            int mine = life;
            at(now + latency, then -> {
                if (mine == life && done.putIfAbsent(id + "/" + attempt, true) == null) {
                    boolean first = outcome == Outcome.OK && done.putIfAbsent(id, true) == null;
                    module.onOutcome(then, id, attempt, backend, outcome, latency, first, null);
                }
            });
        }

        @Override
        public void cancel(String id, int attempt) {
            int mine = life;
            at(now, then -> {
                if (mine == life && done.putIfAbsent(id + "/" + attempt, true) == null) {
                    module.onOutcome(then, id, attempt, sends.get(id).get(attempt), Outcome.CANCELLED, 0,
                        true, (LoadReport) null);
                }
            });
        }

        @Override
        public void setTimer(long delay, long token) {
            int mine = life;
            at(now + delay, then -> {
                if (mine == life) {
                    module.onTimer(then, token);
                }
            });
        }

        @Override
        public void refuse(String id, long retryAfter) {
            done.put(id, true);
        }

        @Override
        public void fail(String id) {
            done.put(id, true);
        }

        @Override
        public void probe(long backend) {
            throw new AssertionError("no probes");
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

    /** What a backend can do in a second: it answers in turn, and not what it cannot answer in time. */
    private double capacity(long backend, long time) {
        boolean warm = backend > cold || time < STARTS;
        double age = Math.min(1, Math.max(0, time - STARTS) / (double) COLD);
        return PER_SECOND / BACKENDS / USED * (warm ? 1 : COLD_SHARE + (1 - COLD_SHARE) * age);
    }

    private double allowed(long backend, long windowBegan) {
        return FALL_MULTIPLE * capacity(backend, Math.max(STARTS, windowBegan)) * FALL / SECOND;
    }

    private void play(int proxies, boolean even, Told told) {
        instances.clear();
        double[] weights = new double[proxies];
        double all = 0;
        for (int i = 0; i < proxies; i++) {
            instances.add(new Instance(i, proxies));
            instances.get(i).start(0);
            weights[i] = even || i % 4 > 0 ? 1 : 5; // a quarter gets several times what the others get
            all += weights[i];
        }
        for (int i = 0; i < proxies; i++) {
            Instance instance = instances.get(i);
            boolean late = told == Told.HALF_LATE && i % 2 == 0;
            at(late ? STARTS + 5 * SECOND : STARTS, then -> {
                if (told == Told.ALL_RESTARTED) {
                    instance.start(STARTS);
                } else {
                    instance.told();
                }
            });
            double rate = PER_SECOND * weights[i] / all;
            long at = BEGINS + wait(rate);
            while (at < ENDS) {
                at(at, then -> instance.request());
                at += wait(at >= SURGE && at < SURGE + SURGE_LASTS ? rate * SURGE_TIMES : rate);
            }
        }
        Event next = events.poll();
        while (next != null && next.at < ENDS) {
            now = next.at;
            next.body.accept(now);
            next = events.poll();
        }
    }

    private long wait(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND) + 1;
    }

    @ParameterizedTest
    @CsvSource({
        "2,true,AT_ONCE", "2,false,HALF_LATE", "2,true,ALL_RESTARTED",
        "6,true,AT_ONCE", "6,false,HALF_LATE", "6,true,ALL_RESTARTED",
        "20,true,AT_ONCE", "20,false,HALF_LATE", "20,true,ALL_RESTARTED",
        "30,true,AT_ONCE", "30,false,AT_ONCE", "30,true,HALF_LATE", "30,false,ALL_RESTARTED",
        "100,true,AT_ONCE", "100,false,AT_ONCE", "100,true,HALF_LATE", "100,false,ALL_RESTARTED"})
    void allTogetherSendAColdBackendNoMoreThanItCanTake(int proxies, boolean even, Told told) {
        StringBuilder report = new StringBuilder();
        for (int count : new int[] {1, BACKENDS}) {
            cold = count;
            now = BEGINS;
            events.clear();
            coldSends.clear();
            freeAt.clear();
            play(proxies, even, told);
            report.append(String.format(", of %d cold: %d sends, %.2f of what is allowed", cold,
                coldSends.values().stream().mapToInt(List::size).sum(), most()));
        }
        System.out.println(proxies + (even ? " even " : " uneven ") + told + report);
    }

    /**
     * All have had time to save up what they were let send to the cold one, and then nothing else is left and
     * two requests come to each of them within a tenth of a second.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 6, 20, 30, 100})
    void whatAllHaveSavedUpDoesNotPushTheLastOneOver(int proxies) {
        cold = 1;
        at(STARTS + 3 * SECOND, then -> instances.forEach(Instance::alone));
        for (int i = 0; i < proxies * 2; i++) {
            int to = i % proxies;
            at(STARTS + 3 * SECOND + 1 + random.nextLong(100_000), then -> instances.get(to).request());
        }
        play(proxies, true, Told.AT_ONCE);
        System.out.printf("%d, saved up: %d sends, %.2f of what is allowed%n", proxies,
            coldSends.getOrDefault(1L, List.of()).size(), most());
    }

    /** The most of what is allowed that any of them got. */
    private double most() {
        double most = 0;
        for (Map.Entry<Long, List<Long>> entry : coldSends.entrySet()) {
            Deque<Long> window = new ArrayDeque<>();
            for (long sent : entry.getValue().stream().filter(at -> at < STARTS + COLD).toList()) {
                window.add(sent);
                while (window.peek() <= sent - FALL) {
                    window.poll();
                }
                double n = allowed(entry.getKey(), sent - FALL);
                double bound = n + 2 * Math.sqrt(n) + 2;
                most = Math.max(most, window.size() / bound);
                assertTrue(window.size() <= bound, window.size() + " sends in the second up to "
                    + (sent - STARTS) / 1e6 + " s after the start, where " + bound + " are allowed");
            }
        }
        return most;
    }
}
