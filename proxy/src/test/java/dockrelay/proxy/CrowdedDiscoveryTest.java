package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.BackendFake;
import dockrelay.proxy.Fakes.DiscoveryFake;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
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
    private static final long GRACE_MILLIS = 1_500;
    /** After that no request may reach a removed backend, however crowded discovery was. */
    private static final long STOPPED_MILLIS = DiscoveryTimeouts.TOLD + GRACE_MILLIS + 50;
    private static final String SETTINGS = "\"Discovery\":\"ask\",\"Obligations\":{\"AskWithin\":10.0,"
        + "\"DrainGrace\":1.5},";

    private final List<Long> arrivedAtRemoved = new CopyOnWriteArrayList<>();
    private final BackendFake kept = new BackendFake(request -> Fakes.answer("200 OK", "", "kept"));
    private final BackendFake removed = new BackendFake(request -> {
        arrivedAtRemoved.add(System.nanoTime());
        return Fakes.answer("200 OK", "", "removed");
    });
    private final String keptEntry = Fakes.entry("s-kept", kept.port(), "active");
    private final String known = keptEntry + "," + Fakes.entry("s-removed", removed.port(), "active");
    private final CrowdedDiscovery discovery = new CrowdedDiscovery(DiscoveryFake.list(1, true, known));
    private final List<CrowdedDiscovery.Door> doors = new ArrayList<>();
    private final List<ProxyProcess> proxies = new ArrayList<>();
    @TempDir
    private Path folder;

    @AfterEach
    void close() throws IOException {
        proxies.forEach(ProxyProcess::close);
        discovery.close();
        kept.close();
        removed.close();
    }

    private void startAll() throws IOException {
        for (int i = 0; i < PROXIES; i++) {
            proxies.get(i).start(doors.get(i).port(), known, SETTINGS);
        }
        proxies.forEach(ProxyProcess::awaitServing);
    }

    @Test
    void proxiesKilledTogetherHaveTheListInTimeWhileDiscoveryIsCrowded() throws Exception {
        for (int i = 0; i < PROXIES; i++) {
            doors.add(discovery.door());
            proxies.add(new ProxyProcess(folder.resolve("n" + i)));
        }
        startAll();
        discovery.crowd();
        for (ProxyProcess proxy : proxies) {
            proxy.kill();
        }
        discovery.publish(DiscoveryFake.list(2, true, keptEntry));
        startAll();
        long changedAt = System.nanoTime();
        long stopped = changedAt + TimeUnit.MILLISECONDS.toNanos(STOPPED_MILLIS);
        List<RequestLoop> clients = new ArrayList<>();
        for (ProxyProcess proxy : proxies) {
            clients.add(new RequestLoop(proxy, stopped, stopped + TimeUnit.SECONDS.toNanos(1)));
        }
        for (RequestLoop client : clients) {
            assertTrue(client.served() > 0, "each proxy still serves");
        }
        assertEquals(0, arrivedAtRemoved.stream().filter(at -> at > stopped).count(),
            "requests at the removed backend after the grace");
        for (int i = 0; i < PROXIES; i++) {
            assertEquals(1, doors.get(i).answered(), "calls of n" + i + " that were answered\n"
                + proxies.get(i).log());
        }
    }
}
