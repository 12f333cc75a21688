package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.Fakes.BackendFake;
import dockrelay.proxy.Fakes.ClientFake;
import dockrelay.proxy.Fakes.DiscoveryFake;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Signals to a process of its own: at each of its stages, and more than one. */
class ProcessTest {
    private static final long PATIENCE_SECONDS = 20;
    private final BackendFake backend = new BackendFake(request -> Fakes.answer("200 OK", "", "one"));
    private final DiscoveryFake discovery = new DiscoveryFake();
    @TempDir
    private Path folder;
    private Process process;
    private int port;

    @BeforeEach
    void freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = any.getLocalPort();
        }
        discovery.first(DiscoveryFake.list(2, true, Fakes.entry("s-1", backend.port(), "active")));
    }

    @AfterEach
    void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        backend.close();
        discovery.close();
    }

    private void start() throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Fakes.text(port, discovery.port(), 1024, "", ""));
        ProcessBuilder builder = new ProcessBuilder(
            ProcessHandle.current().info().command().orElseThrow(), "-Xmx64m", "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
            Main.class.getName(), "serve");
        builder.environment().put("PROXY_CONFIG", file.toString());
        builder.environment().remove("TMPDIR");
        builder.redirectErrorStream(true).redirectOutput(new File(folder.toFile(), "log"));
        process = builder.start();
    }

    private ClientFake client() throws IOException {
        return new ClientFake(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    private void awaitServing() {
        Fakes.await("it serves", () -> {
            try (ClientFake client = client()) {
                return client.send(ClientFake.get("4.0")).status() == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    private void assertEndsWell() throws Exception {
        assertTrue(process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS), "it ends");
        assertEquals(0, process.exitValue(), Files.readString(folder.resolve("log")));
    }

    /** Before the list is there it takes no request, and has nothing to serve out. */
    @Test
    void askedToEndWhileItStartsItEndsWithoutListening() throws Exception {
        discovery.refuse = true;
        start();
        Fakes.await("it waits for its list", () -> discovery.asked.size() > 1);
        signal("TERM");
        assertEndsWell();
        assertTrue(Files.readString(folder.resolve("log")).contains("stop: asked to end before it listened"));
    }

    /** A backend hangs, a client reads nothing, the signal comes twice, and a reload in between. */
    @Test
    void askedToEndTwiceItAnswersWhatItHasAndEndsInTime() throws Exception {
        backend.script = request ->
            request.startsWith("POST /put") ? null : Fakes.answer("200 OK", "", "one");
        start();
        awaitServing();
        try (ClientFake hanging = client(); ClientFake deaf = client(); ClientFake resting = client()) {
            assertEquals(200, resting.send(ClientFake.get("4.0")).status());
            hanging.send(ClientFake.post("put", "1.0"));
            deaf.send(ClientFake.post("put", "1.0"));
            Fakes.await("both are out", () -> backend.requests.stream()
                .filter(request -> request.startsWith("POST /put")).count() == 2);
            signal("TERM");
            Files.writeString(folder.resolve("config.json"), "not a configuration");
            signal("HUP");
            signal("TERM");
            String answer = hanging.answer();
            assertTrue(answer != null && answer.startsWith("HTTP/1.1 50"), answer);
            assertEndsWell();
        }
    }

    /** A reload in the middle of an outage asks at the new address, and a broken one changes nothing. */
    @Test
    void aReloadWhileDiscoveryIsAwayIsTakenUp() throws Exception {
        start();
        awaitServing();
        try (DiscoveryFake next = new DiscoveryFake();
             BackendFake other = new BackendFake(request -> Fakes.answer("200 OK", "", "other"))) {
            next.first(DiscoveryFake.list(1, true, Fakes.entry("s-9", other.port(), "active")));
            discovery.refuse = true;
            for (Socket watch : discovery.open) {
                watch.close();
            }
            Path file = folder.resolve("config.json");
            Files.writeString(file, "{\"name\":");
            signal("HUP");
            Fakes.await("it says so", () -> log().contains("reload: "));
            Files.writeString(file, Fakes.text(port, next.port(), 1024, "", ""));
            signal("HUP");
            Fakes.await("the new list is in force", () -> {
                try (ClientFake client = client()) {
                    return client.send(ClientFake.get("4.0")).answer().endsWith("other");
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            signal("TERM");
            assertEndsWell();
        }
    }

    private String log() {
        try {
            return Files.readString(folder.resolve("log"), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
