package dockrelay.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * Writes lines to standard error, limited to a few per second of each kind, so that a storm of errors does
 * not use up the CPU.
 */
final class Log {
    private static final int LINES_EACH = 5;
    private static final int LONGEST = 500;
    private static final long WINDOW_NANOS = 1_000_000_000L;
    private static final Map<String, Window> WINDOWS = new HashMap<>();

    /** Lines of one kind in the current time window. */
    private static final class Window {
        long since;
        int lines;
        long dropped;
    }

    private Log() {
    }

    /** Writes one line. The kind must come from a fixed set, because state is kept for each kind. */
    static synchronized void write(String kind, String text) {
        long now = System.nanoTime();
        Window window = WINDOWS.computeIfAbsent(kind, k -> new Window());
        if (window.lines == 0 || now - window.since >= WINDOW_NANOS) {
            if (window.dropped > 0) {
                System.err.println(kind + ": " + window.dropped + " more lines suppressed");
            }
            window.since = now;
            window.lines = 0;
            window.dropped = 0;
        }
        if (window.lines++ < LINES_EACH) {
            System.err.println(kind + ": " + sanitize(text));
        } else {
            window.dropped++;
        }
    }

    /**
     * Replaces unprintable characters and truncates. Part of the text comes from peers, which must not be
     * able to forge lines or fill the log.
     */
    static String sanitize(String text) {
        String start = text.length() > LONGEST ? text.substring(0, LONGEST) + "..." : text;
        return start.replaceAll("[^\\x20-\\x7e]", "?");
    }

    /** Logs an exception with the place where it was thrown. */
    static void error(String kind, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        write(kind, cause + (trace.length == 0 ? "" : " at " + trace[0]));
    }
}
