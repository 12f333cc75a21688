package dockrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.Limits;
import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Phase;
import dockrelay.Balancer.Request;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Checks all rules with seeded random events, and that equal events and seeds give equal actions. */
class RandomEventsTest {
    private static final String[] CLASSES = {"safe", "unsafe", "keyed-all", "keyed-zone", "keyed-cell",
        "bound", "nowhere"};
    private static final int EVENTS = 6000;

    /** A fault injected into the policy's actions, to verify that the checker detects it. */
    private enum Fault { NONE, SEND_TWICE, ALWAYS_REFUSE, ALWAYS_FIRST_BACKEND, NO_ANSWER,
        CONNECTIONS_LEFT_OPEN, WRONG_BACKEND, COLD_OVERLOAD }

    private static RuleChecker run(long seed, Limits limits, Fault fault, List<String> actions) {
        Balancer.Settings settings = Host.settings(limits, seed % 2 == 0,
            seed % 3 == 0 ? List.of(new Balancer.Tenant("t", 50)) : List.of());
        Host host = new Host();
        RuleChecker checker = new RuleChecker(settings, host);
        checker.now = host.now;
        Balancer.Actions faultyActions = new FaultyActions(checker, fault);
        Balancer balancer = new RiqBalancer(settings, seed, faultyActions);
        host.balancer = balancer;
        Random random = new Random(seed);
        List<Long> deadlines = new ArrayList<>();
        List<String> requestIds = new ArrayList<>();
        List<Backend> backends = new ArrayList<>();
        for (int id = 1; id <= 8; id++) {
            backends.add(Host.backend(id, Phase.READY, 0));
        }
        checker.updateBackends(ListUpdateType.CACHED, backends);
        balancer.onBackendList(host.now, ListUpdateType.CACHED, backends);
        List<int[]> activeAttempts = new ArrayList<>();
        for (int i = 0; i < EVENTS || !activeAttempts.isEmpty(); i++) {
            long step = random.nextInt(8) * Host.MS;
            long until = host.now + step;
            while (!host.timers.isEmpty() && host.timers.firstKey() <= until) {
                var due = host.timers.pollFirstEntry();
                host.now = Math.max(host.now, due.getKey());
                checker.advanceTo(host.now);
                for (long token : due.getValue()) {
                    balancer.onTimer(host.now, token);
                }
                collectSends(host, requestIds, activeAttempts);
            }
            host.now = until;
            checker.advanceTo(until);
            for (int index = 0; index < activeAttempts.size(); index++) { // time-outs are due first
                if (host.now >= deadlines.get(activeAttempts.get(index)[0])) {
                    endAttempt(host, checker, balancer, requestIds, activeAttempts, index--, Outcome.TIMEOUT,
                        deadlines);
                    collectSends(host, requestIds, activeAttempts);
                }
            }
            int choice = random.nextInt(100);
            if (choice < 40 && i < EVENTS) {
                String id = "r" + requestIds.size();
                Request request = new Request(id, CLASSES[random.nextInt(CLASSES.length)],
                    random.nextBoolean() ? "t" : null, null, random.nextInt(10) == 0 ? random.nextInt(3)
                    : 300 * Host.MS + random.nextInt(300_000), 0, false);
                requestIds.add(id);
                deadlines.add(host.now + request.timeBudget());
                checker.addRequest(request);
                balancer.onRequest(host.now, request);
            } else if (choice < 90 && !activeAttempts.isEmpty()) {
                Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK
                    : Outcome.values()[random.nextInt(Outcome.values().length)];
                endAttempt(host, checker, balancer, requestIds, activeAttempts,
                    random.nextInt(activeAttempts.size()), outcome, deadlines);
            } else if (choice < 92 && i < EVENTS) {
                long id = 1 + random.nextInt(9);
                Phase phase = Phase.values()[random.nextInt(3)];
                Backend entry = Host.backend(id, random.nextBoolean() ? Phase.READY : phase,
                    random.nextBoolean() ? host.now - random.nextInt(5_000_000) : 0);
                checker.updateBackends(ListUpdateType.DELTA, List.of(entry));
                balancer.onBackendList(host.now, ListUpdateType.DELTA, List.of(entry));
            } else if (choice < 93) {
                balancer.onBackendList(host.now, ListUpdateType.FAILED, List.of());
            } else if (choice < 95 && !requestIds.isEmpty()) {
                String id = requestIds.get(requestIds.size() - 1);
                if (host.finalAnswerCount(id) == 0
                    && activeAttempts.stream().anyMatch(active -> id.equals(requestIds.get(active[0])))) {
                    checker.clientDisconnected(id);
                    balancer.onClientDisconnected(host.now, id);
                }
            } else if (choice < 97) {
                balancer.onPeerMessage(host.now, random.nextInt(6), random.nextBoolean() ? "40" : "x y");
            }
            collectSends(host, requestIds, activeAttempts);
        }
        checker.checkAllAnswered();
        actions.addAll(host.actions);
        return checker;
    }

    /** Adds the attempts sent since the last call to the active ones. */
    private static void collectSends(Host host, List<String> requestIds, List<int[]> activeAttempts) {
        for (; host.processedActions < host.actions.size(); host.processedActions++) {
            String[] parts = host.actions.get(host.processedActions).split(" ");
            if (parts[0].equals("send")) {
                int requestIndex = Integer.parseInt(parts[1].substring(1));
                int activeCount = (int) activeAttempts.stream()
                    .filter(active -> active[0] == requestIndex).count();
                activeAttempts.add(new int[] {requestIndex,
                    host.attemptCounts.merge(parts[1], 1, Integer::sum) - 1});
                assertTrue(activeCount < 10);
            }
        }
    }

    private static void endAttempt(Host host, RuleChecker checker, Balancer balancer, List<String> requestIds,
        List<int[]> activeAttempts, int index, Outcome outcome, List<Long> deadlines) {
        int[] attempt = activeAttempts.remove(index);
        String id = requestIds.get(attempt[0]);
        boolean wasClosed = host.finalAnswerCount(id) > 0 || host.answered.contains(id);
        if (outcome == Outcome.OK) {
            host.answered.add(id);
        }
        checker.endAttempt(id, attempt[1], outcome);
        balancer.onOutcome(host.now, id, attempt[1], host.sentTo(id).get(attempt[1]), outcome, 10 * Host.MS,
            wasClosed || outcome == Outcome.OK, null);
    }

    /** Passes actions on, with one fault injected. */
    private record FaultyActions(Balancer.Actions delegate, Fault fault) implements Balancer.Actions {
        @Override
        public void send(String requestId, long backend, long timeout) {
            long target = fault == Fault.ALWAYS_FIRST_BACKEND ? 1 : fault == Fault.COLD_OVERLOAD ? 9
                : fault == Fault.WRONG_BACKEND ? backend % 8 + 1 : backend;
            delegate.send(requestId, target, timeout);
            if (fault == Fault.SEND_TWICE) {
                delegate.send(requestId, backend, timeout);
            }
        }

        @Override
        public void cancel(String requestId, int attempt) {
            delegate.cancel(requestId, attempt);
        }

        @Override
        public void refuse(String requestId, long retryAfter) {
            if (fault != Fault.NO_ANSWER) {
                delegate.refuse(requestId, retryAfter);
            }
        }

        @Override
        public void fail(String requestId) {
            if (fault == Fault.ALWAYS_REFUSE) {
                delegate.refuse(requestId, 0);
            } else {
                delegate.fail(requestId);
            }
        }

        @Override
        public void setTimer(long delay, long token) {
            delegate.setTimer(delay, token);
        }

        @Override
        public void probe(long backend) {
            delegate.probe(backend);
        }

        @Override
        public void closeIdleConnections(long backend) {
            if (fault != Fault.CONNECTIONS_LEFT_OPEN) {
                delegate.closeIdleConnections(backend);
            }
        }

        @Override
        public void subscribe() {
            delegate.subscribe();
        }

        @Override
        public void broadcastToPeers(String message) {
            delegate.broadcastToPeers(message);
        }
    }

    @Test
    void allRulesHoldForRandomEvents() {
        for (long seed = 1; seed <= 30; seed++) {
            Limits limits = seed % 5 == 0 ? new Limits(3, false, false, false, false)
                : Host.limits();
            List<String> actions = new ArrayList<>();
            assertEquals(List.of(), run(seed, limits, Fault.NONE, actions).violations, "seed " + seed);
            assertTrue(actions.size() > EVENTS / 4, "too few actions");
        }
    }

    @Test
    void checkerDetectsEachFault() {
        for (Fault fault : Fault.values()) {
            if (fault != Fault.NONE) {
                assertFalse(run(4, Host.limits(), fault, new ArrayList<>()).violations.isEmpty(),
                    fault.toString());
            }
        }
    }

    @Test
    void sameEventsAndSeedGiveSameActions() {
        List<String> firstRun = new ArrayList<>();
        List<String> secondRun = new ArrayList<>();
        run(6, Host.limits(), Fault.NONE, firstRun);
        run(6, Host.limits(), Fault.NONE, secondRun);
        assertEquals(firstRun, secondRun);
    }
}
