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
    private static final long LOOK_NANOS = 500_000;
    private static final int BUFFER = 64 << 10, KEPT = 20;

    /** A log line, and the time at which it was read, in nanoseconds of {@link System#nanoTime}. */
    public record Line(long at, String text) {
    }

    private final FileChannel file;
    private final Consumer<Line> hearer;
    private final Deque<String> last = new ArrayDeque<>();
    private final StringBuilder rest = new StringBuilder();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean closed, outOfMemory;
    private volatile long readTo;

    LogTail(Path path, Consumer<Line> hearer) throws IOException {
        this.file = FileChannel.open(path, StandardOpenOption.READ);
        this.hearer = hearer;
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(BUFFER);
        try {
            while (!closed) {
                buffer.clear();
                int read = file.read(buffer);
                if (read <= 0) {
                    LockSupport.parkNanos(LOOK_NANOS);
                    continue;
                }
                long now = System.nanoTime();
                rest.append(new String(buffer.array(), 0, read, StandardCharsets.ISO_8859_1));
                int from = 0;
                int end;
                while ((end = rest.indexOf("\n", from)) >= 0) {
                    heard(new Line(now, rest.substring(from, end)));
                    from = end + 1;
                }
                rest.delete(0, from);
                readTo = file.position();
            }
        } catch (IOException e) {
            heard(new Line(System.nanoTime(), "cannot read the log: " + e));
        }
    }

    private void heard(Line line) {
        synchronized (last) {
            last.addLast(line.text);
            if (last.size() > KEPT) {
                last.removeFirst();
            }
        }
        outOfMemory |= line.text.contains("OutOfMemoryError");
        hearer.accept(line);
    }

    boolean saysOutOfMemory() {
        return outOfMemory;
    }

    List<String> last() {
        synchronized (last) {
            return List.copyOf(last);
        }
    }

    /** Waits until the log of a process that has ended is read to its end. */
    void awaitEnd() {
        try {
            while (!closed && thread.isAlive() && readTo < file.size()) {
                LockSupport.parkNanos(LOOK_NANOS);
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
