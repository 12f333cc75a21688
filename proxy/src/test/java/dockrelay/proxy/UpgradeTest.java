package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An upgrade: two processes of one proxy share a listening socket that neither of them owns. */
class UpgradeTest {
    private final FakeDiscovery discovery = new FakeDiscovery();
    private final FakeBackend backend =
        new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "a rate"));
    private ServerSocketChannel listener;
    @TempDir
    private Path folder;

    @BeforeEach
    void start() throws IOException {
        discovery.setFirstList(FakeDiscovery.listJson(2, true,
            Fakes.entryJson("s-1", backend.port(), "active")));
        listener = ServerSocketChannel.open()
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() throws Exception {
        listener.close();
        backend.close();
        discovery.close();
    }

    private Proxy startProxy() throws IOException {
        Proxy proxy = new Proxy(Fakes.config(discovery.port(), 1024),
            new ProcessEnvironment(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), folder,
            listener));
        assertTrue(Fakes.callConsole(proxy, "PING\n").startsWith("200 "),
            "the proxy serves once discovery lists a backend");
        return proxy;
    }

    private FakeClient connectClient() throws IOException {
        int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        return new FakeClient(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    @Test
    void stoppingProcessServesAcceptedConnectionsAndLeavesNewOnes() throws Exception {
        Proxy first = startProxy();
        try (FakeClient unused = connectClient(); FakeClient idle = connectClient()) {
            assertEquals(200, idle.send(FakeClient.getRequest("2.0")).readStatus());
            Fakes.await("both connections are accepted", () -> first.clientConnectionCount() == 2);
            Proxy next = startProxy();
            Thread stopping = new Thread(first::stop);
            stopping.start();
            Fakes.await("the first process reports that it stops", () ->
                Fakes.callConsole(first, "PING\n").startsWith("400 "));
            try (FakeClient newClient = connectClient()) {
                assertEquals(200, newClient.send(FakeClient.getRequest("2.0")).readStatus());
                assertEquals(1, next.clientConnectionCount(),
                    "the second process has accepted the connection");
                for (FakeClient accepted : new FakeClient[] {unused, idle}) {
                    String answer = accepted.send(FakeClient.getRequest("2.0")).readResponse();
                    assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
                    assertTrue(answer.contains("connection: close"), answer);
                    assertNull(accepted.readResponse());
                    accepted.close();
                }
                stopping.join();
                assertTrue(listener.isOpen(),
                    "the listener stays open: closing it would redirect the log to /dev/null");
                assertEquals(200, newClient.send(FakeClient.getRequest("2.0")).readStatus());
            }
            next.stop();
        }
    }

    @Test
    void processesExchangeDescriptorCountsUntilOneEnds() throws Exception {
        UpgradeOverlapDetector first = new UpgradeOverlapDetector(folder);
        assertEquals(-1, first.exchangeDescriptorCounts(5));
        UpgradeOverlapDetector second = new UpgradeOverlapDetector(folder);
        assertEquals(5, second.exchangeDescriptorCounts(7));
        assertEquals(7, first.exchangeDescriptorCounts(6));
        assertEquals(6, second.exchangeDescriptorCounts(7));
        first.close();
        assertEquals(-1, second.exchangeDescriptorCounts(7));
        second.close();
    }

    @Test
    void startFailsWithoutListeningSocket() {
        Config config = Fakes.config(1, 1024);
        for (String descriptor : new String[] {"0", "3", "x"}) {
            IOException failure = assertThrows(IOException.class,
                () -> ProcessEnvironment.read(config, Map.of("PROXY_SOCKET_FD", descriptor)));
            assertTrue(failure.getMessage().endsWith("PROXY_SOCKET_FD is " + descriptor
                + "; only 0 (standard input) as a listening socket is supported"), failure.getMessage());
        }
    }
}
