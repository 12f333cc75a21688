package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against congestion collapse of discovery. After an outage, a large fleet had no list for more than
 * 10 s and sent requests to backends that were gone: discovery could serve about 19 calls a second, and
 * each proxy without a list made about one a second. A call that timed out after 2 s was repeated at once
 * but kept its place in the queue, so discovery only served callers that had given up: none of 828 calls in
 * 11 s was answered. With one call per proxy every 5 s, all 39 calls in the 3 s after the outage were
 * answered.
 */
class DiscoveryCollapseTest {
    private static final int PROXY_COUNT = 16;
    /** Discovery can serve all proxies within 3.4 s, but not one call a second from each. */
    private static final long CALL_MILLIS = 210;
    private static final long OUTAGE_MILLIS = 6_000;
    private static final String SETTINGS = "\"Discovery\":\"ask\",\"Balancers\":" + PROXY_COUNT
        + ",\"Obligations\":{\"AskWithin\":10.0,\"DrainGrace\":1.5},";

    private final RemovedBackendFixture fixture = new RemovedBackendFixture();
    private final QueueingDiscovery discovery =
        new QueueingDiscovery(FakeDiscovery.listJson(1, true, fixture.bothEntries), CALL_MILLIS);
    @TempDir
    private Path tempFolder;

    @AfterEach
    void close() throws IOException {
        fixture.close();
        discovery.close();
    }

    private void startAll() throws IOException {
        fixture.addProxies(PROXY_COUNT, tempFolder);
        int proxyNumber = 0;
        for (ProxyProcess proxy : fixture.proxies) {
            proxy.start(discovery.addCaller().port(), fixture.bothEntries, "\"Me\":" + proxyNumber++ + ","
                + SETTINGS);
        }
        fixture.proxies.forEach(ProxyProcess::awaitServing);
        Fakes.await("a watch from each proxy", () -> discovery.watchCount() == PROXY_COUNT);
    }

    @Test
    void slowDiscoveryServesAllProxiesInTimeAfterOutage() throws Exception {
        startAll();
        discovery.startOutage();
        TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
        discovery.endOutage(FakeDiscovery.listJson(2, true, fixture.keptEntry));
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(
            DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS + RemovedBackendFixture.DRAIN_GRACE_MILLIS
            + RemovedBackendFixture.TOLERANCE_MILLIS);
        fixture.assertNoRequestsAfter(deadlineNanos, deadlineNanos + TimeUnit.SECONDS.toNanos(1),
            "proxies with a watch: " + discovery.watchCount());
        assertEquals(PROXY_COUNT, discovery.watchCount());
    }
}
