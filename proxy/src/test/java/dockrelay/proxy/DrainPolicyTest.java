package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockrelay.proxy.DrainPolicy.AnswerMode;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What is taken after SIGTERM, at each of its bounds. */
class DrainPolicyTest {
    private static final long STOP = 5_000_000_000L;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    /** SIGKILL comes no sooner than the longest deadline and so long after SIGTERM. */
    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
    /** Requests that came up to this time after SIGTERM may be cut by SIGKILL. */
    private static final long CUT_PERMITTED_MILLIS = 700;

    @Test
    void drainEndsBeforeTheKillMayCome() {
        for (long deadlineMillis : new long[] {100, 2_000, 3_000}) {
            DrainPolicy policy = new DrainPolicy(STOP, deadlineMillis * 1_000);
            assertEquals(deadlineMillis + 450, policy.millisUntilEnd(STOP));
            assertEquals(true, policy.millisUntilEnd(STOP) < deadlineMillis + KILL_AFTER_DEADLINE_MILLIS);
        }
        assertEquals(3_450, new DrainPolicy(STOP, 60_000_000).millisUntilEnd(STOP), "it counts as 3 s");
    }

    @Test
    void drainIsOverOnceItHasEnded() {
        assertEquals(0, new DrainPolicy(STOP, 2_000_000).millisUntilEnd(STOP + 9_000 * MILLI));
    }

    @Test
    void timeBudgetEndsWithTheDrain() {
        DrainPolicy policy = new DrainPolicy(STOP, 2_000_000);
        assertEquals(1_000_000, policy.timeBudgetMicros(1_000_000, STOP + 1_450 * MILLI));
        assertEquals(999_000, policy.timeBudgetMicros(1_000_000, STOP + 1_451 * MILLI));
        assertEquals(0, policy.timeBudgetMicros(1_000_000, STOP + 2_450 * MILLI));
    }

    @Test
    void answerThatTheKillMayNotCutIsPassedOnWhole() {
        DrainPolicy policy = new DrainPolicy(STOP, 2_000_000);
        assertEquals(AnswerMode.STREAMED, policy.answerMode(STOP - 10 * MILLI), "it came before SIGTERM");
        assertEquals(AnswerMode.STREAMED, policy.answerMode(STOP + 500 * MILLI));
        assertEquals(AnswerMode.WHOLE, policy.answerMode(STOP + 500 * MILLI + 1));
        assertEquals(AnswerMode.WHOLE, policy.answerMode(STOP + CUT_PERMITTED_MILLIS * MILLI));
    }

    @Test
    void timesMayWrapAround() {
        DrainPolicy policy = new DrainPolicy(Long.MAX_VALUE - 100 * MILLI, 2_000_000);
        assertEquals(2_250, policy.millisUntilEnd(Long.MAX_VALUE + 100 * MILLI));
        assertEquals(AnswerMode.WHOLE, policy.answerMode(Long.MAX_VALUE + 401 * MILLI));
    }

    @Test
    void halfOfASendBufferIsForTheSystem() {
        assertEquals(212_992, DrainPolicy.maxWholeAnswerBytes(425_984));
    }
}
