package dockrelay.lab;

import dockrelay.lab.report.Result;
import java.util.concurrent.Callable;

/** Repeats a play of real processes in a test until it can show whether the rules were kept. */
final class JudgedPlay {
    /**
     * More than the lab's default, because an unattended build cannot be asked to repeat a play. On a host
     * that reclaimed cores 8 of 23 plays were void; at that rate, 15 plays are all valid in 53% of the
     * builds with at most 3 tries each, and in 97% with 6.
     */
    private static final int MOST = 6;

    private JudgedPlay() {
    }

    /** Returns the first play that is valid for judging the rules; prints why earlier plays were void. */
    static Result of(Callable<Result> play) throws Exception {
        return new Plays<Result>(MOST, Result::rulesVoidBecause, System.out::println).play(play);
    }
}
