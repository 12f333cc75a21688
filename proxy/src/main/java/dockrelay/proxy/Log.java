package dockrelay.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Writes lines to standard error, limited to a few per second of each kind, so that a storm of errors does
 * not use up the CPU.
 */
final class Log {
    private static final int MAX_LINES_PER_WINDOW = 5;
    private static final int MAX_TEXT_CHARS = 500;
    private static final long WINDOW_NANOS = 1_000_000_000L;
    private static final Map<String, Window> WINDOWS = new HashMap<>();

    /** Lines of one kind in the current time window. */
    private static final class Window {
        long startedAtNanos;
        int lineCount;
        long suppressedLines;
    }

    private Log() {
    }

    /** Writes one line. The kind must come from a fixed set, because state is kept for each kind. */
    static void write(String kind, String text) {
        write(kind, () -> text);
    }

    /** Writes one line, whose text is built only if it is not suppressed. */
    static synchronized void write(String kind, Supplier<String> text) {
        long now = System.nanoTime();
        Window window = WINDOWS.computeIfAbsent(kind, k -> new Window());
        if (window.lineCount == 0 || now - window.startedAtNanos >= WINDOW_NANOS) {
            if (window.suppressedLines > 0) {
                System.err.println(kind + ": " + window.suppressedLines + " more lines suppressed");
            }
            window.startedAtNanos = now;
            window.lineCount = 0;
            window.suppressedLines = 0;
        }
        if (window.lineCount++ < MAX_LINES_PER_WINDOW) {
            System.err.println(kind + ": " + sanitize(text.get()));
        } else {
            window.suppressedLines++;
        }
    }

    /**
     * Replaces unprintable characters and truncates. Part of the text comes from peers, which must not be
     * able to forge lines or fill the log.
     */
    static String sanitize(String text) {
        String truncated = text.length() > MAX_TEXT_CHARS ? text.substring(0, MAX_TEXT_CHARS) + "..." : text;
        return truncated.replaceAll("[^\\x20-\\x7e]", "?");
    }

    /** Logs an exception with the place where it was thrown. */
    static void error(String kind, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        write(kind, cause + (trace.length == 0 ? "" : " at " + trace[0]));
    }
}
