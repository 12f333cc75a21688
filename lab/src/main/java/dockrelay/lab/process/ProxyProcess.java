package dockrelay.lab.process;

import dockrelay.lab.starvation.CoreStats;
import dockrelay.lab.starvation.MonitoredProcess;
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

/**
 * One proxy under test, across restarts: its current process, and during an upgrade also the previous one.
 * Methods may be called from any thread.
 */
public final class ProxyProcess {
    private static final String RESIDENT_PREFIX = "VmRSS:";
    private static final int NO_DESCRIPTOR = -1;
    private static final double TICKS_PER_SECOND = 100;

    /** Resources in use by the running processes together; 0 once they have exited. */
    public record Usage(long residentKib, int descriptors) {
        Usage plus(Usage other) {
            return new Usage(residentKib + other.residentKib, descriptors + other.descriptors);
        }
    }

    /**
     * One process of the proxy, with whether it was started as the successor in an upgrade, whether it was
     * sent SIGTERM or SIGKILL, and whether it has reported that it is ready to serve.
     */
    private static final class Instance {
        final Process process;
        final boolean startedByUpgrade;
        boolean exitRequested, ready;

        Instance(Process process, boolean startedByUpgrade) {
            this.process = process;
            this.startedByUpgrade = startedByUpgrade;
        }

        boolean isAlive() {
            return process.isAlive();
        }
    }

    private final int index;
    private final Build build;
    private final Path folder;
    private final InetSocketAddress listenAddress;
    private final ChildProcessRegistry childProcesses;
    private final long maxFileBytes;
    private final int sharedSocketDescriptor, processor;
    private final Map<Long, Long> cpuTicksByPid = new HashMap<>();
    private InetSocketAddress consoleAddress;
    private Instance current, previous;
    private Path tmpFolder, configFile;
    private int starts;

    /**
     * With a shared socket, the lab opens the socket that listens for clients, and each process inherits it.
     * With a processor below 0 the processes are not pinned to a processor. A {@code maxFileBytes} of
     * 0 sets no limit on the size of their files.
     */
    public ProxyProcess(int index, Build build, Path folder, InetSocketAddress listenAddress,
                        boolean sharedSocket, long maxFileBytes, int processor,
                        ChildProcessRegistry childProcesses) throws IOException {
        this.index = index;
        this.build = build;
        this.folder = folder;
        this.listenAddress = listenAddress;
        this.childProcesses = childProcesses;
        this.maxFileBytes = maxFileBytes;
        this.processor = processor;
        this.sharedSocketDescriptor = sharedSocket ? SystemCalls.openListeningSocket(listenAddress)
            : NO_DESCRIPTOR;
    }

    public int index() {
        return index;
    }

    public String name() {
        return "n" + index;
    }

    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    public synchronized InetSocketAddress consoleAddress() {
        return consoleAddress;
    }

    /** Sets the address of the console for the process that is started next. */
    public synchronized void setConsoleAddress(InetSocketAddress address) {
        consoleAddress = address;
    }

    /** The processes' TMPDIR, whose contents outlive a process where the folder is kept. */
    public synchronized Path tmpFolder() {
        return tmpFolder;
    }

    /**
     * Starts a process with this configuration, as the platform does. A process that still runs keeps
     * running beside it.
     */
    public synchronized void start(String configuration, Map<String, String> environment,
        boolean keepTmpFolder)
        throws IOException {
        starts++;
        previous = current != null && current.isAlive() ? current : null;
        Path processFolder = Files.createDirectories(folder.resolve(name() + "." + starts));
        if (tmpFolder == null || !keepTmpFolder) {
            tmpFolder = Files.createDirectories(processFolder.resolve("tmp"));
        }
        configFile = processFolder.resolve("config.json");
        writeConfiguration(configuration);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", build.startCommand())
            .directory(build.root().toFile())
            .redirectErrorStream(true).redirectOutput(processFolder.resolve("log").toFile());
        builder.environment().put("PROXY_NAME", name());
        builder.environment().put("PROXY_CONFIG", configFile.toAbsolutePath().toString());
        builder.environment().put("TMPDIR", tmpFolder.toAbsolutePath().toString());
        builder.environment().putAll(environment);
        if (sharedSocketDescriptor == NO_DESCRIPTOR) {
            current = new Instance(builder.redirectInput(new File("/dev/null")).start(), previous != null);
        } else {
            builder.environment().put("PROXY_SOCKET_FD", "0");
            current = new Instance(SystemCalls.startWithInput(builder, sharedSocketDescriptor),
                previous != null);
        }
        childProcesses.register(current.process.toHandle());
        if (processor >= 0) {
            SystemCalls.pin(current.process.pid(), processor);
        }
        if (maxFileBytes > 0) {
            SystemCalls.limitFileSize(current.process.pid(), maxFileBytes);
        }
    }

    /** Replaces the configuration file, which a process reads at its start and at SIGHUP. */
    public synchronized void writeConfiguration(String configuration) throws IOException {
        Files.writeString(configFile, configuration);
    }

    /** How often a process was started. */
    public synchronized int starts() {
        return starts;
    }

    /** The id of the current process. */
    public synchronized long pid() {
        return current.process.pid();
    }

    public synchronized boolean isAlive() {
        return current != null && current.isAlive();
    }

    /** The id of the current process; 0 if none was started. */
    public synchronized long pidOrZero() {
        return current == null ? 0 : current.process.pid();
    }

    /**
     * Marks the current process as ready, after it has reported so. If it did so at the clients' address
     * during an upgrade, the answer may come from the previous process and doesn't count.
     */
    public synchronized void markReady(boolean atClientsAddress) {
        if (current != null && current.isAlive() && !(atClientsAddress && current.startedByUpgrade)) {
            current.ready = true;
        }
    }

    /**
     * The running processes, for the starvation check. A process that was signalled to exit is included: it
     * serves requests until it has exited.
     */
    public synchronized List<MonitoredProcess> monitoredProcesses() {
        List<MonitoredProcess> monitored = new ArrayList<>();
        for (Instance instance : new Instance[] {current, previous}) {
            if (instance != null && instance.isAlive()) {
                monitored.add(new MonitoredProcess(name(), instance.process.pid(), instance.ready,
                    processor < 0 ? CoreStats.ALL_CORES : processor));
            }
        }
        return monitored;
    }

    /** The exit of a process that was not signalled to exit, in words; null if there is none. */
    public synchronized String crashDescription() {
        for (Instance instance : new Instance[] {current, previous}) {
            if (instance != null && !instance.isAlive() && !instance.exitRequested) {
                return "process " + instance.process.pid() + " exited unexpectedly with status "
                    + instance.process.exitValue();
            }
        }
        return null;
    }

    /** Sends a signal by name to the current process; after TERM or KILL its exit is no crash. */
    public synchronized void signal(String signalName) {
        signal(current, signalName);
    }

    /** Sends a signal by name to the previous process of an upgrade. */
    public synchronized void signalPrevious(String signalName) {
        signal(previous, signalName);
    }

    private static void signal(Instance instance, String signalName) {
        if (instance == null || !instance.isAlive()) {
            return;
        }
        instance.exitRequested = instance.exitRequested || signalName.equals("TERM")
            || signalName.equals("KILL");
        if (signalName.equals("KILL")) {
            instance.process.destroyForcibly();
        } else if (signalName.equals("TERM")) {
            instance.process.destroy();
        } else {
            SystemCalls.signal(instance.process.pid(), signalName);
        }
    }

    /** Waits for the current process; returns whether it exited within this time. */
    public boolean awaitExit(long timeoutMillis) {
        Instance instance;
        synchronized (this) {
            instance = current;
        }
        try {
            return instance == null || instance.process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Reads the resources in use from /proc. */
    public synchronized Usage sampleUsage() {
        Usage usage = current == null ? new Usage(0, 0) : sampleUsage(current.process.pid());
        return previous == null || !previous.isAlive() ? usage
            : usage.plus(sampleUsage(previous.process.pid()));
    }

    /** CPU time of all processes so far, as of the last sample of each. */
    public synchronized double cpuSeconds() {
        return cpuTicksByPid.values().stream().mapToLong(Long::longValue).sum() / TICKS_PER_SECOND;
    }

    private Usage sampleUsage(long pid) {
        Path procFolder = Path.of("/proc", String.valueOf(pid));
        try {
            long residentKib = 0;
            for (String line : Files.readAllLines(procFolder.resolve("status"))) {
                if (line.startsWith(RESIDENT_PREFIX)) {
                    residentKib = Long.parseLong(line.substring(RESIDENT_PREFIX.length()).trim()
                        .split(" ")[0]);
                }
            }
            int descriptors = 0;
            try (DirectoryStream<Path> descriptorFiles = Files.newDirectoryStream(procFolder.resolve("fd"))) {
                for (Path descriptorFile : descriptorFiles) {
                    descriptors++;
                }
            }
            String stat = Files.readString(procFolder.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            cpuTicksByPid.put(pid, Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
            return new Usage(residentKib, descriptors);
        } catch (IOException | UncheckedIOException | DirectoryIteratorException e) {
            return new Usage(0, 0); // it has just exited
        }
    }

    /** Kills the processes and closes the shared socket. */
    void close() {
        signal("KILL");
        signalPrevious("KILL");
        if (sharedSocketDescriptor != NO_DESCRIPTOR) {
            SystemCalls.close(sharedSocketDescriptor);
        }
    }
}
