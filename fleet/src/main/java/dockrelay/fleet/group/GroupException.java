package dockrelay.fleet.group;

/** Something about the list of groups cannot be: which key, what it is, and what is allowed. */
public final class GroupException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** What an operator finds in docs/on-call.md. */
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

    /** What is wrong, as the list names it: its size, a zone, a name. */
    public String key() {
        return key;
    }

    public String value() {
        return value;
    }

    /** What it may be, or what an operator can do. */
    public String allowed() {
        return allowed;
    }
}
