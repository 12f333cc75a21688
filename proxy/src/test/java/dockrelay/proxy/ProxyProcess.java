package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A proxy in a separate process at its own address, which a test can start and kill repeatedly. */
final class ProxyProcess implements AutoCloseable {
    private static final AtomicInteger INSTANCE_COUNT = new AtomicInteger();
    private static final int ADDRESS_RANGE = 250;
    private static final long EXIT_TIMEOUT_SECONDS = 20;
    private static final String CONFIG_FILE = "config.json";

    private final Path folder;
    /** A loopback address of its own, so that no other test can take the port while the process is down. */
    private final String host;
    /** Differs between processes, as in a deployment: proxies with the same seed would call in step. */
    private final String seed;
    private final int port;
    private Process process;

    /** The folder holds the configuration and the log of this process only. */
    ProxyProcess(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        int instanceNumber = INSTANCE_COUNT.getAndIncrement();
        host = "127.7." + ProcessHandle.current().pid() % ADDRESS_RANGE + "."
            + (1 + instanceNumber % ADDRESS_RANGE);
        seed = Long.toHexString(new SplittableRandom(instanceNumber).nextLong());
        try (ServerSocket portReservation = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            port = portReservation.getLocalPort();
        }
    }

    /**
     * Writes the configuration with this list and these additional settings, in the format of {@link
     * Fakes#configJson}.
     */
    void configure(int discoveryPort, String knownEntries, String settings) throws IOException {
        configure(Fakes.configJson(port, discoveryPort, 1024, knownEntries, settings)
            .replace("\"listen\":\"127.0.0.1:", "\"listen\":\"" + host + ":")
            .replaceFirst("\"seed\":\"[0-9a-f]*\"", "\"seed\":\"" + seed + "\""));
    }

    /** The text of the configuration. */
    String configuration() throws IOException {
        return Files.readString(folder.resolve(CONFIG_FILE));
    }

    /** Overwrites the configuration with this text. */
    void configure(String text) throws IOException {
        Files.writeString(folder.resolve(CONFIG_FILE), text);
    }

    /** Writes the configuration and starts the process. */
    void start(int discoveryPort, String knownEntries, String settings) throws IOException {
        configure(discoveryPort, knownEntries, settings);
        start();
    }

    /** Starts the process by the configuration that was written last. */
    void start() throws IOException {
        start(new ProcessBuilder(
            ProcessHandle.current().info().command().orElseThrow(), "-Xmx64m", "-XX:TieredStopAtLevel=1",
            "-XX:+ExitOnOutOfMemoryError", "-cp", testClassPath(), Main.class.getName(), "serve"));
    }

    /**
     * Starts the process by the {@code run} line of a checkout's deploy file, and by the configuration that
     * was written last.
     *
     * @param packaged whether the checkout's jar is started, in place of the classes of this test run
     */
    void startByRunLine(Path checkout, boolean packaged) throws IOException {
        String runLine = RunLine.read(checkout);
        if (!packaged) {
            runLine = runLine.replace("-jar " + RunLine.JAR,
                "-cp '" + testClassPath() + "' " + Main.class.getName());
        }
        start(new ProcessBuilder("/bin/sh", "-c", runLine).directory(checkout.toFile()));
    }

    private static String testClassPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    private void start(ProcessBuilder builder) throws IOException {
        builder.environment().put("PROXY_CONFIG", folder.resolve(CONFIG_FILE).toString());
        builder.environment().remove("TMPDIR");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), "log")));
        process = builder.start();
    }

    void awaitServing() {
        Fakes.await("the proxy to serve", () -> {
            try (Fakes.FakeClient client = connectClient()) {
                return client.send(Fakes.FakeClient.getRequest("4.0")).readStatus() == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    Fakes.FakeClient connectClient() throws IOException {
        return new Fakes.FakeClient(new Socket(host, port));
    }

    /** A client that waits this long for an answer. */
    Fakes.FakeClient connectClient(int readTimeoutMillis) throws IOException {
        return new Fakes.FakeClient(new Socket(host, port), readTimeoutMillis);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(host, port);
    }

    /** The most memory that the process has held so far, in megabytes; 0 if it has ended. */
    long peakMemoryMegabytes() throws IOException {
        return ProcessMemory.peakMegabytes(process.pid());
    }

    /** The memory that the process holds, in megabytes; 0 if it has ended. */
    long residentMegabytes() throws IOException {
        return ProcessMemory.residentMegabytes(process.pid());
    }

    String readLog() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a signal, given by its name, such as TERM. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until the process exits and returns its exit status. */
    int awaitExit() throws InterruptedException {
        assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS),
            "the process did not exit in time");
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process with SIGKILL and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
