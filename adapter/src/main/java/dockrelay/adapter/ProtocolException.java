package dockrelay.adapter;

/** Thrown for input that violates the simulator's protocol. */
final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ProtocolException(String message) {
        super(message);
    }
}
