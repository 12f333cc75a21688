package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests that arrive while the proxy closes their idle connection or its listener. */
class ConnectionCloseRaceTest {
    private final FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
    private final FakeDiscovery discovery = new FakeDiscovery();
    private Proxy proxy;

    private void start(int maxSockets) throws IOException {
        discovery.setFirstList(FakeDiscovery.listJson(2, true,
            Fakes.entryJson("s-1", backend.port(), "active")));
        proxy = new Proxy(Fakes.config(discovery.port(), maxSockets));
    }

    @AfterEach
    void tearDown() throws IOException {
        if (proxy != null) {
            proxy.stop();
        }
        discovery.close();
        backend.close();
    }

    @Test
    void requestArrivingBeforeIdleCloseIsServed() throws Exception {
        start(1024);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            Fakes.whileBlocked(proxy.eventLoop(), () -> proxy.clientFrontend().closeIdle(), () -> {
                client.send(FakeClient.getRequest("4.0"));
            });
            assertEquals(200, client.readStatus());
        }
    }

    /**
     * When time is up, a partly received request does not keep its connection open; the client sees the end.
     */
    @Test
    void partialRequestCrossingCloseIsDiscardedWithoutReset() throws Exception {
        start(1024);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            String request = FakeClient.postRequest("put", "4.0");
            Fakes.whileBlocked(proxy.eventLoop(), () -> proxy.clientFrontend().closeIdle(), () -> {
                client.send(request.substring(0, 20));
            });
            assertNull(client.readResponse(), "expected an orderly close, not a reset over unread bytes");
            client.send(request.substring(20));
        }
        Fakes.await("the client connection to be closed", () -> proxy.clientConnectionCount() == 0);
        try (FakeClient laterClient = new FakeClient(proxy)) {
            assertEquals(200, laterClient.send(FakeClient.getRequest("4.0")).readStatus());
        }
        assertTrue(backend.requests.stream().noneMatch(request -> request.startsWith("POST")));
    }

    /**
     * A connection chosen for eviction has received a part of a request: it is kept and the request is
     * served.
     */
    @Test
    void partialRequestPreventsEviction() throws Exception {
        start(1024);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            String request = FakeClient.getRequest("4.0");
            Fakes.whileBlocked(proxy.eventLoop(), () -> proxy.clientFrontend().limitConnections(1), () -> {
                client.send(request.substring(0, 20));
            });
            client.send(request.substring(20));
            assertEquals(200, client.readStatus());
        }
    }

    /**
     * SIGTERM arrives at the connection limit with further connections waiting, which a close would reset.
     */
    @Test
    void backlogIsServedAfterSigterm() throws Exception {
        CountDownLatch responsesReleased = new CountDownLatch(1);
        backend.responder = request -> {
            try {
                responsesReleased.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return Fakes.httpResponse("200 OK", "", "one");
        };
        start(1024);
        List<FakeClient> activeClients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            activeClients.add(new FakeClient(proxy).send(FakeClient.postRequest("save", "4.0")));
        }
        Fakes.await("the requests to reach the backend", () -> backend.requests.size() == 3);
        proxy.eventLoop().submit(() -> proxy.clientFrontend().limitConnections(3)).sync();
        int port = proxy.listenAddress().getPort();
        Thread stopThread = new Thread(proxy::stop);
        stopThread.start();
        Fakes.await("the proxy to start stopping", proxy::isStopping);
        List<FakeClient> backlogClients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            backlogClients.add(new FakeClient(socket).send(FakeClient.getRequest("4.0")));
        }
        // By the event loop's clock, after the period in which new connections still have to be accepted.
        proxy.eventLoop().schedule(responsesReleased::countDown, Proxy.ACCEPT_AFTER_STOP_MILLIS + 100,
            TimeUnit.MILLISECONDS);
        for (FakeClient client : activeClients) {
            assertEquals(200, client.readStatus());
            client.close();
        }
        for (FakeClient client : backlogClients) {
            assertEquals(200, client.readStatus());
            client.close();
        }
        stopThread.join();
        proxy = null;
    }
}
