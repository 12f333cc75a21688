package dockrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Phase;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Regression tests, one for each failure that was found in simulations, with scripted events. */
class FailureScenariosTest {
    @Test
    void stalledAttemptIsHedgedBeforeTheLatencyTarget() {
        Host host = Host.createDefault().withBackends(9);
        host.warmUp(100);
        host.request("r", "safe");
        int firstAttempts = host.sentTo("r").size();
        host.advance(100 * Host.MS);
        List<Long> sent = host.sentTo("r");
        assertTrue(sent.size() > firstAttempts, "must be hedged within half of the latency target of 200 ms");
        assertEquals(sent.size(), sent.stream().distinct().count());
    }

    @Test
    void hedgesDoNotAmplifyOverload() {
        Host host = Host.createDefault().withBackends(30);
        host.warmUp(60);
        int requests = 0;
        int sends = 0;
        for (int i = 0; i < 2000; i++) {
            String id = "slow" + i;
            host.request(id, "safe");
            host.advance(180 * Host.MS);
            if (!host.sentTo(id).isEmpty() && i > 500) {
                requests++;
                sends += host.sentTo(id).size();
            }
            if (!host.sentTo(id).isEmpty()) {
                host.answer(id, 0, 180 * Host.MS);
            }
        }
        assertTrue(requests > 50, "too few requests admitted: " + requests);
        assertTrue(sends <= requests * 1.15, sends + " sends for " + requests + " requests");
    }

    @Test
    void retriesAreLimitedByABudget() {
        Host host = Host.createDefault().withBackends(30);
        host.warmUp(60);
        int sends = 0;
        int requests = 0;
        for (int i = 0; i < 1000; i++) {
            String id = "bad" + i;
            host.request(id, "safe");
            for (int attempt = 0; attempt < host.sentTo(id).size(); attempt++) {
                host.endAttempt(id, attempt, Outcome.ERROR, Host.MS);
            }
            host.now += 5 * Host.MS;
            if (i > 100 && !host.sentTo(id).isEmpty()) {
                requests++;
                sends += host.sentTo(id).size();
            }
        }
        assertTrue(requests > 100);
        assertTrue(sends <= requests * 1.4, sends + " sends for " + requests + " requests");
    }

    @Test
    void hungBackendIsEjectedAndRestoredByATrial() {
        Host host = Host.createDefault().withBackends(6);
        host.warmUp(100);
        int[] sendsToHung = new int[2];
        for (int i = 0; i < 600; i++) {
            String id = "h" + i;
            host.request(id, "safe");
            host.advance(15 * Host.MS);
            boolean hung = host.sentTo(id).get(0) == 1L;
            sendsToHung[i < 300 ? 0 : 1] += hung ? 1 : 0;
            host.advance(hung ? 100 * Host.MS : 0);
            for (int attempt = 0; attempt < host.sentTo(id).size(); attempt++) {
                boolean works = host.sentTo(id).get(attempt) != 1L;
                host.endAttempt(id, attempt, works ? Outcome.OK : Outcome.CANCELLED, 20 * Host.MS);
            }
        }
        assertTrue(sendsToHung[1] < 25,
            "of 300 requests about 50 would go to the hung backend without ejection: " + sendsToHung[1]);
        int sendsAfterRecovery = 0;
        for (int i = 0; i < 2000; i++) {
            host.requestAndAnswer("b" + i, "safe");
            sendsAfterRecovery += i > 1500 && host.sentTo("b" + i).contains(1L) ? 1 : 0;
        }
        assertTrue(sendsAfterRecovery > 40, "the backend must be used again once it answers: "
            + sendsAfterRecovery);
    }

    /** An overloaded last backend would stay slow for long, and would be ejected next. */
    @Test
    void lastRemainingBackendIsNotOverloaded() {
        Host host = Host.createDefault().withBackends(8);
        host.warmUp(600);
        for (int i = 0; i < 60; i++) {
            String id = "c" + i;
            host.request(id, "safe");
            for (int attempt = 0; attempt < host.sentTo(id).size(); attempt++) {
                boolean isRemaining = host.sentTo(id).get(attempt) == 8;
                host.endAttempt(id, attempt, isRemaining ? Outcome.OK : Outcome.CONNECT_FAILURE, Host.MS);
            }
        }
        int sendsBefore = host.sends.values().stream().mapToInt(sent -> sent.contains(8L) ? 1 : 0).sum();
        int admitted = 0;
        for (int i = 0; i < 60; i++) {
            host.request("o" + i, "unsafe");
            admitted += host.sentTo("o" + i).isEmpty() ? 0 : 1;
        }
        int sendsToRemaining = host.sends.values().stream().mapToInt(sent -> sent.contains(8L) ? 1 : 0).sum()
            - sendsBefore;
        assertTrue(sendsToRemaining > 0 && sendsToRemaining <= admitted / 2,
            sendsToRemaining + " of " + admitted);
    }

    @Test
    void rarelySendingProxyEjectsAfterTwoFailuresFarApart() {
        Host host = Host.createDefault().withBackends(10);
        host.warmUp(200);
        int sendsToHung = 0;
        for (int i = 0; i < 80; i++) {
            String id = "r" + i;
            host.request(id, "safe");
            host.advance(15 * Host.MS);
            boolean hung = host.sentTo(id).get(0) == 1L;
            sendsToHung += hung ? 1 : 0;
            host.advance(hung ? 100 * Host.MS : 0);
            for (int attempt = 0; attempt < host.sentTo(id).size(); attempt++) {
                boolean works = host.sentTo(id).get(attempt) != 1L;
                host.endAttempt(id, attempt, works ? Outcome.OK : Outcome.CANCELLED, 20 * Host.MS);
            }
            host.advance(300 * Host.MS); // a backend answers about every three seconds
        }
        assertTrue(sendsToHung >= 1 && sendsToHung <= 3,
            "without ejection a tenth of 80 would go to the hung backend: " + sendsToHung);
    }

    @Test
    void coldBackendIsUsedByBurstyTraffic() {
        Host host = Host.createDefault().withBackends(9);
        host.warmUp(400);
        int coldSends = 0;
        for (int round = 0; round < 5; round++) {
            host.updateBackends(Host.backend(20 + round, Phase.READY, host.now));
            for (int i = 0; i < 100; i++) {
                for (int j = 0; j < 5; j++) {
                    String id = "c" + round + "-" + i + "-" + j;
                    host.request(id, "unsafe");
                    coldSends += host.sentTo(id).contains(20L + round) ? 1 : 0;
                }
                host.advance(30 * Host.MS);
                for (int j = 0; j < 5; j++) {
                    String id = "c" + round + "-" + i + "-" + j;
                    if (!host.sentTo(id).isEmpty()) {
                        host.endAttempt(id, 0, Outcome.OK, 30 * Host.MS);
                    }
                }
            }
        }
        assertTrue(coldSends >= 20, "too few of 2500 sends to cold backends: " + coldSends);
    }

    @Test
    void unreachableBackendIsTriedWithBackoff() {
        Host host = Host.createDefault().withBackends(60); // odd ids are in zone b
        host.warmUp(200);
        int sendsToUnreachable = 0;
        int laterSends = 0;
        for (int i = 0; i < 400; i++) {
            String id = "z" + i;
            host.request(id, "safe");
            for (int attempt = 0; attempt < host.sentTo(id).size(); attempt++) {
                boolean unreachable = i < 200 && host.sentTo(id).get(attempt) % 2 == 1;
                sendsToUnreachable += unreachable ? 1 : 0;
                laterSends += i >= 300 && host.sentTo(id).get(attempt) % 2 == 1 ? 1 : 0;
                host.endAttempt(id, attempt, unreachable ? Outcome.CONNECT_FAILURE : Outcome.OK,
                    20 * Host.MS);
            }
            host.advance(20 * Host.MS);
        }
        assertTrue(sendsToUnreachable >= 4 && sendsToUnreachable <= 80,
            "sends to unreachable backends, of more than 200: " + sendsToUnreachable);
        assertTrue(host.refused.size() <= 10, "connect failures must not use up the retry budget: "
            + host.refused.size());
        assertTrue(laterSends > 20, "the zone must be used again once it answers: " + laterSends);
    }

    /** Counts the sends to a backend among 60 requests that succeed. */
    private static int countNextSendsTo(Host host, long backend, String name) {
        int sends = 0;
        for (int i = 0; i < 60; i++) {
            host.requestAndAnswer(name + i, "unsafe");
            sends += host.sentTo(name + i).contains(backend) ? 1 : 0;
        }
        return sends;
    }

    @Test
    void singleConnectFailureDoesNotExcludeABackend() {
        Host host = Host.createDefault().withBackends(6);
        host.warmUp(200);
        host.request("lost", "unsafe");
        long failedBackend = host.sentTo("lost").get(0);
        host.endAttempt("lost", 0, Outcome.CONNECT_FAILURE, Host.MS);
        host.endAttempt("lost", 1, Outcome.OK, 20 * Host.MS);
        assertTrue(host.sentTo("lost").get(1) != failedBackend, "must be retried at another backend");
        assertTrue(countNextSendsTo(host, failedBackend, "after") > 0);
    }

    @Test
    void simultaneousConnectFailuresCountAsOneAndALaterOneExcludes() {
        Host host = Host.createDefault().withBackends(1);
        host.warmUp(200);
        for (String id : List.of("a", "b", "c")) {
            host.request(id, "unsafe");
        }
        host.now += Host.MS;
        for (String id : List.of("a", "b", "c")) {
            host.endAttempt(id, 0, Outcome.CONNECT_FAILURE, Host.MS);
        }
        host.updateBackends(Host.backend(2, Balancer.Phase.READY, 0),
            Host.backend(3, Balancer.Phase.READY, 0));
        boolean failedAgain = false;
        for (int i = 0; i < 60 && !failedAgain; i++) {
            host.request("again" + i, "unsafe");
            failedAgain = host.sentTo("again" + i).get(0) == 1L;
            host.now += Host.MS;
            host.endAttempt("again" + i, 0, failedAgain ? Outcome.CONNECT_FAILURE : Outcome.OK, Host.MS);
            if (failedAgain) {
                host.endAttempt("again" + i, 1, Outcome.OK, Host.MS);
            }
        }
        assertTrue(failedAgain, "the backend must be tried again after one failure");
        assertEquals(0, countNextSendsTo(host, 1, "shut"));
    }

    @Test
    void statusCountsDecisionsSinceTheLastCall() {
        Host host = Host.createDefault().withBackends(2);
        host.warmUp(20);
        host.request("r", "unsafe");
        host.endAttempt("r", 0, Outcome.CONNECT_FAILURE, Host.MS);
        assertTrue(host.balancer.status(host.now).contains(" retries=1 "), "the retry must be counted");
        assertTrue(host.balancer.status(host.now).contains(" retries=0 "),
            "the counters must be reset by a call");
    }

    @Test
    void ownZoneIsPreferredUnlessItFails() {
        Balancer.Settings base = Host.settings(Host.limits(), false, List.of());
        Host host = Host.create(new Balancer.Settings(base.proxies(), 0, "a", base.classes(), List.of(),
            false, base.limits(), base.rules(),
            0.03), 5).withBackends(20); // even ids are in zone a
        int[] ownZoneSends = new int[2];
        for (int i = 0; i < 1600; i++) {
            String id = "p" + i;
            host.request(id, "unsafe");
            boolean ownZone = host.sentTo(id).get(0) % 2 == 0;
            ownZoneSends[i < 400 ? 0 : 1] += ownZone && (i < 400 || i >= 1200) ? 1 : 0;
            boolean fails = ownZone && i >= 400 && i % 4 == 0;
            host.advance(20 * Host.MS);
            host.endAttempt(id, 0, fails ? Outcome.ERROR : Outcome.OK, 20 * Host.MS);
        }
        assertTrue(ownZoneSends[0] > 300, "sends to the own zone, of 400, while both zones succeed: "
            + ownZoneSends[0]);
        assertTrue(ownZoneSends[1] < 260, "sends to the own zone, of 400, while a quarter fails there: "
            + ownZoneSends[1]);
    }

    @Test
    void fastErrorsDoNotAttractRequests() {
        Host host = Host.createDefault().withBackends(6);
        host.warmUp(100);
        int sendsToFailing = 0;
        for (int i = 0; i < 600; i++) {
            String id = "e" + i;
            host.request(id, "unsafe");
            if (host.sentTo(id).isEmpty()) {
                continue;
            }
            host.now += 5 * Host.MS;
            boolean fails = host.sentTo(id).get(0) == 2L;
            sendsToFailing += fails && i > 100 ? 1 : 0;
            host.endAttempt(id, 0, fails ? Outcome.ERROR : Outcome.OK, fails ? Host.MS : 5 * Host.MS);
        }
        assertTrue(sendsToFailing < 40, "without scoring a sixth of 500 would go to the failing backend: "
            + sendsToFailing);
    }

    @Test
    void mostBackendsStayInUseWhenAllFail() {
        Host host = Host.createDefault().withBackends(10);
        host.warmUp(200);
        List<Long> usedBackends = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            String id = "o" + i;
            host.request(id, "safe");
            host.advance(150 * Host.MS);
            if (i > 1500) {
                usedBackends.addAll(host.sentTo(id));
            }
            if (!host.sentTo(id).isEmpty()) {
                host.answer(id, 0, 150 * Host.MS);
            }
        }
        assertTrue(usedBackends.size() > 20);
        for (long id = 1; id <= 10; id++) {
            final long backend = id;
            long count = usedBackends.stream().filter(backendId -> backendId == backend).count();
            assertTrue(count < usedBackends.size() / 3,
                "a backend must not get the load of all ejected ones: " + count);
        }
    }

    /** The time that long uploads take was taken for overload of the backends, and requests were refused. */
    @Test
    void longUploadsCauseNoShedding() {
        Host host = Host.createDefault().withBackends(10);
        host.warmUp(200);
        for (int i = 0; i < 300; i++) {
            for (int j = 0; j < 10; j++) {
                host.upload("u" + i + "-" + j, "safe");
            }
            host.advance(190 * Host.MS);
            for (int j = 0; j < 10 && host.refused.isEmpty(); j++) {
                host.answer("u" + i + "-" + j, 0, 190 * Host.MS);
            }
        }
        assertEquals(List.of(), host.refused, "refused although no backend is overloaded");
    }

    @Test
    void slowBackendsCauseSheddingThatEndsWithThem() {
        Host host = Host.createDefault().withBackends(10);
        host.warmUp(200);
        int refusedWhileSlow = 0;
        for (int i = 0; i < 300; i++) {
            int refusedBefore = host.refused.size();
            for (int j = 0; j < 10; j++) {
                host.request("s" + i + "-" + j, "safe");
            }
            host.advance(190 * Host.MS);
            for (int j = 0; j < 10; j++) {
                if (!host.sentTo("s" + i + "-" + j).isEmpty()) {
                    host.answer("s" + i + "-" + j, 0, 190 * Host.MS);
                }
            }
            refusedWhileSlow += host.refused.size() - refusedBefore;
        }
        assertTrue(refusedWhileSlow > 300, "too few requests shed while backends are slow: "
            + refusedWhileSlow);
        int refusedBefore = host.refused.size();
        host.warmUp(0);
        for (int i = 0; i < 3000; i++) {
            host.requestAndAnswer("q" + i, "safe");
            refusedBefore = i == 2000 ? host.refused.size() : refusedBefore;
        }
        assertEquals(refusedBefore, host.refused.size(), "nothing may be shed once backends are fast again");
    }

    @Test
    void refusedRequestsGetSpreadRetryAfterTimes() {
        Host host = Host.createDefault().withBackends(4);
        host.warmUp(200);
        java.util.Set<Long> retryAfterTimes = new java.util.TreeSet<>();
        for (int i = 0; i < 200; i++) {
            host.request("r" + i, "safe");
            String[] lastAction = host.actions.get(host.actions.size() - 1).split(" ");
            if (lastAction[0].equals("refuse")) {
                assertEquals("r" + i, lastAction[1]);
                retryAfterTimes.add(Long.parseLong(lastAction[2]));
            }
        }
        assertTrue(retryAfterTimes.size() > 50, "retry-after times must be spread: " + retryAfterTimes);
        retryAfterTimes.forEach(retryAfter -> assertTrue(
            retryAfter >= 10 * Host.MS && retryAfter <= 30 * Host.MS,
            "retry-after must be 10 to 30 ms: " + retryAfter));
    }

    @Test
    void tenantAboveItsQuotaIsShedBeforeOthers() {
        Host host = Host.create(Host.settings(Host.limits(), false,
            List.of(new Balancer.Tenant("big", 40), new Balancer.Tenant("small", 40))), 9).withBackends(10);
        int[] requests = new int[2];
        int[] served = new int[2];
        List<String> pendingIds = new ArrayList<>();
        for (int i = 0; i < 4000; i++) {
            int tenantIndex = i % 10 == 0 ? 1 : 0;
            String id = "t" + i;
            host.balancer.onRequest(host.now, new Balancer.Request(id, "unsafe",
                tenantIndex == 1 ? "small" : "big", null,
                600 * Host.MS, 0, false));
            requests[tenantIndex]++;
            if (!host.sentTo(id).isEmpty()) {
                served[tenantIndex]++;
                pendingIds.add(id);
            }
            host.now += 10 * Host.MS;
            if (i % 5 > 1 && !pendingIds.isEmpty()) { // capacity is 60 per second, demand 100
                int sentStep = Integer.parseInt(pendingIds.get(0).substring(1));
                host.endAttempt(pendingIds.remove(0), 0, Outcome.OK, (i - sentStep + 1) * 10 * Host.MS);
            }
        }
        assertTrue(served[1] > requests[1] * 0.9,
            "a tenant within its quota must be served: " + served[1] + " of " + requests[1]);
        assertTrue(served[0] < requests[0] * 0.7,
            "a tenant far above its quota must be shed: " + served[0] + " of " + requests[0]);
    }

    @Test
    void clientRetriesDoNotCountAsTenantDemand() {
        Host host = Host.create(Host.settings(Host.limits(), false, List.of(new Balancer.Tenant("t", 100))),
            9).withBackends(10);
        for (int i = 0; i < 500; i++) {
            host.balancer.onRequest(host.now, new Balancer.Request("d" + i, "safe", "t", null, 600 * Host.MS,
                0, i % 5 > 0));
            host.advance(10 * Host.MS); // 20 per second are new, 80 are retries
        }
        double reportedDemand = Double.parseDouble(host.messages.get(host.messages.size() - 1));
        assertTrue(reportedDemand > 10 && reportedDemand < 30,
            "demand reported to the peers: " + reportedDemand);
    }

    @Test
    void quotaSharesFollowTheDemandReportedByPeers() {
        Balancer.Settings settings = Host.settings(Host.limits(), false, List.of(new Balancer.Tenant("t",
            100)));
        Host host = Host.create(settings, 9).withBackends(10);
        for (int second = 0; second < 8; second++) {
            for (int peer = 1; peer <= 3; peer++) {
                host.balancer.onPeerMessage(host.now, peer, "5");
            }
            host.balancer.onPeerMessage(host.now, 1, "not a number");
            host.balancer.onPeerMessage(host.now, 9, "70");
            host.balancer.onPeerMessage(host.now, 2, "1 2 3");
            for (int i = 0; i < 60; i++) {
                String id = "p" + second + "-" + i;
                host.balancer.onRequest(host.now, new Balancer.Request(id, "unsafe", "t", null,
                    600 * Host.MS, 0,
                    false));
                if (!host.sentTo(id).isEmpty()) {
                    host.endAttempt(id, 0, Outcome.OK, 16 * Host.MS);
                }
                host.advance(16 * Host.MS);
            }
        }
        long lateRefusals = host.refused.stream().filter(id -> id.startsWith("p6")
            || id.startsWith("p7")).count();
        assertEquals(0, lateRefusals, "the quota share by demand is over 60 per second, the even one 25");
        assertTrue(host.messages.size() <= 9, "more than one message per second: " + host.messages.size());
        assertTrue(host.messages.get(host.messages.size() - 1).length() <= 20);
    }

    @Test
    void backendRestartedUnderTheSameIdIsColdAgain() {
        Host host = Host.createDefault().withBackends(3);
        host.warmUp(100);
        host.updateBackends(Host.backend(1, Phase.READY, host.now));
        int sends = 0;
        for (int i = 0; i < 40; i++) {
            host.requestAndAnswer("r" + i, "unsafe");
            sends += host.sentTo("r" + i).contains(1L) ? 1 : 0;
        }
        assertEquals(0, sends, "a restarted backend must not be preferred to idle ones");
    }

    @Test
    void requestsWithLargeHintsAreNeitherHedgedNorTakenAsSlow() {
        Host host = Host.createDefault().withBackends(9);
        for (int i = 0; i < 200; i++) { // the policy learns that the hints are right
            host.requestWithHint("seen" + i, (i % 4 == 0 ? 100 : 5) * Host.MS,
                (i % 4 == 0 ? 150 : 8) * Host.MS);
        }
        int[] hedges = new int[2];
        int[] admitted = new int[2];
        for (int i = 0; i < 200; i++) {
            boolean heavy = i % 4 == 0;
            String id = "w" + i;
            host.balancer.onRequest(host.now, new Balancer.Request(id, "safe", null, null, 600 * Host.MS,
                (heavy ? 100 : 5) * Host.MS, false));
            int firstAttempts = host.sentTo(id).size();
            if (firstAttempts == 0) {
                continue; // shed
            }
            admitted[heavy ? 1 : 0]++;
            host.advance(110 * Host.MS);
            hedges[heavy ? 1 : 0] += host.sentTo(id).size() - firstAttempts;
            host.answer(id, 0, 110 * Host.MS);
        }
        assertTrue(admitted[0] > 10 && admitted[1] > 3,
            admitted[0] + " light and " + admitted[1] + " heavy requests admitted");
        assertTrue(hedges[0] > 0, "requests with small hints must be hedged");
        assertTrue(hedges[1] <= 1, "requests with large hints must not be hedged, as a copy costs as much");
    }

    @Test
    void missingOrWrongHintsDoNoHarm() {
        long[] hints = {0, 1, Long.MAX_VALUE / 4, -5, 20 * Host.MS};
        Host host = Host.createDefault().withBackends(9);
        host.warmUp(100);
        for (int i = 0; i < 500; i++) {
            String id = "x" + i;
            host.balancer.onRequest(host.now, new Balancer.Request(id, "safe", null, null, 600 * Host.MS,
                hints[i % hints.length], false));
            assertTrue(!host.sentTo(id).isEmpty(), "request not served: " + i);
            host.advance(20 * Host.MS);
            host.answer(id, 0, 20 * Host.MS);
        }
        assertTrue(host.refused.isEmpty());
    }

    @Test
    void lowTrafficProxyEjectsASlowBackendForSeveralSends() {
        Host host = Host.createDefault().withBackends(20);
        for (int i = 0; i < 300; i++) {
            host.requestAndAnswer("a" + i, "safe");
            host.now += 180 * Host.MS;
        }
        int sendsToSlow = 0;
        for (int i = 0; i < 1500; i++) {
            String id = "s" + i;
            host.request(id, "safe");
            host.advance(15 * Host.MS);
            boolean toSlow = host.sentTo(id).get(0) == 1L;
            sendsToSlow += toSlow && i > 500 ? 1 : 0;
            host.advance(toSlow ? 100 * Host.MS : 0);
            host.answer(id, toSlow && host.sentTo(id).size() > 1 ? 1 : 0,
                toSlow ? 110 * Host.MS : 15 * Host.MS);
            host.advance(180 * Host.MS);
        }
        assertTrue(sendsToSlow < 25, "of 1,000 requests 50 would go to the slow backend without ejection: "
            + sendsToSlow);
    }

    @Test
    void tenantAboveItsQuotaIsServedWhileThereIsCapacity() {
        Host host = Host.create(Host.settings(Host.limits(), false,
            List.of(new Balancer.Tenant("big", 40), new Balancer.Tenant("small", 400))), 9).withBackends(10);
        int lateRefusals = 0;
        for (int i = 0; i < 600; i++) {
            host.balancer.onPeerMessage(host.now, 1, "0 0");
            String id = "t" + i;
            host.balancer.onRequest(host.now,
                new Balancer.Request(id, "unsafe", "big", null, 600 * Host.MS, 0,
                false));
            host.advance(16 * Host.MS);
            if (host.sentTo(id).isEmpty()) {
                lateRefusals += i > 300 ? 1 : 0;
            } else {
                host.endAttempt(id, 0, Outcome.OK, 16 * Host.MS);
            }
        }
        assertEquals(0, lateRefusals, "60 per second exceed the quota of 40, but there is capacity for 440");
    }

    private static Host createProxy(int index, int proxies, int backends) {
        Balancer.Settings base = Host.settings(Host.limits(), false, List.of());
        return Host.create(new Balancer.Settings(proxies, index, base.zone(), base.classes(), List.of(),
            false, base.limits(), base.rules(), base.crossZonePrice()), 7 + index).withBackends(backends);
    }

    @Test
    void manyProxiesUseEvenWindowsToLimitConnections() {
        java.util.Map<Long, Integer> proxiesPerBackend = new java.util.TreeMap<>();
        for (int index = 0; index < 300; index++) {
            Host host = createProxy(index, 300, 60);
            java.util.Set<Long> usedBackends = new java.util.TreeSet<>();
            for (int i = 0; i < 100; i++) {
                host.requestAndAnswer("r" + i, "unsafe");
                usedBackends.addAll(host.sentTo("r" + i));
            }
            assertTrue(usedBackends.size() <= 8,
                "too many backends used by one proxy: " + usedBackends.size());
            usedBackends.forEach(id -> proxiesPerBackend.merge(id, 1, Integer::sum));
        }
        assertEquals(60, proxiesPerBackend.size());
        for (int count : proxiesPerBackend.values()) {
            assertTrue(count >= 32 && count <= 48,
                "about 40 proxies should use each backend: " + proxiesPerBackend);
        }
    }

    /** A proxy's own load tells little about a backend's total load if all proxies send to it. */
    @Test
    void fewProxiesShareABackendAndLoadIsEven() {
        for (int proxies : new int[] {14, 25}) {
            int backends = proxies * 5;
            java.util.Map<Long, Integer> proxiesPerBackend = new java.util.TreeMap<>();
            java.util.Map<Long, Integer> sendsPerBackend = new java.util.TreeMap<>();
            for (int index = 0; index < proxies; index++) {
                Host host = createProxy(index, proxies, backends);
                java.util.Set<Long> usedBackends = new java.util.TreeSet<>();
                for (int i = 0; i < 1_000; i++) {
                    host.requestAndAnswer("r" + i, "unsafe");
                    usedBackends.addAll(host.sentTo("r" + i));
                    host.sentTo("r" + i).forEach(id -> sendsPerBackend.merge(id, 1, Integer::sum));
                }
                usedBackends.forEach(id -> proxiesPerBackend.merge(id, 1, Integer::sum));
            }
            assertEquals(backends, sendsPerBackend.size());
            int evenSends = 1_000 * proxies / backends;
            sendsPerBackend.forEach((id, sent) -> {
                assertTrue(proxiesPerBackend.get(id) <= 3, proxiesPerBackend + " proxies use the backends");
                assertTrue(sent > 0.7 * evenSends && sent < 1.3 * evenSends,
                    "an even load is " + evenSends + ": " + sendsPerBackend);
            });
        }
    }

    @Test
    void proxyWithItsWholeWindowDownUsesTheNextBackends() {
        Host host = createProxy(0, 300, 60);
        java.util.Set<Long> downBackends = new java.util.TreeSet<>();
        for (int i = 0; i < 100; i++) {
            host.requestAndAnswer("r" + i, "unsafe");
            downBackends.addAll(host.sentTo("r" + i));
        }
        int servedCount = 0;
        for (int i = 0; i < 100; i++) {
            String id = "d" + i;
            host.request(id, "safe");
            host.now += 5 * Host.MS;
            for (int attempt = 0; attempt < host.sentTo(id).size(); attempt++) {
                boolean isDown = downBackends.contains(host.sentTo(id).get(attempt));
                servedCount += isDown ? 0 : 1;
                host.endAttempt(id, attempt, isDown ? Outcome.CONNECT_FAILURE : Outcome.OK, Host.MS);
            }
        }
        assertTrue(servedCount > 80, "too few of 100 requests served: " + servedCount);
    }

    @Test
    void attemptTimesOutAtTheTargetIfLateAnswersHaveNoValue() {
        Balancer.Settings base = Host.settings(Host.limits(), false, List.of());
        Balancer.ServiceClass strictClass = new Balancer.ServiceClass("strict", 200 * Host.MS, 0,
            600 * Host.MS, Balancer.Idempotency.IDEMPOTENT, Balancer.DedupScope.ALL, 0, 0, null, null);
        Host host = Host.create(new Balancer.Settings(4, 0, "a", List.of(strictClass), List.of(), false,
            base.limits(), base.rules(), base.crossZonePrice()), 7).withBackends(6);
        host.request("r", "strict");
        assertTrue(host.actions.get(0).endsWith(" 200000"), host.actions.get(0));
        host.now += 50 * Host.MS;
        host.endAttempt("r", 0, Outcome.ERROR, 50 * Host.MS);
        assertTrue(host.actions.contains("send r " + host.sentTo("r").get(1) + " 150000"),
            "the timeout must be the rest of the latency target");
        Host hostWithLateValue = Host.createDefault().withBackends(6);
        hostWithLateValue.request("r", "safe");
        assertTrue(hostWithLateValue.actions.get(0).endsWith(" 0"),
            "the timeout must be the deadline if late answers have a value");
    }

    @Test
    void existingConnectionsStayInUseWhenNoNewOnesAreAvailable() {
        Host host = Host.createDefault().withBackends(2);
        int[] sendsToLimited = new int[2];
        for (int i = 0; i < 40; i++) { // backend 1 has one connection available, backend 2 many
            for (int j = 0; j < 6; j++) {
                host.request("r" + i + "-" + j, "unsafe");
            }
            List<String> heldAttempts = new ArrayList<>();
            for (int j = 0; j < 6; j++) {
                String id = "r" + i + "-" + j;
                for (int attemptIndex = 0; attemptIndex < host.sentTo(id).size(); attemptIndex++) {
                    boolean isFull = host.sentTo(id).get(attemptIndex) == 1L && heldAttempts.contains("1");
                    sendsToLimited[0] += isFull && i >= 10 ? 1 : 0;
                    sendsToLimited[1] +=
                        host.sentTo(id).get(attemptIndex) == 1L && !isFull && i >= 10 ? 1 : 0;
                    if (isFull) {
                        host.endAttempt(id, attemptIndex, Outcome.CONNECT_FAILURE, Host.MS);
                    } else {
                        heldAttempts.add(host.sentTo(id).get(attemptIndex) == 1L ? "1" : "2");
                        heldAttempts.add(id + " " + attemptIndex);
                    }
                }
            }
            for (int k = 1; k < heldAttempts.size(); k += 2) { // connect failures come before the answers
                String[] attempt = heldAttempts.get(k).split(" ");
                host.endAttempt(attempt[0], Integer.parseInt(attempt[1]), Outcome.OK, 10 * Host.MS);
            }
            host.advance(20 * Host.MS);
        }
        assertTrue(sendsToLimited[1] >= 20, "the existing connection must be used: " + sendsToLimited[1]);
        assertTrue(sendsToLimited[0] <= 10, "a second connection must rarely be tried: " + sendsToLimited[0]);
    }

    @Test
    void overloadedRestrictedClassDoesNotCauseOtherRefusals() {
        Host host = Host.createDefault().withBackends(60);
        host.warmUp(200);
        for (int i = 0; i < 300; i++) {
            host.request("b" + i, "bound");
            if (!host.sentTo("b" + i).isEmpty()) {
                host.answer("b" + i, 0, 190 * Host.MS); // the few backends of the class are slow
            }
            host.requestAndAnswer("s" + i, "safe");
            host.advance(20 * Host.MS);
        }
        assertTrue(host.refused.stream().filter(id -> id.startsWith("b")).count() > 100,
            "the restricted class must be shed");
        assertEquals(0, host.refused.stream().filter(id -> id.startsWith("s")).count(),
            "other classes must not be shed");
    }

    private static int refusedOfFirstRequests(long delay) {
        Host host = Host.createDefault().withBackends(30);
        host.advance(delay);
        for (int i = 0; i < 100; i++) {
            host.request("r" + i, "unsafe");
            if (i >= 6 && !host.refused.contains("r" + (i - 6))) {
                host.endAttempt("r" + (i - 6), 0, Outcome.OK, 60 * Host.MS);
            }
            host.now += 10 * Host.MS;
        }
        return host.refused.size();
    }

    @Test
    void trafficLongAfterTheFirstListIsNotRefused() {
        // A real proxy gets its list seconds before its first requests, in the simulator both come together.
        assertEquals(refusedOfFirstRequests(0), refusedOfFirstRequests(30 * Host.SECOND));
    }
}
