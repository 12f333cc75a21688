package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Two backends, of which discovery removes one, and proxies as processes that know both: who still sends to
 * the removed one, which goes on answering?
 */
final class BackendRemoval implements AutoCloseable {
    static final long GRACE_MILLIS = 1_500;
    static final long SLACK_MILLIS = 50;

    final List<ProxyProcess> proxies = new ArrayList<>();
    private final List<Long> arrivedAtRemoved = new CopyOnWriteArrayList<>();
    private final FakeBackend kept = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "kept"));
    private final FakeBackend removed = new FakeBackend(request -> {
        arrivedAtRemoved.add(System.nanoTime());
        return Fakes.httpResponse("200 OK", "", "removed");
    });
    final String keptEntry = Fakes.entryJson("s-kept", kept.port(), "active");
    final String bothEntries = keptEntry + "," + Fakes.entryJson("s-removed", removed.port(), "active");
    final String removedEntry = Fakes.entryJson("s-removed", removed.port(), "left");

    /** So many proxies, each with a folder of its own in this one. */
    void addProxies(int count, Path folder) throws IOException {
        for (int i = 0; i < count; i++) {
            proxies.add(new ProxyProcess(folder.resolve("n" + i)));
        }
    }

    /**
     * Sends requests to each proxy until a moment of the nano clock. Checks that each proxy serves, and that
     * nothing arrives at the removed backend after another moment.
     */
    void assertNoneArrivesAfter(long stopped, long until, Object hint) throws Exception {
        List<SequentialClient> clients = new ArrayList<>();
        for (ProxyProcess proxy : proxies) {
            clients.add(new SequentialClient(proxy, stopped, until));
        }
        for (SequentialClient client : clients) {
            assertTrue(client.servedCount() > 0, "each proxy still serves");
        }
        assertEquals(0, arrivedAtRemoved.stream().filter(at -> at > stopped).count(),
            "requests at the removed backend after the grace; " + hint);
    }

    @Override
    public void close() throws IOException {
        proxies.forEach(ProxyProcess::close);
        kept.close();
        removed.close();
    }
}
