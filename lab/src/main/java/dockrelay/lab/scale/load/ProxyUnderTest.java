package dockrelay.lab.scale.load;

import dockrelay.lab.process.Build;
import dockrelay.lab.process.ChildProcessRegistry;
import dockrelay.lab.process.ProxyProcess;
import dockrelay.lab.world.LoopbackAddresses;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * A real proxy process, started with the build's {@code run} command, together with its log, its console and
 * the operating system's figures for it. Times are in nanoseconds of {@link System#nanoTime}.
 */
public final class ProxyUnderTest implements AutoCloseable {
    private static final int HEALTH_CHECK_TIMEOUT_MILLIS = 60_000, START_HEALTH_CHECK_TIMEOUT_MILLIS = 2_000;
    private static final long POLL_INTERVAL_NANOS = 2_000_000, EXIT_TIMEOUT_MILLIS = 6_000;

    /** Outcome of a start: ready to serve, out of memory, exited, or still not ready at the deadline. */
    public enum StartOutcome { READY, OUT_OF_MEMORY, ENDED, NOT_READY }

    /** CPU time used, and time spent runnable while waiting for a CPU, both in nanoseconds. */
    public record CpuTime(long usedNanos, long waitedNanos) {
        /** Returns the difference to an earlier reading. */
        public CpuTime since(CpuTime earlier) {
            return new CpuTime(usedNanos - earlier.usedNanos, waitedNanos - earlier.waitedNanos);
        }
    }

    private final Path folder;
    private final ProxyProcess process;
    private final ChildProcessRegistry childProcesses;
    private final Thread shutdownHook = new Thread(this::cleanUpAtShutdown, "killer");
    private LogTail log;
    private long startedAtNanos;
    private CpuTime lastCpuTime = new CpuTime(0, 0);

    /**
     * Creates a temporary working folder, which {@link #close} removes, and ends the processes that a killed
     * lab left behind.
     */
    public ProxyUnderTest(Build build) throws IOException {
        folder = Files.createTempDirectory("dockrelay-scale-");
        childProcesses = new ChildProcessRegistry(ChildProcessRegistry.defaultFolder());
        childProcesses.killOrphans();
        process = new ProxyProcess(0, build, folder, LoopbackAddresses.freeProxyAddress(0), false, 0, -1,
            childProcesses);
        process.setConsoleAddress(LoopbackAddresses.freeConsoleAddress(0));
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    public InetSocketAddress address() {
        return process.listenAddress();
    }

    public InetSocketAddress consoleAddress() {
        return process.consoleAddress();
    }

    public String name() {
        return process.name();
    }

    /** Starts the process; the listener receives each line of its log, on a thread that reads the log. */
    public void start(String configuration, String discovery, Consumer<LogTail.Line> lineListener)
        throws IOException {
        startedAtNanos = System.nanoTime();
        process.start(configuration, Map.of("PROXY_LISTEN", LoopbackAddresses.hostAndPort(address()),
            "PROXY_CONSOLE", LoopbackAddresses.hostAndPort(consoleAddress()), "PROXY_DISCOVERY",
            discovery), false);
        log = new LogTail(folder.resolve(name() + ".1").resolve("log"), lineListener);
    }

    public long startedAtNanos() {
        return startedAtNanos;
    }

    /** Polls the health check until the proxy can serve, the process exits or the time has passed. */
    public StartOutcome awaitReady(long timeoutMillis) {
        long deadlineNanos = startedAtNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < deadlineNanos) {
            if (!process.isAlive()) {
                log.awaitEnd();
                return log.sawOutOfMemory() ? StartOutcome.OUT_OF_MEMORY : StartOutcome.ENDED;
            }
            cpuTime();
            try (HealthConnection connection = new HealthConnection(address(),
                START_HEALTH_CHECK_TIMEOUT_MILLIS)) {
                if (connection.isHealthy()) {
                    return StartOutcome.READY;
                }
            } catch (IOException e) {
                LockSupport.parkNanos(POLL_INTERVAL_NANOS); // the proxy does not listen yet
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        return log.sawOutOfMemory() ? StartOutcome.OUT_OF_MEMORY : StartOutcome.NOT_READY;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the last lines of the log, to explain a failure. */
    public List<String> lastLogLines() {
        return log.lastLines();
    }

    /** Whether the log contains an OutOfMemoryError. */
    public boolean ranOutOfMemory() {
        return log.sawOutOfMemory();
    }

    /** Resident memory in bytes; 0 if the process has ended. */
    public long residentBytes() {
        return process.sampleUsage().residentKib() << 10;
    }

    /** CPU time, summed over the live threads; the last known value if the process has ended. */
    public CpuTime cpuTime() {
        long usedNanos = 0, waitedNanos = 0;
        Path taskFolder = Path.of("/proc", String.valueOf(process.pid()), "task");
        try (DirectoryStream<Path> threadFolders = Files.newDirectoryStream(taskFolder)) {
            for (Path threadFolder : threadFolders) {
                try {
                    String[] fields = Files.readString(threadFolder.resolve("schedstat")).trim().split(" ");
                    usedNanos += Long.parseLong(fields[0]);
                    waitedNanos += Long.parseLong(fields[1]);
                } catch (IOException e) {
                    continue; // the thread has just ended
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            return lastCpuTime;
        }
        if (usedNanos >= lastCpuTime.usedNanos) { // the sum falls while the threads of an ending process exit
            lastCpuTime = new CpuTime(usedNanos, waitedNanos);
        }
        return lastCpuTime;
    }

    /** Sends a line to the console and returns the first line of the answer; empty if there is none. */
    public String callConsole(String line, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(consoleAddress(), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            String response = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.US_ASCII)).readLine();
            return response == null ? "" : response;
        } catch (IOException e) {
            return "";
        }
    }

    /** Opens a keep-alive connection for repeated health checks. */
    public HealthConnection openHealthConnection() throws IOException {
        return new HealthConnection(address(), HEALTH_CHECK_TIMEOUT_MILLIS);
    }

    /**
     * A keep-alive connection for health checks. The proxy answers them on the event loop that serves
     * requests, so an answer shows that the loop has finished its earlier work.
     */
    public static final class HealthConnection implements AutoCloseable {
        private static final byte[] HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
        private final Socket socket = new Socket();
        private final BufferedReader reader;

        HealthConnection(InetSocketAddress address, int timeoutMillis) throws IOException {
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            reader = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.US_ASCII));
        }

        /** Sends a health check and waits for the answer; returns whether its status is 200. */
        public boolean isHealthy() throws IOException {
            socket.getOutputStream().write(HEALTH_REQUEST);
            String status = reader.readLine();
            int length = 0;
            String header = status;
            while (header != null && !header.isEmpty()) {
                header = reader.readLine();
                if (header != null && header.regionMatches(true, 0, "content-length:", 0, 15)) {
                    length = Integer.parseInt(header.substring(15).trim());
                }
            }
            for (int i = 0; i < length; i++) {
                reader.read();
            }
            if (status == null) {
                throw new IOException("connection closed before the response to the health check");
            }
            return status.startsWith("HTTP/1.1 200");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Shutdown hook, for a lab that is ended in the middle of a run. */
    private void cleanUpAtShutdown() {
        kill();
        try {
            childProcesses.deleteOwnList();
            removeFolder();
        } catch (IOException e) {
            return; // the JVM is shutting down; the next lab ends what is left
        }
    }

    private void removeFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void kill() {
        process.signal("KILL");
        process.awaitExit(EXIT_TIMEOUT_MILLIS);
    }

    /** Terminates the process, kills it if it does not exit in time, and removes its folder. */
    @Override
    public void close() throws IOException {
        process.signal("TERM");
        if (!process.awaitExit(EXIT_TIMEOUT_MILLIS)) {
            kill();
        }
        if (log != null) {
            log.close();
        }
        childProcesses.deleteOwnList();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        removeFolder();
    }
}
