package dockrelay.proxy;

import dockrelay.proxy.CuttingDiscovery.End;
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
class BrokenAnswerTest {
    private static final int PROXIES = 16;
    private static final long COUNTED_MILLIS = 4_000;
    private static final String SETTINGS = "\"Discovery\":\"ask\",\"Balancers\":" + PROXIES
        + ",\"Obligations\":{\"AskWithin\":10.0,\"DrainGrace\":1.5},";

    private final BackendRemoval removal = new BackendRemoval();
    private final CuttingDiscovery discovery =
        new CuttingDiscovery(FakeDiscovery.listJson(1, true, removal.bothEntries));
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
        Fakes.await("a watch from each proxy", () -> discovery.watches() == PROXIES);
    }

    @ParameterizedTest
    @CsvSource({"CLOSE,0.5,0", "RESET,0.5,0", "CLOSE,0.5,1", "CLOSE,0,0", "RESET,0,0", "STALL,0.5,0"})
    void proxiesHaveTheListWithinTheGraceOfADrain(End end, double part, int furtherAnswers) throws Exception {
        startAll();
        String change = FakeDiscovery.listJson(2, false, removal.removedEntry);
        discovery.cutAll(change, (int) (change.length() * part), end, furtherAnswers);
        long cutAt = System.nanoTime();
        long stopped = cutAt
            + TimeUnit.MILLISECONDS.toNanos(BackendRemoval.GRACE_MILLIS + BackendRemoval.SLACK_MILLIS);
        removal.assertNoneArrivesAfter(stopped, cutAt + TimeUnit.MILLISECONDS.toNanos(COUNTED_MILLIS),
            "proxies with a watch: " + discovery.watches());
    }
}
