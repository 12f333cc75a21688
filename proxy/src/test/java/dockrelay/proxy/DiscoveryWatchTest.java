package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests watches that fall silent, break, return older versions or use another JSON layout, over real
 * sockets.
 */
class DiscoveryWatchTest {
    private static final String ASK_MODE = "\"Discovery\":\"ask\",\"Obligations\":{\"AskWithin\":0.2},";

    /** How a watch fails after it has sent the first list. */
    private enum Fault { SILENT, HUNG_HOST, STALLS_IN_OBJECT, WHITESPACE_IN_OBJECT, ENDS_IN_OBJECT }

    /** A discovery service whose first watch fails; later ones work, except as the fault requires. */
    private static final class FaultyDiscovery extends Fakes.FakeServer {
        private static final String RESPONSE_HEADER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        final List<String> requests = new CopyOnWriteArrayList<>();
        private final AtomicInteger watchCount = new AtomicInteger();
        private final Fault fault;
        private final String firstList, nextList;

        FaultyDiscovery(Fault fault, String firstList, String nextList) {
            this.fault = fault;
            this.firstList = firstList;
            this.nextList = nextList;
        }

        @Override
        void serve(Socket connection) throws IOException {
            String request = Fakes.readMessage(connection.getInputStream());
            int watchNumber = watchCount.getAndIncrement();
            requests.add(request);
            OutputStream out = connection.getOutputStream();
            if (watchNumber == 0) {
                out.write((RESPONSE_HEADER + chunk(firstList)).getBytes(StandardCharsets.UTF_8));
                if (fault == Fault.STALLS_IN_OBJECT || fault == Fault.ENDS_IN_OBJECT
                    || fault == Fault.WHITESPACE_IN_OBJECT) {
                    out.write(chunk(nextList.substring(0, nextList.length() / 2))
                        .getBytes(StandardCharsets.UTF_8));
                }
                if (fault == Fault.ENDS_IN_OBJECT) {
                    return;
                }
                while (fault == Fault.WHITESPACE_IN_OBJECT) { // until the proxy closes the connection
                    out.write(chunk("\n").getBytes(StandardCharsets.UTF_8));
                    sleepBriefly();
                }
            } else if (watchNumber > 1 || fault != Fault.HUNG_HOST) {
                // The second connection to a hung host is accepted but gets no answer.
                out.write((RESPONSE_HEADER + chunk(nextList)).getBytes(StandardCharsets.UTF_8));
            }
            while (connection.getInputStream().read() >= 0) {
                continue;
            }
        }

        private static void sleepBriefly() {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }
    }

    private final FakeBackend firstBackend = new FakeBackend(request ->
        Fakes.httpResponse("200 OK", "", "one"));
    private final FakeBackend secondBackend = new FakeBackend(request ->
        Fakes.httpResponse("200 OK", "", "two"));
    private Proxy proxy;

    @AfterEach
    void stopProxy() throws IOException {
        if (proxy != null) {
            proxy.stop();
        }
        firstBackend.close();
        secondBackend.close();
    }

    private String listWith(int version, FakeBackend backend) {
        return FakeDiscovery.listJson(version, true, Fakes.entryJson("s-" + backend.port(), backend.port(),
            "active"));
    }

    private void awaitServedBy(String expectedBody) throws IOException {
        try (FakeClient client = new FakeClient(proxy)) {
            Fakes.await("a response of backend " + expectedBody, () -> {
                try {
                    return client.send(FakeClient.getRequest("4.0")).readResponse().endsWith(expectedBody);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void failedWatchIsReopenedFromItsVersion(Fault fault) throws Exception {
        for (String mode : new String[] {"", ASK_MODE}) {
            try (FaultyDiscovery discovery = new FaultyDiscovery(fault, listWith(7, firstBackend),
                listWith(9, secondBackend))) {
                proxy = new Proxy(Fakes.config(0, discovery.port(), 1024, "", mode));
                awaitServedBy("two");
                assertTrue(discovery.requests.get(1).startsWith("GET /v1/servers?watch=1&after=7 "),
                    discovery.requests.get(1));
                proxy.stop();
                proxy = null;
            }
        }
    }

    /** The rest of the truncated change is unknown, and discovery is down from then on. */
    @ParameterizedTest
    @ValueSource(strings = {"", ASK_MODE})
    void removalsOfTruncatedAnswerAreApplied(String mode) throws Exception {
        String fullList = FakeDiscovery.listJson(7, true,
            Fakes.entryJson("s-1", firstBackend.port(), "active"),
            Fakes.entryJson("s-2", secondBackend.port(), "active"));
        String change = FakeDiscovery.listJson(8, false,
            Fakes.entryJson("s-1", firstBackend.port(), "leaving"),
            Fakes.entryJson("s-2", secondBackend.port(), "leaving"));
        int truncatedLength = change.indexOf("s-2");
        FakeDiscovery discovery = new FakeDiscovery();
        try (discovery) {
            discovery.setFirstList(fullList);
            proxy = new Proxy(Fakes.config(0, discovery.port(), 1024, "", mode));
            awaitServedBy("one");
            discovery.rejecting = true;
            for (Socket watch : discovery.openConnections) {
                watch.getOutputStream().write(FaultyDiscovery.chunk(change.substring(0, truncatedLength))
                    .getBytes(StandardCharsets.UTF_8));
                watch.close();
            }
            awaitServedBy("two");
            int requestsBefore = firstBackend.requests.size();
            for (int i = 0; i < 20; i++) {
                awaitServedBy("two");
            }
            assertEquals(requestsBefore, firstBackend.requests.size(), "requests at the draining backend");
            discovery.setFirstList(FakeDiscovery.listJson(8, true,
                Fakes.entryJson("s-1", firstBackend.port(), "active")));
            discovery.rejecting = false;
            awaitServedBy("one");
        }
    }

    @Test
    void multiLineListsAreAccepted() throws Exception {
        String indentedLists = listWith(7, firstBackend).replace(",", ",\n    ").replace("{", "{\n  ")
            + "\n\n" + listWith(8, secondBackend).replace("}", "\n}").replace("\":", "\" :\t");
        try (FaultyDiscovery discovery = new FaultyDiscovery(Fault.SILENT, indentedLists, "")) {
            proxy = new Proxy(Fakes.config(discovery.port(), 1024));
            awaitServedBy("two");
            assertEquals(1, discovery.requests.size(), "calls");
        }
    }

    /** The list is longer than the read buffer and than the maximum size of an entry. */
    @Test
    void longListIsApplied() throws Exception {
        String[] entries = new String[40_000];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = Fakes.entryJson("gone-" + i, 1, "leaving");
        }
        entries[entries.length / 2] = Fakes.entryJson("s-1", firstBackend.port(), "active");
        String list = FakeDiscovery.listJson(7, true, entries);
        assertTrue(list.length() > 4 << 20, list.length() + " bytes");
        for (String mode : new String[] {"", ASK_MODE}) {
            try (FaultyDiscovery discovery = new FaultyDiscovery(Fault.SILENT, list, "")) {
                proxy = new Proxy(Fakes.config(0, discovery.port(), 1024, "", mode));
                awaitServedBy("one");
                assertEquals(1, discovery.requests.size(), "calls, while the first one makes progress");
                proxy.stop();
                proxy = null;
            }
        }
    }

    @Test
    void olderVersionIsIgnored() throws Exception {
        try (FaultyDiscovery discovery = new FaultyDiscovery(Fault.ENDS_IN_OBJECT,
            listWith(7, firstBackend), listWith(6, secondBackend))) {
            proxy = new Proxy(Fakes.config(discovery.port(), 1024));
            Fakes.await("a second call", () -> discovery.requests.size() > 1);
            Fakes.await("service by the backend of the newer list", () -> {
                try (FakeClient client = new FakeClient(proxy)) {
                    return client.send(FakeClient.getRequest("4.0")).readResponse().endsWith("one");
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            assertTrue(secondBackend.requests.isEmpty(), "the backend of the older list received a request");
        }
    }

    /** A second call starts beside an unanswered one; once one is answered, only that one remains. */
    @Test
    void unansweredCallDoesNotDelayNextCall() throws Exception {
        CountDownLatch answersAllowed = new CountDownLatch(1);
        FakeDiscovery discovery = new FakeDiscovery() {
            @Override
            void serve(Socket connection) throws IOException {
                try {
                    answersAllowed.await();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                super.serve(connection);
            }
        };
        try (discovery) {
            discovery.setFirstList(listWith(9, secondBackend));
            proxy = new Proxy(Fakes.config(0, discovery.port(), 1024, "",
                "\"Discovery\":\"ask\",\"Obligations\":{\"AskWithin\":10.0},"));
            Fakes.await("two concurrent calls", () -> discovery.openConnections.size() == 2);
            answersAllowed.countDown();
            awaitServedBy("two");
            Fakes.await("a single remaining watch", () -> discovery.openConnections.size() == 1);
        }
    }

    /** Heartbeats alone keep a watch alive, so no second call is made. */
    @Test
    void heartbeatsKeepWatchAlive() throws Exception {
        FakeDiscovery discovery = new FakeDiscovery();
        try (discovery) {
            discovery.setFirstList(""); // then only heartbeats until a change is pushed
            Thread heartbeatThread = new Thread(() -> {
                while (!Thread.currentThread().isInterrupted()) {
                    try {
                        Thread.sleep(100);
                        discovery.push("");
                    } catch (InterruptedException | IOException e) {
                        return;
                    }
                }
            });
            proxy = new Proxy(Fakes.config(0, discovery.port(), 1024,
                Fakes.entryJson("s-1", firstBackend.port(), "active"), ASK_MODE));
            Fakes.await("a call", () -> discovery.requests.size() == 1);
            heartbeatThread.start();
            awaitServedBy("one");
            long startNanos = System.nanoTime();
            long minDurationNanos = (DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS
                + DiscoveryTimeouts.STANDBY_DELAY_MILLIS) * 1_000_000L;
            Fakes.await("the silence timeout to pass",
                () -> System.nanoTime() - startNanos > minDurationNanos);
            assertEquals(1, discovery.requests.size());
            heartbeatThread.interrupt();
            heartbeatThread.join();
        }
    }

    /**
     * The cached list and the agent's list name different backends: the first request has to use the
     * agent's.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "\"Discovery\":\"push\","})
    void noRequestsAreAcceptedBeforePushedList(String mode) throws Exception {
        FakeDiscovery discovery = new FakeDiscovery();
        try (discovery) {
            discovery.rejecting = true;
            String knownEntry = Fakes.entryJson("s-1", firstBackend.port(), "active");
            Config config = Fakes.config(0, discovery.port(), 1024, knownEntry, mode);
            FutureTask<Proxy> startingProxy = new FutureTask<>(() -> new Proxy(config));
            new Thread(startingProxy).start();
            Fakes.await("several failed calls", () -> discovery.requests.size() > 5);
            assertFalse(startingProxy.isDone(), "started to serve by the cached list");
            discovery.setFirstList(listWith(9, secondBackend));
            discovery.rejecting = false;
            proxy = startingProxy.get();
            awaitServedBy("two");
            assertTrue(firstBackend.requests.isEmpty());
        }
    }

    @Test
    void timeoutsAfterSilenceLeaveTimeForCall() {
        assertTrue(DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS > DiscoveryTimeouts.HEARTBEAT_INTERVAL_MILLIS,
            "the silence timeout must exceed the heartbeat interval");
        assertTrue(DiscoveryTimeouts.CONNECT_TIMEOUT_MILLIS > DiscoveryTimeouts.MAX_CONNECT_DELAY_MILLIS,
            "the connect timeout must exceed the delay of a late connection");
        assertTrue(DiscoveryTimeouts.STANDBY_DELAY_MILLIS > DiscoveryTimeouts.MAX_CONNECT_DELAY_MILLIS,
            "a late connection must be up before another one is opened");
        assertTrue(DiscoveryTimeouts.minCallMillis() >= 500, DiscoveryTimeouts.minCallMillis()
            + " ms left for the call");
    }
}
