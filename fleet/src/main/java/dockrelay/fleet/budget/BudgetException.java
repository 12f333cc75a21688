package dockrelay.fleet.budget;

/** Something about a budget cannot be: what is wrong and where, and what an operator can do. */
public final class BudgetException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** What an operator finds in docs/on-call.md. */
    public enum Code { NAME, RATE, BURST, TWICE, TOO_MANY, MEMBERS }

    private final Code code;

    public BudgetException(Code code, String wrong, String remedy) {
        super("B-" + code + ": " + wrong + "; " + remedy);
        this.code = code;
    }

    public Code code() {
        return code;
    }
}
