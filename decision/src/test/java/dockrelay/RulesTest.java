package dockrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Phase;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules for answers, repeats, drains and cold backends, with scripted events. */
class RulesTest {
    @Test
    void requestWithoutAnyBackendIsRefusedAtOnce() {
        Host host = Host.createDefault();
        host.request("none", "unsafe");
        assertEquals(List.of("none"), host.refused);
        host.withBackends(3).updateBackends(Host.backend(1, Phase.DRAINING, 0),
            Host.backend(2, Phase.DRAINING, 0), Host.backend(3, Phase.GONE, 0));
        host.request("drained", "safe");
        assertEquals(List.of("none", "drained"), host.refused);
        assertTrue(host.sends.isEmpty());
    }

    @Test
    void zeroTimeBudgetIsRefusedAndTinyOneAnsweredOnce() {
        Host host = Host.createDefault().withBackends(3);
        host.balancer.onRequest(host.now, new Balancer.Request("zero", "safe", null, null, 0, 0, false));
        assertEquals(1, host.finalAnswerCount("zero"));
        host.balancer.onRequest(host.now, new Balancer.Request("tiny", "safe", null, null, 1, 0, false));
        host.now += 1;
        host.endAttempt("tiny", 0, Outcome.TIMEOUT, 1);
        assertEquals(1, host.finalAnswerCount("tiny"));
        assertEquals(1, host.sentTo("tiny").size());
    }

    @Test
    void exhaustedAttemptsGiveOneAnswer() {
        Host host = Host.createDefault().withBackends(9);
        host.request("r", "safe");
        for (int attempt = 0; attempt < host.sentTo("r").size(); attempt++) {
            host.now += Host.MS;
            host.endAttempt("r", attempt, Outcome.REJECTED, Host.MS);
        }
        assertTrue(host.sentTo("r").size() <= 4);
        assertEquals(1, host.finalAnswerCount("r"));
    }

    @Test
    void nothingIsSentForAClosedRequest() {
        Host host = Host.createDefault().withBackends(9);
        host.request("r", "safe");
        host.balancer.onClientDisconnected(host.now, "r");
        assertEquals(List.of(0), host.cancels.get("r"));
        host.endAttempt("r", 0, Outcome.ERROR, Host.MS);
        host.advance(Host.SECOND);
        assertEquals(1, host.sentTo("r").size());
        assertEquals(0, host.finalAnswerCount("r"),
            "a request needs no answer after the client disconnected");
    }

    @Test
    void eventsForUnknownIdsAreIgnored() {
        Host host = Host.createDefault().withBackends(2);
        int before = host.actions.size();
        host.balancer.onOutcome(host.now, "ghost", 0, 1, Outcome.ERROR, 1, false, null);
        host.balancer.onClientDisconnected(host.now, "ghost");
        host.balancer.onStreamStart(host.now, "ghost", 0, 1, 1);
        host.balancer.onTimer(host.now, 987654);
        host.balancer.onProbeResult(host.now, 77, Outcome.OK, 1, null);
        host.balancer.onPeerMessage(host.now, 2, "garbled");
        assertEquals(before, host.actions.size());
    }

    @Test
    void atMostOnceRequestIsRepeatedOnlyIfProvenNotExecuted() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            Host host = Host.createDefault().withBackends(9);
            host.request("r", "unsafe");
            host.advance(500 * Host.MS);
            assertEquals(1, host.sentTo("r").size(), "an at-most-once request must not be hedged");
            host.endAttempt("r", 0, outcome, Host.MS);
            if (outcome.provesNotExecuted()) {
                assertEquals(2, host.sentTo("r").size(), outcome.toString());
            } else {
                assertEquals(1, host.sentTo("r").size(), outcome.toString());
                assertEquals(List.of("r"), host.failed,
                    "must fail, as a refusal would promise that a retry is safe");
            }
        }
    }

    @Test
    void unknownClassIsTreatedAsAtMostOnce() {
        Host host = Host.createDefault().withBackends(9);
        host.request("r", "unknown");
        host.endAttempt("r", 0, Outcome.ERROR, Host.MS);
        assertEquals(List.of("r"), host.failed);
    }

    @Test
    void deduplicatedRequestStaysInItsScope() {
        Host host = Host.createDefault().withBackends(40);
        for (int i = 0; i < 200; i++) {
            for (String name : List.of("keyed-all", "keyed-zone", "keyed-cell")) {
                String id = name + i;
                host.request(id, name);
                host.now += Host.MS;
                for (int attempt = 0; attempt < host.sentTo(id).size(); attempt++) {
                    host.endAttempt(id, attempt, Outcome.ERROR, Host.MS);
                }
                for (long backend : host.sentTo(id)) {
                    long first = host.sentTo(id).get(0);
                    if (name.equals("keyed-zone")) {
                        assertEquals(first % 2, backend % 2, "must be repeated in the same zone");
                    } else if (name.equals("keyed-cell")) {
                        assertEquals(first % 4, backend % 4, "must be repeated in the same cell");
                    }
                }
                host.requestAndAnswer("calm" + id, "safe");
            }
        }
        assertTrue(host.refused.stream().allMatch(id -> id.startsWith("keyed-all") || id.startsWith("calm")));
        assertTrue(host.failed.stream().noneMatch(id -> id.startsWith("keyed-all")));
        assertFalse(host.failed.isEmpty());
    }

    /** A backend's id moves to another zone and cell while an attempt is in flight there. */
    @Test
    void retryUsesTheScopeOfTheFirstAttemptAtItsSend() {
        Host host = Host.createDefault().withBackends(40);
        for (int i = 0; i < 200; i++) {
            for (String name : List.of("keyed-zone", "keyed-cell")) {
                String id = name + i;
                host.request(id, name);
                long first = host.sentTo(id).get(0);
                host.updateBackends(new Balancer.Backend(first, first % 2 == 0 ? "b" : "a", "small",
                    (first + 1) % 4, Phase.READY, 1, host.now));
                host.now += Host.MS;
                for (int attempt = 0; attempt < host.sentTo(id).size(); attempt++) {
                    host.endAttempt(id, attempt, Outcome.ERROR, Host.MS);
                    for (long backend : host.sentTo(id)) {
                        int scopes = name.equals("keyed-zone") ? 2 : 4;
                        assertEquals(first % scopes, backend % scopes,
                            "must be repeated in the scope of the first attempt");
                    }
                }
                host.updateBackends(Host.backend(first, Phase.READY, 0));
                host.requestAndAnswer("calm" + id, "safe");
            }
        }
        assertTrue(host.sends.keySet().stream().filter(id -> id.startsWith("keyed"))
            .anyMatch(id -> host.sentTo(id).size() > 1), "no request was repeated");
    }

    /** Failures of an earlier process must not count against the process that has its id now. */
    @Test
    void failuresOfAnEarlierProcessDoNotEject() {
        Host host = Host.createDefault().withBackends(1);
        host.warmUp(60);
        for (int i = 0; i < 8; i++) {
            host.request("old" + i, "unsafe");
        }
        host.updateBackends(Host.backend(1, Phase.READY, host.now));
        host.advance(4 * Host.SECOND);
        for (int i = 0; i < 8; i++) {
            if (!host.sentTo("old" + i).isEmpty()) {
                host.advance(Host.SECOND / 2);
                host.endAttempt("old" + i, 0, Outcome.RESET, Host.SECOND);
            }
        }
        assertTrue(host.balancer.status(host.now).contains("ejections=0;"), host.balancer.status(host.now));
    }

    @Test
    void deduplicatedRequestIsNotRetriedAfterItsWindow() {
        Host host = Host.createDefault().withBackends(9);
        host.request("r", "keyed-all");
        host.now += 400 * Host.MS;
        host.endAttempt("r", 0, Outcome.ERROR, 400 * Host.MS);
        assertEquals(1, host.sentTo("r").size(),
            "must not be repeated after the deduplication window of 400 ms");
        assertEquals(1, host.finalAnswerCount("r"));
    }

    @Test
    void drainingOrGoneBackendGetsNoNewRequests() {
        Host host = Host.createDefault().withBackends(6);
        host.updateBackends(Host.backend(1, Phase.DRAINING, 0), Host.backend(2, Phase.GONE, 0));
        host.balancer.onBackendList(host.now, ListUpdateType.FAILED, List.of());
        for (int i = 0; i < 300; i++) {
            host.requestAndAnswer("r" + i, "safe");
        }
        host.balancer.onBackendList(host.now, ListUpdateType.FULL, List.of(Host.backend(5, Phase.READY, 0),
            Host.backend(6, Phase.READY, 0)));
        int before = host.sends.size();
        for (int i = 0; i < 300; i++) {
            host.requestAndAnswer("s" + i, "safe");
            for (long backend : host.sentTo("s" + i)) {
                assertTrue(backend >= 5, "backends missing in a full list must get no requests");
            }
        }
        assertTrue(host.sends.size() > before);
        for (List<Long> sent : host.sends.values()) {
            assertFalse(sent.contains(1L) || sent.contains(2L));
        }
    }

    @Test
    void discoveryIsSubscribedOnceAndAgainWithBackoffAfterFailures() {
        Host host = Host.create(Host.settings(Host.limits(), true, List.of()), 5);
        host.withBackends(3);
        assertEquals(0, host.subscriptions,
            "the first call must be delayed, so that proxies do not call at once");
        host.advance(2 * Host.SECOND);
        assertEquals(1, host.subscriptions);
        host.advance(20 * Host.SECOND);
        assertEquals(1, host.subscriptions, "must not call again while the first call is not answered");
        int expected = 1;
        for (int i = 0; i < 6; i++) {
            host.balancer.onBackendList(host.now, ListUpdateType.FAILED, List.of());
            assertEquals(expected, host.subscriptions, "must not call at once after a failure");
            host.advance(10 * Host.SECOND);
            assertEquals(++expected, host.subscriptions, "must call again within the allowed time");
        }
        host.balancer.onBackendList(host.now, ListUpdateType.DELTA, List.of());
        host.advance(60 * Host.SECOND);
        assertEquals(expected, host.subscriptions);
    }

    @Test
    void discoveryCallsAfterAFailureHaveFullJitter() {
        double min = Double.MAX_VALUE;
        double max = 0;
        for (int seed = 0; seed < 60; seed++) {
            Host host = Host.create(Host.settings(Host.limits(), true, List.of()), seed);
            host.withBackends(3);
            host.advance(2 * Host.SECOND);
            host.balancer.onBackendList(host.now, ListUpdateType.FAILED, List.of());
            double waitedSteps = 0;
            while (host.subscriptions < 2) {
                host.advance(10 * Host.MS);
                waitedSteps++;
            }
            min = Math.min(min, waitedSteps);
            max = Math.max(max, waitedSteps);
        }
        assertTrue(min < max / 5, min + " to " + max);
    }

    @Test
    void coldBackendGetsNoMoreThanItsShareOfTheOverloadLimit() {
        Host host = Host.createDefault().withBackends(4);
        for (int i = 0; i < 1000; i++) {
            host.requestAndAnswer("r" + i, "unsafe");
            host.requestAndAnswer("w" + i, "safe");
        }
        long startedAt = host.now;
        host.updateBackends(Host.backend(9, Phase.READY, startedAt));
        // No request is answered, so every backend is busy and the cold one is used as often as allowed.
        int coldSends = 0;
        for (int i = 0; i < 200; i++) {
            host.request("o" + i, "unsafe");
            coldSends += host.sentTo("o" + i).contains(9L) ? 1 : 0;
            host.now += 5 * Host.MS;
        }
        // Four warm backends answer 50 requests per second, 12 each. A cold one has a quarter of the capacity
        // of these, 3, and four proxies together may send it 3 times that in any second.
        assertTrue(coldSends <= 12, "too many sends to the cold backend within a second: " + coldSends);
    }

    @Test
    void coldBackendGetsNoCopiesOrHedges() {
        Host host = Host.createDefault().withBackends(4);
        host.warmUp(100);
        host.updateBackends(Host.backend(9, Phase.READY, host.now));
        for (int i = 0; i < 200; i++) {
            host.request("r" + i, "safe");
            host.advance(150 * Host.MS);
            List<Long> sent = host.sentTo("r" + i);
            for (int attempt = 1; attempt < sent.size(); attempt++) {
                assertFalse(sent.get(attempt) == 9L,
                    "redundant attempt to the cold backend: " + attempt + " of request " + i);
            }
            for (int attempt = 0; attempt < sent.size(); attempt++) {
                host.endAttempt("r" + i, attempt, attempt == 0 ? Outcome.OK : Outcome.CANCELLED,
                    150 * Host.MS);
            }
            host.updateBackends(Host.backend(9, Phase.READY, host.now));
        }
    }

    @Test
    void restrictedClassUsesOnlyAllowedBackendsAtEveryAttempt() {
        Host host = Host.createDefault().withBackends(60);
        for (int i = 0; i < 300; i++) {
            String id = "b" + i;
            host.request(id, "bound");
            host.advance(120 * Host.MS); // time for a hedge
            for (int attempt = 0; attempt < host.sentTo(id).size(); attempt++) {
                host.endAttempt(id, attempt, i % 2 == 0 ? Outcome.OK : Outcome.ERROR, 120 * Host.MS);
            }
            for (long backend : host.sentTo(id)) {
                assertTrue(backend % 2 == 0 && backend % 3 != 0,
                    "must use zone a and kind small only: " + backend);
            }
            host.request("n" + i, "nowhere");
            assertEquals(List.of(), host.sentTo("n" + i));
            assertEquals(1, host.finalAnswerCount("n" + i),
                "a class without any allowed backend must be answered at once");
        }
        assertTrue(host.sends.values().stream().anyMatch(sent -> sent.size() > 1),
            "no request had further attempts");
    }

    @Test
    void restrictedClassIsAnsweredWhileAllItsBackendsAreDown() {
        Host host = Host.createDefault().withBackends(6);
        host.updateBackends(Host.backend(2, Phase.GONE, 0), Host.backend(4, Phase.GONE, 0));
        for (int i = 0; i < 50; i++) {
            host.request("b" + i, "bound");
            assertEquals(1, host.finalAnswerCount("b" + i));
            host.requestAndAnswer("s" + i, "safe");
            assertFalse(host.sentTo("s" + i).isEmpty(), "other classes must be served");
        }
        host.updateBackends(Host.backend(4, Phase.READY, 0));
        host.request("back", "bound");
        assertEquals(List.of(4L), host.sentTo("back"));
    }

    @Test
    void restrictedClassGetsAFullSample() {
        Host host = Host.createDefault().withBackends(6); // the class may use 2 and 4 only
        host.request("a", "bound");
        host.request("b", "bound");
        assertNotEquals(host.sentTo("a"), host.sentTo("b"), "the second request must go to the idle backend");
    }

    @Test
    void idleConnectionsToADrainingBackendAreClosedAtOnceAndAfterLateAttempts() {
        for (ListUpdateType type : List.of(ListUpdateType.DELTA, ListUpdateType.FULL,
            ListUpdateType.CACHED)) {
            for (Phase laterPhase : Phase.values()) {
                Host host = Host.createDefault().withBackends(1);
                host.request("r", "unsafe");
                host.balancer.onBackendList(host.now, type, List.of(Host.backend(1, Phase.DRAINING, 0)));
                assertEquals(1, host.actions.stream().filter("close-idle 1"::equals).count(),
                    "idle connections must be closed at the drain notice");
                host.advance(300 * Host.MS);
                host.updateBackends(Host.backend(1, laterPhase, 0));
                host.endAttempt("r", 0, Outcome.OK, 300 * Host.MS);
                assertEquals("close-idle 1", host.actions.get(host.actions.size() - 1),
                    type + ", then " + laterPhase);
            }
        }
    }

    @Test
    void proxiesDoNotSendABurstToAJustStartedBackend() {
        for (long id : List.of(9L, 1L)) { // a new one, and one restarted under its id
            int burstSends = 0;
            int laterSends = 0;
            for (int seed = 1; seed <= 60; seed++) {
                Host host = Host.create(Host.settings(Host.limits(), false, List.of()), seed).withBackends(8);
                host.warmUp(200);
                host.updateBackends(Host.backend(id, Phase.READY, host.now));
                for (int i = 0; i < 40; i++) {
                    host.request("now" + i, "unsafe");
                    burstSends += host.sentTo("now" + i).contains(id) ? 1 : 0;
                }
                for (String sent : new ArrayList<>(host.sends.keySet())) {
                    if (sent.startsWith("now")) {
                        host.endAttempt(sent, 0, Outcome.OK, 20 * Host.MS);
                    }
                }
                host.advance(500 * Host.MS);
                for (int i = 0; i < 40; i++) {
                    host.request("later" + i, "unsafe");
                    laterSends += host.sentTo("later" + i).contains(id) ? 1 : 0;
                }
            }
            assertEquals(0, burstSends,
                "tokens must start at the notice: sixty full buckets would overload the backend");
            assertTrue(laterSends > 0, "the backend must be used later");
        }
    }
}
