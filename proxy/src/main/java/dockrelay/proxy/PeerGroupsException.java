package dockrelay.proxy;

/** Zones and peers of a configuration do not fit each other: where, what stands there, what is allowed. */
final class PeerGroupsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** What an operator finds in docs/on-call.md, beside those of dockrelay.fleet.group.GroupException. */
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
