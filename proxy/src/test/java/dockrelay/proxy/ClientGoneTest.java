package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.Deaf;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A client that has closed its connection has gone: nothing of its request begins after that. */
class ClientGoneTest {
    private static final String LONG = "3600";
    private static final String SHORT_AIM = "\"Aim\":1.0,\"HardLimit\":5.0";
    private static final String LONG_AIM = "\"Aim\":3600.0,\"HardLimit\":3600.0";
    private final FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
    private final FakeDiscovery discovery = new FakeDiscovery();
    private Proxy proxy;

    private void start(int port, String from, String to) throws IOException {
        discovery.setFirstList(FakeDiscovery.listJson(2, true, Fakes.entryJson("s-1", port, "active")));
        proxy = new Proxy(Fakes.parseConfig(Fakes.configJson(0, discovery.port(), 1024, "", "").replace(from, to)));
    }

    @AfterEach
    void close() throws IOException {
        if (proxy != null) {
            proxy.stop();
        }
        discovery.close();
        backend.close();
    }

    /** It was in the backlog, or on a resting connection: the end of it lies right behind the request. */
    @Test
    void aRequestWhoseClientHasLeftBeforeItIsReadGoesNowhere() throws Exception {
        start(backend.port(), "", "");
        try (FakeClient used = new FakeClient(proxy)) {
            assertEquals(200, used.send(FakeClient.getRequest("4.0")).readStatus());
            backend.requests.clear();
            Fakes.whileHeld(proxy.eventLoop(), () -> { }, () -> {
                used.send(FakeClient.postRequest("put", "4.0"));
                used.socket.close();
                Socket fresh = new Socket(InetAddress.getLoopbackAddress(), proxy.listenAddress().getPort());
                new FakeClient(fresh).send(FakeClient.postRequest("put", "4.0")).close();
            });
            Fakes.await("both are gone", () -> proxy.clientConnectionCount() == 0);
            try (FakeClient marker = new FakeClient(proxy)) {
                assertEquals(200, marker.send(FakeClient.postRequest("save", "4.0")).readStatus());
            }
            assertEquals(1, backend.requests.size(), backend.requests.toString());
            assertTrue(backend.requests.get(0).startsWith("POST /save/"), backend.requests.toString());
        }
    }

    @Test
    void aClientThatLeavesBehindMoreRequestsHasLeft() throws Exception {
        backend.responder = request -> null;
        start(backend.port(), SHORT_AIM, LONG_AIM);
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.postRequest("put", LONG)).send(FakeClient.postRequest("put", LONG)
                + FakeClient.postRequest("put", LONG).substring(0, 30));
            Fakes.await("the first one is out", () -> backend.requests.size() == 1);
        }
        Fakes.await("it is called off", () -> backend.ended.get() == 1);
        Fakes.await("nothing is in hand", () -> proxy.inFlightRequestCount() == 0);
        assertEquals(1, backend.requests.size());
    }

    /**
     * What a client sends behind its request waits, but not without bound; then its answer is the last
     * one.
     */
    @Test
    void whatComesBehindARequestIsBounded() throws Exception {
        backend.responder = request -> null;
        start(backend.port(), SHORT_AIM, LONG_AIM);
        try (FakeClient client = new FakeClient(proxy)) {
            client.send(FakeClient.postRequest("put", LONG));
            Fakes.await("it is out", () -> backend.requests.size() == 1);
            String more = FakeClient.getRequest(LONG);
            for (int i = 0; i < 20; i++) { // some 300 kB, all of which is read, and some 2,000 in one write
                client.send(i == 0 ? "GET /x HTTP/1.1\r\n\r\n".repeat(2_000) : more.repeat(100));
            }
            backend.responder = request -> Fakes.httpResponse("200 OK", "", "other");
            String answer = Fakes.httpResponse("200 OK", "", "one");
            backend.openConnections.get(0).getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            assertTrue(client.readResponse().endsWith("one"));
            Fakes.await("and that is the end of it", () -> proxy.clientConnectionCount() == 0);
        }
        assertEquals(1, backend.requests.size(), "of those behind it none was taken");
    }

    /** Where the settings do not let attempts be called off, one that has not begun is not an attempt yet. */
    @Test
    void anAttemptThatWaitsForAConnectionEndsWithItsClient() throws Exception {
        try (Deaf deaf = new Deaf()) {
            discovery.setFirstList(FakeDiscovery.listJson(2, true, Fakes.entryJson("s-1", deaf.port(), "active")));
            String text = Fakes.configJson(0, discovery.port(), 1024, "", "")
                .replace("\"MayCancel\":true", "\"MayCancel\":false")
                .replace("\"ConnectTimeout\":0.5", "\"ConnectTimeout\":600.0");
            proxy = new Proxy(Fakes.parseConfig(text));
            assertFalse(text.contains("\"MayCancel\":true"));
            try (FakeClient client = new FakeClient(proxy)) {
                client.send(FakeClient.postRequest("put", LONG));
                Fakes.await("it waits for its connection", () -> proxy.inFlightRequestCount() == 1);
            }
            Fakes.await("nothing waits any more", () -> proxy.inFlightRequestCount() == 0);
        }
    }
}
