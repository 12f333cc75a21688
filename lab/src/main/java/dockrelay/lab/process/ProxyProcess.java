package dockrelay.lab.process;

import dockrelay.lab.starvation.CoreCounts;
import dockrelay.lab.starvation.Watched;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One proxy under test, by its name: the process there is now, beside it the one before in an upgrade. */
public final class ProxyProcess {
    private static final String RESIDENT = "VmRSS:";
    private static final int NO_SOCKET = -1;
    private static final double TICKS = 100;

    /** What the system says of its processes together; 0 where it says nothing any more. */
    public record Usage(long residentKib, int descriptors) {
        Usage and(Usage other) {
            return new Usage(residentKib + other.residentKib, descriptors + other.descriptors);
        }
    }

    /**
     * One process: the next one of an upgrade, or not; told once it has been sent a signal to end; it serves
     * once it has said that it can.
     */
    private static final class One {
        final Process process;
        final boolean upgrade;
        boolean told, serves;

        One(Process process, boolean upgrade) {
            this.process = process;
            this.upgrade = upgrade;
        }

        boolean alive() {
            return process.isAlive();
        }
    }

    private final int index;
    private final Build build;
    private final Path folder;
    private final InetSocketAddress listen;
    private final ChildProcessRegistry leftovers;
    private final long fileLimit;
    private final int socket, processor;
    private final Map<Long, Long> ticks = new HashMap<>();
    private InetSocketAddress console;
    private One now, before;
    private Path tmp, config;
    private int starts;

    /**
     * With a shared socket the lab listens for clients, and each process inherits that. A processor below 0
     * leaves it to the system where it runs.
     */
    public ProxyProcess(int index, Build build, Path folder, InetSocketAddress listen, boolean sharedSocket,
                        long fileLimit, int processor, ChildProcessRegistry leftovers) throws IOException {
        this.index = index;
        this.build = build;
        this.folder = folder;
        this.listen = listen;
        this.leftovers = leftovers;
        this.fileLimit = fileLimit;
        this.processor = processor;
        this.socket = sharedSocket ? Native.listening(listen) : NO_SOCKET;
    }

    public int index() {
        return index;
    }

    public String name() {
        return "n" + index;
    }

    public InetSocketAddress listenAddress() {
        return listen;
    }

    public synchronized InetSocketAddress consoleAddress() {
        return console;
    }

    /** The console's address of the process to be started next. */
    public synchronized void setConsoleAddress(InetSocketAddress itsConsole) {
        console = itsConsole;
    }

    /** What outlives a process, where it is kept. */
    public synchronized Path tmp() {
        return tmp;
    }

    /** Starts it as the platform does, with this configuration; one that still runs goes on beside it. */
    public synchronized void start(String configuration, Map<String, String> environment, boolean keepFolder)
        throws IOException {
        starts++;
        before = now != null && now.alive() ? now : null;
        Path home = Files.createDirectories(folder.resolve(name() + "." + starts));
        if (tmp == null || !keepFolder) {
            tmp = Files.createDirectories(home.resolve("tmp"));
        }
        config = home.resolve("config.json");
        configure(configuration);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", build.startCommand())
            .directory(build.root().toFile())
            .redirectErrorStream(true).redirectOutput(home.resolve("log").toFile());
        builder.environment().put("PROXY_NAME", name());
        builder.environment().put("PROXY_CONFIG", config.toAbsolutePath().toString());
        builder.environment().put("TMPDIR", tmp.toAbsolutePath().toString());
        builder.environment().putAll(environment);
        if (socket == NO_SOCKET) {
            now = new One(builder.redirectInput(new File("/dev/null")).start(), before != null);
        } else {
            builder.environment().put("PROXY_SOCKET_FD", "0");
            now = new One(Native.start(builder, socket), before != null);
        }
        leftovers.started(now.process.toHandle());
        if (processor >= 0) {
            Native.pin(now.process.pid(), processor);
        }
        if (fileLimit > 0) {
            Native.limitFiles(now.process.pid(), fileLimit);
        }
    }

    /** Writes its configuration anew; it reads it at a start and at SIGHUP. */
    public synchronized void configure(String configuration) throws IOException {
        Files.writeString(config, configuration);
    }

    public synchronized int starts() {
        return starts;
    }

    /** The id of the process there is now. */
    public synchronized long pid() {
        return now.process.pid();
    }

    public synchronized boolean isAlive() {
        return now != null && now.alive();
    }

    /** The process there is now; 0 where none was started. */
    public synchronized long process() {
        return now == null ? 0 : now.process.pid();
    }

    /** It has said that it can serve. At the clients' address it may be the one before that says so. */
    public synchronized void serves(boolean atClientsAddress) {
        if (now != null && now.alive() && !(atClientsAddress && now.upgrade)) {
            now.serves = true;
        }
    }

    /** What runs of it, to be watched; what has been told to end serves on to its end. */
    public synchronized List<Watched> watched() {
        List<Watched> result = new ArrayList<>();
        for (One one : new One[] {now, before}) {
            if (one != null && one.alive()) {
                result.add(new Watched(name(), one.process.pid(), one.serves,
                    processor < 0 ? CoreCounts.ALL : processor));
            }
        }
        return result;
    }

    /** What has ended though nobody told it to, and how; null where nothing has. */
    public synchronized String crashDescription() {
        for (One one : new One[] {now, before}) {
            if (one != null && !one.alive() && !one.told) {
                return "process " + one.process.pid() + " ended by itself with " + one.process.exitValue();
            }
        }
        return null;
    }

    /** Sends a signal by its name to the process there is now; TERM and KILL count as being told to end. */
    public synchronized void signal(String name) {
        signal(now, name);
    }

    /** The same to the one before it, in an upgrade. */
    public synchronized void signalBefore(String name) {
        signal(before, name);
    }

    private static void signal(One one, String name) {
        if (one == null || !one.alive()) {
            return;
        }
        one.told = one.told || name.equals("TERM") || name.equals("KILL");
        if (name.equals("KILL")) {
            one.process.destroyForcibly();
        } else if (name.equals("TERM")) {
            one.process.destroy();
        } else {
            Native.signal(one.process.pid(), name);
        }
    }

    /** Returns whether it has ended within this time. */
    public boolean awaitExit(long millis) {
        One one;
        synchronized (this) {
            one = now;
        }
        try {
            return one == null || one.process.waitFor(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    public synchronized Usage sampleUsage() {
        Usage usage = now == null ? new Usage(0, 0) : sampleUsage(now.process.pid());
        return before == null || !before.alive() ? usage : usage.and(sampleUsage(before.process.pid()));
    }

    /** CPU time of all its processes, as far as it has been looked at. */
    public synchronized double cpuSeconds() {
        return ticks.values().stream().mapToLong(Long::longValue).sum() / TICKS;
    }

    private Usage sampleUsage(long process) {
        Path proc = Path.of("/proc", String.valueOf(process));
        try {
            long resident = 0;
            for (String line : Files.readAllLines(proc.resolve("status"))) {
                if (line.startsWith(RESIDENT)) {
                    resident = Long.parseLong(line.substring(RESIDENT.length()).trim().split(" ")[0]);
                }
            }
            int descriptors = 0;
            try (DirectoryStream<Path> open = Files.newDirectoryStream(proc.resolve("fd"))) {
                for (Path ignored : open) {
                    descriptors++;
                }
            }
            String stat = Files.readString(proc.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            ticks.put(process, Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
            return new Usage(resident, descriptors);
        } catch (IOException | UncheckedIOException | DirectoryIteratorException e) {
            return new Usage(0, 0); // it has just ended
        }
    }

    void close() {
        signal("KILL");
        signalBefore("KILL");
        if (socket != NO_SOCKET) {
            Native.close(socket);
        }
    }
}
