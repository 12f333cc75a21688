package dockrelay.lab;

/** A play could not go on as the machine did not give its processes the cores: it says nothing of them. */
final class VoidPlayException extends Exception {
    private static final long serialVersionUID = 1L;

    VoidPlayException(String reason) {
        super(reason);
    }
}
