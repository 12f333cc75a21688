package dockrelay.proxy;

import com.sun.jna.Library;
import com.sun.jna.Native;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A proxy that is started by the {@code run} line of a checkout's deploy file, with a listening socket of the
 * platform as its standard input.
 */
final class InheritedSocketProcess implements AutoCloseable {
    private static final int MEMORY_MEGABYTES = 192;

    /** The functions of the C library that are used here. */
    interface CLibrary extends Library {
        CLibrary LIBRARY = Native.load("c", CLibrary.class);

        int dup(int descriptor);

        int dup2(int from, int to);

        int close(int descriptor);
    }

    private final ServerSocketChannel listener;
    private final Path folder;
    private final Process process;

    /**
     * Starts the process.
     *
     * @param checkout a checkout that has been built
     * @param folder the folder for its configuration and log
     */
    InheritedSocketProcess(Path checkout, Path folder, ServerSocketChannel listener, int discoveryPort,
                           String entries, String serviceFigures) throws IOException {
        this.listener = listener;
        this.folder = Files.createDirectories(folder);
        Path config = folder.resolve("config.json");
        Files.writeString(config, Fakes.configJson(port(), discoveryPort, 1024, entries, "")
            .replace("\"Aim\":1.0,\"HardLimit\":5.0", serviceFigures).replace("\"MemorySpan\":5.0",
                "\"MemorySpan\":0.6")
            .replace("\"limits\":{", "\"limits\":{\"cores\":1.0,\"memory_mb\":" + MEMORY_MEGABYTES + ","));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", RunLine.read(checkout));
        builder.directory(checkout.toFile());
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_SOCKET_FD", "0");
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve("log").toFile());
        process = start(builder, SegmentedListener.descriptorOf(listener));
    }

    /** Synchronized, because the descriptor replaces the standard input of this process for a moment. */
    private static synchronized Process start(ProcessBuilder builder, int descriptor) throws IOException {
        int saved = CLibrary.LIBRARY.dup(0);
        try {
            CLibrary.LIBRARY.dup2(descriptor, 0);
            return builder.redirectInput(ProcessBuilder.Redirect.INHERIT).start();
        } finally {
            CLibrary.LIBRARY.dup2(saved, 0);
            CLibrary.LIBRARY.close(saved);
        }
    }

    ServerSocketChannel listener() {
        return listener;
    }

    /** Whether the log holds this text. */
    boolean hasLogged(String text) {
        try {
            return readLog().contains(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    int port() throws IOException {
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /** Sends a signal, given by its name, such as TERM. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process with SIGKILL and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Waits for the end of the process; returns whether it has ended in time. */
    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The most memory that the process has held so far, in megabytes; 0 if it has ended. */
    long peakMemoryMegabytes() throws IOException {
        return ProcessMemory.peakMegabytes(process.pid());
    }

    String readLog() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        listener.close();
    }
}
