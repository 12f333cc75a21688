package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.CuttingDiscovery.End;
import dockrelay.proxy.Fakes.BackendFake;
import dockrelay.proxy.Fakes.DiscoveryFake;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** After an answer that ended in the middle, proxies of a fleet went on for seconds without the list. */
class BrokenAnswerTest {
    private static final int PROXIES = 16;
    private static final long GRACE_MILLIS = 1_500;
    private static final long SLACK_MILLIS = 50;
    private static final long COUNTED_MILLIS = 4_000;
    private static final String SETTINGS = "\"Discovery\":\"ask\",\"Balancers\":" + PROXIES
        + ",\"Obligations\":{\"AskWithin\":10.0,\"DrainGrace\":1.5},";

    private final List<Long> arrivedAtRemoved = new CopyOnWriteArrayList<>();
    private final BackendFake kept = new BackendFake(request -> Fakes.answer("200 OK", "", "kept"));
    private final BackendFake removed = new BackendFake(request -> {
        arrivedAtRemoved.add(System.nanoTime());
        return Fakes.answer("200 OK", "", "removed");
    });
    private final String keptEntry = Fakes.entry("s-kept", kept.port(), "active");
    private final String known = keptEntry + "," + Fakes.entry("s-removed", removed.port(), "active");
    private final CuttingDiscovery discovery = new CuttingDiscovery(DiscoveryFake.list(1, true, known));
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
            ProxyProcess proxy = new ProxyProcess(folder.resolve("n" + i));
            proxies.add(proxy);
            proxy.start(discovery.door().port(), known, "\"Me\":" + i + "," + SETTINGS);
        }
        proxies.forEach(ProxyProcess::awaitServing);
        Fakes.await("all proxies watch", () -> discovery.watches() == PROXIES);
    }

    @ParameterizedTest
    @CsvSource({"CLOSE,0.5,0", "RESET,0.5,0", "CLOSE,0.5,1", "CLOSE,0,0", "RESET,0,0", "STALL,0.5,0"})
    void proxiesHaveTheListWithinTheGraceOfADrain(End end, double part, int furtherAnswers) throws Exception {
        startAll();
        String removal = DiscoveryFake.list(2, false, Fakes.entry("s-removed", removed.port(), "left"));
        discovery.cutAll(removal, (int) (removal.length() * part), end, furtherAnswers);
        long cutAt = System.nanoTime();
        long stopped = cutAt + TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS + SLACK_MILLIS);
        List<RequestLoop> clients = new ArrayList<>();
        for (ProxyProcess proxy : proxies) {
            clients.add(new RequestLoop(proxy, stopped, cutAt + TimeUnit.MILLISECONDS.toNanos(COUNTED_MILLIS)));
        }
        for (RequestLoop client : clients) {
            assertTrue(client.served() > 0, "each proxy still serves");
        }
        assertEquals(0, arrivedAtRemoved.stream().filter(at -> at > stopped).count(),
            "requests at the removed backend after the grace; proxies that watch: " + discovery.watches());
    }
}
