package dockrelay.lab;

/** A progress line on standard error, overwritten in place; prints nothing if there is no terminal. */
final class ProgressLine {
    private final boolean isTerminal = System.console() != null;
    private int width;

    void show(String text) {
        if (isTerminal) {
            System.err.print("\r" + text + " ".repeat(Math.max(0, width - text.length())));
            width = text.length();
        }
    }

    void clear() {
        if (isTerminal && width > 0) {
            System.err.print("\r" + " ".repeat(width) + "\r");
            width = 0;
        }
    }
}
