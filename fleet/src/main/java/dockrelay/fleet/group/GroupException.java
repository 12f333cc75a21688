package dockrelay.fleet.group;

/** Thrown if a configuration of groups is invalid; names the setting, its value and the allowed values. */
public final class GroupException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Error codes, described for operators in docs/on-call.md. TWICE is a name that occurs twice; ALIKE are
     * two names or zones with the same id on the wire.
     */
    public enum Code { SIZE, ZONE, EMPTY, NAME, TWICE, ALIKE, TOO_MANY }

    private final Code code;
    private final String key, value, allowed;

    public GroupException(Code code, String key, String value, String allowed) {
        super("G-" + code + ": " + key + " is " + value + "; " + allowed);
        this.code = code;
        this.key = key;
        this.value = value;
        this.allowed = allowed;
    }

    public Code code() {
        return code;
    }

    /** Returns the kind of setting that is invalid: the group size, a zone or a name. */
    public String key() {
        return key;
    }

    public String value() {
        return value;
    }

    /** Returns the allowed values, or what an operator can do. */
    public String allowed() {
        return allowed;
    }
}
