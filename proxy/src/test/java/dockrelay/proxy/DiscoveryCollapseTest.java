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
 * After an outage of discovery a large fleet stayed without a list for ten seconds and more, and went on
 * sending to servers that were gone. Discovery could serve some 19 calls a second; each proxy that waited
 * for a list made about one a second. A call that had waited for two seconds failed and was made again at
 * once, but kept its place in discovery's queue, so that discovery served callers that had gone: of 828
 * calls begun in the last eleven seconds of a day none was answered. With one call of each proxy in five
 * seconds, all else equal, all 39 calls of the three seconds after the outage were answered.
 */
class DiscoveryCollapseTest {
    private static final int PROXIES = 16;
    /** It can serve all proxies within 3.4 s, but not one call a second of each. */
    private static final long CALL_MILLIS = 210;
    private static final long OUTAGE_MILLIS = 6_000;
    private static final String SETTINGS = "\"Discovery\":\"ask\",\"Balancers\":" + PROXIES
        + ",\"Obligations\":{\"AskWithin\":10.0,\"DrainGrace\":1.5},";

    private final BackendRemoval removal = new BackendRemoval();
    private final QueueingDiscovery discovery =
        new QueueingDiscovery(FakeDiscovery.listJson(1, true, removal.bothEntries), CALL_MILLIS);
    @TempDir
    private Path folder;

    @AfterEach
    void close() throws IOException {
        removal.close();
        discovery.close();
    }

    private void startAll() throws IOException {
        removal.addProxies(PROXIES, folder);
        int number = 0;
        for (ProxyProcess proxy : removal.proxies) {
            proxy.start(discovery.door().port(), removal.bothEntries, "\"Me\":" + number++ + "," + SETTINGS);
        }
        removal.proxies.forEach(ProxyProcess::awaitServing);
        Fakes.await("all proxies watch", () -> discovery.watches() == PROXIES);
    }

    @Test
    void afterAnOutageAllProxiesHaveTheListInTimeThoughDiscoveryIsSlow() throws Exception {
        startAll();
        discovery.goDown();
        TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
        discovery.comeBack(FakeDiscovery.listJson(2, true, removal.keptEntry));
        long stopped = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(
            DiscoveryTimeouts.TOLD + BackendRemoval.GRACE_MILLIS + BackendRemoval.SLACK_MILLIS);
        removal.assertNoneArrivesAfter(stopped, stopped + TimeUnit.SECONDS.toNanos(1),
            "proxies that watch: " + discovery.watches());
        assertEquals(PROXIES, discovery.watches());
    }
}
