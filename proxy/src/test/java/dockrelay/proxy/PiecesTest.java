package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.BackendFake;
import dockrelay.proxy.Fakes.ClientFake;
import dockrelay.proxy.Fakes.DiscoveryFake;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that come in pieces, cut at every byte. */
class PiecesTest {
    private static final String BODY = "in pieces", SERVED = Fakes.answer("200 OK", "", "served"),
        HEALTH = "GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n";

    private final DiscoveryFake discovery = new DiscoveryFake();
    private final BackendFake backend = new BackendFake(request -> SERVED);
    private Proxy proxy;

    @BeforeEach
    void start() throws Exception {
        discovery.first(DiscoveryFake.list(1, true, Fakes.entry("s-1", backend.port(), "active")));
        proxy = new Proxy(Fakes.config(discovery.port(), 1024));
        Fakes.await("healthz 200", () -> {
            try (ClientFake client = new ClientFake(proxy)) {
                return client.send(HEALTH).status() == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    @AfterEach
    void end() throws Exception {
        proxy.stop();
        backend.close();
        discovery.close();
    }

    private static String whole(int number) {
        return ClientFake.request("POST", "put", "X-Timeout: 9.0\r\nX-Number: " + number + "\r\n"
            + "Content-Length: " + BODY.length() + "\r\n") + BODY;
    }

    private static String chunked(int number) {
        return ClientFake.request("POST", "put", "X-Timeout: 9.0\r\nX-Number: " + number + "\r\n"
            + "Transfer-Encoding: chunked\r\n") + "4\r\nin p\r\n5\r\nieces\r\n0\r\n\r\n";
    }

    /** That the proxy has read what came before: its one loop has turned since. */
    private void awaitRead(ClientFake beside) throws IOException {
        assertEquals(200, beside.send(HEALTH).status());
    }

    /** The last request arrived once and unchanged. */
    private void assertArrived(int number, int cut) {
        assertEquals(number, backend.requests.size(), "cut at " + cut);
        String request = backend.requests.get(number - 1);
        assertTrue(request.contains("X-Number: " + number + "\r\n") && request.endsWith("\r\n\r\n" + BODY),
            "cut at " + cut + ": " + request);
    }

    /** Each one alone on its connection, and each also right behind the one before. */
    private void cutEverywhere(boolean chunks) throws IOException {
        int number = 0;
        try (ClientFake client = new ClientFake(proxy); ClientFake beside = new ClientFake(proxy)) {
            client.socket.setTcpNoDelay(true);
            int length = chunks ? chunked(1).length() : whole(1).length();
            for (int cut = 1; cut < length; cut++) {
                String request = chunks ? chunked(++number) : whole(++number);
                client.send(request.substring(0, cut));
                awaitRead(beside);
                assertEquals(number - 1, backend.requests.size(), "sent on before it was whole");
                client.send(request.substring(cut));
                assertEquals(200, client.status(), "cut at " + cut);
                assertArrived(number, cut);
            }
        }
    }

    @Test
    void aRequestCutInTwoAtAnyByteArrivesOnceAndWhole() throws Exception {
        cutEverywhere(false);
    }

    @Test
    void aRequestInChunksCutInTwoAtAnyByteArrivesOnceAndWhole() throws Exception {
        cutEverywhere(true);
    }

    @Test
    void aRequestThatComesByteByByteArrivesOnceAndWhole() throws Exception {
        try (ClientFake client = new ClientFake(proxy); ClientFake beside = new ClientFake(proxy)) {
            client.socket.setTcpNoDelay(true);
            String request = whole(1);
            for (int at = 0; at < request.length(); at++) {
                client.send(request.substring(at, at + 1));
                awaitRead(beside);
            }
            assertEquals(200, client.status());
            assertArrived(1, 1);
        }
    }

    /** A cut within the second of two that come together. */
    @Test
    void aPieceOfTheNextRequestBehindOneIsKeptForIt() throws Exception {
        int number = 0;
        try (ClientFake client = new ClientFake(proxy); ClientFake beside = new ClientFake(proxy)) {
            client.socket.setTcpNoDelay(true);
            for (int cut = 1; cut < whole(1).length(); cut++) {
                String first = whole(++number), second = whole(++number);
                client.send(first + second.substring(0, Math.min(cut, second.length() - 1)));
                assertEquals(200, client.status(), "cut at " + cut);
                awaitRead(beside);
                assertArrived(number - 1, cut);
                client.send(second.substring(Math.min(cut, second.length() - 1)));
                assertEquals(200, client.status(), "cut at " + cut);
                assertArrived(number, cut);
            }
        }
    }
}
