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
final class PlayRepeater<T> {
    /** Default maximum number of plays, including the first. */
    static final int DEFAULT_MAX_PLAYS = 3;

    private final int maxPlays;
    private final Function<T, String> voidReasonOf;
    private final Consumer<String> messageListener;
    private final List<String> voidReasons = new ArrayList<>();
    private T lastPlay;

    PlayRepeater(int maxPlays, Function<T, String> voidReasonOf, Consumer<String> messageListener) {
        this.maxPlays = maxPlays;
        this.voidReasonOf = voidReasonOf;
        this.messageListener = messageListener;
    }

    /**
     * Returns the first valid play; throws NoValidPlayException if all are void, and what the play throws.
     */
    T playUntilValid(Callable<T> play) throws Exception {
        while (voidReasons.size() < maxPlays) {
            String reason;
            try {
                lastPlay = play.call();
                reason = voidReasonOf.apply(lastPlay);
            } catch (VoidPlayException e) {
                lastPlay = null;
                reason = e.getMessage();
            }
            if (reason == null) {
                return lastPlay;
            }
            voidReasons.add(reason);
            messageListener.accept("play " + voidReasons.size() + " of at most " + maxPlays + " is void: "
                + reason);
        }
        throw new NoValidPlayException(voidReasons);
    }

    /** The reasons why plays were void, in order. */
    List<String> voidReasons() {
        return List.copyOf(voidReasons);
    }

    /** The last play, void or not; null if it was aborted. */
    T lastPlay() {
        return lastPlay;
    }
}
