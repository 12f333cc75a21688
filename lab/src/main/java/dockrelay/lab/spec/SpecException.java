package dockrelay.lab.spec;

/**
 * An invalid experiment file or option; the one-line message names file, line, key, value and what is
 * allowed.
 */
public final class SpecException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SpecException(String message) {
        super(message);
    }
}
