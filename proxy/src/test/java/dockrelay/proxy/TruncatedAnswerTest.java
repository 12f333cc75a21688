package dockrelay.proxy;

import dockrelay.proxy.TruncatingDiscovery.EndMode;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against proxies that wait for seconds to call again after an answer from discovery was truncated.
 */
class TruncatedAnswerTest {
    private static final int PROXY_COUNT = 16;
    private static final long OBSERVATION_MILLIS = 4_000;
    private static final String SETTINGS = "\"Discovery\":\"ask\",\"Balancers\":" + PROXY_COUNT
        + ",\"Obligations\":{\"AskWithin\":10.0,\"DrainGrace\":1.5},";

    private final RemovedBackendFixture fixture = new RemovedBackendFixture();
    private final TruncatingDiscovery discovery =
        new TruncatingDiscovery(FakeDiscovery.listJson(1, true, fixture.bothEntries));
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

    @ParameterizedTest
    @CsvSource({"CLOSE,0.5,0", "RESET,0.5,0", "CLOSE,0.5,1", "CLOSE,0,0", "RESET,0,0", "STALL,0.5,0"})
    void removalIsAppliedWithinDrainGrace(EndMode endMode, double sentFraction,
        int furtherTruncatedAnswers) throws Exception {
        startAll();
        String change = FakeDiscovery.listJson(2, false, fixture.removedEntry);
        discovery.truncateAll(change, (int) (change.length() * sentFraction), endMode,
            furtherTruncatedAnswers);
        long truncatedAtNanos = System.nanoTime();
        long deadlineNanos = truncatedAtNanos
            + TimeUnit.MILLISECONDS.toNanos(RemovedBackendFixture.DRAIN_GRACE_MILLIS
            + RemovedBackendFixture.TOLERANCE_MILLIS);
        fixture.assertNoRequestsAfter(deadlineNanos, truncatedAtNanos
            + TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MILLIS),
            "proxies with a watch: " + discovery.watchCount());
    }
}
