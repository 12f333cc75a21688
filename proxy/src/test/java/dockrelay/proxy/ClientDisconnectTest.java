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

/** Once a client has closed its connection, no attempt for its request may start. */
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

    /**
     * The client sends its request on a new connection in the backlog or on an idle one, and closes right
     * behind the request. The proxy reads both at once and must not forward the request.
     */
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
            Fakes.await("both client connections to be closed", () -> proxy.clientConnectionCount() == 0);
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
            Fakes.await("the first request to reach the backend", () -> backend.requests.size() == 1);
        }
        Fakes.await("the attempt to be cancelled", () -> backend.closedCount.get() == 1);
        Fakes.await("no request in flight", () -> proxy.inFlightRequestCount() == 0);
        assertEquals(1, backend.requests.size());
    }

    /** Pipelined data is queued up to a bound; beyond it, the pending response closes the connection. */
    @Test
    void pipelinedDataIsBounded() throws Exception {
        backend.responder = request -> null;
        start(backend.port(), SHORT_AIM, LONG_AIM);
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.postRequest("put", LONG_TIMEOUT_SECONDS));
            Fakes.await("the request to reach the backend", () -> backend.requests.size() == 1);
            String pipelinedRequest = FakeClient.getRequest(LONG_TIMEOUT_SECONDS);
            for (int i = 0; i < 20; i++) { // about 300 kB in all, with 2,000 requests in the first write
                client.send(i == 0 ? "GET /x HTTP/1.1\r\n\r\n".repeat(2_000) : pipelinedRequest.repeat(100));
            }
            backend.responder = request -> Fakes.httpResponse("200 OK", "", "other");
            String response = Fakes.httpResponse("200 OK", "", "one");
            backend.openConnections.get(0).getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            assertTrue(client.readResponse().endsWith("one"));
            Fakes.await("the client connection to be closed", () -> proxy.clientConnectionCount() == 0);
        }
        assertEquals(1, backend.requests.size(), "no pipelined request may be forwarded");
    }

    /**
     * An attempt that has sent nothing yet is cancelled even where the settings forbid cancelling attempts.
     */
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
                Fakes.await("the attempt to wait for its connection", () ->
                    proxy.inFlightRequestCount() == 1);
            }
            Fakes.await("no request in flight", () -> proxy.inFlightRequestCount() == 0);
        }
    }
}
