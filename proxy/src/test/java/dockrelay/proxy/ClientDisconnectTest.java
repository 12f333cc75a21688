package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.UnresponsiveServer;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A client that has closed its connection has gone: nothing of its request begins after that. */
class ClientDisconnectTest {
    private static final String LONG_TIMEOUT_SECONDS = "3600";
    private static final String SHORT_AIM = "\"Aim\":1.0,\"HardLimit\":5.0";
    private static final String LONG_AIM = "\"Aim\":3600.0,\"HardLimit\":3600.0";
    private final FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
    private final FakeDiscovery discovery = new FakeDiscovery();
    private Proxy proxy;

    private void start(int port, String replacedText, String replacement) throws IOException {
        discovery.setFirstList(FakeDiscovery.listJson(2, true, Fakes.entryJson("s-1", port, "active")));
        proxy = new Proxy(Fakes.parseConfig(Fakes.configJson(0, discovery.port(), 1024, "", "")
            .replace(replacedText, replacement)));
    }

    @AfterEach
    void tearDown() throws IOException {
        if (proxy != null) {
            proxy.stop();
        }
        discovery.close();
        backend.close();
    }

    /** It was in the backlog, or on a resting connection: the end of it lies right behind the request. */
    @Test
    void requestOfDisconnectedClientIsNotForwarded() throws Exception {
        start(backend.port(), "", "");
        try (FakeClient reusedClient = new FakeClient(proxy)) {
            assertEquals(200, reusedClient.send(FakeClient.getRequest("4.0")).readStatus());
            backend.requests.clear();
            Fakes.whileBlocked(proxy.eventLoop(), () -> { }, () -> {
                reusedClient.send(FakeClient.postRequest("put", "4.0"));
                reusedClient.socket.close();
                Socket newSocket =
                    new Socket(InetAddress.getLoopbackAddress(), proxy.listenAddress().getPort());
                new FakeClient(newSocket).send(FakeClient.postRequest("put", "4.0")).close();
            });
            Fakes.await("both are gone", () -> proxy.clientConnectionCount() == 0);
            try (FakeClient laterClient = new FakeClient(proxy)) {
                assertEquals(200, laterClient.send(FakeClient.postRequest("save", "4.0")).readStatus());
            }
            assertEquals(1, backend.requests.size(), backend.requests.toString());
            assertTrue(backend.requests.get(0).startsWith("POST /save/"), backend.requests.toString());
        }
    }

    @Test
    void disconnectIsDetectedBehindPipelinedRequests() throws Exception {
        backend.responder = request -> null;
        start(backend.port(), SHORT_AIM, LONG_AIM);
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.postRequest("put", LONG_TIMEOUT_SECONDS))
                .send(FakeClient.postRequest("put", LONG_TIMEOUT_SECONDS)
                + FakeClient.postRequest("put", LONG_TIMEOUT_SECONDS).substring(0, 30));
            Fakes.await("the first one is out", () -> backend.requests.size() == 1);
        }
        Fakes.await("it is called off", () -> backend.closedCount.get() == 1);
        Fakes.await("nothing is in hand", () -> proxy.inFlightRequestCount() == 0);
        assertEquals(1, backend.requests.size());
    }

    /**
     * What a client sends behind its request waits, but not without bound; then its answer is the last
     * one.
     */
    @Test
    void pipelinedDataIsBounded() throws Exception {
        backend.responder = request -> null;
        start(backend.port(), SHORT_AIM, LONG_AIM);
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.postRequest("put", LONG_TIMEOUT_SECONDS));
            Fakes.await("it is out", () -> backend.requests.size() == 1);
            String pipelinedRequest = FakeClient.getRequest(LONG_TIMEOUT_SECONDS);
            for (int i = 0; i < 20; i++) { // some 300 kB, all of which is read, and some 2,000 in one write
                client.send(i == 0 ? "GET /x HTTP/1.1\r\n\r\n".repeat(2_000) : pipelinedRequest.repeat(100));
            }
            backend.responder = request -> Fakes.httpResponse("200 OK", "", "other");
            String response = Fakes.httpResponse("200 OK", "", "one");
            backend.openConnections.get(0).getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            assertTrue(client.readResponse().endsWith("one"));
            Fakes.await("and that is the end of it", () -> proxy.clientConnectionCount() == 0);
        }
        assertEquals(1, backend.requests.size(), "of those behind it none was taken");
    }

    /** Where the settings do not let attempts be called off, one that has not begun is not an attempt yet. */
    @Test
    void connectingAttemptIsCancelledWhenClientDisconnects() throws Exception {
        try (UnresponsiveServer unresponsiveServer = new UnresponsiveServer()) {
            discovery.setFirstList(FakeDiscovery.listJson(2, true,
                Fakes.entryJson("s-1", unresponsiveServer.port(), "active")));
            String configJson = Fakes.configJson(0, discovery.port(), 1024, "", "")
                .replace("\"MayCancel\":true", "\"MayCancel\":false")
                .replace("\"ConnectTimeout\":0.5", "\"ConnectTimeout\":600.0");
            proxy = new Proxy(Fakes.parseConfig(configJson));
            assertFalse(configJson.contains("\"MayCancel\":true"));
            try (FakeClient client = new FakeClient(proxy)) {
                client.send(FakeClient.postRequest("put", LONG_TIMEOUT_SECONDS));
                Fakes.await("it waits for its connection", () -> proxy.inFlightRequestCount() == 1);
            }
            Fakes.await("nothing waits any more", () -> proxy.inFlightRequestCount() == 0);
        }
    }
}
