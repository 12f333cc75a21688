package dockrelay.lab;

/**
 * A play was aborted because the machine did not give its processes enough CPU time; it shows nothing about
 * them.
 */
final class VoidPlayException extends Exception {
    private static final long serialVersionUID = 1L;

    VoidPlayException(String reason) {
        super(reason);
    }
}
