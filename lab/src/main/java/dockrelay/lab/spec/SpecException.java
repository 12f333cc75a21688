package dockrelay.lab.spec;

/** What is wrong with an experiment file, in one line: file, line, key, value and what is allowed. */
public final class SpecException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SpecException(String message) {
        super(message);
    }
}
