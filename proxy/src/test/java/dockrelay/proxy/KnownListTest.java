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
    private static final int BACKEND_COUNT = 86_000;

    private static KnownList parseKnownList(String value) {
        return Fakes.parseConfig(Fakes.configJson(0, 1, 1024, "", "").replaceFirst("\"known\":\\{[^}]*\\}",
            "\"known\":" + value)).knownList();
    }

    @Test
    void entriesAreConvertedWhileParsing() {
        String firstEntry = Fakes.entryJson("s-1", 81, "active"),
            secondEntry = Fakes.entryJson("s-2", 82, "draining");
        KnownList knownList = parseKnownList("{\"servers\":[" + firstEntry + "," + secondEntry
            + ",{\"id\":\"s-3\"},7],\"version\":9}");
        List<Object> entries = knownList.takeEntries();
        assertEquals(9, knownList.version());
        assertInstanceOf(RequestTable.ListedBackend.class, entries.get(0));
        assertInstanceOf(RequestTable.ListedBackend.class, entries.get(1));
        assertEquals(Map.of("id", "s-3"), entries.get(2), "an incomplete entry stays unconverted");
        assertEquals(7L, entries.get(3));
        assertTrue(knownList.takeEntries().isEmpty(), "entries can be taken only once");

        BackendRegistry registry = new BackendRegistry(new OperatorOverrides(null));
        registry.applyUpdate(entries, true);
        RequestTable.ListedBackend firstBackend = registry.get("s-1");
        assertEquals(entries.get(0), firstBackend);
        assertEquals(firstBackend, registry.readEntry(Map.of("id", "s-1",
            "zone", firstBackend.backend().zone(), "kind", firstBackend.backend().kind(),
            "addr", "127.0.0.1:81", "cell", firstBackend.backend().cell(),
            "weight", firstBackend.backend().weight(),
            "started_ms", firstBackend.backend().startedAt() / 1000, "state", "active")),
            "an unchanged entry from discovery must yield an equal object");
    }

    @Test
    void invalidListIsEmpty() {
        for (String value : List.of("7", "[{}]", "{}", "{\"servers\":{\"id\":\"s-1\"},\"version\":\"x\"}",
            "null")) {
            KnownList knownList = parseKnownList(value);
            assertEquals(-1, knownList.version(), value);
            assertTrue(knownList.takeEntries().isEmpty(), value);
        }
    }

    @Test
    void reloadSkipsKnownList(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fakes.configJson(0, 1, 1024, Fakes.entryJson("s-1", 81, "active"), ""));
        assertEquals(1, Config.read(file).knownList().takeEntries().size());
        assertTrue(Config.readForReload(file).knownList().takeEntries().isEmpty());
    }

    /**
     * Starts a process with the heap size of the deployment's run command: it has to serve and to survive a
     * reload.
     */
    @Test
    void largeKnownListFitsHeap(@TempDir Path folder) throws Exception {
        int port;
        try (ServerSocket portReservation = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = portReservation.getLocalPort();
        }
        try (FakeBackend backend = new FakeBackend(request -> Fakes.httpResponse("200 OK", "", "one"));
             FakeDiscovery unavailableDiscovery = new FakeDiscovery();
             FakeDiscovery nextDiscovery = new FakeDiscovery()) {
            unavailableDiscovery.rejecting = true;
            nextDiscovery.setFirstList(FakeDiscovery.listJson(2, true,
                Fakes.entryJson("s-1", backend.port(), "active")));
            String entriesJson = IntStream.range(0, BACKEND_COUNT).mapToObj(i ->
                Fakes.entryJson("s-" + i, backend.port(), "active")).collect(Collectors.joining(","));
            Path file = folder.resolve("config.json");
            Files.writeString(file, Fakes.configJson(port, unavailableDiscovery.port(), 1024, entriesJson,
                ""));
            Process process = startProcess(file, folder);
            try {
                Fakes.await("the proxy to serve, or to exit", () -> !process.isAlive() || isServing(port));
                assertTrue(process.isAlive(), () -> readLog(folder));
                Files.writeString(file, Fakes.configJson(port, nextDiscovery.port(), 1024, entriesJson, ""));
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
                Fakes.await("the list of the new discovery address, or exit", () -> !process.isAlive()
                    || readLog(folder).contains("list of version 2, entries 1"));
                assertTrue(process.isAlive() && isServing(port), () -> readLog(folder));
                assertFalse(readLog(folder).contains("OutOfMemory"), () -> readLog(folder));
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
    }

    private static Process startProcess(Path file, Path folder) throws IOException {
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

    private static boolean isServing(int port) {
        try (FakeClient client = new FakeClient(new Socket(InetAddress.getLoopbackAddress(), port))) {
            return client.send(FakeClient.getRequest("4.0")).readStatus() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static String readLog(Path folder) {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return e.toString();
        }
    }
}
