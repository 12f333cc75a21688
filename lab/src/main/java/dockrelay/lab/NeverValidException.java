package dockrelay.lab;

import java.util.List;

/** Each of the permitted plays was void, so the experiment has no result; this counts as a failure. */
final class NeverValidException extends Exception {
    private static final long serialVersionUID = 1L;
    private final List<String> reasons;

    NeverValidException(List<String> reasons) {
        super("none of " + reasons.size() + " plays was valid: " + String.join("; ", reasons)
            + ". Run it again on a less loaded machine, or run a smaller experiment");
        this.reasons = List.copyOf(reasons);
    }

    List<String> reasons() {
        return reasons;
    }
}
