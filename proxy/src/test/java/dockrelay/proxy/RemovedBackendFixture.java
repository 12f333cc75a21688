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
final class RemovedBackendFixture implements AutoCloseable {
    static final long DRAIN_GRACE_MILLIS = 1_500;
    static final long TOLERANCE_MILLIS = 50;

    final List<ProxyProcess> proxies = new ArrayList<>();
    private final List<Long> removedBackendArrivalNanos = new CopyOnWriteArrayList<>();
    private final FakeBackend keptBackend = new FakeBackend(request ->
        Fakes.httpResponse("200 OK", "", "kept"));
    private final FakeBackend removedBackend = new FakeBackend(request -> {
        removedBackendArrivalNanos.add(System.nanoTime());
        return Fakes.httpResponse("200 OK", "", "removed");
    });
    final String keptEntry = Fakes.entryJson("s-kept", keptBackend.port(), "active");
    final String bothEntries = keptEntry + "," + Fakes.entryJson("s-removed", removedBackend.port(),
        "active");
    final String removedEntry = Fakes.entryJson("s-removed", removedBackend.port(), "left");

    /** Creates proxies that are not started yet, each with its own subfolder. */
    void addProxies(int count, Path folder) throws IOException {
        for (int i = 0; i < count; i++) {
            proxies.add(new ProxyProcess(folder.resolve("n" + i)));
        }
    }

    /**
     * Sends requests to each proxy until {@code endNanos} ({@link System#nanoTime}). Checks that each proxy
     * serves requests, and that none reaches the removed backend after {@code deadlineNanos}.
     */
    void assertNoRequestsAfter(long deadlineNanos, long endNanos, Object details) throws Exception {
        List<SequentialClient> clients = new ArrayList<>();
        for (ProxyProcess proxy : proxies) {
            clients.add(new SequentialClient(proxy, deadlineNanos, endNanos));
        }
        for (SequentialClient client : clients) {
            assertTrue(client.servedCount() > 0, "each proxy serves requests after the removal");
        }
        assertEquals(0, removedBackendArrivalNanos.stream().filter(arrivalNanos ->
            arrivalNanos > deadlineNanos).count(),
            "requests at the removed backend after the grace period; " + details);
    }

    @Override
    public void close() throws IOException {
        proxies.forEach(ProxyProcess::close);
        keptBackend.close();
        removedBackend.close();
    }
}
