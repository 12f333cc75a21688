package dockrelay.lab;

/** A progress line on standard error, overwritten in place; prints nothing if there is no terminal. */
final class Progress {
    private final boolean terminal = System.console() != null;
    private int width;

    void say(String text) {
        if (terminal) {
            System.err.print("\r" + text + " ".repeat(Math.max(0, width - text.length())));
            width = text.length();
        }
    }

    void end() {
        if (terminal && width > 0) {
            System.err.print("\r" + " ".repeat(width) + "\r");
            width = 0;
        }
    }
}
