package dockrelay.lab.scale.load;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/** Follows the log file of a process and passes on each line within about a millisecond of its writing. */
public final class LogTail implements AutoCloseable {
    private static final long POLL_INTERVAL_NANOS = 500_000;
    private static final int BUFFER_BYTES = 64 << 10, MAX_KEPT_LINES = 20;

    /** A log line, and the time at which it was read, in nanoseconds of {@link System#nanoTime}. */
    public record Line(long readAtNanos, String text) {
    }

    private final FileChannel file;
    private final Consumer<Line> lineListener;
    private final Deque<String> lastLines = new ArrayDeque<>();
    private final StringBuilder partialLine = new StringBuilder();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean closed, outOfMemory;
    private volatile long readPosition;

    LogTail(Path path, Consumer<Line> lineListener) throws IOException {
        this.file = FileChannel.open(path, StandardOpenOption.READ);
        this.lineListener = lineListener;
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
        try {
            while (!closed) {
                buffer.clear();
                int readBytes = file.read(buffer);
                if (readBytes <= 0) {
                    LockSupport.parkNanos(POLL_INTERVAL_NANOS);
                    continue;
                }
                long now = System.nanoTime();
                partialLine.append(new String(buffer.array(), 0, readBytes, StandardCharsets.ISO_8859_1));
                int lineStart = 0;
                int lineEnd;
                while ((lineEnd = partialLine.indexOf("\n", lineStart)) >= 0) {
                    handleLine(new Line(now, partialLine.substring(lineStart, lineEnd)));
                    lineStart = lineEnd + 1;
                }
                partialLine.delete(0, lineStart);
                readPosition = file.position();
            }
        } catch (IOException e) {
            handleLine(new Line(System.nanoTime(), "cannot read the log: " + e));
        }
    }

    private void handleLine(Line line) {
        synchronized (lastLines) {
            lastLines.addLast(line.text);
            if (lastLines.size() > MAX_KEPT_LINES) {
                lastLines.removeFirst();
            }
        }
        outOfMemory |= line.text.contains("OutOfMemoryError");
        lineListener.accept(line);
    }

    /** Whether a line so far contains an OutOfMemoryError. */
    boolean sawOutOfMemory() {
        return outOfMemory;
    }

    /** The most recent lines, at most {@code MAX_KEPT_LINES}, oldest first. */
    List<String> lastLines() {
        synchronized (lastLines) {
            return List.copyOf(lastLines);
        }
    }

    /** Waits until the log of a process that has ended is read to its end. */
    void awaitEnd() {
        try {
            while (!closed && thread.isAlive() && readPosition < file.size()) {
                LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            }
        } catch (IOException e) {
            return; // the lines read so far have to suffice
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        file.close();
    }
}
