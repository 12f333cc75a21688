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
 * to 2 s in its queue, but a proxy considered a call dead that was unanswered for 1.5 s and made a second
 * one. Discovery refused that one and the queued first call with it (in the log both fail with status 503
 * at the same time of day). With all restarted proxies doing so, no call was answered for 10 s although ten
 * a second were queued, and requests went on to backends that were gone.
 */
class OverloadedDiscoveryTest {
    private static final int PROXY_COUNT = 4;
    /** After this time no request may reach a removed backend, however overloaded discovery was. */
    private static final long DEADLINE_MILLIS =
        DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS + RemovedBackendFixture.DRAIN_GRACE_MILLIS
        + RemovedBackendFixture.TOLERANCE_MILLIS;
    private static final String SETTINGS = "\"Discovery\":\"ask\",\"Obligations\":{\"AskWithin\":10.0,"
        + "\"DrainGrace\":1.5},";

    private final RemovedBackendFixture fixture = new RemovedBackendFixture();
    private final OverloadedDiscovery discovery =
        new OverloadedDiscovery(FakeDiscovery.listJson(1, true, fixture.bothEntries));
    private final List<OverloadedDiscovery.CallerServer> callerServers = new ArrayList<>();
    @TempDir
    private Path tempFolder;

    @AfterEach
    void close() throws IOException {
        fixture.close();
        discovery.close();
    }

    private void startAll() throws IOException {
        for (int i = 0; i < PROXY_COUNT; i++) {
            fixture.proxies.get(i).start(callerServers.get(i).port(), fixture.bothEntries, SETTINGS);
        }
        fixture.proxies.forEach(ProxyProcess::awaitServing);
    }

    @Test
    void restartedProxiesHaveListInTimeDuringOverload() throws Exception {
        for (int i = 0; i < PROXY_COUNT; i++) {
            callerServers.add(discovery.addCaller());
        }
        fixture.addProxies(PROXY_COUNT, tempFolder);
        startAll();
        discovery.startOverload();
        for (ProxyProcess proxy : fixture.proxies) {
            proxy.kill();
        }
        discovery.publish(FakeDiscovery.listJson(2, true, fixture.keptEntry));
        startAll();
        long changedAtNanos = System.nanoTime();
        long deadlineNanos = changedAtNanos + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
        long endNanos = deadlineNanos + TimeUnit.SECONDS.toNanos(1);
        fixture.assertNoRequestsAfter(deadlineNanos, endNanos, "discovery is overloaded");
        for (int i = 0; i < PROXY_COUNT; i++) {
            assertEquals(1, callerServers.get(i).answeredCalls(), "answered calls of proxy n" + i + "\n"
                + fixture.proxies.get(i).readLog());
        }
    }
}
