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

/** Requests that cross the end of a connection, which the proxy closes, or of its listener. */
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
            Fakes.whileBlocked(proxy.eventLoop(), () -> proxy.clientSide().closeIdle(), () -> {
                client.send(FakeClient.getRequest("4.0"));
            });
            assertEquals(200, client.readStatus());
        }
    }

    /**
     * Half a line of a request is no reason to go on where there is no time left: its client sees the
     * end.
     */
    @Test
    void partialRequestCrossingCloseIsDiscardedWithoutReset() throws Exception {
        start(1024);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            String request = FakeClient.postRequest("put", "4.0");
            Fakes.whileBlocked(proxy.eventLoop(), () -> proxy.clientSide().closeIdle(), () -> {
                client.send(request.substring(0, 20));
            });
            assertNull(client.readResponse(), "an end in good order, and no reset over what was not read");
            client.send(request.substring(20));
        }
        Fakes.await("it is gone", () -> proxy.clientConnectionCount() == 0);
        try (FakeClient laterClient = new FakeClient(proxy)) {
            assertEquals(200, laterClient.send(FakeClient.getRequest("4.0")).readStatus());
        }
        assertTrue(backend.requests.stream().noneMatch(request -> request.startsWith("POST")));
    }

    /** Half a request has come on one that is to make room: it is served, others make room. */
    @Test
    void partialRequestPreventsEviction() throws Exception {
        start(1024);
        try (FakeClient client = new FakeClient(proxy)) {
            assertEquals(200, client.send(FakeClient.getRequest("4.0")).readStatus());
            String request = FakeClient.getRequest("4.0");
            Fakes.whileBlocked(proxy.eventLoop(), () -> proxy.clientSide().limitConnections(1), () -> {
                client.send(request.substring(0, 20));
            });
            client.send(request.substring(20));
            assertEquals(200, client.readStatus());
        }
    }

    /** All places are taken as SIGTERM comes, and more knock: closing the listener would reset those. */
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
        Fakes.await("they are out", () -> backend.requests.size() == 3);
        proxy.eventLoop().submit(() -> proxy.clientSide().limitConnections(3)).sync();
        int port = proxy.listenAddress().getPort();
        Thread stopThread = new Thread(proxy::stop);
        stopThread.start();
        Fakes.await("it is asked to end", proxy::isStopping);
        List<FakeClient> backlogClients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            backlogClients.add(new FakeClient(socket).send(FakeClient.getRequest("4.0")));
        }
        // By the loop's own clock, after the time at which nothing new need be taken any more.
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
