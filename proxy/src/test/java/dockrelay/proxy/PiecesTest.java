package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests that come in pieces, cut at every byte. Each proxy is given fewer than 40 of them: from then on
 * the module knows the class's floor, here a part of a millisecond, and sheds by chance after answers that
 * took three times as long, as they do on a busy machine. What is looked at here is what it reads.
 */
class PiecesTest {
    private static final int CUTS_A_PROXY = 15; // with two requests a cut
    private static final String BODY = "in pieces", SERVED = Fakes.httpResponse("200 OK", "", "served"),
        HEALTH = "GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n";

    private final FakeDiscovery discovery = new FakeDiscovery();
    private final FakeBackend backend = new FakeBackend(request -> SERVED);
    private Proxy proxy;

    /** What is done with a cut, on a connection of its own and with another one beside it. */
    private interface Cut {
        void at(int cut, FakeClient client, FakeClient beside) throws IOException;
    }

    @BeforeEach
    void start() throws Exception {
        discovery.setFirstList(FakeDiscovery.listJson(1, true, Fakes.entryJson("s-1", backend.port(), "active")));
        proxy = new Proxy(Fakes.config(discovery.port(), 1024));
        Fakes.await("healthz 200", () -> {
            try (FakeClient client = new FakeClient(proxy)) {
                return client.send(HEALTH).readStatus() == 200;
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
        return FakeClient.request("POST", "put", "X-Timeout: 9.0\r\nX-Number: " + number + "\r\n"
            + "Content-Length: " + BODY.length() + "\r\n") + BODY;
    }

    private static String chunked(int number) {
        return FakeClient.request("POST", "put", "X-Timeout: 9.0\r\nX-Number: " + number + "\r\n"
            + "Transfer-Encoding: chunked\r\n") + "4\r\nin p\r\n5\r\nieces\r\n0\r\n\r\n";
    }

    /** That the proxy has read what came before: its one loop has turned since. */
    private void awaitRead(FakeClient beside) throws IOException {
        assertEquals(200, beside.send(HEALTH).readStatus());
    }

    /** The last request arrived once and unchanged, and was served. */
    private void assertServed(FakeClient client, int number, int cut) throws IOException {
        assertEquals(200, client.readStatus(), "cut at " + cut);
        assertEquals(number, backend.requests.size(), "cut at " + cut);
        String request = backend.requests.get(number - 1);
        assertTrue(request.contains("X-Number: " + number + "\r\n") && request.endsWith("\r\n\r\n" + BODY),
            "cut at " + cut + ": " + request);
    }

    /** At every byte but the first, with another proxy after every few of them. */
    private void cutEverywhere(int length, Cut test) throws Exception {
        for (int from = 1; from < length; from += CUTS_A_PROXY) {
            if (from > 1) {
                proxy.stop();
                start();
            }
            try (FakeClient client = new FakeClient(proxy); FakeClient beside = new FakeClient(proxy)) {
                client.socket.setTcpNoDelay(true);
                for (int cut = from; cut < Math.min(length, from + CUTS_A_PROXY); cut++) {
                    test.at(cut, client, beside);
                }
            }
        }
    }

    private void assertWhole(String request, int number, int cut, FakeClient client, FakeClient beside)
        throws IOException {
        client.send(request.substring(0, cut));
        awaitRead(beside);
        assertEquals(number - 1, backend.requests.size(), "sent on before it was whole");
        client.send(request.substring(cut));
        assertServed(client, number, cut);
    }

    @Test
    void aRequestCutInTwoAtAnyByteArrivesOnceAndWhole() throws Exception {
        cutEverywhere(whole(1).length(),
            (cut, client, beside) -> assertWhole(whole(cut), cut, cut, client, beside));
    }

    @Test
    void aRequestInChunksCutInTwoAtAnyByteArrivesOnceAndWhole() throws Exception {
        cutEverywhere(chunked(1).length(),
            (cut, client, beside) -> assertWhole(chunked(cut), cut, cut, client, beside));
    }

    @Test
    void aRequestThatComesByteByByteArrivesOnceAndWhole() throws Exception {
        try (FakeClient client = new FakeClient(proxy); FakeClient beside = new FakeClient(proxy)) {
            client.socket.setTcpNoDelay(true);
            String request = whole(1);
            for (int at = 0; at < request.length(); at++) {
                client.send(request.substring(at, at + 1));
                awaitRead(beside);
            }
            assertServed(client, 1, 1);
        }
    }

    /** A cut within the second of two that come together. */
    @Test
    void aPieceOfTheNextRequestBehindOneIsKeptForIt() throws Exception {
        cutEverywhere(whole(1).length(), (cut, client, beside) -> {
            String second = whole(2 * cut);
            client.send(whole(2 * cut - 1) + second.substring(0, cut));
            assertServed(client, 2 * cut - 1, cut);
            awaitRead(beside);
            assertEquals(2 * cut - 1, backend.requests.size(), "sent on before it was whole");
            client.send(second.substring(cut));
            assertServed(client, 2 * cut, cut);
        });
    }
}
