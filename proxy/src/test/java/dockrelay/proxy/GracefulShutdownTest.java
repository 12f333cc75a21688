package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the connections that stay open after SIGTERM. */
class GracefulShutdownTest {
    private final FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
    private final FakeDiscovery discovery = new FakeDiscovery();
    private Proxy proxy;

    @BeforeEach
    void start() throws IOException {
        discovery.setFirstList(FakeDiscovery.listJson(2, true,
            Fakes.entryJson("s-1", backend.port(), "active")));
        proxy = new Proxy(Fakes.config(discovery.port(), 1024));
    }

    @AfterEach
    void close() throws IOException {
        discovery.close();
        backend.close();
    }

    /** One connection has been used, one is unused, and one has received part of a request. */
    @Test
    void openConnectionsAreAnsweredAfterListenerCloses() throws Exception {
        try (FakeClient usedClient = new FakeClient(proxy); FakeClient unusedClient = new FakeClient(proxy);
             FakeClient partialClient = new FakeClient(proxy)) {
            assertEquals(200, usedClient.send(FakeClient.getRequest("4.0")).readStatus());
            String request = FakeClient.getRequest("4.0");
            partialClient.send(request.substring(0, 20));
            Fakes.await("three client connections", () -> proxy.clientConnectionCount() == 3);
            int port = proxy.listenAddress().getPort();
            Thread stopThread = new Thread(proxy::stop);
            stopThread.start();
            Fakes.await("new connections to be refused", () -> {
                try {
                    new Socket(InetAddress.getLoopbackAddress(), port).close();
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
            for (FakeClient client : new FakeClient[] {usedClient, unusedClient, partialClient}) {
                client.send(client == partialClient ? request.substring(20) : FakeClient.getRequest("4.0"));
            }
            for (FakeClient client : new FakeClient[] {usedClient, unusedClient, partialClient}) {
                String response = client.readResponse();
                assertTrue(response != null && response.startsWith("HTTP/1.1 200"), response);
                assertTrue(response.toLowerCase().contains("connection: close"), response);
            }
            stopThread.join();
        }
    }
}
