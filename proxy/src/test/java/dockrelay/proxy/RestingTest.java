package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.BackendFake;
import dockrelay.proxy.Fakes.ClientFake;
import dockrelay.proxy.Fakes.DiscoveryFake;
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
class RestingTest {
    private final BackendFake backend = new BackendFake(request -> Fakes.answer("200 OK", "", "one"));
    private final DiscoveryFake discovery = new DiscoveryFake();
    private Proxy proxy;

    private void start(int sockets) throws IOException {
        discovery.first(DiscoveryFake.list(2, true, Fakes.entry("s-1", backend.port(), "active")));
        proxy = new Proxy(Fakes.config(discovery.port(), sockets));
    }

    @AfterEach
    void close() throws IOException {
        if (proxy != null) {
            proxy.stop();
        }
        discovery.close();
        backend.close();
    }

    @Test
    void aRequestThatComesAsItsRestingConnectionIsAboutToBeClosedIsServed() throws Exception {
        start(1024);
        try (ClientFake client = new ClientFake(proxy)) {
            assertEquals(200, client.send(ClientFake.get("4.0")).status());
            Fakes.whileHeld(proxy.loop(), () -> proxy.clientSide().closeResting(), () -> {
                client.send(ClientFake.get("4.0"));
            });
            assertEquals(200, client.status());
        }
    }

    /**
     * Half a line of a request is no reason to go on where there is no time left: its client sees the
     * end.
     */
    @Test
    void whatCrossesTheEndOfARestingConnectionGoesNowhereAndIsNotReset() throws Exception {
        start(1024);
        try (ClientFake client = new ClientFake(proxy)) {
            assertEquals(200, client.send(ClientFake.get("4.0")).status());
            String request = ClientFake.post("put", "4.0");
            Fakes.whileHeld(proxy.loop(), () -> proxy.clientSide().closeResting(), () -> {
                client.send(request.substring(0, 20));
            });
            assertNull(client.answer(), "an end in good order, and no reset over what was not read");
            client.send(request.substring(20));
        }
        Fakes.await("it is gone", () -> proxy.clients() == 0);
        try (ClientFake marker = new ClientFake(proxy)) {
            assertEquals(200, marker.send(ClientFake.get("4.0")).status());
        }
        assertTrue(backend.requests.stream().noneMatch(request -> request.startsWith("POST")));
    }

    /** Half a request has come on one that is to make room: it is served, others make room. */
    @Test
    void halfARequestKeepsItsConnection() throws Exception {
        start(1024);
        try (ClientFake client = new ClientFake(proxy)) {
            assertEquals(200, client.send(ClientFake.get("4.0")).status());
            String request = ClientFake.get("4.0");
            Fakes.whileHeld(proxy.loop(), () -> proxy.clientSide().limit(1), () -> {
                client.send(request.substring(0, 20));
            });
            client.send(request.substring(20));
            assertEquals(200, client.status());
        }
    }

    /** All places are taken as SIGTERM comes, and more knock: closing the listener would reset those. */
    @Test
    void whatWaitsInTheBacklogAtSigtermIsServed() throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        backend.script = request -> {
            try {
                answers.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return Fakes.answer("200 OK", "", "one");
        };
        start(1024);
        List<ClientFake> busy = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            busy.add(new ClientFake(proxy).send(ClientFake.post("save", "4.0")));
        }
        Fakes.await("they are out", () -> backend.requests.size() == 3);
        proxy.loop().submit(() -> proxy.clientSide().limit(3)).sync();
        int port = proxy.address().getPort();
        Thread stopping = new Thread(proxy::stop);
        stopping.start();
        Fakes.await("it is asked to end", proxy::isStopping);
        List<ClientFake> waiting = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            waiting.add(new ClientFake(socket).send(ClientFake.get("4.0")));
        }
        // By the loop's own clock, after the time at which nothing new need be taken any more.
        proxy.loop().schedule(answers::countDown, Proxy.LAST_CONNECTIONS_MILLIS + 100, TimeUnit.MILLISECONDS);
        for (ClientFake one : busy) {
            assertEquals(200, one.status());
            one.close();
        }
        for (ClientFake one : waiting) {
            assertEquals(200, one.status());
            one.close();
        }
        stopping.join();
        proxy = null;
    }
}
