package dockrelay.fleet.budget;

/** An invalid budget in the configuration. The message names the error, its place and the remedy. */
public final class BudgetException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** The error codes that docs/on-call.md explains. */
    public enum Code { NAME, RATE, BURST, TWICE, TOO_MANY, MEMBERS }

    private final Code code;

    public BudgetException(Code code, String problem, String remedy) {
        super("B-" + code + ": " + problem + "; " + remedy);
        this.code = code;
    }

    public Code code() {
        return code;
    }
}
