package dockrelay.lab.scale;

/**
 * Thrown for a size that is not measured: the code under test does not support it, or the machine lacks the
 * resources. The message is one line with the reason and, if possible, what the operator can do.
 */
public final class SizeRefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    public SizeRefusedException(String reason) {
        super(reason);
    }
}
