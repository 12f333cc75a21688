package dockrelay.lab.starvation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.starvation.LoadSample.ProcessSample;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/**
 * Verifies the starvation detector with synthetic samples: 8 cores, one sample per 50 ms, and a referee that
 * tolerates responses 50 ms late.
 */
class StarvationDetectorTest {
    private static final long SAMPLE_MICROS = 50_000, CORES = 8, MAX_DELAY_MICROS = 50_000;
    /** Cores that are all busy, nearly idle, and stolen by the hypervisor for two thirds of the time. */
    private static final CoreTime BUSY_CORES = new CoreTime(CORES * SAMPLE_MICROS, 0),
        IDLE_CORES = new CoreTime(20_000, 0),
        STOLEN_CORES = new CoreTime(CORES * SAMPLE_MICROS / 3, CORES * SAMPLE_MICROS * 2 / 3);

    private final StarvationDetector detector = new StarvationDetector(MAX_DELAY_MICROS, 1);
    private long nowMicros;

    /** Adds this many samples with the same values. */
    private void addSamples(int count, CoreTime cores, long emulatorLatenessMicros,
        List<ProcessSample> processes) {
        for (int i = 0; i < count; i++) {
            nowMicros += SAMPLE_MICROS;
            detector.add(new LoadSample(nowMicros, SAMPLE_MICROS, histogramOf(100, 4),
                histogramOf(emulatorLatenessMicros, 10), histogramOf(200, 10), cores,
                processes));
        }
    }

    private static Histogram histogramOf(long micros, int count) {
        Histogram histogram = new Histogram(3);
        histogram.recordValueWithCount(micros, count);
        return histogram;
    }

    private static ProcessSample processSample(int proxy, boolean ready, long ranMicros, long waitedMicros,
        CoreTime cores) {
        ProcessorTime processorTime = new ProcessorTime(ranMicros, waitedMicros,
            Math.min(waitedMicros, SAMPLE_MICROS));
        return new ProcessSample("n" + proxy, 100 + proxy, ready, processorTime, cores);
    }

    private static List<ProcessSample> unstarvedProxies(CoreTime cores) {
        return List.of(processSample(0, true, 4_000, 300, cores), processSample(1, true, 5_000, 400, cores));
    }

    /** Ten seconds without lateness, so that percentiles are computed over a realistic number of values. */
    private void addUnstarvedSamples() {
        detector.setJudging(true);
        addSamples(200, IDLE_CORES, 200, unstarvedProxies(IDLE_CORES));
    }

    @Test
    void idleMachineKeepsThePlayValid() {
        addUnstarvedSamples();
        assertNull(detector.rulesVoidReason());
        assertNull(detector.latenciesVoidReason());
    }

    @Test
    void busyMachineWithoutWaitsKeepsThePlayValid() {
        addUnstarvedSamples();
        addSamples(200, BUSY_CORES, 5_000, unstarvedProxies(BUSY_CORES));
        assertNull(detector.rulesVoidReason());
    }

    @Test
    void labLatenessMakesLatenciesVoid() {
        addUnstarvedSamples();
        addSamples(2, BUSY_CORES, 23_000, unstarvedProxies(BUSY_CORES));
        assertEquals("the emulator's loop was late: 23 ms at p99.9, limit 20",
            detector.latenciesVoidReason());
        assertNull(detector.rulesVoidReason(), "23 ms are within the tolerance of the referee");
    }

    @Test
    void labLatenessBeyondTheToleranceMakesThePlayVoid() {
        addUnstarvedSamples();
        // one late sample is above the 99.9th percentile
        addSamples(9000, IDLE_CORES, 200, unstarvedProxies(IDLE_CORES));
        addSamples(1, BUSY_CORES, 55_000, unstarvedProxies(BUSY_CORES));
        assertTrue(detector.rulesVoidReason().startsWith("the lab was 55 ms late, within 100 ms at 460.1 s"),
            detector.rulesVoidReason());
    }

    @Test
    void waitForCoresUsedByOthersMakesThePlayVoid() {
        addUnstarvedSamples();
        addSamples(1, BUSY_CORES, 200, List.of(processSample(0, true, 4_000, 300, BUSY_CORES),
            processSample(1, true, 5_000, 30_000, BUSY_CORES)));
        assertNull(detector.rulesVoidReason(), "30 ms are within the tolerance of the referee");
        addSamples(1, BUSY_CORES, 200, List.of(processSample(0, true, 4_000, 300, BUSY_CORES),
            processSample(1, true, 5_000, 30_000, BUSY_CORES)));
        String reason = detector.rulesVoidReason();
        assertTrue(reason.matches("n1 waited 5\\d ms for cores in use by others and the lab was 0 ms late, "
            + "within 100 ms at 10.1 s after its start \\(limit 50 ms in total\\)"), reason);
    }

    @Test
    void proxyWaitAndLabLatenessAddUp() {
        addUnstarvedSamples();
        addSamples(9000, IDLE_CORES, 200, unstarvedProxies(IDLE_CORES));
        addSamples(1, BUSY_CORES, 15_000, List.of(processSample(0, true, 4_000, 40_000, BUSY_CORES)));
        assertTrue(detector.rulesVoidReason().startsWith("n0 waited 3"), detector.rulesVoidReason());
    }

    @Test
    void waitsOfDifferentProxiesDoNotAddUp() {
        addUnstarvedSamples();
        List<ProcessSample> processes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            processes.add(processSample(i, true, 4_000, 10_000, BUSY_CORES));
        }
        addSamples(100, BUSY_CORES, 200, processes);
        assertNull(detector.rulesVoidReason(),
            "each proxy waited for 20 ms per window, within the tolerance");
    }

    @Test
    void stoppedProxyIsNotStarved() {
        addUnstarvedSamples();
        List<ProcessSample> processes = List.of(processSample(0, true, 4_000, 300, BUSY_CORES),
            processSample(1, true, 0, 0, BUSY_CORES));
        long waitedBeforeStop = detector.waitedMicros(101);
        addSamples(120, BUSY_CORES, 200, processes);
        assertEquals(waitedBeforeStop, detector.waitedMicros(101),
            "time while stopped must not count as waiting");
        addSamples(1, BUSY_CORES, 200, List.of(processSample(0, true, 4_000, 300, BUSY_CORES),
            processSample(1, true, 20_000, 15_000, BUSY_CORES)));
        assertNull(detector.rulesVoidReason());
    }

    /** Sixteen spinning threads on eight cores wait for one another half of the time. */
    @Test
    void waitsForOwnThreadsKeepThePlayValid() {
        addUnstarvedSamples();
        CoreTime busy = new CoreTime(CORES * SAMPLE_MICROS, 0);
        addSamples(100, busy, 200, List.of(processSample(0, true, 395_000, 400_000, busy),
            processSample(1, true, 2_000, 20_000, busy)));
        assertNull(detector.rulesVoidReason());
    }

    @Test
    void labLatenessCausedByASpinningProxyKeepsThePlayValid() {
        addUnstarvedSamples();
        CoreTime busy = new CoreTime(CORES * SAMPLE_MICROS, 0);
        addSamples(100, busy, 300_000, List.of(processSample(0, true, 390_000, 400_000, busy)));
        assertNull(detector.rulesVoidReason());
        assertNull(detector.latenciesVoidReason());
    }

    /** With more threads, the waits for one another grow; they must not count as waits for others. */
    @Test
    void waitsForManyOwnThreadsKeepThePlayValid() {
        addUnstarvedSamples();
        addSamples(100, BUSY_CORES, 200, List.of(processSample(0, true, 370_000, 120 * SAMPLE_MICROS,
            BUSY_CORES)));
        assertNull(detector.rulesVoidReason());
    }

    @Test
    void waitLongerThanASampleCountsInFull() {
        addUnstarvedSamples();
        addSamples(1, BUSY_CORES, 200, List.of(new ProcessSample("n0", 100, true,
            new ProcessorTime(1_000, 0, 0), BUSY_CORES)));
        addSamples(1, BUSY_CORES, 200, List.of(new ProcessSample("n0", 100, true,
            new ProcessorTime(1_000, 90_000, 90_000), BUSY_CORES)));
        assertTrue(detector.rulesVoidReason().startsWith("n0 waited 8"), detector.rulesVoidReason());
    }

    /** No other process runs on the core that the proxy is pinned to. */
    @Test
    void waitsForOwnThreadsOnAPinnedCoreKeepThePlayValid() {
        addUnstarvedSamples();
        CoreTime core = new CoreTime(SAMPLE_MICROS, 0);
        addSamples(100, BUSY_CORES, 200,
            List.of(processSample(0, true, SAMPLE_MICROS, 3 * SAMPLE_MICROS, core)));
        assertNull(detector.rulesVoidReason());
    }

    @Test
    void busyProxyOnCoresUsedByOthersIsStarved() {
        addUnstarvedSamples();
        addSamples(2, BUSY_CORES, 200, List.of(processSample(0, true, 20_000, 30_000, BUSY_CORES)));
        assertNotNull(detector.rulesVoidReason());
    }

    @Test
    void stealTimeCountsAsAWait() {
        addUnstarvedSamples();
        addSamples(2, STOLEN_CORES, 200, List.of(processSample(0, true, 45_000, 0, STOLEN_CORES)));
        assertTrue(detector.rulesVoidReason().startsWith("n0 waited "), detector.rulesVoidReason());
    }

    @Test
    void waitsOfStartingProxiesAndOutsideJudgingKeepThePlayValid() {
        addSamples(20, BUSY_CORES, 300_000, List.of(processSample(0, true, 4_000, 45_000, BUSY_CORES)));
        addUnstarvedSamples();
        addSamples(20, BUSY_CORES, 200, List.of(processSample(0, true, 4_000, 300, BUSY_CORES),
            processSample(2, false, 25_000, 40_000, BUSY_CORES)));
        detector.setJudging(false);
        addSamples(20, BUSY_CORES, 300_000, List.of(processSample(0, true, 4_000, 45_000, BUSY_CORES)));
        assertNull(detector.rulesVoidReason());
        assertTrue(detector.waitedMicros(102) > 700_000 && detector.waitedMicros(102) < 800_000,
            "the wait of a starting process must count for its own limit: " + detector.waitedMicros(102));
    }

    @Test
    void limitExceededOnlyByWaitingMakesThePlayVoid() {
        addUnstarvedSamples();
        detector.limitExceededByWaiting("the start of the successor process of n0", 8_100_000, 3_200_000);
        assertEquals("the start of the successor process of n0 took 8.1 s, of which it waited 3.2 s for a "
            + "core", detector.rulesVoidReason());
    }

    @Test
    void timeLimitExcludesWaits() {
        TimeLimit limit = new TimeLimit(6_000_000);
        assertEquals(TimeLimit.Verdict.WITHIN, limit.verdict(6_000_000, 0));
        assertEquals(TimeLimit.Verdict.PASSED, limit.verdict(6_000_001, 0),
            "a process that did not wait for cores must not be excused");
        assertEquals(TimeLimit.Verdict.PASSED, limit.verdict(8_000_000, 1_999_999));
        assertEquals(TimeLimit.Verdict.STARVED, limit.verdict(8_000_000, 2_000_000));
        assertEquals(TimeLimit.Verdict.PASSED, limit.verdict(20_000_000, 2_000_000));
        assertTrue(!limit.isPastMaxWait(18_000_000) && limit.isPastMaxWait(18_000_001),
            "the lab must stop waiting after three times the limit");
    }
}
