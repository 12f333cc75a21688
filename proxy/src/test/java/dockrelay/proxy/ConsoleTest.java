package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.Phase;
import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The operators' console, and the effect of its commands on the backends that the proxy uses. */
class ConsoleTest {
    private static final String OK_RESPONSE = Fakes.httpResponse("200 OK", "", "a rate");

    private final FakeDiscovery discovery = new FakeDiscovery();
    private final FakeBackend backend1 = new FakeBackend(request -> OK_RESPONSE);
    private final FakeBackend backend2 = new FakeBackend(request -> OK_RESPONSE);
    @TempDir
    private Path folder;
    private Proxy proxy;

    @BeforeEach
    void start() throws Exception {
        discovery.setFirstList(bothBackends(2));
        proxy = startProxy();
    }

    private String bothBackends(int version) {
        return FakeDiscovery.listJson(version, true, Fakes.entryJson("s-1", backend1.port(), "active"),
            Fakes.entryJson("s-2", backend2.port(), "active"));
    }

    private Proxy startProxy() throws IOException {
        Proxy newProxy = new Proxy(Fakes.config(discovery.port(), 1024),
            new ProcessEnvironment(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), folder, null));
        Fakes.await("the proxy serves", () -> Fakes.callConsole(newProxy, "PING\n").startsWith("200 "));
        return newProxy;
    }

    @AfterEach
    void stop() throws Exception {
        proxy.stop();
        backend1.close();
        backend2.close();
        discovery.close();
    }

    private static Socket connect(Proxy target) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), target.consoleAddress().getPort());
    }

    private void sendRequests(int count) throws IOException {
        try (FakeClient client = new FakeClient(proxy)) {
            for (int i = 0; i < count; i++) {
                assertEquals(200, client.send(FakeClient.postRequest("put", "3.0")).readStatus());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "PONG\n", "ping\n", "PING \n", "PING s-1\n", "DETACH\n", "DETACH \n",
        "DETACH s-9\n", "ATTACH s-9\n", "DETACH s-1 s-2\n", " DETACH s-1\n", "DETACH ../s-1\n", "DETACH s-1",
        "GET / HTTP/1.1\r\n", ""})
    void rejectsInvalidCommandWithoutChange(String input) throws IOException {
        String answer = Fakes.callConsole(proxy, input);
        assertTrue(answer.matches("400 [^\\n]+\\n"), answer);
        assertFalse(hasStoredOverride(), "no override is stored");
    }

    private boolean hasStoredOverride() throws IOException {
        try (DirectoryStream<Path> overrideFiles = Files.newDirectoryStream(folder, "backend-*")) {
            return overrideFiles.iterator().hasNext();
        }
    }

    @Test
    void rejectsTooLongLine() {
        assertTrue(Fakes.callConsole(proxy, "DETACH " + "s".repeat(5_000) + "\n").startsWith("400 "));
    }

    @Test
    void detachedBackendGetsNoRequestsUntilAttached() throws Exception {
        assertTrue(Fakes.callConsole(proxy, "DETACH s-1\r\n").startsWith("200 "));
        assertTrue(Fakes.callConsole(proxy, "DETACH s-1\n").startsWith("200 "), "a repeated DETACH succeeds");
        sendRequests(30);
        discovery.push(bothBackends(3));
        discovery.push(FakeDiscovery.listJson(4, false, Fakes.entryJson("s-1", backend1.port(), "left")));
        discovery.push(FakeDiscovery.listJson(5, false, Fakes.entryJson("s-1", backend1.port(), "active")));
        discovery.push(FakeDiscovery.listJson(6, false, Fakes.entryJson("s-3", backend2.port(), "active")));
        Fakes.await("the last list is applied", () ->
            Fakes.callConsole(proxy, "ATTACH s-3\n").startsWith("200 "));
        sendRequests(30);
        assertEquals(0, backend1.requests.size());
        assertTrue(Fakes.callConsole(proxy, "ATTACH s-1\n").startsWith("200 "),
            "one ATTACH undoes two DETACHes");
        Fakes.await("the backend is used again", () -> {
            try {
                sendRequests(5);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            return !backend1.requests.isEmpty();
        });
    }

    @Test
    void overridesAreSharedWithNextProcess() throws Exception {
        Fakes.callConsole(proxy, "DETACH s-1\n");
        Proxy firstProxy = proxy;
        proxy = startProxy();
        try {
            sendRequests(30);
            assertEquals(0, backend1.requests.size());
            Fakes.callConsole(firstProxy, "DETACH s-2\n");
            Fakes.await("the second process has no backend left", () ->
                Fakes.callConsole(proxy, "PING\n").startsWith("400 "));
        } finally {
            firstProxy.stop();
        }
    }

    @Test
    void unfinishedCallsDoNotBlockOthers() throws Exception {
        List<Socket> unfinishedCalls = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            unfinishedCalls.add(connect(proxy));
            unfinishedCalls.get(i).getOutputStream().write('P');
        }
        assertTrue(Fakes.callConsole(proxy, "PING\n").startsWith("200 "));
        for (Socket socket : unfinishedCalls) {
            Fakes.await("the connection is closed", () -> isClosed(socket));
            socket.close();
        }
    }

    private static boolean isClosed(Socket socket) {
        try {
            return socket.getInputStream().read() < 0;
        } catch (IOException e) {
            return true; // reset by the console: closed as well
        }
    }

    @Test
    void answersWhileEventLoopIsBusy() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        proxy.eventLoop().submit(() -> release.await(1, TimeUnit.MINUTES));
        try {
            assertTrue(Fakes.callConsole(proxy, "PING\n").startsWith("200 "));
        } finally {
            release.countDown();
        }
    }

    private static RequestTable.ListedBackend listedBackend(Phase phase, long startedAt) {
        return new RequestTable.ListedBackend(new Backend(1, "a", "k", 1, phase, 1, startedAt), null);
    }

    @Test
    void attachedBackendCountsAsStartedUnlessDiscoveryReportsLaterStart(
        @TempDir Path stateFolder) throws Exception {
        OperatorOverrides overrides = new OperatorOverrides(stateFolder);
        overrides.markListed("s-1");
        assertFalse(overrides.attach("s-1"), "it was not detached");
        assertEquals(0, overrides.applyOverride("s-1", listedBackend(Phase.READY, 0)).backend().startedAt());
        assertTrue(overrides.detach("s-1"));
        assertEquals(Phase.DRAINING,
            overrides.applyOverride("s-1", listedBackend(Phase.READY, 0)).backend().phase());
        assertEquals(Phase.GONE,
            overrides.applyOverride("s-1", listedBackend(Phase.GONE, 0)).backend().phase());
        long attachedAfter = System.currentTimeMillis() * 1_000;
        assertTrue(overrides.attach("s-1"));
        for (OperatorOverrides reader : List.of(overrides, new OperatorOverrides(stateFolder))) {
            Backend attached = reader.applyOverride("s-1", listedBackend(Phase.READY, 1)).backend();
            assertEquals(Phase.READY, attached.phase());
            assertTrue(attached.startedAt() >= attachedAfter, "started at the time of the ATTACH");
            long laterStart = Long.MAX_VALUE;
            assertEquals(laterStart,
                reader.applyOverride("s-1", listedBackend(Phase.READY, laterStart)).backend().startedAt());
        }
    }

    @Test
    void unreadableOverrideDoesNotHideOthers(@TempDir Path stateFolder) throws Exception {
        OperatorOverrides writer = new OperatorOverrides(stateFolder);
        writer.markListed("s/1");
        writer.detach("s/1");
        Files.write(stateFolder.resolve("backend-s-2"), new byte[] {(byte) 0xff, 'o', 'u'});
        Files.createFile(stateFolder.resolve("backend-s-3"));
        OperatorOverrides reader = new OperatorOverrides(stateFolder);
        assertTrue(reader.isKnown("s/1"));
        assertFalse(reader.isKnown("s-2") || reader.isKnown("s-3"));
        assertEquals(1, reader.detachedCount());
    }
}
