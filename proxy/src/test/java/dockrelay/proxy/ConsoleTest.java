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
    private static final String SERVED = Fakes.httpResponse("200 OK", "", "a rate");

    private final FakeDiscovery discovery = new FakeDiscovery();
    private final FakeBackend one = new FakeBackend(request -> SERVED);
    private final FakeBackend two = new FakeBackend(request -> SERVED);
    @TempDir
    private Path folder;
    private Proxy proxy;

    @BeforeEach
    void start() throws Exception {
        discovery.setFirstList(both(2));
        proxy = started();
    }

    private String both(int version) {
        return FakeDiscovery.listJson(version, true, Fakes.entryJson("s-1", one.port(), "active"),
            Fakes.entryJson("s-2", two.port(), "active"));
    }

    private Proxy started() throws IOException {
        Proxy made = new Proxy(Fakes.config(discovery.port(), 1024),
            new ProcessEnvironment(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), folder, null));
        Fakes.await("the proxy serves", () -> Fakes.callConsole(made, "PING\n").startsWith("200 "));
        return made;
    }

    @AfterEach
    void end() throws Exception {
        proxy.stop();
        one.close();
        two.close();
        discovery.close();
    }

    private static Socket connected(Proxy at) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), at.consoleAddress().getPort());
    }

    private void ask(int times) throws IOException {
        try (FakeClient client = new FakeClient(proxy)) {
            for (int i = 0; i < times; i++) {
                assertEquals(200, client.send(FakeClient.postRequest("put", "3.0")).readStatus());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "PONG\n", "ping\n", "PING \n", "PING s-1\n", "DETACH\n", "DETACH \n",
        "DETACH s-9\n", "ATTACH s-9\n", "DETACH s-1 s-2\n", " DETACH s-1\n", "DETACH ../s-1\n", "DETACH s-1",
        "GET / HTTP/1.1\r\n", ""})
    void aBadCallIsToldSoAndChangesNothing(String raw) throws IOException {
        String answer = Fakes.callConsole(proxy, raw);
        assertTrue(answer.matches("400 [^\\n]+\\n"), answer);
        assertFalse(marked(), "no override is stored");
    }

    private boolean marked() throws IOException {
        try (DirectoryStream<Path> kept = Files.newDirectoryStream(folder, "backend-*")) {
            return kept.iterator().hasNext();
        }
    }

    @Test
    void aLineWithoutEndIsCutOff() {
        assertTrue(Fakes.callConsole(proxy, "DETACH " + "s".repeat(5_000) + "\n").startsWith("400 "));
    }

    @Test
    void whatIsTakenOutGetsNothingWhateverTheListsSayUntilItIsPutBack() throws Exception {
        assertTrue(Fakes.callConsole(proxy, "DETACH s-1\r\n").startsWith("200 "));
        assertTrue(Fakes.callConsole(proxy, "DETACH s-1\n").startsWith("200 "), "a repeated DETACH succeeds");
        ask(30);
        discovery.push(both(3));
        discovery.push(FakeDiscovery.listJson(4, false, Fakes.entryJson("s-1", one.port(), "left")));
        discovery.push(FakeDiscovery.listJson(5, false, Fakes.entryJson("s-1", one.port(), "active")));
        discovery.push(FakeDiscovery.listJson(6, false, Fakes.entryJson("s-3", two.port(), "active")));
        Fakes.await("the last list is applied", () -> Fakes.callConsole(proxy, "ATTACH s-3\n").startsWith("200 "));
        ask(30);
        assertEquals(0, one.requests.size());
        assertTrue(Fakes.callConsole(proxy, "ATTACH s-1\n").startsWith("200 "), "one ATTACH undoes two DETACHes");
        Fakes.await("the backend is used again", () -> {
            try {
                ask(5);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            return !one.requests.isEmpty();
        });
    }

    @Test
    void theNextProcessKeepsItOutAndBothNoticeEachOthersChanges() throws Exception {
        Fakes.callConsole(proxy, "DETACH s-1\n");
        Proxy first = proxy;
        proxy = started();
        try {
            ask(30);
            assertEquals(0, one.requests.size());
            Fakes.callConsole(first, "DETACH s-2\n");
            Fakes.await("the second process has no backend left", () ->
                Fakes.callConsole(proxy, "PING\n").startsWith("400 "));
        } finally {
            first.stop();
        }
    }

    @Test
    void callersThatFinishNoCallHoldUpNobody() throws Exception {
        List<Socket> hanging = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            hanging.add(connected(proxy));
            hanging.get(i).getOutputStream().write('P');
        }
        assertTrue(Fakes.callConsole(proxy, "PING\n").startsWith("200 "));
        for (Socket socket : hanging) {
            Fakes.await("the connection is closed", () -> ended(socket));
            socket.close();
        }
    }

    private static boolean ended(Socket socket) {
        try {
            return socket.getInputStream().read() < 0;
        } catch (IOException e) {
            return true; // reset by the console: closed as well
        }
    }

    @Test
    void aBusyLoopDelaysNoAnswer() throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        proxy.eventLoop().submit(() -> busy.await(1, TimeUnit.MINUTES));
        try {
            assertTrue(Fakes.callConsole(proxy, "PING\n").startsWith("200 "));
        } finally {
            busy.countDown();
        }
    }

    private static RequestTable.ListedBackend listed(Phase phase, long startedAt) {
        return new RequestTable.ListedBackend(new Backend(1, "a", "k", 1, phase, 1, startedAt), null);
    }

    @Test
    void putBackItHasStartedAtTheCallUnlessDiscoveryNamesALaterStart(@TempDir Path kept) throws Exception {
        OperatorOverrides operators = new OperatorOverrides(kept);
        operators.markListed("s-1");
        assertFalse(operators.attach("s-1"), "it was not detached");
        assertEquals(0, operators.applyOverride("s-1", listed(Phase.READY, 0)).backend().startedAt());
        assertTrue(operators.detach("s-1"));
        assertEquals(Phase.DRAINING, operators.applyOverride("s-1", listed(Phase.READY, 0)).backend().phase());
        assertEquals(Phase.GONE, operators.applyOverride("s-1", listed(Phase.GONE, 0)).backend().phase());
        long before = System.currentTimeMillis() * 1_000;
        assertTrue(operators.attach("s-1"));
        for (OperatorOverrides each : List.of(operators, new OperatorOverrides(kept))) {
            Backend back = each.applyOverride("s-1", listed(Phase.READY, 1)).backend();
            assertEquals(Phase.READY, back.phase());
            assertTrue(back.startedAt() >= before, "started at the time of the ATTACH");
            long later = Long.MAX_VALUE;
            assertEquals(later, each.applyOverride("s-1", listed(Phase.READY, later)).backend().startedAt());
        }
    }

    @Test
    void whatCannotBeReadOfTheStateHidesNothingElse(@TempDir Path kept) throws Exception {
        OperatorOverrides before = new OperatorOverrides(kept);
        before.markListed("s/1");
        before.detach("s/1");
        Files.write(kept.resolve("backend-s-2"), new byte[] {(byte) 0xff, 'o', 'u'});
        Files.createFile(kept.resolve("backend-s-3"));
        OperatorOverrides after = new OperatorOverrides(kept);
        assertTrue(after.isKnown("s/1"));
        assertFalse(after.isKnown("s-2") || after.isKnown("s-3"));
        assertEquals(1, after.detachedCount());
    }
}
