package dockrelay.lab;

import dockrelay.lab.report.PlayResult;
import java.util.concurrent.Callable;

/** Repeats a play of real processes in a test until it can show whether the rules were kept. */
final class RepeatedPlay {
    /**
     * More than the lab's default, because an unattended build cannot be asked to repeat a play. On a host
     * that reclaimed cores 8 of 23 plays were void; at that rate, 15 plays are all valid in 53% of the
     * builds with at most 3 tries each, and in 97% with 6.
     */
    private static final int MAX_PLAYS = 6;

    private RepeatedPlay() {
    }

    /** Returns the first play that is valid for judging the rules; prints why earlier plays were void. */
    static PlayResult playUntilJudgeable(Callable<PlayResult> play) throws Exception {
        return new PlayRepeater<PlayResult>(MAX_PLAYS, PlayResult::rulesVoidReason, System.out::println)
            .playUntilValid(play);
    }
}
