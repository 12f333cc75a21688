package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One proxy, started with the {@code run} line of the deploy file, as the platform does it. */
final class ProxyProcess implements AutoCloseable {
    static final Path ROOT = Path.of(System.getProperty("review.root")).toAbsolutePath();

    final String name;
    final int port;
    final Path config;
    private final Path folder;
    private final Record record;
    private Process process;

    ProxyProcess(String name, Record record) throws IOException {
        this.name = name;
        this.record = record;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        folder = Files.createTempDirectory("review-" + name);
        config = folder.resolve("config.json");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAndCleanUp));
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Writes the configuration file. */
    void configure(String discovery, String limits, String known, String settings) throws IOException {
        Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"" + address() + "\",\"discovery\":\""
            + discovery + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() | 1) + "\",\n\"limits\":" + limits
            + ",\n\"known\":" + known + ",\n\"settings\":" + settings + "}\n");
    }

    /** Starts the process with an empty folder for temporary files and waits until it is ready. */
    void start() throws IOException, InterruptedException {
        String run = Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run = \"")).findFirst().orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        Path temporary = Files.createTempDirectory(folder, "tmp");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(ROOT.toFile())
            .redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_NAME", name);
        builder.environment().put("PROXY_LISTEN", address());
        builder.environment().put("TMPDIR", temporary.toString());
        record.write(name + ": started");
        process = builder.start();
        Process started = process;
        Thread reader = new Thread(() -> copyLog(started.getInputStream()), "log-" + name);
        reader.setDaemon(true);
        reader.start();
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!isHealthy()) {
            if (System.nanoTime() > deadline || !process.isAlive()) {
                throw new CannotRun(name + " is not ready");
            }
            Thread.sleep(50);
        }
        record.write(name + ": ready");
    }

    private void copyLog(InputStream log) {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(log, StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                record.write(name + " logs " + line);
            }
        } catch (IOException e) {
            record.write(name + ": its log ended: " + e);
        }
    }

    private boolean isHealthy() {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
            Message response = Message.readResponse(socket.getInputStream());
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the end of the process; its exit status, or -1 if it still runs. */
    int waitFor(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Sends SIGTERM. */
    void terminate() {
        record.write(name + ": SIGTERM");
        process.toHandle().destroy(); // Process.destroy() would close its log as well
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() {
        if (process != null && process.isAlive()) {
            record.write(name + ": SIGKILL");
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        kill();
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** At the end of a run that was interrupted. */
    private void killAndCleanUp() {
        try {
            close();
        } catch (IOException e) {
            e.printStackTrace();
        }
    }
}
