package dockrelay.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Repeats a play until it is valid, up to a maximum number of plays. A valid play is never repeated,
 * whatever its result: a broken rule stands.
 */
final class Plays<T> {
    /** Default maximum number of plays, including the first. */
    static final int MOST = 3;

    private final int most;
    private final Function<T, String> voidBecause;
    private final Consumer<String> told;
    private final List<String> reasons = new ArrayList<>();
    private T last;

    Plays(int most, Function<T, String> voidBecause, Consumer<String> told) {
        this.most = most;
        this.voidBecause = voidBecause;
        this.told = told;
    }

    /**
     * Returns the first valid play; throws NeverValidException if all are void, and what the play throws.
     */
    T play(Callable<T> play) throws Exception {
        while (reasons.size() < most) {
            String reason;
            try {
                last = play.call();
                reason = voidBecause.apply(last);
            } catch (VoidPlayException e) {
                last = null;
                reason = e.getMessage();
            }
            if (reason == null) {
                return last;
            }
            reasons.add(reason);
            told.accept("play " + reasons.size() + " of at most " + most + " is void: " + reason);
        }
        throw new NeverValidException(reasons);
    }

    /** The reasons why plays were void, in order. */
    List<String> reasons() {
        return List.copyOf(reasons);
    }

    /** The last play, void or not; null if it was aborted. */
    T last() {
        return last;
    }
}
