package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.DiscoveryModel.OutageMode;
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
    private static final long SUBSCRIBE_WITHIN_MILLIS = 10_000, DRAIN_GRACE_MILLIS = 1_500;
    private static final long SIMULATION_MILLIS = 40_000;
    private static final int SEED_COUNT = 50;
    /** Service time of one call, and the maximum service time for a whole fleet. */
    private static final long CALL_MILLIS = 200, MAX_FLEET_MILLIS = 3_500;

    /** Deadline for the last proxy to have its list, if no part of it was sent before. */
    private static long deadlineMillis(Trigger trigger) {
        return (trigger == Trigger.MOVE ? DiscoveryTimeouts.DELIVERY_DEADLINE_AFTER_MOVE_MILLIS
            : DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS) + DRAIN_GRACE_MILLIS;
    }

    private static void assertAllListsBy(Scenario scenario, long deadlineMillis) {
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            long lastAnswerMillis =
                new DiscoveryModel(scenario, seed).play(SIMULATION_MILLIS).lastAnswerMillis();
            assertTrue(lastAnswerMillis <= deadlineMillis, scenario + ", seed " + seed
                + ": last proxy has its list after " + lastAnswerMillis + " ms");
        }
    }

    /**
     * {@code fleetMillis} is the time in which discovery can serve the whole fleet if each proxy calls
     * once.
     */
    @ParameterizedTest
    @CsvSource({"OUTAGE,24,4000", "OUTAGE,100,5000", "START,24,4000", "START,100,5000", "SILENCE,24,4000",
        "SILENCE,100,5000", "MOVE,24,4000", "MOVE,100,5000", "START_MOST,24,4000", "START_MOST,100,5000",
        "RESET,24,4000", "RESET,100,5000", "CLOSED,24,4000", "CLOSED,100,4000", "OUTAGE_CLOSED,24,4000",
        "OUTAGE_CLOSED,100,5000", "OUTAGE,50,5000", "START,50,5000", "SILENCE,50,5000",
        "MOVE,50,5000", "OUTAGE,16,3200", "START,16,3200", "RESET,16,3200", "OUTAGE,8,1600", "START,8,1600",
        "OUTAGE,1,200", "START,1,200", "SILENCE,1,200", "MOVE,1,200", "RESET,1,200"})
    void wholeFleetHasListInTime(Trigger trigger, int fleetSize, long fleetMillis) {
        assertAllListsBy(new Scenario(trigger, fleetSize, fleetMillis), deadlineMillis(trigger));
    }

    /** For outages of any length, whether calls were refused or timed out meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {100, 1_000, 2_000, 4_000, 8_000, 12_000, 15_000, 20_000, 25_000, 30_000})
    void wholeFleetHasListInTimeAfterOutage(long outageMillis) {
        for (OutageMode outageMode : OutageMode.values()) {
            for (int fleetSize : new int[] {1, 8, 9, 24, 50, 100}) {
                long fleetMillis = Math.min(MAX_FLEET_MILLIS, CALL_MILLIS * fleetSize);
                for (Trigger trigger : new Trigger[] {Trigger.OUTAGE, Trigger.OUTAGE_CLOSED}) {
                    assertAllListsBy(new Scenario(trigger, fleetSize, fleetMillis).withOutage(outageMillis,
                        outageMode), deadlineMillis(trigger));
                }
            }
        }
    }

    /** The part sent before the cut counts as known at once. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void truncatedAnswerIsReplacedWithinDrainGrace(int furtherTruncatedAnswers) {
        for (int fleetSize : new int[] {1, 2, 8, 9, 16, 24, 50, 100}) {
            Scenario scenario = new Scenario(Trigger.CUT_ONE, fleetSize,
                Math.min(5_000, CALL_MILLIS * fleetSize));
            assertAllListsBy(scenario.withTruncatedAnswers(furtherTruncatedAnswers), DRAIN_GRACE_MILLIS);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 16, 24, 50, 100})
    void fastDiscoveryReplacesAllTruncatedAnswersWithinDrainGrace(int fleetSize) {
        assertAllListsBy(new Scenario(Trigger.CUT, fleetSize, 1_300).withMaxQueuedCalls(fleetSize),
            DRAIN_GRACE_MILLIS);
        assertAllListsBy(new Scenario(Trigger.CUT, fleetSize, 600).withMaxQueuedCalls(fleetSize),
            DRAIN_GRACE_MILLIS);
        assertAllListsBy(new Scenario(Trigger.CLOSED, fleetSize, 1_000), DRAIN_GRACE_MILLIS);
        assertAllListsBy(new Scenario(Trigger.CUT, fleetSize, 600).withMaxQueuedCalls(fleetSize)
            .withTruncatedAnswers(1), DRAIN_GRACE_MILLIS);
        assertAllListsBy(new Scenario(Trigger.RESET, fleetSize, 1_300), DRAIN_GRACE_MILLIS);
    }

    /** Discovery is up, and may have had more to send. */
    @Test
    void closedWatchIsReplacedWithinDrainGrace() {
        for (int fleetSize : new int[] {1, 2, 8, 9, 16, 24, 50, 100}) {
            assertAllListsBy(new Scenario(Trigger.CLOSED_ONE, fleetSize,
                Math.min(5_000, CALL_MILLIS * fleetSize)), DRAIN_GRACE_MILLIS);
        }
    }

    /** A slow discovery cannot serve all proxies at once, but serves each in time. */
    @ParameterizedTest
    @ValueSource(ints = {16, 24, 50, 100})
    void truncatedAnswersDoNotOverloadSlowDiscovery(int fleetSize) {
        long fleetMillis = Math.min(4_000, CALL_MILLIS * fleetSize);
        assertAllListsBy(new Scenario(Trigger.CUT, fleetSize, fleetMillis), deadlineMillis(Trigger.CUT));
    }

    /** A few starting proxies do not overload discovery and need not wait for their slots. */
    @Test
    void rollingRestartCallsWithLittleDelay() {
        int fleetSize = 100, groupSize = 10;
        long sumMillis = 0;
        for (int i = 0; i < fleetSize; i++) {
            sumMillis += new CallPacing(fleetSize, i, SUBSCRIBE_WITHIN_MILLIS, i).waitBeforeFirstCall();
        }
        assertTrue(sumMillis / fleetSize <= DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS, sumMillis / fleetSize
            + " ms mean wait of the fleet");
        for (int firstProxy = 0; firstProxy < fleetSize; firstProxy += groupSize) {
            long groupSumMillis = 0;
            for (int i = firstProxy; i < firstProxy + groupSize; i++) {
                groupSumMillis +=
                    new CallPacing(fleetSize, i, SUBSCRIBE_WITHIN_MILLIS, i).waitBeforeFirstCall();
            }
            assertTrue(groupSumMillis / groupSize <= DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS,
                "sum of waits in group " + firstProxy + ": " + groupSumMillis);
        }
    }

    /** A small fleet does not wait for an interval. */
    @Test
    void smallFleetBacksOffExponentially() {
        CallPacing pacing = new CallPacing(8, 0, SUBSCRIBE_WITHIN_MILLIS, 3);
        assertEquals(0, pacing.waitAfterSilence());
        assertEquals(0, pacing.waitAfterMove());
        for (int i = 0; i < 100; i++) {
            long waitMillis = pacing.waitAfterFailure(0, true);
            assertTrue(waitMillis <= Math.min(DiscoveryTimeouts.FIRST_BACKOFF_MILLIS << Math.min(i, 10),
                DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS),
                i + ": wait in ms is " + waitMillis);
        }
        assertEquals(0, pacing.waitAfterFailure(DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS, true),
            "the wait counts from the start of the call");
    }

    /** A single refusal does not indicate overload; many in a row do. */
    @Test
    void immediateRefusalsAreRetriedSoonOnlyAFewTimes() {
        CallPacing pacing = new CallPacing(100, 0, SUBSCRIBE_WITHIN_MILLIS, 3);
        for (int i = 0; i < CallPacing.MAX_QUICK_RETRIES; i++) {
            assertTrue(pacing.waitAfterFailure(15, true) <= DiscoveryTimeouts.FIRST_BACKOFF_MILLIS << i);
        }
        assertTrue(pacing.waitAfterFailure(15, true) >= CallPacing.MAX_FIRST_INTERVAL_MILLIS / 2);
        pacing.reset();
        assertTrue(pacing.waitAfterFailure(DiscoveryModel.MAX_QUEUE_MILLIS, true)
            >= CallPacing.MAX_FIRST_INTERVAL_MILLIS / 2 - DiscoveryModel.MAX_QUEUE_MILLIS,
            "a call refused after a wait is repeated after an interval");
        pacing.reset();
        assertTrue(pacing.waitAfterFailure(15, true) <= DiscoveryTimeouts.FIRST_BACKOFF_MILLIS,
            "an answer resets the backoff");
    }

    /** A connection that ends early has lost an answer; a refusal has not. */
    @Test
    void lostConnectionIsRetriedAtOnce() {
        CallPacing pacing = new CallPacing(100, 99, SUBSCRIBE_WITHIN_MILLIS, 3);
        assertTrue(pacing.waitAfterFailure(1_000, false) <= CallPacing.JITTER_MILLIS);
        assertTrue(pacing.waitAfterFailure(1_000, true) >= CallPacing.MAX_FIRST_INTERVAL_MILLIS / 2 - 1_000);
    }

    /** If discovery resets calls that have waited too long, a reset does not indicate a lost answer. */
    @Test
    void repeatedLostConnectionsWaitForInterval() {
        CallPacing pacing = new CallPacing(100, 99, SUBSCRIBE_WITHIN_MILLIS, 3);
        assertTrue(pacing.waitAfterFailure(1_000, false) <= CallPacing.JITTER_MILLIS);
        for (int i = 0; i < 10; i++) {
            assertTrue(pacing.waitAfterFailure(1_000, false) >= CallPacing.MAX_FIRST_INTERVAL_MILLIS / 2
                - 1_000);
        }
        pacing.recordAnswer(50);
        assertTrue(pacing.waitAfterFailure(1_000, false) <= 2 * CallPacing.JITTER_MILLIS,
            "an answer resets the state");
    }

    /** All proxies that call receive the older list; they must not call again at the same time. */
    @Test
    void proxiesSpreadCallsWhenDiscoveryIsOutdated() {
        int fleetSize = 100;
        long callMillis = 53;
        long[] callStartsMillis = new long[fleetSize];
        for (int i = 0; i < fleetSize; i++) {
            CallPacing pacing = new CallPacing(fleetSize, i, SUBSCRIBE_WITHIN_MILLIS, i);
            pacing.recordAnswer(callMillis);
            callStartsMillis[i] = pacing.waitWhileOutdated();
            assertTrue(callStartsMillis[i] <= DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS,
                "called too late, after ms: " + callStartsMillis[i]);
        }
        Arrays.sort(callStartsMillis);
        long servedUntilMillis = 0, maxQueueMillis = 0;
        for (long callStartMillis : callStartsMillis) {
            servedUntilMillis = Math.max(servedUntilMillis, callStartMillis) + callMillis;
            maxQueueMillis = Math.max(maxQueueMillis, servedUntilMillis - callStartMillis);
        }
        assertTrue(maxQueueMillis < DiscoveryModel.MAX_QUEUE_MILLIS, "longest time in the queue in ms: "
            + maxQueueMillis);
        assertEquals(DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS,
            new CallPacing(8, 0, SUBSCRIBE_WITHIN_MILLIS, 3).waitWhileOutdated());
    }

    /** A proxy must back off if all answers are truncated. */
    @Test
    void repeatedTruncationBacksOff() {
        CallPacing pacing = new CallPacing(100, 0, SUBSCRIBE_WITHIN_MILLIS, 3);
        for (int i = 0; i < 100; i++) {
            long waitMillis = pacing.waitAfterTruncatedAnswer();
            long boundMillis = Math.min(CallPacing.JITTER_MILLIS << Math.min(i, 10),
                DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS);
            assertTrue(waitMillis <= boundMillis, i + ": wait in ms is " + waitMillis);
        }
        long sumMillis = 0;
        for (int i = 0; i < 100; i++) {
            sumMillis += pacing.waitAfterTruncatedAnswer();
        }
        assertTrue(sumMillis / 100 > DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS / 4, sumMillis / 100
            + " ms mean wait");
    }

    /** A shorter limit in the settings is respected. */
    @Test
    void waitsRespectConfiguredLimit() {
        CallPacing pacing = new CallPacing(100, 0, 1_000, 3);
        for (int i = 0; i < 100; i++) {
            assertTrue(pacing.waitAfterWatchEnd(true) <= 1_000 && pacing.waitAfterWatchEnd(false) <= 1_000);
            assertTrue(pacing.waitAfterFailure(0, true) <= 1_000);
        }
    }

    /** While calls are answered late or never, the interval grows, but only up to a bound. */
    @ParameterizedTest
    @EnumSource(value = Trigger.class, names = {"START", "RESET", "SILENCE", "CUT"})
    void overloadedDiscoveryReceivesFewerCalls(Trigger trigger) {
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            DiscoveryModel model = new DiscoveryModel(new Scenario(trigger, 100, 10_000), seed).play(120_000);
            assertTrue(model.lastAnswerMillis() <= 120_000,
                seed + ": last proxy has its list after ms " + model.lastAnswerMillis());
        }
    }
}
