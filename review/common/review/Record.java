package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), "UTF-8");
    }

    /** Seconds since the start of the run. */
    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void write(String text) {
        out.printf(Locale.ROOT, "%9.4f %s%n", seconds(), text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    synchronized void say(String text) {
        write(text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
