package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.BackendFake;
import dockrelay.proxy.Fakes.ClientFake;
import dockrelay.proxy.Fakes.DiscoveryFake;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Signals to a process of its own: at each of its stages, and more than one. */
class ProcessTest {
    private final BackendFake backend = new BackendFake(request -> Fakes.answer("200 OK", "", "one"));
    private final DiscoveryFake discovery = new DiscoveryFake();
    @TempDir
    private Path folder;
    private ProxyProcess process;

    @BeforeEach
    void prepare() throws IOException {
        process = new ProxyProcess(folder);
        discovery.first(DiscoveryFake.list(2, true, Fakes.entry("s-1", backend.port(), "active")));
    }

    @AfterEach
    void close() throws IOException {
        process.close();
        backend.close();
        discovery.close();
    }

    private void start() throws IOException {
        process.start(discovery.port(), "", "");
    }

    private void assertEndsWell() throws Exception {
        assertEquals(0, process.awaitEnd(), process.log());
    }

    /** Before the list is there it takes no request, and has nothing to serve out. */
    @Test
    void askedToEndWhileItStartsItEndsWithoutListening() throws Exception {
        discovery.refuse = true;
        start();
        Fakes.await("it waits for its list", () -> discovery.asked.size() > 1);
        process.signal("TERM");
        assertEndsWell();
        assertTrue(process.log().contains("stop: asked to end before it listened"));
    }

    /** A backend hangs, a client reads nothing, the signal comes twice, and a reload in between. */
    @Test
    void askedToEndTwiceItAnswersWhatItHasAndEndsInTime() throws Exception {
        backend.script = request ->
            request.startsWith("POST /put") ? null : Fakes.answer("200 OK", "", "one");
        start();
        process.awaitServing();
        try (ClientFake hanging = process.client(); ClientFake deaf = process.client();
             ClientFake resting = process.client()) {
            assertEquals(200, resting.send(ClientFake.get("4.0")).status());
            hanging.send(ClientFake.post("put", "1.0"));
            deaf.send(ClientFake.post("put", "1.0"));
            Fakes.await("both are out", () -> backend.requests.stream()
                .filter(request -> request.startsWith("POST /put")).count() == 2);
            process.signal("TERM");
            process.configure("not a configuration");
            process.signal("HUP");
            process.signal("TERM");
            String answer = hanging.answer();
            assertTrue(answer != null && answer.startsWith("HTTP/1.1 50"), answer);
            assertEndsWell();
        }
    }

    /** A reload in the middle of an outage asks at the new address, and a broken one changes nothing. */
    @Test
    void aReloadWhileDiscoveryIsAwayIsTakenUp() throws Exception {
        start();
        process.awaitServing();
        try (DiscoveryFake next = new DiscoveryFake();
             BackendFake other = new BackendFake(request -> Fakes.answer("200 OK", "", "other"))) {
            next.first(DiscoveryFake.list(1, true, Fakes.entry("s-9", other.port(), "active")));
            discovery.refuse = true;
            for (Socket watch : discovery.open) {
                watch.close();
            }
            process.configure("{\"name\":");
            process.signal("HUP");
            Fakes.await("it says so", () -> process.log().contains("reload: "));
            process.configure(next.port(), "", "");
            process.signal("HUP");
            Fakes.await("the new list is in force", () -> {
                try (ClientFake client = process.client()) {
                    return client.send(ClientFake.get("4.0")).answer().endsWith("other");
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            process.signal("TERM");
            assertEndsWell();
        }
    }
}
