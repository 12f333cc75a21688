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
    private final FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "a rate"));
    private ServerSocketChannel listener;
    @TempDir
    private Path folder;

    @BeforeEach
    void start() throws IOException {
        discovery.setFirstList(FakeDiscovery.listJson(2, true, Fakes.entryJson("s-1", backend.port(), "active")));
        listener = ServerSocketChannel.open()
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void end() throws Exception {
        listener.close();
        backend.close();
        discovery.close();
    }

    private Proxy started() throws IOException {
        Proxy proxy = new Proxy(Fakes.config(discovery.port(), 1024),
            new ProcessEnvironment(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), folder, listener));
        assertTrue(Fakes.callConsole(proxy, "PING\n").startsWith("200 "),
            "the proxy serves once discovery lists a backend");
        return proxy;
    }

    private FakeClient client() throws IOException {
        int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        return new FakeClient(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    @Test
    void askedToEndItServesWhatItAcceptedAndLeavesTheRestToTheNextOne() throws Exception {
        Proxy first = started();
        try (FakeClient unread = client(); FakeClient resting = client()) {
            assertEquals(200, resting.send(FakeClient.getRequest("2.0")).readStatus());
            Fakes.await("both connections are accepted", () -> first.clientConnectionCount() == 2);
            Proxy next = started();
            Thread stopping = new Thread(first::stop);
            stopping.start();
            Fakes.await("the first process reports that it stops", () ->
                Fakes.callConsole(first, "PING\n").startsWith("400 "));
            try (FakeClient late = client()) {
                assertEquals(200, late.send(FakeClient.getRequest("2.0")).readStatus());
                assertEquals(1, next.clientConnectionCount(), "the second process has accepted the connection");
                for (FakeClient kept : new FakeClient[] {unread, resting}) {
                    String answer = kept.send(FakeClient.getRequest("2.0")).readResponse();
                    assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
                    assertTrue(answer.contains("connection: close"), answer);
                    assertNull(kept.readResponse());
                    kept.close();
                }
                stopping.join();
                assertTrue(listener.isOpen(),
                    "the listener stays open: closing it would redirect the log to /dev/null");
                assertEquals(200, late.send(FakeClient.getRequest("2.0")).readStatus());
            }
            next.stop();
        }
    }

    @Test
    void eachKnowsWhatTheOtherHoldsAndThatItHasEnded() throws Exception {
        UpgradeOverlapDetector one = new UpgradeOverlapDetector(folder);
        assertEquals(-1, one.exchangeDescriptorCounts(5));
        UpgradeOverlapDetector two = new UpgradeOverlapDetector(folder);
        assertEquals(5, two.exchangeDescriptorCounts(7));
        assertEquals(7, one.exchangeDescriptorCounts(6));
        assertEquals(6, two.exchangeDescriptorCounts(7));
        one.close();
        assertEquals(-1, two.exchangeDescriptorCounts(7));
        two.close();
    }

    @Test
    void whatIsNoListeningSocketFailsTheStart() {
        Config config = Fakes.config(1, 1024);
        for (String descriptor : new String[] {"0", "3", "x"}) {
            IOException failed = assertThrows(IOException.class,
                () -> ProcessEnvironment.read(config, Map.of("PROXY_SOCKET_FD", descriptor)));
            assertTrue(failed.getMessage().contains("no listening socket"), failed.getMessage());
        }
    }
}
