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
    private static final int MOST_TOLD = 200;
    /** What a kill or a pause has to do with a connection's end is seen this much around it. */
    private static final long AROUND = 500_000;
    /**
     * A cold node's fall is the proxies' doing where so much of its work came from those told of its start.
     */
    private static final double TOLD_SHARE = 2.0 / 3;

    /** The least burst of a budget, and how much later than others an attempt may arrive. */
    private static final double LEAST_BURST = 2, WAY = 300_000;

    /** One breach. Request and proxy may be empty. */
    public record Violation(Rule rule, long atMicros, String request, String proxy, String description) {
    }

    /** Work that reached a cold node. */
    public record ReceivedWork(int proxy, long receivedAtMicros, double workMicros) {
    }

    /** What discovery last wrote to a proxy of a node. */
    private record Told(boolean usable, long at, long startedMillis) {
    }

    private record Trouble(int proxy, long from, long until) {
    }

    private final Plan plan;
    private final Experiment experiment;
    private final Map<String, ClientRequest> tries = new HashMap<>();
    private final Map<Long, Told> told = new HashMap<>();
    private final Map<Long, Long> marked = new HashMap<>();
    private final List<Trouble> troubles = new ArrayList<>();
    private final List<Violation> broken = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private double extraLeft;
    private long extras, extraAt;
    private long attempts, firstTries, allTries, probes, connections, turnedAway;

    public Referee(Plan plan) {
        this.plan = plan;
        this.experiment = plan.experiment();
    }

    public synchronized void requestSent(ClientRequest one, boolean first) {
        tries.put(one.id, one);
        allTries++;
        firstTries += first ? 1 : 0;
    }

    /** An attempt's last byte has reached a node; null where no client sent such a request. */
    public synchronized Attempt attemptArrived(int proxy, int node, long now, String id, String method, String path,
        String key, String content) {
        ClientRequest of = tries.get(id);
        if (of == null || of.proxy != proxy) {
            breach(Rule.FOREIGN, now, id, proxy, "reached " + name(node) + ", but no client sent "
                + (of == null ? "it" : "it by this proxy"));
            return null;
        }
        if (!of.method.equals(method) || !of.path.equals(path) || !of.body.equals(content)
            || !String.valueOf(of.idempotencyKey).equals(String.valueOf(key))) {
            breach(Rule.FOREIGN, now, id, proxy, "reached " + name(node) + " changed: " + method + " "
                + path);
            return null;
        }
        ServiceClass type = experiment.classes().get(of.arrival.serviceClass());
        if (of.attempts.size() >= experiment.permissions().maxAttempts()) {
            breach(Rule.ATTEMPTS, now, id, proxy, "attempt " + (of.attempts.size() + 1) + " of "
                + experiment.permissions().maxAttempts());
        }
        for (Attempt earlier : of.attempts) {
            if (earlier.state == Attempt.State.HELD && !experiment.permissions().redundantAttempts()) {
                breach(Rule.ATTEMPTS, now, id, proxy, "a second copy beside the one at "
                    + name(earlier.node));
            }
            if (earlier.state.mayHaveRun()) {
                String why = forbids(type, earlier, node, now);
                if (why != null) {
                    breach(Rule.REPEAT, now, id, proxy, why);
                }
            }
        }
        Told last = told.get(pair(proxy, node));
        if (last != null && !last.usable && now > last.at + experiment.ruleLimits().drainGrace() + SOCKET_TOLERANCE_MICROS) {
            breach(Rule.DRAIN, now, id, proxy, "sent to " + name(node) + " "
                + (now - last.at) / 1000 + " ms after it was told to stop");
        }
        Long out = marked.get(pair(proxy, node));
        if (out != null && now > out + experiment.ruleLimits().drainGrace() + SOCKET_TOLERANCE_MICROS) {
            breach(Rule.DRAIN, now, id, proxy, "sent to " + name(node) + " " + (now - out) / 1000
                + " ms after its yes to DETACH");
        }
        if (!of.attempts.isEmpty() && experiment.permissions().extraAttemptsPerSecond() > 0) {
            extra(now, id, proxy);
        }
        RandomGenerator random = RandomStreams.stream(of.arrival.salt(), "attempt at " + node);
        double noise = type.attemptNoise().draw(random);
        double work = of.arrival.work() * Math.exp(random.nextGaussian() * noise - noise * noise / 2);
        Attempt attempt = new Attempt(of, node, of.attempts.size(), now, Math.max(1, work));
        of.attempts.add(attempt);
        attempts++;
        return attempt;
    }

    /** A bucket of the whole: what is sent within it may arrive bunched by what the way takes. */
    private void extra(long now, String id, int proxy) {
        double rate = experiment.permissions().extraAttemptsPerSecond();
        double most = Math.max(LEAST_BURST, rate) + rate * WAY / 1e6;
        extraLeft = extras++ == 0 ? most : Math.min(most, extraLeft + rate * (now - extraAt) / 1e6);
        extraAt = now;
        extraLeft -= 1;
        if (extraLeft < 0) {
            breach(Rule.BUDGET, now, id, proxy, String.format(java.util.Locale.ROOT,
                "%.1f more than the whole fleet's budget of %.1f a second", -extraLeft, rate));
        }
    }

    /** Further attempts that reached a node. */
    public synchronized long extraAttempts() {
        return extras;
    }

    /** Why a class forbids another attempt after one that may have run; null where it does not. */
    private String forbids(ServiceClass type, Attempt earlier, int node, long now) {
        if (type.idempotency() == Idempotency.IDEMPOTENT) {
            return null;
        }
        if (type.idempotency() == Idempotency.AT_MOST_ONCE) {
            return type.name() + " may have run at " + name(earlier.node) + " and went to " + name(node);
        }
        Plan.Node before = plan.nodes().get(earlier.node), next = plan.nodes().get(node);
        boolean same = switch (type.dedupScope()) {
            case ALL -> true;
            case ZONE -> before.zone().equals(next.zone());
            case CELL -> before.cell() == next.cell();
        };
        if (!same) {
            return type.name() + " went from " + before.name() + " to " + next.name() + ", another "
                + type.dedupScope().name().toLowerCase(java.util.Locale.ROOT);
        }
        return now - earlier.arrivedAtMicros <= type.dedupWindow() + SOCKET_TOLERANCE_MICROS ? null : type.name() + " went to " + next.name()
            + " "
            + (now - earlier.arrivedAtMicros) / 1000 + " ms after " + before.name() + ", which remembers it for "
            + type.dedupWindow() / 1000;
    }

    public synchronized void attemptEnded(Attempt attempt, Attempt.State state, double spent) {
        attempt.state = state;
        attempt.spent = Math.max(0, spent);
        turnedAway += state == Attempt.State.REJECTED ? 1 : 0;
    }

    /** A client has a whole answer. */
    public synchronized void responseReceived(ClientRequest one, long now, int status, String body) {
        if (status == 200) {
            for (Attempt attempt : one.attempts) {
                if (attempt.state == Attempt.State.SERVED && attempt.expectedBody().equals(body)) {
                    attempt.won = true;
                    break;
                }
            }
            if (one.attempts.stream().noneMatch(attempt -> attempt.won)) {
                breach(Rule.BODY, now, one.id, one.proxy, "served what no node made for it: " + cut(body));
            }
        } else if (status == 429 || status == 503) {
            ServiceClass type = experiment.classes().get(one.arrival.serviceClass());
            boolean harmless = type.idempotency() == Idempotency.IDEMPOTENT
                || type.idempotency() == Idempotency.DEDUPLICATED && type.dedupScope() == Experiment.DedupScope.ALL;
            if (!harmless && one.attempts.stream().anyMatch(attempt -> attempt.state.mayHaveRun())) {
                breach(Rule.REFUSAL, now, one.id, one.proxy, type.name() + " was refused with " + status
                    + " though it may have run at " + name(one.attempts.get(0).node));
            }
        }
    }

    /**
     * A client got no whole answer: its time ran out, or the proxy ended the connection. Returns whether that
     * breaks the rule; it does not where the proxy was killed or paused, which is the lab's doing.
     */
    public synchronized boolean responseMissing(ClientRequest one, long now, String how) {
        for (Trouble trouble : troubles) {
            if (trouble.proxy == one.proxy && one.sentAtMicros <= trouble.until + AROUND
                && now >= trouble.from - AROUND) {
                return false;
            }
        }
        breach(Rule.ANSWERED, now, one.id, one.proxy, how);
        return true;
    }

    /** Whether any node has seen this try. */
    public synchronized boolean reachedBackend(ClientRequest one) {
        return !one.attempts.isEmpty();
    }

    /** Discovery has written this entry to a proxy. */
    public synchronized void discoveryEntrySent(int proxy, int node, boolean usable, long startedMillis, long now) {
        Told before = told.get(pair(proxy, node));
        long since = before != null && before.usable == usable ? before.at : now;
        told.put(pair(proxy, node), new Told(usable, since, startedMillis));
    }

    /** A proxy that starts anew knows nothing, but for the operators' marks where its folder is kept. */
    public synchronized void forgot(int proxy, boolean keepsMarks) {
        told.keySet().removeIf(pair -> pair >>> 32 == proxy);
        if (!keepsMarks) {
            marked.keySet().removeIf(pair -> pair >>> 32 == proxy);
        }
    }

    /** A proxy said yes to taking a node out, or was asked to use it again. */
    public synchronized void marked(int proxy, String node, boolean out, long now) {
        for (Plan.Node one : plan.nodes()) {
            if (one.name().equals(node) && out) {
                marked.putIfAbsent(pair(proxy, one.index()), now);
            } else if (one.name().equals(node)) {
                marked.remove(pair(proxy, one.index()));
            }
        }
    }

    /** A cold node fell over under this work. */
    public synchronized void coldBackendCollapsed(int node, long startedMillis, List<ReceivedWork> work, long now) {
        double all = 0, knowing = 0;
        for (ReceivedWork sent : work) {
            Told last = told.get(pair(sent.proxy, node));
            all += sent.workMicros;
            knowing += last != null && last.startedMillis >= startedMillis ? sent.workMicros : 0;
        }
        if (knowing >= TOLD_SHARE * all) {
            breach(Rule.COLD, now, "", -1, name(node) + " was pushed over while cold, "
                + Math.round(100 * knowing / all) + "% of it by proxies told of its start");
        }
    }

    /** The lab itself keeps this proxy from answering between two times. */
    public synchronized void excuseProxy(int proxy, long from, long until) {
        troubles.add(new Trouble(proxy, from, until));
    }

    public synchronized void process(Rule rule, int proxy, long now, String what) {
        breach(rule, now, "", proxy, what);
    }

    public synchronized void probeReceived() {
        probes++;
    }

    public synchronized void connectionOpened() {
        connections++;
    }

    private void breach(Rule rule, long now, String request, int proxy, String what) {
        counts.merge(rule, 1, Integer::sum);
        if (broken.size() < MOST_TOLD) {
            broken.add(new Violation(rule, now, request, proxy < 0 ? "" : "n" + proxy, what));
        }
    }

    public synchronized List<Violation> violations() {
        return new ArrayList<>(broken);
    }

    public synchronized Map<Rule, Integer> violationCounts() {
        return new EnumMap<>(counts);
    }

    /** Figures of the whole run. Work that no client's answer came from is waste. */
    public synchronized Totals totals() {
        double useful = 0, waste = 0;
        for (ClientRequest one : tries.values()) {
            for (Attempt attempt : one.attempts) {
                if (attempt.won) {
                    useful += attempt.spent;
                } else {
                    waste += attempt.spent;
                }
            }
        }
        return new Totals(firstTries, allTries, attempts, turnedAway, probes, connections, useful, waste);
    }

    /** Counts, and work in microseconds of a standard core. */
    public record Totals(long firstRequests, long allRequests, long attempts, long rejectedAttempts, long probes,
        long connections, double usefulWorkMicros, double wastedWorkMicros) {
    }

    private String name(int node) {
        return plan.nodes().get(node).name();
    }

    private static long pair(int proxy, int node) {
        return (long) proxy << 32 | node;
    }

    private static String cut(String text) {
        String plain = text.replaceAll("[^ -~]", "?");
        return plain.length() > 60 ? plain.substring(0, 60) + "..." : plain;
    }
}
