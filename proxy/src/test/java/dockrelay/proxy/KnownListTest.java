package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.FakeBackend;
import dockrelay.proxy.Fakes.FakeClient;
import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that the known list of the configuration is never held in its textual form, however long it is.
 */
class KnownListTest {
    private static final int MANY = 86_000;

    private static KnownList known(String value) {
        return Fakes.parseConfig(Fakes.configJson(0, 1, 1024, "", "").replaceFirst("\"known\":\\{[^}]*\\}",
            "\"known\":" + value)).known();
    }

    @Test
    void eachEntryIsAMemberAsSoonAsItIsRead() {
        String one = Fakes.entryJson("s-1", 81, "active"), two = Fakes.entryJson("s-2", 82, "draining");
        KnownList known = known("{\"servers\":[" + one + "," + two + ",{\"id\":\"s-3\"},7],\"version\":9}");
        List<Object> entries = known.take();
        assertEquals(9, known.version());
        assertInstanceOf(RequestTable.ListedBackend.class, entries.get(0));
        assertInstanceOf(RequestTable.ListedBackend.class, entries.get(1));
        assertEquals(Map.of("id", "s-3"), entries.get(2), "an incomplete entry stays unconverted");
        assertEquals(7L, entries.get(3));
        assertTrue(known.take().isEmpty(), "entries can be taken only once");

        BackendRegistry listing = new BackendRegistry(new OperatorOverrides(null));
        listing.take(entries, true);
        RequestTable.ListedBackend first = listing.get("s-1");
        assertEquals(entries.get(0), first);
        assertEquals(first, listing.read(Map.of("id", "s-1", "zone", first.backend().zone(), "kind",
            first.backend().kind(), "addr", "127.0.0.1:81", "cell", first.backend().cell(), "weight",
            first.backend().weight(), "started_ms", first.backend().startedAt() / 1000, "state", "active")),
            "an unchanged entry from discovery must yield an equal member");
    }

    @Test
    void whatIsNoListNamesNobody() {
        for (String value : List.of("7", "[{}]", "{}", "{\"servers\":{\"id\":\"s-1\"},\"version\":\"x\"}",
            "null")) {
            KnownList known = known(value);
            assertEquals(-1, known.version(), value);
            assertTrue(known.take().isEmpty(), value);
        }
    }

    @Test
    void aRunningProxyReadsNoneOfIt(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fakes.configJson(0, 1, 1024, Fakes.entryJson("s-1", 81, "active"), ""));
        assertEquals(1, Config.read(file).known().take().size());
        assertTrue(Config.readAgain(file).known().take().isEmpty());
    }

    /**
     * Starts a process with the heap size of the deployment's run command: it has to serve and to survive a
     * reload.
     */
    @Test
    void aStartWithAllBackendsOfALargeFleetKnownFitsTheHeap(@TempDir Path folder) throws Exception {
        int port;
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = any.getLocalPort();
        }
        try (FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
             FakeDiscovery away = new FakeDiscovery(); FakeDiscovery next = new FakeDiscovery()) {
            away.rejecting = true;
            next.setFirstList(FakeDiscovery.listJson(2, true, Fakes.entryJson("s-1", backend.port(), "active")));
            String all = IntStream.range(0, MANY).mapToObj(i -> Fakes.entryJson("s-" + i, backend.port(),
                "active")).collect(Collectors.joining(","));
            Path file = folder.resolve("config.json");
            Files.writeString(file, Fakes.configJson(port, away.port(), 1024, all, ""));
            Process process = start(file, folder);
            try {
                Fakes.await("the proxy to serve, or to exit", () -> !process.isAlive() || answers(port));
                assertTrue(process.isAlive(), () -> log(folder));
                Files.writeString(file, Fakes.configJson(port, next.port(), 1024, all, ""));
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
                Fakes.await("the list of the new discovery address, or exit", () -> !process.isAlive()
                    || log(folder).contains("list of version 2, entries 1"));
                assertTrue(process.isAlive() && answers(port), () -> log(folder));
                assertFalse(log(folder).contains("OutOfMemory"), () -> log(folder));
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
    }

    private static Process start(Path file, Path folder) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
            ProcessHandle.current().info().command().orElseThrow(), "-Xms64m", "-Xmx64m", "-Xmn24m",
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:+ExitOnOutOfMemoryError", "-cp",
            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
            Main.class.getName(), "serve");
        builder.environment().put("PROXY_CONFIG", file.toString());
        builder.environment().remove("TMPDIR");
        builder.redirectErrorStream(true).redirectOutput(new File(folder.toFile(), "log"));
        return builder.start();
    }

    private static boolean answers(int port) {
        try (FakeClient client = new FakeClient(new Socket(InetAddress.getLoopbackAddress(), port))) {
            return client.send(FakeClient.getRequest("4.0")).readStatus() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static String log(Path folder) {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return e.toString();
        }
    }
}
