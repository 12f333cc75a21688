package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Sends signals to a proxy process in each of its phases, also repeatedly. */
class ProcessSignalsTest {
    private final FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
    private final FakeDiscovery discovery = new FakeDiscovery();
    @TempDir
    private Path tempFolder;
    private ProxyProcess process;

    @BeforeEach
    void prepare() throws IOException {
        process = new ProxyProcess(tempFolder);
        discovery.setFirstList(FakeDiscovery.listJson(2, true,
            Fakes.entryJson("s-1", backend.port(), "active")));
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

    private void assertExitsNormally() throws Exception {
        assertEquals(0, process.awaitExit(), process.readLog());
    }

    /** Before the list has arrived, the process accepts no requests and has none to finish. */
    @Test
    void stopDuringStartExitsWithoutListening() throws Exception {
        discovery.rejecting = true;
        start();
        Fakes.await("repeated calls for the list", () -> discovery.requests.size() > 1);
        process.signal("TERM");
        assertExitsNormally();
        assertTrue(process.readLog().contains("stop: asked to stop before listening"));
    }

    /** With a hanging backend, a client that reads nothing, a repeated signal and a reload in between. */
    @Test
    void repeatedStopAnswersPendingRequestsInTime() throws Exception {
        backend.responder = request ->
            request.startsWith("POST /put") ? null : Fakes.httpResponse("200 OK", "", "one");
        start();
        process.awaitServing();
        try (FakeClient waitingClient = process.connectClient();
             FakeClient nonReadingClient = process.connectClient();
             FakeClient idleClient = process.connectClient()) {
            assertEquals(200, idleClient.send(FakeClient.getRequest("4.0")).readStatus());
            waitingClient.send(FakeClient.postRequest("put", "1.0"));
            nonReadingClient.send(FakeClient.postRequest("put", "1.0"));
            Fakes.await("both requests at the backend", () -> backend.requests.stream()
                .filter(request -> request.startsWith("POST /put")).count() == 2);
            process.signal("TERM");
            process.configure("not a configuration");
            process.signal("HUP");
            process.signal("TERM");
            String response = waitingClient.readResponse();
            assertTrue(response != null && response.startsWith("HTTP/1.1 50"), response);
            assertExitsNormally();
        }
    }

    /** A reload during an outage calls the new address; an invalid configuration changes nothing. */
    @Test
    void reloadDuringOutageIsApplied() throws Exception {
        start();
        process.awaitServing();
        try (FakeDiscovery nextDiscovery = new FakeDiscovery();
             FakeBackend nextBackend = new FakeBackend(request ->
                 Fakes.httpResponse("200 OK", "", "other"))) {
            nextDiscovery.setFirstList(FakeDiscovery.listJson(1, true,
                Fakes.entryJson("s-9", nextBackend.port(), "active")));
            discovery.rejecting = true;
            for (Socket watch : discovery.openConnections) {
                watch.close();
            }
            process.configure("{\"name\":");
            process.signal("HUP");
            Fakes.await("the error in the log", () -> process.readLog().contains("reload: "));
            process.configure(nextDiscovery.port(), "", "");
            process.signal("HUP");
            Fakes.await("a response of the backend in the new list", () -> {
                try (FakeClient client = process.connectClient()) {
                    return client.send(FakeClient.getRequest("4.0")).readResponse().endsWith("other");
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            process.signal("TERM");
            assertExitsNormally();
        }
    }
}
