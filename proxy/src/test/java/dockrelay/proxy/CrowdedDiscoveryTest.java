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
 * Guards against proxies that end their own queued calls. While discovery was overloaded, a call waited up
 * to 2 s in its queue, but a proxy took a call that was unanswered for 1.5 s for dead and made a second
 * one. Discovery refused that one and the queued first call with it (in the log both fail with status 503
 * at the same time of day). With all restarted proxies doing so, no call was answered for 10 s although ten
 * a second were queued, and requests went on to backends that were gone.
 */
class CrowdedDiscoveryTest {
    private static final int PROXIES = 4;
    /** After this time no request may reach a removed backend, however crowded discovery was. */
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
            assertEquals(1, doors.get(i).answered(), "answered calls of proxy n" + i + "\n"
                + removal.proxies.get(i).readLog());
        }
    }
}
