package dockrelay.lab;

import java.util.List;

/** Each of the permitted plays was void, so the experiment has no result; this counts as a failure. */
final class NoValidPlayException extends Exception {
    private static final long serialVersionUID = 1L;
    private final List<String> voidReasons;

    NoValidPlayException(List<String> voidReasons) {
        super("none of " + voidReasons.size() + " plays was valid: " + String.join("; ", voidReasons)
            + ". Run it again on a less loaded machine, or run a smaller experiment");
        this.voidReasons = List.copyOf(voidReasons);
    }

    List<String> voidReasons() {
        return voidReasons;
    }
}
