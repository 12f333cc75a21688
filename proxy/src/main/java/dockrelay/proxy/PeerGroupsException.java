package dockrelay.proxy;

/**
 * An invalid {@code peer_groups} entry. The message names the key, the value found and the values
 * allowed.
 */
final class PeerGroupsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * The error codes; docs/on-call.md explains them together with those of {@link
     * dockrelay.fleet.group.GroupException}.
     */
    enum Code { SHAPE, UNKNOWN, UNPLACED }

    private final Code code;

    PeerGroupsException(Code code, String key, String value, String allowed) {
        super("G-" + code + ": " + key + " is " + value + "; " + allowed);
        this.code = code;
    }

    Code code() {
        return code;
    }
}
