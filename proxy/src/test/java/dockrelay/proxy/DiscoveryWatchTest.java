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
    private static final String ASKED = "\"Discovery\":\"ask\",\"Obligations\":{\"AskWithin\":0.2},";

    /** How a watch fails after it has sent the first list. */
    private enum Fault { SILENT, HALF_DEAD, CUT_SHORT, BLANKS_IN_THE_MIDDLE, ENDS_IN_THE_MIDDLE }

    /** A discovery service whose first watch fails; later ones work, except as the fault requires. */
    private static final class Odd extends Fakes.FakeServer {
        private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        final List<String> asked = new CopyOnWriteArrayList<>();
        private final AtomicInteger watches = new AtomicInteger();
        private final Fault fault;
        private final String first, then;

        Odd(Fault fault, String first, String then) {
            this.fault = fault;
            this.first = first;
            this.then = then;
        }

        @Override
        void serve(Socket connection) throws IOException {
            String request = Fakes.readMessage(connection.getInputStream());
            int number = watches.getAndIncrement();
            asked.add(request);
            OutputStream out = connection.getOutputStream();
            if (number == 0) {
                out.write((HEAD + chunk(first)).getBytes(StandardCharsets.UTF_8));
                if (fault == Fault.CUT_SHORT || fault == Fault.ENDS_IN_THE_MIDDLE
                    || fault == Fault.BLANKS_IN_THE_MIDDLE) {
                    out.write(chunk(then.substring(0, then.length() / 2)).getBytes(StandardCharsets.UTF_8));
                }
                if (fault == Fault.ENDS_IN_THE_MIDDLE) {
                    return;
                }
                while (fault == Fault.BLANKS_IN_THE_MIDDLE) { // until the proxy closes the connection
                    out.write(chunk("\n").getBytes(StandardCharsets.UTF_8));
                    pause();
                }
            // a hung host accepts connections but sends nothing
            } else if (number > 1 || fault != Fault.HALF_DEAD) {
                out.write((HEAD + chunk(then)).getBytes(StandardCharsets.UTF_8));
            }
            while (connection.getInputStream().read() >= 0) {
                continue;
            }
        }

        private static void pause() {
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

    private final FakeBackend one = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
    private final FakeBackend two = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "two"));
    private Proxy proxy;

    @AfterEach
    void stop() throws IOException {
        if (proxy != null) {
            proxy.stop();
        }
        one.close();
        two.close();
    }

    private String list(int version, FakeBackend of) {
        return FakeDiscovery.listJson(version, true, Fakes.entryJson("s-" + of.port(), of.port(), "active"));
    }

    private void awaitServedBy(String body) throws IOException {
        try (FakeClient client = new FakeClient(proxy)) {
            Fakes.await("a response of backend " + body, () -> {
                try {
                    return client.send(FakeClient.getRequest("4.0")).readResponse().endsWith(body);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void aWatchThatGoesWrongIsAskedForAnewFromWhereItStood(Fault fault) throws Exception {
        for (String mode : new String[] {"", ASKED}) {
            try (Odd discovery = new Odd(fault, list(7, one), list(9, two))) {
                proxy = new Proxy(Fakes.config(0, discovery.port(), 1024, "", mode));
                awaitServedBy("two");
                assertTrue(discovery.asked.get(1).startsWith("GET /v1/servers?watch=1&after=7 "),
                    discovery.asked.get(1));
                proxy.stop();
                proxy = null;
            }
        }
    }

    /** The rest of the truncated change is unknown, and discovery is down from then on. */
    @ParameterizedTest
    @ValueSource(strings = {"", ASKED})
    void removalsOfABrokenAnswerAreInForceWithoutItsRest(String mode) throws Exception {
        String both = FakeDiscovery.listJson(7, true, Fakes.entryJson("s-1", one.port(), "active"),
            Fakes.entryJson("s-2", two.port(), "active"));
        String change = FakeDiscovery.listJson(8, false, Fakes.entryJson("s-1", one.port(), "leaving"),
            Fakes.entryJson("s-2", two.port(), "leaving"));
        int cut = change.indexOf("s-2");
        FakeDiscovery discovery = new FakeDiscovery();
        try (discovery) {
            discovery.setFirstList(both);
            proxy = new Proxy(Fakes.config(0, discovery.port(), 1024, "", mode));
            awaitServedBy("one");
            discovery.rejecting = true;
            for (Socket watch : discovery.openConnections) {
                watch.getOutputStream().write(Odd.chunk(change.substring(0, cut))
                    .getBytes(StandardCharsets.UTF_8));
                watch.close();
            }
            awaitServedBy("two");
            int before = one.requests.size();
            for (int i = 0; i < 20; i++) {
                awaitServedBy("two");
            }
            assertEquals(before, one.requests.size(), "requests at the draining backend");
            discovery.setFirstList(FakeDiscovery.listJson(8, true, Fakes.entryJson("s-1", one.port(), "active")));
            discovery.rejecting = false;
            awaitServedBy("one");
        }
    }

    @Test
    void listsMayBeLaidOutOverSeveralLines() throws Exception {
        String indented = list(7, one).replace(",", ",\n    ").replace("{", "{\n  ") + "\n\n"
            + list(8, two).replace("}", "\n}").replace("\":", "\" :\t");
        try (Odd discovery = new Odd(Fault.SILENT, indented, "")) {
            proxy = new Proxy(Fakes.config(discovery.port(), 1024));
            awaitServedBy("two");
            assertEquals(1, discovery.asked.size(), "calls");
        }
    }

    /** The list is longer than the read buffer and than the maximum size of an entry. */
    @Test
    void aLongListIsTakenInWhole() throws Exception {
        String[] entries = new String[40_000];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = Fakes.entryJson("gone-" + i, 1, "leaving");
        }
        entries[entries.length / 2] = Fakes.entryJson("s-1", one.port(), "active");
        String list = FakeDiscovery.listJson(7, true, entries);
        assertTrue(list.length() > 4 << 20, list.length() + " bytes");
        for (String mode : new String[] {"", ASKED}) {
            try (Odd discovery = new Odd(Fault.SILENT, list, "")) {
                proxy = new Proxy(Fakes.config(0, discovery.port(), 1024, "", mode));
                awaitServedBy("one");
                assertEquals(1, discovery.asked.size(), "calls, while the first one makes progress");
                proxy.stop();
                proxy = null;
            }
        }
    }

    @Test
    void anOlderVersionDoesNotTakeTheNewerOnesPlace() throws Exception {
        try (Odd discovery = new Odd(Fault.ENDS_IN_THE_MIDDLE, list(7, one), list(6, two))) {
            proxy = new Proxy(Fakes.config(discovery.port(), 1024));
            Fakes.await("a second call", () -> discovery.asked.size() > 1);
            Fakes.await("service by the backend of the newer list", () -> {
                try (FakeClient client = new FakeClient(proxy)) {
                    return client.send(FakeClient.getRequest("4.0")).readResponse().endsWith("one");
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            assertTrue(two.requests.isEmpty(), "the backend of the older list received a request");
        }
    }

    /** A second call starts beside an unanswered one; once one is answered, only that one remains. */
    @Test
    void whereDiscoveryIsAskedATryThatSaysNothingDoesNotHoldUpTheNext() throws Exception {
        CountDownLatch speak = new CountDownLatch(1);
        FakeDiscovery discovery = new FakeDiscovery() {
            @Override
            void serve(Socket connection) throws IOException {
                try {
                    speak.await();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                super.serve(connection);
            }
        };
        try (discovery) {
            discovery.setFirstList(list(9, two));
            proxy = new Proxy(Fakes.config(0, discovery.port(), 1024, "",
                "\"Discovery\":\"ask\",\"Obligations\":{\"AskWithin\":10.0},"));
            Fakes.await("two concurrent calls", () -> discovery.openConnections.size() == 2);
            speak.countDown();
            awaitServedBy("two");
            Fakes.await("a single remaining watch", () -> discovery.openConnections.size() == 1);
        }
    }

    /** Heartbeats alone keep a watch alive, so no second call is made. */
    @Test
    void aWatchWithNothingNewIsAWatch() throws Exception {
        FakeDiscovery discovery = new FakeDiscovery();
        try (discovery) {
            discovery.setFirstList(""); // then only heartbeats until a change is pushed
            Thread beats = new Thread(() -> {
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
                Fakes.entryJson("s-1", one.port(), "active"), ASKED));
            Fakes.await("a call", () -> discovery.requests.size() == 1);
            beats.start();
            awaitServedBy("one");
            long since = System.nanoTime();
            long longer = (DiscoveryTimeouts.SILENT + DiscoveryTimeouts.BESIDE) * 1_000_000L;
            Fakes.await("the silence timeout to pass", () -> System.nanoTime() - since > longer);
            assertEquals(1, discovery.requests.size());
            beats.interrupt();
            beats.join();
        }
    }

    /**
     * The cached list and the agent's list name different backends: the first request has to use the
     * agent's.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "\"Discovery\":\"push\","})
    void nothingIsTakenBeforeThePushedListIsThere(String mode) throws Exception {
        FakeDiscovery discovery = new FakeDiscovery();
        try (discovery) {
            discovery.rejecting = true;
            String known = Fakes.entryJson("s-1", one.port(), "active");
            Config config = Fakes.config(0, discovery.port(), 1024, known, mode);
            FutureTask<Proxy> starting = new FutureTask<>(() -> new Proxy(config));
            new Thread(starting).start();
            Fakes.await("several failed calls", () -> discovery.requests.size() > 5);
            assertFalse(starting.isDone(), "started to serve by the cached list");
            discovery.setFirstList(list(9, two));
            discovery.rejecting = false;
            proxy = starting.get();
            awaitServedBy("two");
            assertTrue(one.requests.isEmpty());
        }
    }

    @Test
    void allThatLiesBetweenASilenceAndTheNewListFitsIntoTheTimeItMayTake() {
        assertTrue(DiscoveryTimeouts.SILENT > DiscoveryTimeouts.HEARTBEAT,
            "the silence timeout must exceed the heartbeat interval");
        assertTrue(DiscoveryTimeouts.CONNECT > DiscoveryTimeouts.LATE_CONNECTION,
            "the connect timeout must exceed the delay of a late connection");
        assertTrue(DiscoveryTimeouts.BESIDE > DiscoveryTimeouts.LATE_CONNECTION,
            "a late connection must be up before another one is opened");
        assertTrue(DiscoveryTimeouts.call() >= 500, DiscoveryTimeouts.call() + " ms left for the call");
    }
}
