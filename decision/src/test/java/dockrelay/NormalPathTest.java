package dockrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.Limits;
import dockrelay.Balancer.Outcome;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Redundant-to-Idle-Queue: the handling of requests while there are no failures. */
class NormalPathTest {
    private static final int REQUESTS = 400;

    /** A host on which hedges have won often, so that there are credits for copies. */
    private static Host createWithCopies(Limits limits) {
        Host host = Host.create(Host.settings(limits, false, List.of()), 3).withBackends(40);
        host.warmUp(60);
        for (int i = 0; i < 80; i++) {
            String id = "stall-" + i;
            host.request(id, "safe");
            host.advance(60 * Host.MS);
            host.answer(id, host.sentTo(id).size() - 1, 20 * Host.MS);
            for (int j = 0; j < 6; j++) {
                host.requestAndAnswer("between-" + i + "-" + j, "safe");
            }
        }
        return host;
    }

    @Test
    void idempotentRequestIsCopiedToIdleBackendsAndLosersAreCancelled() {
        Host host = createWithCopies(Host.limits());
        int copied = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            host.request(id, "safe");
            List<Long> sent = host.sentTo(id);
            assertEquals(sent.size(), new HashSet<>(sent).size(), "copies must go to distinct backends");
            assertTrue(sent.size() <= 3, "expected at most one copy less than the attempt limit");
            if (sent.size() > 1) {
                copied++;
                host.answer(id, 1, 20 * Host.MS);
                assertTrue(host.cancels.get(id).contains(0), "the losing attempt must be cancelled");
                assertFalse(host.cancels.get(id).contains(1), "the winning attempt must not be cancelled");
            } else {
                host.endAttempt(id, 0, Outcome.OK, 20 * Host.MS);
            }
            host.now += 20 * Host.MS;
        }
        assertTrue(copied > REQUESTS / 4, "too few requests copied at low load: " + copied);
    }

    @Test
    void errorOfOneCopyDoesNotEndTheRequest() {
        Host host = createWithCopies(Host.limits());
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            host.request(id, "safe");
            if (host.sentTo(id).size() > 1) {
                host.endAttempt(id, 0, Outcome.ERROR, 5 * Host.MS);
                assertEquals(0, host.finalAnswerCount(id));
                assertFalse(host.cancels.containsKey(id));
                return;
            }
            host.endAttempt(id, 0, Outcome.OK, 20 * Host.MS);
            host.now += 20 * Host.MS;
        }
        throw new AssertionError("no request was copied");
    }

    @Test
    void nothingIsCopiedOrCancelledWithoutPermission() {
        Host host = createWithCopies(new Limits(4, false, false, false, false));
        for (int i = 0; i < REQUESTS; i++) {
            host.requestAndAnswer("r" + i, "safe");
            assertEquals(1, host.sentTo("r" + i).size());
        }
        assertTrue(host.cancels.isEmpty());
        assertEquals(0, host.probes);
        assertTrue(host.messages.isEmpty());
    }

    @Test
    void deduplicatedAndAtMostOnceRequestsAreNotCopied() {
        Host host = createWithCopies(Host.limits());
        for (int i = 0; i < REQUESTS; i++) {
            host.requestAndAnswer("u" + i, "unsafe");
            host.requestAndAnswer("k" + i, "keyed-all");
            assertEquals(1, host.sentTo("u" + i).size());
            assertEquals(1, host.sentTo("k" + i).size());
        }
    }

    @Test
    void allReadyBackendsAreUsed() {
        Host host = Host.createDefault().withBackends(12);
        for (int i = 0; i < REQUESTS; i++) {
            host.requestAndAnswer("r" + i, "safe");
        }
        Set<Long> used = new TreeSet<>();
        host.sends.values().forEach(used::addAll);
        assertEquals(12, used.size());
    }

    @Test
    void idleBackendIsPreferred() {
        Host host = Host.createDefault().withBackends(3);
        host.warmUp(60);
        host.request("a", "unsafe");
        host.request("b", "unsafe");
        host.request("c", "unsafe");
        Set<Long> used = new TreeSet<>();
        for (String id : List.of("a", "b", "c")) {
            used.addAll(host.sentTo(id));
        }
        assertEquals(3, used.size(), "each request must go to an idle backend");
        host.request("d", "unsafe");
        assertEquals(1, host.sentTo("d").size(), "without an idle backend there must be a single attempt");
    }

    @Test
    void sampleGrowsWhileNoBackendInItIsIdle() {
        for (int round = 0; round < 20; round++) {
            Host host = Host.createDefault().withBackends(7);
            host.warmUp(100 + round);
            Set<Long> used = new TreeSet<>();
            for (int i = 0; i < 7; i++) {
                host.request("d" + i, "unsafe");
                used.addAll(host.sentTo("d" + i));
            }
            assertEquals(7, used.size(), "each request must go to an idle backend: " + used);
        }
    }

    @Test
    void backendWithoutAnAnswerSinceItsStartIsNotIdle() {
        Host host = Host.createDefault().withBackends(2);
        host.warmUp(60);
        host.updateBackends(Host.backend(3, Balancer.Phase.READY, host.now - 9 * Host.SECOND));
        for (int i = 0; i < 50; i++) {
            host.requestAndAnswer("r" + i, "unsafe");
            assertNotEquals(3L, host.sentTo("r" + i).get(0),
                "a backend without an answer must not be preferred to idle ones");
        }
    }

    @Test
    void backendThatRecentlyReportedAQueueIsNotIdle() {
        Host host = Host.createDefault().withBackends(3);
        host.warmUp(60);
        host.request("r", "unsafe");
        long queuedBackend = host.sentTo("r").get(0);
        host.balancer.onOutcome(host.now, "r", 0, queuedBackend, Outcome.OK, 20 * Host.MS, true,
            new Balancer.LoadReport(3, 2, Double.NaN, Double.NaN, Double.NaN, Double.NaN));
        for (int i = 0; i < 20; i++) {
            host.requestAndAnswer("q" + i, "unsafe");
            assertNotEquals(queuedBackend, host.sentTo("q" + i).get(0),
                "a backend with a queue must not be preferred to idle ones");
        }
    }

    @Test
    void namesDoNotAffectDecisions() {
        assertEquals(run("safe", "a").actions, run("safe", "a").actions,
            "the same seed must give the same actions");
        Balancer.ServiceClass firstClass = Host.serviceClass("alpha", Balancer.Idempotency.IDEMPOTENT,
            Balancer.DedupScope.ALL);
        Balancer.ServiceClass secondClass = Host.serviceClass("omega", Balancer.Idempotency.IDEMPOTENT,
            Balancer.DedupScope.ALL);
        assertEquals(runWithNames(firstClass, "north", "x").actions,
            runWithNames(secondClass, "south", "y").actions);
    }

    private static Host run(String serviceClass, String unused) {
        Host host = Host.createDefault().withBackends(9);
        for (int i = 0; i < REQUESTS; i++) {
            host.requestAndAnswer("r" + i, serviceClass);
        }
        return host;
    }

    private static Host runWithNames(Balancer.ServiceClass service, String zone, String tenant) {
        Balancer.Settings base = Host.settings(Host.limits(), false, List.of());
        Balancer.Settings settings = new Balancer.Settings(4, 0, zone, List.of(service),
            List.of(new Balancer.Tenant(tenant, 100)), false, Host.limits(),
            base.rules(), base.crossZonePrice());
        Host host = Host.create(settings, 11);
        host.balancer.onBackendList(host.now, Balancer.ListUpdateType.CACHED, List.of(
            new Balancer.Backend(1, zone, "k", 0, Balancer.Phase.READY, 1, 0),
            new Balancer.Backend(2, zone, "k", 0, Balancer.Phase.READY, 1, 0),
            new Balancer.Backend(3, zone + "2", "k", 0, Balancer.Phase.READY, 1, 0)));
        for (int i = 0; i < REQUESTS; i++) {
            host.balancer.onRequest(host.now, new Balancer.Request("r" + i, service.name(), tenant, null,
                600 * Host.MS, 0, false));
            host.advance(7 * Host.MS);
            for (int attempt = 0; attempt < host.sentTo("r" + i).size(); attempt++) {
                host.endAttempt("r" + i, attempt, attempt == 0 ? Outcome.OK : Outcome.CANCELLED, 7 * Host.MS);
            }
        }
        return host;
    }
}
