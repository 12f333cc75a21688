package review;

/** The case could not run, so that it shows nothing. */
final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1;

    CannotRun(String message) {
        super(message);
    }
}
