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
    private static final int ASK_MILLIS = 60_000, START_ASK_MILLIS = 2_000;
    private static final long LOOK_NANOS = 2_000_000, END_MILLIS = 6_000;

    /** Outcome of a start: ready to serve, out of memory, exited, or still not ready at the deadline. */
    public enum StartOutcome { READY, OUT_OF_MEMORY, ENDED, NOT_READY }

    /** CPU time used, and time spent runnable while waiting for a CPU, both in nanoseconds. */
    public record CpuTime(long usedNanos, long waited) {
        /** Returns the difference to an earlier reading. */
        public CpuTime since(CpuTime before) {
            return new CpuTime(usedNanos - before.usedNanos, waited - before.waited);
        }
    }

    private final Path folder;
    private final ProxyProcess process;
    private final ChildProcessRegistry leftovers;
    private final Thread killer = new Thread(this::abandon, "killer");
    private LogTail log;
    private long startedAt;
    private CpuTime last = new CpuTime(0, 0);

    /**
     * Creates a temporary working folder, which {@link #close} removes, and ends the processes that a killed
     * lab left behind.
     */
    public ProxyUnderTest(Build build) throws IOException {
        folder = Files.createTempDirectory("dockrelay-scale-");
        leftovers = new ChildProcessRegistry(ChildProcessRegistry.defaultFolder());
        leftovers.killOrphans();
        process = new ProxyProcess(0, build, folder, LoopbackAddresses.freeProxyAddress(0), false, 0, -1, leftovers);
        process.setConsoleAddress(LoopbackAddresses.freeConsoleAddress(0));
        Runtime.getRuntime().addShutdownHook(killer);
    }

    public InetSocketAddress address() {
        return process.listenAddress();
    }

    public InetSocketAddress console() {
        return process.consoleAddress();
    }

    public String name() {
        return process.name();
    }

    /** Starts the process; the listener receives each line of its log, on a thread that reads the log. */
    public void start(String configuration, String discovery, Consumer<LogTail.Line> hearer)
        throws IOException {
        startedAt = System.nanoTime();
        process.start(configuration, Map.of("PROXY_LISTEN", LoopbackAddresses.hostAndPort(address()), "PROXY_CONSOLE",
            LoopbackAddresses.hostAndPort(console()), "PROXY_DISCOVERY", discovery), false);
        log = new LogTail(folder.resolve(name() + ".1").resolve("log"), hearer);
    }

    public long startedAtNanos() {
        return startedAt;
    }

    /** Polls the health check until the proxy can serve, the process exits or the time has passed. */
    public StartOutcome awaitReady(long withinMillis) {
        long by = startedAt + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        while (System.nanoTime() < by) {
            if (!process.isAlive()) {
                log.awaitEnd();
                return log.saysOutOfMemory() ? StartOutcome.OUT_OF_MEMORY : StartOutcome.ENDED;
            }
            cpuTime();
            try (Talk talk = new Talk(address(), START_ASK_MILLIS)) {
                if (talk.healthy()) {
                    return StartOutcome.READY;
                }
            } catch (IOException e) {
                LockSupport.parkNanos(LOOK_NANOS); // the proxy does not listen yet
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
        return log.saysOutOfMemory() ? StartOutcome.OUT_OF_MEMORY : StartOutcome.NOT_READY;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the last lines of the log, to explain a failure. */
    public List<String> lastLogLines() {
        return log.last();
    }

    /** Whether the log contains an OutOfMemoryError. */
    public boolean ranOutOfMemory() {
        return log.saysOutOfMemory();
    }

    /** Resident memory in bytes; 0 if the process has ended. */
    public long residentBytes() {
        return process.sampleUsage().residentKib() << 10;
    }

    /** CPU time, summed over the live threads; the last known value if the process has ended. */
    public CpuTime cpuTime() {
        long used = 0, waited = 0;
        Path tasks = Path.of("/proc", String.valueOf(process.pid()), "task");
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
            for (Path thread : threads) {
                try {
                    String[] words = Files.readString(thread.resolve("schedstat")).trim().split(" ");
                    used += Long.parseLong(words[0]);
                    waited += Long.parseLong(words[1]);
                } catch (IOException e) {
                    continue; // the thread has just ended
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            return last;
        }
        if (used >= last.usedNanos) { // while the process ends, few or no threads are left and the sum falls
            last = new CpuTime(used, waited);
        }
        return last;
    }

    /** Sends a line to the console and returns the first line of the answer; empty if there is none. */
    public String call(String line, int withinMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(console(), withinMillis);
            socket.setSoTimeout(withinMillis);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            String answer = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.US_ASCII)).readLine();
            return answer == null ? "" : answer;
        } catch (IOException e) {
            return "";
        }
    }

    /** Opens a keep-alive connection for repeated health checks. */
    public Talk talk() throws IOException {
        return new Talk(address(), ASK_MILLIS);
    }

    /**
     * A keep-alive connection for health checks. The proxy answers them on the event loop that serves
     * requests, so an answer shows that the loop has finished its earlier work.
     */
    public static final class Talk implements AutoCloseable {
        private static final byte[] QUESTION = "GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
        private final Socket socket = new Socket();
        private final BufferedReader answers;

        Talk(InetSocketAddress address, int patienceMillis) throws IOException {
            socket.connect(address, patienceMillis);
            socket.setSoTimeout(patienceMillis);
            socket.setTcpNoDelay(true);
            answers = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.US_ASCII));
        }

        /** Sends a health check and waits for the answer; returns whether its status is 200. */
        public boolean healthy() throws IOException {
            socket.getOutputStream().write(QUESTION);
            String status = answers.readLine();
            int length = 0;
            String header = status;
            while (header != null && !header.isEmpty()) {
                header = answers.readLine();
                if (header != null && header.regionMatches(true, 0, "content-length:", 0, 15)) {
                    length = Integer.parseInt(header.substring(15).trim());
                }
            }
            for (int i = 0; i < length; i++) {
                answers.read();
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
    private void abandon() {
        kill();
        try {
            leftovers.deleteOwnList();
            remove();
        } catch (IOException e) {
            return; // the JVM is shutting down; the next lab ends what is left
        }
    }

    private void remove() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void kill() {
        process.signal("KILL");
        process.awaitExit(END_MILLIS);
    }

    /** Terminates the process, kills it if it does not exit in time, and removes its folder. */
    @Override
    public void close() throws IOException {
        process.signal("TERM");
        if (!process.awaitExit(END_MILLIS)) {
            kill();
        }
        if (log != null) {
            log.close();
        }
        leftovers.deleteOwnList();
        Runtime.getRuntime().removeShutdownHook(killer);
        remove();
    }
}
