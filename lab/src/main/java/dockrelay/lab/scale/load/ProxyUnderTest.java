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
 * One real proxy, started as {@code run} says, with what it says and what the system says of it. Times are
 * nanoseconds of the steady clock.
 */
public final class ProxyUnderTest implements AutoCloseable {
    private static final int ASK_MILLIS = 60_000, START_ASK_MILLIS = 2_000;
    private static final long LOOK_NANOS = 2_000_000, END_MILLIS = 6_000;

    /** How a start went. */
    public enum StartOutcome { READY, OUT_OF_MEMORY, ENDED, NOT_READY }

    /** Processor time, and the time in which it wanted a processor and had none, in nanoseconds. */
    public record CpuTime(long usedNanos, long waited) {
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

    /** Its own folder is made here, and removed at the end. */
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

    /** Starts it; each line of its log goes to the hearer, on a thread of the log's own. */
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

    /** Asks until it says that it can serve; what else may become of it within the time is told as well. */
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
                LockSupport.parkNanos(LOOK_NANOS); // nobody listens there yet
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
        return log.saysOutOfMemory() ? StartOutcome.OUT_OF_MEMORY : StartOutcome.NOT_READY;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** The last lines of its log, for whoever wants to know why. */
    public List<String> lastLogLines() {
        return log.last();
    }

    /** Whether its log says that memory ran out. */
    public boolean ranOutOfMemory() {
        return log.saysOutOfMemory();
    }

    /** Resident memory in bytes; 0 where it is no more. */
    public long residentBytes() {
        return process.sampleUsage().residentKib() << 10;
    }

    /** Of all its threads that there are now; what it was at last where it is no more. */
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
                    continue; // it has just ended
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            return last;
        }
        if (used >= last.usedNanos) { // one that has just ended has a thread or none left
            last = new CpuTime(used, waited);
        }
        return last;
    }

    /** A line to its console and the answer's first line; empty where it says nothing. */
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

    /** A connection to it on which it can be asked whether it is well, as often as wanted. */
    public Talk talk() throws IOException {
        return new Talk(address(), ASK_MILLIS);
    }

    /** One connection. The proxy answers on the loop that serves: an answer shows that the loop is free. */
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

        /** Asks, and waits for the answer. */
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
                throw new IOException("the connection ended");
            }
            return status.startsWith("HTTP/1.1 200");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The lab is ended in the middle of a run. */
    private void abandon() {
        kill();
        try {
            leftovers.deleteOwnList();
            remove();
        } catch (IOException e) {
            return; // the next lab ends what is left; nobody is there to be told
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

    /** Ends it and removes what it left. */
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
