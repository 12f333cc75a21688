package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.DiscoveryModel.Away;
import dockrelay.proxy.DiscoveryModel.Scenario;
import dockrelay.proxy.DiscoveryModel.Trigger;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates the calls of whole fleets on a virtual clock. Times are in milliseconds. */
class CallPacingTest {
    private static final long ASK_WITHIN = 10_000, GRACE = 1_500;
    private static final long END = 40_000;
    private static final int SEEDS = 50;
    /** Service time of one call, and the maximum service time for a whole fleet. */
    private static final long CALL_TIME = 200, MAX_WHOLE_FLEET = 3_500;

    /** Deadline for the last proxy to have its list, if no part of it was sent before. */
    private static long limit(Trigger trigger) {
        return (trigger == Trigger.MOVE ? DiscoveryTimeouts.TOLD_MOVED : DiscoveryTimeouts.TOLD) + GRACE;
    }

    private static void assertInTime(Scenario scenario, long limit) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            long last = new DiscoveryModel(scenario, seed).play(END).lastAnswer();
            assertTrue(last <= limit, scenario + ", seed " + seed + ": last proxy has its list after "
                + last + " ms");
        }
    }

    /**
     * {@code wholeFleet} is the time in which discovery can serve the whole fleet if each proxy calls once.
     */
    @ParameterizedTest
    @CsvSource({"OUTAGE,24,4000", "OUTAGE,100,5000", "START,24,4000", "START,100,5000", "SILENCE,24,4000",
        "SILENCE,100,5000", "MOVE,24,4000", "MOVE,100,5000", "START_MOST,24,4000", "START_MOST,100,5000",
        "RESET,24,4000", "RESET,100,5000", "CLOSED,24,4000", "CLOSED,100,4000", "OUTAGE_CLOSED,24,4000",
        "OUTAGE_CLOSED,100,5000", "OUTAGE,50,5000", "START,50,5000", "SILENCE,50,5000",
        "MOVE,50,5000", "OUTAGE,16,3200", "START,16,3200", "RESET,16,3200", "OUTAGE,8,1600", "START,8,1600",
        "OUTAGE,1,200", "START,1,200", "SILENCE,1,200", "MOVE,1,200", "RESET,1,200"})
    void allOfAFleetHaveTheListInTime(Trigger trigger, int fleet, long wholeFleet) {
        assertInTime(new Scenario(trigger, fleet, wholeFleet), limit(trigger));
    }

    /** For outages of any length, whether calls were refused or timed out meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {100, 1_000, 2_000, 4_000, 8_000, 12_000, 15_000, 20_000, 25_000, 30_000})
    void afterAnOutageAllHaveTheListInTime(long outage) {
        for (Away away : Away.values()) {
            for (int fleet : new int[] {1, 8, 9, 24, 50, 100}) {
                long wholeFleet = Math.min(MAX_WHOLE_FLEET, CALL_TIME * fleet);
                for (Trigger trigger : new Trigger[] {Trigger.OUTAGE, Trigger.OUTAGE_CLOSED}) {
                    assertInTime(new Scenario(trigger, fleet, wholeFleet).withOutage(outage, away),
                        limit(trigger));
                }
            }
        }
    }

    /** The part sent before the cut counts as known at once. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aProxyWhoseAnswersAreCutHasTheNextOneWithinTheGrace(int furtherCuts) {
        for (int fleet : new int[] {1, 2, 8, 9, 16, 24, 50, 100}) {
            Scenario scenario = new Scenario(Trigger.CUT_ONE, fleet, Math.min(5_000, CALL_TIME * fleet));
            assertInTime(scenario.withCutAnswers(furtherCuts), GRACE);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 16, 24, 50, 100})
    void aFleetWhoseAnswersAreAllCutHasTheNextOnesWithinTheGraceOfAFastDiscovery(int fleet) {
        assertInTime(new Scenario(Trigger.CUT, fleet, 1_300).withQueue(fleet), GRACE);
        assertInTime(new Scenario(Trigger.CUT, fleet, 600).withQueue(fleet), GRACE);
        assertInTime(new Scenario(Trigger.CLOSED, fleet, 1_000), GRACE);
        assertInTime(new Scenario(Trigger.CUT, fleet, 600).withQueue(fleet).withCutAnswers(1), GRACE);
        assertInTime(new Scenario(Trigger.RESET, fleet, 1_300), GRACE);
    }

    /** Discovery is up, and may have had more to send. */
    @Test
    void aProxyWhoseWatchIsClosedHasTheNextListWithinTheGrace() {
        for (int fleet : new int[] {1, 2, 8, 9, 16, 24, 50, 100}) {
            assertInTime(new Scenario(Trigger.CLOSED_ONE, fleet, Math.min(5_000, CALL_TIME * fleet)), GRACE);
        }
    }

    /** A slow discovery cannot serve all proxies at once, but serves each in time. */
    @ParameterizedTest
    @ValueSource(ints = {16, 24, 50, 100})
    void aFleetWhoseAnswersAreAllCutDoesNotOverrunASlowDiscovery(int fleet) {
        long wholeFleet = Math.min(4_000, CALL_TIME * fleet);
        assertInTime(new Scenario(Trigger.CUT, fleet, wholeFleet), limit(Trigger.CUT));
    }

    /** A few starting proxies do not overload discovery and need not wait for their slots. */
    @Test
    void theProxiesOfARollingRestartCallWithoutMuchDelay() {
        int fleet = 100, group = 10;
        long sum = 0;
        for (int i = 0; i < fleet; i++) {
            sum += new CallPacing(fleet, i, ASK_WITHIN, i).firstCall();
        }
        assertTrue(sum / fleet <= DiscoveryTimeouts.MOST_APART, sum / fleet + " ms mean wait of the fleet");
        for (int first = 0; first < fleet; first += group) {
            long ofGroup = 0;
            for (int i = first; i < first + group; i++) {
                ofGroup += new CallPacing(fleet, i, ASK_WITHIN, i).firstCall();
            }
            assertTrue(ofGroup / group <= DiscoveryTimeouts.MOST_APART, "sum of waits in group " + first
                + ": " + ofGroup);
        }
    }

    /** A small fleet does not wait for an interval. */
    @Test
    void aSmallFleetBacksOffExponentially() {
        CallPacing pacing = new CallPacing(8, 0, ASK_WITHIN, 3);
        assertEquals(0, pacing.afterSilence());
        assertEquals(0, pacing.afterMove());
        for (int i = 0; i < 100; i++) {
            long wait = pacing.afterFailure(0, true);
            assertTrue(wait <= Math.min(DiscoveryTimeouts.FIRST_APART << Math.min(i, 10),
                DiscoveryTimeouts.MOST_APART),
                i + ": wait in ms is " + wait);
        }
        assertEquals(0, pacing.afterFailure(DiscoveryTimeouts.MOST_APART, true),
            "the wait counts from the start of the call");
    }

    /** A single refusal does not indicate overload; many in a row do. */
    @Test
    void aCallThatIsRefusedAtOnceIsRepeatedSoonButNotForEver() {
        CallPacing pacing = new CallPacing(100, 0, ASK_WITHIN, 3);
        for (int i = 0; i < CallPacing.MAX_QUICK_REPEATS; i++) {
            assertTrue(pacing.afterFailure(15, true) <= DiscoveryTimeouts.FIRST_APART << i);
        }
        assertTrue(pacing.afterFailure(15, true) >= CallPacing.MAX_FIRST_INTERVAL / 2);
        pacing.reset();
        assertTrue(pacing.afterFailure(DiscoveryModel.MAX_WAIT, true)
            >= CallPacing.MAX_FIRST_INTERVAL / 2 - DiscoveryModel.MAX_WAIT,
            "a call refused after a wait is repeated after an interval");
        pacing.reset();
        assertTrue(pacing.afterFailure(15, true) <= DiscoveryTimeouts.FIRST_APART,
            "an answer resets the backoff");
    }

    /** A connection that ends early has lost an answer; a refusal has not. */
    @Test
    void aCallWhoseConnectionEndsBeforeAnAnswerIsRepeatedAtOnce() {
        CallPacing pacing = new CallPacing(100, 99, ASK_WITHIN, 3);
        assertTrue(pacing.afterFailure(1_000, false) <= CallPacing.JITTER);
        assertTrue(pacing.afterFailure(1_000, true) >= CallPacing.MAX_FIRST_INTERVAL / 2 - 1_000);
    }

    /** If discovery resets calls that have waited too long, a reset does not indicate a lost answer. */
    @Test
    void callsWhoseConnectionsEndOneAfterAnotherWaitForAnInterval() {
        CallPacing pacing = new CallPacing(100, 99, ASK_WITHIN, 3);
        assertTrue(pacing.afterFailure(1_000, false) <= CallPacing.JITTER);
        for (int i = 0; i < 10; i++) {
            assertTrue(pacing.afterFailure(1_000, false) >= CallPacing.MAX_FIRST_INTERVAL / 2 - 1_000);
        }
        pacing.answered(50);
        assertTrue(pacing.afterFailure(1_000, false) <= 2 * CallPacing.JITTER, "an answer resets the state");
    }

    /** All proxies that call receive the older list; they must not call again at the same time. */
    @Test
    void proxiesThatFindDiscoveryBehindDoNotAskAgainTogether() {
        int fleet = 100;
        long callTime = 53;
        long[] asked = new long[fleet];
        for (int i = 0; i < fleet; i++) {
            CallPacing pacing = new CallPacing(fleet, i, ASK_WITHIN, i);
            pacing.answered(callTime);
            asked[i] = pacing.whileBehind();
            assertTrue(asked[i] <= DiscoveryTimeouts.TOLD, "called too late, after ms: " + asked[i]);
        }
        Arrays.sort(asked);
        long served = 0, longestWait = 0;
        for (long at : asked) {
            served = Math.max(served, at) + callTime;
            longestWait = Math.max(longestWait, served - at);
        }
        assertTrue(longestWait < DiscoveryModel.MAX_WAIT, "longest time in the queue in ms: " + longestWait);
        assertEquals(DiscoveryTimeouts.TOLD, new CallPacing(8, 0, ASK_WITHIN, 3).whileBehind());
    }

    /** A proxy must back off if all answers are truncated. */
    @Test
    void answersThatAreAlwaysCutAreAskedForLessAndLess() {
        CallPacing pacing = new CallPacing(100, 0, ASK_WITHIN, 3);
        for (int i = 0; i < 100; i++) {
            long wait = pacing.afterBrokenAnswer();
            long bound = Math.min(CallPacing.JITTER << Math.min(i, 10), DiscoveryTimeouts.MOST_APART);
            assertTrue(wait <= bound, i + ": wait in ms is " + wait);
        }
        long sum = 0;
        for (int i = 0; i < 100; i++) {
            sum += pacing.afterBrokenAnswer();
        }
        assertTrue(sum / 100 > DiscoveryTimeouts.MOST_APART / 4, sum / 100 + " ms mean wait");
    }

    /** A shorter limit in the settings is respected. */
    @Test
    void noWaitIsMuchLongerThanTheSettingsAllow() {
        CallPacing pacing = new CallPacing(100, 0, 1_000, 3);
        for (int i = 0; i < 100; i++) {
            assertTrue(pacing.afterEnd(true) <= 1_000 && pacing.afterEnd(false) <= 1_000);
            assertTrue(pacing.afterFailure(0, true) <= 1_000);
        }
    }

    /** While calls are answered late or never, the interval grows, but only up to a bound. */
    @ParameterizedTest
    @EnumSource(value = Trigger.class, names = {"START", "RESET", "SILENCE", "CUT"})
    void aFleetThatDiscoveryCannotServeInTimeCallsLessAndLess(Trigger trigger) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            DiscoveryModel model = new DiscoveryModel(new Scenario(trigger, 100, 10_000), seed).play(120_000);
            assertTrue(model.lastAnswer() <= 120_000,
                seed + ": last proxy has its list after ms " + model.lastAnswer());
        }
    }
}
