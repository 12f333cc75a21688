package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Most proxies of a fleet were killed at once and started again while discovery had more callers than it
 * could serve. Some of them had no list ten seconds later and went on sending to servers that were gone by
 * then. A call that discovery had let in waited up to two seconds for its turn, but the proxy took one that
 * was not answered within 1.5 s for dead and made a second call beside it. Discovery refused that one, and
 * with it the first: "call 6 after version 0, 1516 ms old, failed: answered 503" and "call 7 after version
 * 0, 15 ms old, failed: answered 503" have the same time of day in the log. With all proxies doing so no
 * call was answered for ten seconds, though ten a second were let in.
 */
class CrowdedDiscoveryTest {
    private static final int PROXIES = 4;
    /** After that no request may reach a removed backend, however crowded discovery was. */
    private static final long STOPPED_MILLIS =
        DiscoveryTimeouts.TOLD + BackendRemoval.GRACE_MILLIS + BackendRemoval.SLACK_MILLIS;
    private static final String SETTINGS = "\"Discovery\":\"ask\",\"Obligations\":{\"AskWithin\":10.0,"
        + "\"DrainGrace\":1.5},";

    private final BackendRemoval removal = new BackendRemoval();
    private final CrowdedDiscovery discovery =
        new CrowdedDiscovery(FakeDiscovery.listJson(1, true, removal.bothEntries));
    private final List<CrowdedDiscovery.Door> doors = new ArrayList<>();
    @TempDir
    private Path folder;

    @AfterEach
    void close() throws IOException {
        removal.close();
        discovery.close();
    }

    private void startAll() throws IOException {
        for (int i = 0; i < PROXIES; i++) {
            removal.proxies.get(i).start(doors.get(i).port(), removal.bothEntries, SETTINGS);
        }
        removal.proxies.forEach(ProxyProcess::awaitServing);
    }

    @Test
    void proxiesKilledTogetherHaveTheListInTimeWhileDiscoveryIsCrowded() throws Exception {
        for (int i = 0; i < PROXIES; i++) {
            doors.add(discovery.door());
        }
        removal.addProxies(PROXIES, folder);
        startAll();
        discovery.crowd();
        for (ProxyProcess proxy : removal.proxies) {
            proxy.kill();
        }
        discovery.publish(FakeDiscovery.listJson(2, true, removal.keptEntry));
        startAll();
        long changedAt = System.nanoTime();
        long stopped = changedAt + TimeUnit.MILLISECONDS.toNanos(STOPPED_MILLIS);
        long until = stopped + TimeUnit.SECONDS.toNanos(1);
        removal.assertNoneArrivesAfter(stopped, until, "discovery is crowded");
        for (int i = 0; i < PROXIES; i++) {
            assertEquals(1, doors.get(i).answered(), "calls of n" + i + " that were answered\n"
                + removal.proxies.get(i).readLog());
        }
    }
}
