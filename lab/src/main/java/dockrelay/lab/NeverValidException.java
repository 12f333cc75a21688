package dockrelay.lab;

import java.util.List;

/** Each play within the bound was void: nothing was shown, neither good nor bad, and that is a failure. */
final class NeverValidException extends Exception {
    private static final long serialVersionUID = 1L;
    private final List<String> reasons;

    NeverValidException(List<String> reasons) {
        super("none of " + reasons.size() + " plays was valid: " + String.join("; ", reasons)
            + ". Play it again on a machine with less beside it, or play less of it at once");
        this.reasons = List.copyOf(reasons);
    }

    List<String> reasons() {
        return reasons;
    }
}
