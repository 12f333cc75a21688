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
 * Fixture with two backends, one of which discovery removes while it still answers, and proxy processes
 * that know both. Records the requests that still reach the removed backend.
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

    /** Creates proxies that are not started yet, each with its own subfolder. */
    void addProxies(int count, Path folder) throws IOException {
        for (int i = 0; i < count; i++) {
            proxies.add(new ProxyProcess(folder.resolve("n" + i)));
        }
    }

    /**
     * Sends requests to each proxy until {@code until} ({@link System#nanoTime}). Checks that each proxy
     * serves requests, and that none reaches the removed backend after {@code stopped}.
     */
    void assertNoneArrivesAfter(long stopped, long until, Object hint) throws Exception {
        List<SequentialClient> clients = new ArrayList<>();
        for (ProxyProcess proxy : proxies) {
            clients.add(new SequentialClient(proxy, stopped, until));
        }
        for (SequentialClient client : clients) {
            assertTrue(client.servedCount() > 0, "each proxy serves requests after the removal");
        }
        assertEquals(0, arrivedAtRemoved.stream().filter(at -> at > stopped).count(),
            "requests at the removed backend after the grace period; " + hint);
    }

    @Override
    public void close() throws IOException {
        proxies.forEach(ProxyProcess::close);
        kept.close();
        removed.close();
    }
}
