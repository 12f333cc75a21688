package dockrelay.lab.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One proxy under test, by its name: the process there is now, and those there were. */
public final class ProxyProcess {
    private static final String RESIDENT = "VmRSS:";

    /** What the system says of a process; 0 where it says nothing any more. */
    public record Usage(long residentKib, int descriptors, long cpuTicks) {
    }

    private final int index;
    private final Build build;
    private final Path folder;
    private final InetSocketAddress listen, console;
    private final Leftovers leftovers;
    private Process process;
    private int starts;
    private boolean told;

    public ProxyProcess(int index, Build build, Path folder, InetSocketAddress listen,
        InetSocketAddress console, Leftovers leftovers) {
        this.index = index;
        this.build = build;
        this.folder = folder;
        this.listen = listen;
        this.console = console;
        this.leftovers = leftovers;
    }

    public int index() {
        return index;
    }

    public String name() {
        return "n" + index;
    }

    public InetSocketAddress listen() {
        return listen;
    }

    public InetSocketAddress console() {
        return console;
    }

    /** Starts it as the platform does, with this configuration and an empty folder of its own. */
    public synchronized void start(String configuration, Map<String, String> environment) throws IOException {
        starts++;
        told = false;
        Path home = folder.resolve(name() + "." + starts);
        Path tmp = Files.createDirectories(home.resolve("tmp"));
        Path config = home.resolve("config.json");
        Files.writeString(config, configuration);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", build.run())
            .directory(build.root().toFile())
            .redirectErrorStream(true).redirectOutput(home.resolve("log").toFile())
            .redirectInput(new java.io.File("/dev/null"));
        builder.environment().put("PROXY_NAME", name());
        builder.environment().put("PROXY_CONFIG", config.toAbsolutePath().toString());
        builder.environment().put("TMPDIR", tmp.toAbsolutePath().toString());
        builder.environment().putAll(environment);
        process = builder.start();
        leftovers.started(process.toHandle());
    }

    public synchronized int starts() {
        return starts;
    }

    public synchronized boolean alive() {
        return process != null && process.isAlive();
    }

    /** Whether it has ended though nobody told it to. */
    public synchronized boolean crashed() {
        return process != null && !process.isAlive() && !told;
    }

    public synchronized int exitCode() {
        return process.exitValue();
    }

    public synchronized long pid() {
        return process == null ? -1 : process.pid();
    }

    /** Sends a signal by its name; TERM and KILL count as being told to end. */
    public synchronized void signal(String name) {
        if (!alive()) {
            return;
        }
        told = told || name.equals("TERM") || name.equals("KILL");
        if (name.equals("KILL")) {
            process.destroyForcibly();
        } else if (name.equals("TERM")) {
            process.destroy();
        } else {
            Signals.send(process.pid(), name);
        }
    }

    /** Returns whether it has ended within this time. */
    public boolean await(long millis) {
        Process one;
        synchronized (this) {
            one = process;
        }
        try {
            return one == null || one.waitFor(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    public Usage usage() {
        Path proc = Path.of("/proc", String.valueOf(pid()));
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
            return new Usage(resident, descriptors, Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
        } catch (IOException | UncheckedIOException | java.nio.file.DirectoryIteratorException e) {
            return new Usage(0, 0, 0); // it has just ended
        }
    }
}
