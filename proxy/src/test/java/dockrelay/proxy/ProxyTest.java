package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The whole proxy between a client, two backends and discovery, on loopback sockets. */
class ProxyTest {
    private static final String SERVED = Fakes.httpResponse("200 OK", "", "a rate");
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n";
    private static final int USUAL_SOCKETS = 1024;

    private final FakeDiscovery discovery = new FakeDiscovery();
    private final FakeBackend one = new FakeBackend(request -> SERVED);
    private final FakeBackend two = new FakeBackend(request -> SERVED);
    private Proxy proxy;

    @BeforeEach
    void start() throws Exception {
        start(USUAL_SOCKETS);
    }

    private void start(int sockets) throws Exception {
        discovery.setFirstList(FakeDiscovery.listJson(2, true, Fakes.entryJson("s-1", one.port(), "active"),
            Fakes.entryJson("s-2", two.port(), "active")));
        proxy = new Proxy(Fakes.config(discovery.port(), sockets));
        awaitReady();
    }

    private void awaitReady() {
        Fakes.await("healthz 200", () -> {
            try (FakeClient client = new FakeClient(proxy)) {
                return client.send(HEALTH).readStatus() == 200;
            } catch (java.io.IOException e) {
                return false;
            }
        });
    }

    @AfterEach
    void end() throws Exception {
        if (proxy != null) {
            proxy.stop();
        }
        one.close();
        two.close();
        discovery.close();
    }

    private int seen() {
        return one.requests.size() + two.requests.size();
    }

    private void both(Fakes.Script script) {
        one.responder = script;
        two.responder = script;
    }

    @Test
    void aRequestIsPassedOnAndItsAnswerComesBackUnchanged() throws Exception {
        try (FakeClient client = new FakeClient(proxy)) {
            String answer = client.send(FakeClient.getRequest("2.000")).readResponse();
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            assertTrue(answer.endsWith("\r\n\r\na rate"), answer);
            String body = "POST /save/q?x=1 HTTP/1.1\r\nHost: app\r\nX-Priority-Class: save\r\n"
                + "X-Request-ID: own\r\nX-Timeout: 2\r\n"
                + "Idempotency-Key: key-7\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\n"
                + "Content-Length: 5\r\n\r\nhello";
            assertEquals(200, client.send(body).readStatus());
            assertNull(client.readResponse(), "closed, as the client asked");
        }
        String sent = (one.requests.toString() + two.requests).toLowerCase();
        assertTrue(sent.contains("post /save/q?x=1 http/1.1"), sent);
        assertTrue(sent.contains("idempotency-key: key-7") && sent.contains("x-request-id: own"), sent);
        assertTrue(sent.contains("\r\n\r\nhello"), sent);
        assertTrue(!sent.contains("x-mine") && !sent.contains("connection: close"), sent);
        int at = sent.indexOf("x-timeout: ") + 11;
        double left = Double.parseDouble(sent.substring(at, sent.indexOf('\r', at)));
        assertTrue(left > 0 && left <= 1, "how long the proxy waits, not how long the client does: " + left);
    }

    /** An unsafe request is refused where nothing ran and failed where something may have. */
    @ParameterizedTest
    @CsvSource({"500 Oops,'',502,1", "503 Full,X-Not-Processed: 1,503,2",
        "504 Over,X-Not-Processed: 1,503,2", "503 Who knows,'',502,1", "404 Nothing,'',502,1"})
    void eachAnswerOfABackendIsTakenAsTheTableSays(String status, String headers, int answer, int attempts)
        throws Exception {
        both(request -> Fakes.httpResponse(status, headers.isEmpty() ? "" : headers + "\r\n", ""));
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(answer, client.send(FakeClient.postRequest("put", "3.0")).readStatus());
        }
        assertEquals(attempts, seen());
    }

    @Test
    void aConnectionThatBreaksAfterTheRequestMayHaveRunIt() throws Exception {
        both(request -> "");
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(502, client.send(FakeClient.postRequest("put", "3.0")).readStatus());
        }
        assertEquals(1, seen(), "an unsafe request goes out once");
    }

    @Test
    void anAnswerCutShortIsNoAnswer() throws Exception {
        one.responder = request -> {
            one.openConnections.forEach(Fakes::half);
            return "";
        };
        two.responder = one.responder;
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(502, client.send(FakeClient.postRequest("put", "3.0")).readStatus());
        }
    }

    /** What else comes with the first answer is no answer to the request that follows. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n\r\na rate",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na rate",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na rateHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na rateHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n6\r\na rate\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 6\r\n\r\na rate",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"})
    void anAnswerOfDoubtfulFramingIsNotPassedOnAndEndsItsConnection(String doubtful) throws Exception {
        both(request -> seen() == 1 ? doubtful : SERVED);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(502, client.send(FakeClient.postRequest("put", "3.0")).readStatus());
            Fakes.await("its connection closed", () -> one.ended.get() + two.ended.get() == 1);
            String next = client.send(FakeClient.postRequest("put", "3.0")).readResponse();
            assertTrue(next.startsWith("HTTP/1.1 200") && next.endsWith("a rate"), next);
        }
    }

    @Test
    void anInterimAnswerIsNotTheAnswer() throws Exception {
        both(request -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + SERVED);
        try (FakeClient client = new FakeClient(proxy)) {
            for (int i = 0; i < 3; i++) {
                String answer = client.send(FakeClient.postRequest("put", "3.0")).readResponse();
                assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("a rate"), answer);
            }
        }
        assertEquals(3, seen());
    }

    /** Bytes that come while nothing is asked would be read as the start of the next answer. */
    @Test
    void bytesOnAnIdleConnectionEndIt() throws Exception {
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.postRequest("put", "3.0")).readStatus());
            one.openConnections.forEach(Fakes::half);
            two.openConnections.forEach(Fakes::half);
            Fakes.await("its connection closed", () -> one.openConnections.isEmpty() && two.openConnections.isEmpty());
            String next = client.send(FakeClient.postRequest("put", "3.0")).readResponse();
            assertTrue(next.endsWith("a rate"), next);
        }
    }

    @Test
    void aBackendThatIsDownNeverRanTheRequest() throws Exception {
        one.close();
        two.close();
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(503, client.send(FakeClient.postRequest("put", "3.0")).readStatus());
        }
    }

    @Test
    void silentBackendsEndInAnAnswerInTime() throws Exception {
        both(request -> null);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(502, client.send(FakeClient.postRequest("put", "0.3")).readStatus());
            assertEquals(503, client.send(FakeClient.getRequest("0.3")).readStatus());
        }
        Fakes.await("all attempts called off", () -> one.openConnections.isEmpty() && two.openConnections.isEmpty());
    }

    @Test
    void theLoserOfTwoCopiesIsCalledOff() throws Exception {
        both(request -> seen() < 2 ? null : SERVED);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            Fakes.await("the loser's connection closed", () -> one.ended.get() + two.ended.get() == 1);
            assertEquals(2, seen());
        }
    }

    @Test
    void nothingNewGoesToABackendThatDrains() throws Exception {
        try (FakeClient client = new FakeClient(proxy)) {
            while (one.openConnections.isEmpty()) {
                assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            }
            int before = one.requests.size();
            discovery.push(FakeDiscovery.listJson(3, false, Fakes.entryJson("s-1", one.port(), "leaving")));
            Fakes.await("idle connections closed", () -> one.openConnections.isEmpty());
            for (int i = 0; i < 20; i++) {
                assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            }
            assertEquals(before, one.requests.size());
        }
    }

    @Test
    void aKeptConnectionThatTheBackendClosedIsNotUsedAgain() throws Exception {
        try (FakeClient client = new FakeClient(proxy)) {
            for (int i = 0; i < 5; i++) {
                assertEquals(200, client.send(FakeClient.postRequest("put", "4.0")).readStatus());
                for (FakeBackend backend : List.of(one, two)) {
                    for (Socket socket : backend.openConnections) {
                        socket.shutdownOutput();
                    }
                }
                Fakes.await("closed by the proxy as well", () -> one.openConnections.isEmpty() && two.openConnections.isEmpty());
            }
        }
        assertEquals(5, seen());
    }

    @Test
    void aClientThatLeavesHasItsAttemptsCalledOff() throws Exception {
        both(request -> null);
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.postRequest("put", "4.0"));
            Fakes.await("the attempt", () -> seen() == 1);
        }
        Fakes.await("the attempt called off", () -> one.ended.get() + two.ended.get() == 1);
    }

    @Test
    void whatIsNoProperRequestIsAnsweredAtOnce() throws Exception {
        List<String> bad = new ArrayList<>(List.of(
            "404GET /nothing/x HTTP/1.1\r\nHost: app\r\n\r\n", "404GET / HTTP/1.1\r\nHost: app\r\n\r\n",
            "400GET /look/x HTTP/1.1\r\nHost: app\r\nX-Priority-Class: look\r\nX-Request-ID: i\r\n\r\n",
            "400" + FakeClient.getRequest("soon"), "400" + FakeClient.getRequest("-1"), "400" + FakeClient.getRequest("NaN"),
            "400" + FakeClient.getRequest("1e9"), "405" + FakeClient.postRequest("look", "1"),
            "400" + FakeClient.request("POST", "save", "X-Timeout: 1\r\nContent-Length: 0\r\n"),
            "400" + FakeClient.request("GET", "look", "X-Timeout: 1\r\nX-Cost: much\r\n"),
            "400" + FakeClient.request("GET", "look", "X-Timeout: 1\r\nX-Timeout: 2\r\n"),
            "400" + FakeClient.request("GET", "look", "X-Timeout: 1\r\nX-Request-ID: another\r\n"),
            "400" + FakeClient.request("GET", "look", "X-Timeout: 1\r\nContent-Length: 1\r\n") + "x",
            "400" + FakeClient.getRequest("1").replace("Host: app\r\n", ""),
            "505" + FakeClient.getRequest("1").replace("HTTP/1.1", "HTTP/2.0"),
            "400 /look/x nonsense\r\n\r\n", "414GET /look/" + "x".repeat(9000) + " HTTP/1.1\r\n\r\n",
            "431" + FakeClient.request("GET", "look", "X-Long: " + "x".repeat(20_000) + "\r\n"),
            "413" + FakeClient.request("POST", "put", "X-Timeout: 1\r\nContent-Length: 33554433\r\n")));
        for (String raw : bad) {
            try (FakeClient client = new FakeClient(proxy)) {
                client.send(raw.substring(3));
                assertEquals(Integer.parseInt(raw.substring(0, 3)), client.readStatus(), raw.substring(0, 12));
            }
        }
        assertEquals(0, seen());
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
        }
    }

    /** Each head leaves in doubt, to one reader or another, where its body ends; the body holds a request. */
    @ParameterizedTest
    @ValueSource(strings = {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip\r\n\r\n", "Transfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n100000000\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n0 9\r\n\r\n",
        "Content-Length: 0\r\nContent-Length: 90\r\n\r\n", "Content-Length: +0\r\n\r\n",
        "Content-Length: 0, 90\r\n\r\n", "Content-Length : 90\r\n\r\n", "Content-Length: 90\n\r\n\r\n",
        "Expect: 200-ok\r\nContent-Length: 999\r\n\r\n",
        "Expect: 100-continue\r\nContent-Length: 33554433\r\n\r\n"})
    void aRequestInsideTheBodyOfAnotherGoesNowhere(String framing) throws Exception {
        try (FakeClient client = new FakeClient(proxy)) {
            String head = FakeClient.request("POST", "save", "X-Timeout: 4\r\nIdempotency-Key: k\r\n");
            client.send(head.substring(0, head.length() - 2) + framing + FakeClient.getRequest("4.0"));
            int status = client.readStatus();
            assertTrue(status >= 400 && status < 500, framing + status);
            assertNull(client.readResponse(), "what follows may be its body");
        }
        assertEquals(0, seen());
    }

    @Test
    void aChunkedBodyAndAnExpectedContinueAreUnderstood() throws Exception {
        try (FakeClient client = new FakeClient(proxy)) {
            String head = FakeClient.request("POST", "save", "X-Timeout: 4\r\nIdempotency-Key: k\r\n"
                + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n");
            assertEquals(100, client.send(head).readStatus());
            assertEquals(200, client.send("5;a=b\r\nhello\r\n4\r\n you\r\n0\r\n\r\n").readStatus());
        }
        String sent = one.requests.toString() + two.requests;
        assertTrue(sent.contains("hello you") && !sent.toLowerCase().contains("chunked"), sent);
    }

    @Test
    void aPeerThatSaysNothingOrNeverEndsItsRequestIsSentAway() throws Exception {
        try (FakeClient silent = new FakeClient(proxy); FakeClient slow = new FakeClient(proxy);
             FakeClient kept = new FakeClient(proxy)) {
            slow.send("GET /look/x HTTP/1.1\r\nX-Slow: ");
            assertEquals(200, kept.send(FakeClient.postRequest("put", "4.0")).readStatus());
            kept.send(FakeClient.postRequest("put", "4.0").replace("Length: 0", "Length: 9"));
            assertNull(silent.readResponse());
            assertEquals(408, slow.readStatus());
            assertNull(slow.readResponse());
            assertEquals(408, kept.readStatus());
        }
        assertEquals(1, seen(), "the one whole request");
    }

    @Test
    void pipelinedRequestsAreAnsweredInTurn() throws Exception {
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.getRequest("4.0") + FakeClient.getRequest("4.0") + FakeClient.getRequest("x"));
            assertEquals(200, client.readStatus());
            assertEquals(200, client.readStatus());
            assertEquals(400, client.readStatus());
        }
    }

    @Test
    void aBrokenWatchIsTakenUpAgainFromTheVersionAtHand() throws Exception {
        discovery.setFirstList(FakeDiscovery.listJson(5, false, Fakes.entryJson("s-1", one.port(), "left")));
        for (Socket watch : discovery.openConnections) {
            watch.close();
        }
        Fakes.await("a second watch", () -> discovery.requests.size() == 2);
        assertTrue(discovery.requests.get(1).startsWith("GET /v1/servers?watch=1&after=2 "));
        discovery.push(FakeDiscovery.listJson(3, false, Fakes.entryJson("s-2", two.port(), "left"))); // old news
        discovery.push(FakeDiscovery.listJson(6, false, Fakes.entryJson("s-3", two.port(), "active")));
        discovery.push(FakeDiscovery.listJson(7, false, Fakes.entryJson("s-3", two.port(), "left")));
        try (FakeClient client = new FakeClient(proxy)) {
            for (int i = 0; i < 10; i++) {
                assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            }
        }
        assertEquals(10, two.requests.size());
    }

    /** The fake's watch sends no empty lines: nothing tells it from one whose other end has vanished. */
    @Test
    void aWatchThatFallsSilentIsTakenUpAgain() throws Exception {
        Fakes.await("a second watch", () -> discovery.requests.size() == 2);
        assertTrue(discovery.requests.get(1).startsWith("GET /v1/servers?watch=1&after=2 "));
        discovery.push(FakeDiscovery.listJson(3, false, Fakes.entryJson("s-1", one.port(), "left")));
        Fakes.await("the first watch closed", () -> discovery.ended.get() == 1);
        try (FakeClient client = new FakeClient(proxy)) {
            for (int i = 0; i < 10; i++) {
                assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            }
        }
    }

    /** The module asks; whatever ends a watch reaches it as a failure, and it asks again in its own time. */
    @Test
    void whereDiscoveryIsAskedTheModuleAsksAgainAfterEachFailure() throws Exception {
        proxy.stop();
        discovery.requests.clear();
        discovery.rejecting = true;
        proxy = new Proxy(Fakes.config(0, discovery.port(), USUAL_SOCKETS, "",
            "\"Discovery\":\"ask\",\"Obligations\":{\"AskWithin\":0.1},"));
        Fakes.await("asked again after a 503", () -> discovery.requests.size() >= 2);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(503, client.send(HEALTH).readStatus());
        }
        discovery.rejecting = false;
        awaitReady();
        int before = discovery.requests.size();
        for (Socket watch : discovery.openConnections) {
            watch.close();
        }
        Fakes.await("asked again after the watch ended", () -> discovery.requests.size() > before);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
        }
    }

    /** A full accept queue drops what knocks, as a machine does that has vanished. */
    @Test
    void aConnectionThatNeverComesUpNeverRanTheRequest() throws Exception {
        List<Socket> filling = new ArrayList<>();
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int dropped = 0; dropped < 2;) {
                Socket socket = new Socket();
                filling.add(socket);
                try {
                    socket.connect(deaf.getLocalSocketAddress(), 300);
                } catch (SocketTimeoutException e) {
                    dropped++;
                }
            }
            discovery.push(FakeDiscovery.listJson(3, true, Fakes.entryJson("s-9", deaf.getLocalPort(), "active")));
            try (FakeClient client = new FakeClient(proxy)) {
                int status = 200; // until the proxy has heard of the change
                while (status == 200) {
                    status = client.send(FakeClient.postRequest("put", "4.0")).readStatus();
                }
                assertEquals(503, status, "nothing ran");
            }
        } finally {
            for (Socket socket : filling) {
                socket.close();
            }
        }
    }

    @Test
    void askedToEndItAnswersWhatItHasAndWhatStillComes() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        both(request -> {
            try {
                late.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return SERVED;
        });
        Thread stop = new Thread(proxy::stop);
        try (FakeClient before = new FakeClient(proxy); FakeClient kept = new FakeClient(proxy)) {
            before.send(FakeClient.getRequest("4.0"));
            Fakes.await("the request", () -> seen() > 0);
            stop.start();
            Fakes.await("not ready any more", () -> {
                try (FakeClient client = new FakeClient(proxy)) {
                    return client.send(HEALTH).readStatus() == 503;
                } catch (java.io.IOException e) {
                    return true;
                }
            });
            kept.send(FakeClient.getRequest("4.0"));
            late.countDown();
            String answer = before.readResponse();
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            assertTrue(answer.toLowerCase().contains("connection: close"), answer);
            assertEquals(200, kept.readStatus());
            stop.join();
            proxy = null;
        }
    }

    @Test
    void shortOfDescriptorsItClosesWhatIsIdleAndServesOn() throws Exception {
        proxy.stop();
        start(37); // leaves three connections for the clients and two for the backends
        List<FakeClient> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            FakeClient client = new FakeClient(proxy);
            clients.add(client);
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
        }
        for (FakeClient client : clients) {
            client.close();
        }
    }

    @Test
    void shortOfDescriptorsWhatIsLongAtRestMakesRoomForWhatIsInUse() throws Exception {
        proxy.stop();
        start(40); // leaves five connections for the clients
        try (FakeClient oldest = new FakeClient(proxy); FakeClient second = new FakeClient(proxy);
             FakeClient third = new FakeClient(proxy)) {
            for (FakeClient resting : List.of(oldest, second, third)) {
                assertEquals(200, resting.send(HEALTH).readStatus());
            }
            Fakes.await("an answer that does not end its connection", () -> {
                try (FakeClient client = new FakeClient(proxy)) {
                    return !client.send(HEALTH).readResponse().toLowerCase().contains("connection: close");
                } catch (java.io.IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            assertNull(oldest.readResponse(), "closed to make room");
            assertEquals(200, third.send(HEALTH).readStatus());
        }
    }

    /** Closing a kept one later, to make room, could cross its next request. */
    @Test
    void shortOfDescriptorsAnAnswerEndsItsConnection() throws Exception {
        proxy.stop();
        start(40); // leaves five connections for the clients
        List<FakeClient> clients = new ArrayList<>();
        String last = "";
        for (int i = 0; i < 4; i++) {
            FakeClient client = new FakeClient(proxy);
            clients.add(client);
            last = client.send(HEALTH).readResponse(); // answered: so the proxy has this connection on its list
        }
        assertTrue(last.toLowerCase().contains("connection: close"), last);
        assertNull(clients.get(3).readResponse(), "closed after its answer");
        for (FakeClient client : clients) {
            client.close();
        }
    }

    @Test
    void shortOfDescriptorsNoConnectionIsClosedBeforeItsFirstRequestIsRead() throws Exception {
        proxy.stop();
        start(37);
        List<FakeClient> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(new FakeClient(proxy).send(FakeClient.getRequest("4.0")));
        }
        for (FakeClient client : clients) {
            assertTrue(client.readStatus() > 0, "answered, be it with a refusal");
            client.close();
        }
    }

    /** One that is timed out gets 408, one that makes room nothing. */
    @Test
    void shortOfDescriptorsWhatIsSilentWithinARequestMakesRoomBeforeItsTimeIsUp() throws Exception {
        proxy.stop();
        start(37);
        List<FakeClient> halves = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            halves.add(new FakeClient(proxy).send("GET /look"));
        }
        try (FakeClient whole = new FakeClient(proxy)) {
            assertEquals(200, whole.send(FakeClient.getRequest("4.0")).readStatus());
            assertNull(halves.get(0).readResponse(), "the quietest made room");
        }
        for (FakeClient half : halves) {
            half.close();
        }
    }

    @Test
    void theFirstConnectionItTakesFindsItReady() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        String known = Fakes.entryJson("s-1", one.port(), "active");
        Config config = Fakes.config(port, discovery.port(), USUAL_SOCKETS, known, "");
        proxy.stop();
        FutureTask<Proxy> starting = new FutureTask<>(() -> new Proxy(config));
        new Thread(starting).start();
        Socket socket = new Socket();
        while (!socket.isConnected()) {
            socket = new Socket();
            socket.bind(new InetSocketAddress("127.0.0.2", 0)); // never the very port it connects to
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            } catch (java.io.IOException e) {
                socket.close();
                socket = new Socket();
                Thread.sleep(1);
            }
        }
        try (FakeClient client = new FakeClient(socket)) {
            assertEquals(200, client.send(HEALTH).readStatus());
        }
        proxy = starting.get();
    }

    /** The other discovery counts its versions anew: lower than the last one known here. */
    @ParameterizedTest
    @ValueSource(strings = {"", "\"Discovery\":\"ask\",\"Obligations\":{\"AskWithin\":0.1},"})
    void aReloadMovesDiscoveryAndABrokenFileChangesNothing(String asked, @TempDir Path folder)
        throws Exception {
        proxy.stop();
        proxy = new Proxy(Fakes.config(0, discovery.port(), USUAL_SOCKETS, "", asked));
        awaitReady();
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{\"name\":");
        proxy.reload(file);
        try (FakeDiscovery other = new FakeDiscovery(); FakeClient client = new FakeClient(proxy)) {
            other.setFirstList(FakeDiscovery.listJson(1, true, Fakes.entryJson("s-2", two.port(), "active")));
            Files.writeString(file, Fakes.configJson(0, other.port(), USUAL_SOCKETS, "", asked));
            proxy.reload(file);
            Fakes.await("asked at the new address", () -> !other.requests.isEmpty());
            assertTrue(other.requests.get(0).startsWith("GET /v1/servers?watch=1 "), other.requests.get(0));
            Fakes.await("s-1 out of use", () -> one.openConnections.isEmpty() && discovery.openConnections.isEmpty());
            int before = one.requests.size();
            for (int i = 0; i < 10; i++) {
                assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            }
            other.push(FakeDiscovery.listJson(2, false, Fakes.entryJson("s-2", two.port(), "left")));
            Fakes.await("news from the new address", () -> two.openConnections.isEmpty());
            assertEquals(before, one.requests.size());
        }
    }

    @Test
    void aHangUpDoesNotEndTheProgram() throws Exception {
        AtomicInteger told = new AtomicInteger();
        Signals.onHangUp(told::incrementAndGet);
        Object hangUp = Signals.hangUpSignal();
        hangUp.getClass().getMethod("raise", hangUp.getClass()).invoke(null, hangUp);
        Fakes.await("the signal", () -> told.get() == 1);
    }

    /** The build archives what a start has loaded, once the start is over. */
    @Test
    void aRehearsedStartEndsByItself() {
        assertDoesNotThrow(Proxy::runClassArchiveTraining);
    }

    @Test
    void oneBadEntryInAListDoesNotHideTheOthers() throws Exception {
        try (FakeClient client = new FakeClient(proxy)) {
            while (two.openConnections.isEmpty()) {
                assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            }
            discovery.push(FakeDiscovery.listJson(3, false, "{\"addr\":7}",
                Fakes.entryJson("s-2", two.port(), "left")));
            Fakes.await("s-2 known to be gone", () -> two.openConnections.isEmpty());
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
        }
    }
}
