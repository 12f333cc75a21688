package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.BackendFake;
import dockrelay.proxy.Fakes.ClientFake;
import dockrelay.proxy.Fakes.DiscoveryFake;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** After SIGTERM, on the connections that stay open. */
class StopTest {
    private final BackendFake backend = new BackendFake(request -> Fakes.answer("200 OK", "", "one"));
    private final DiscoveryFake discovery = new DiscoveryFake();
    private Proxy proxy;

    @BeforeEach
    void start() throws IOException {
        discovery.first(DiscoveryFake.list(2, true, Fakes.entry("s-1", backend.port(), "active")));
        proxy = new Proxy(Fakes.config(discovery.port(), 1024));
    }

    @AfterEach
    void close() throws IOException {
        discovery.close();
        backend.close();
    }

    /** One has been used, one never was, and of one request only a part has come. */
    @Test
    void whatStaysOpenIsAnsweredAlsoOnceNothingNewIsTaken() throws Exception {
        try (ClientFake used = new ClientFake(proxy); ClientFake fresh = new ClientFake(proxy);
             ClientFake half = new ClientFake(proxy)) {
            assertEquals(200, used.send(ClientFake.get("4.0")).status());
            String request = ClientFake.get("4.0");
            half.send(request.substring(0, 20));
            Fakes.await("three connections", () -> proxy.clients() == 3);
            int port = proxy.address().getPort();
            Thread stopping = new Thread(proxy::stop);
            stopping.start();
            Fakes.await("nothing new is taken", () -> {
                try {
                    new Socket(InetAddress.getLoopbackAddress(), port).close();
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
            for (ClientFake one : new ClientFake[] {used, fresh, half}) {
                one.send(one == half ? request.substring(20) : ClientFake.get("4.0"));
            }
            for (ClientFake one : new ClientFake[] {used, fresh, half}) {
                String answer = one.answer();
                assertTrue(answer != null && answer.startsWith("HTTP/1.1 200"), answer);
                assertTrue(answer.toLowerCase().contains("connection: close"), answer);
            }
            stopping.join();
        }
    }
}
