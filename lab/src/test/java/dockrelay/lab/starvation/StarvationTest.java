package dockrelay.lab.starvation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.starvation.Look.Share;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/** By recorded figures: eight cores, a look each 50 ms, and a referee that lets an answer be 50 ms late. */
class StarvationTest {
    private static final long LOOK = 50_000, CORES = 8, BOUND = 50_000;
    /** Cores that are all busy, those that nearly rest, and those of which the host takes two thirds. */
    private static final CoreTime FULL = new CoreTime(CORES * LOOK, 0), QUIET = new CoreTime(20_000, 0),
        TAKEN = new CoreTime(CORES * LOOK / 3, CORES * LOOK * 2 / 3);

    private final StarvationDetector starvation = new StarvationDetector(BOUND, 1);
    private long now;

    /** Looks go on so long with the same figures. */
    private void look(int looks, CoreTime cores, long late, List<Share> shares) {
        for (int i = 0; i < looks; i++) {
            now += LOOK;
            starvation.add(new Look(now, LOOK, late(100, 4), late(late, 10), late(200, 10), cores,
                shares));
        }
    }

    private static Histogram late(long micros, int times) {
        Histogram result = new Histogram(3);
        result.recordValueWithCount(micros, times);
        return result;
    }

    private static Share share(int proxy, boolean serves, long ran, long waited, CoreTime cores) {
        ProcessorTime time = new ProcessorTime(ran, waited, Math.min(waited, LOOK));
        return new Share("n" + proxy, 100 + proxy, serves, time, cores);
    }

    private static List<Share> healthy(CoreTime cores) {
        return List.of(share(0, true, 4_000, 300, cores), share(1, true, 5_000, 400, cores));
    }

    /** Ten seconds in which nothing is amiss, so that the percentiles are of a play. */
    private void healthyPlay() {
        starvation.setJudging(true);
        look(200, QUIET, 200, healthy(QUIET));
    }

    @Test
    void playOnAMachineWithRoomIsValid() {
        healthyPlay();
        assertNull(starvation.rulesVoidReason());
        assertNull(starvation.latenciesVoidReason());
    }

    @Test
    void fullMachineThatLetsEachRunInTimeIsNoReason() {
        healthyPlay();
        look(200, FULL, 5_000, healthy(FULL));
        assertNull(starvation.rulesVoidReason());
    }

    @Test
    void labThatIsLateMakesTheLatenciesVoid() {
        healthyPlay();
        look(2, FULL, 23_000, healthy(FULL));
        assertEquals("the world's loop was late: 23 ms at p99.9, of 20", starvation.latenciesVoidReason());
        assertNull(starvation.rulesVoidReason(), "the referee allows more");
    }

    @Test
    void labThatIsLateOnceBeyondWhatTheRefereeAllowsMakesThePlayVoid() {
        healthyPlay();
        look(9000, QUIET, 200, healthy(QUIET)); // so many that one look is no thousandth of them
        look(1, FULL, 55_000, healthy(FULL));
        assertTrue(starvation.rulesVoidReason().startsWith("the lab was 55 ms late, in 100 ms at 460.1 s"),
            starvation.rulesVoidReason());
    }

    @Test
    void proxyThatWaitsForCoresThatOthersHaveMakesThePlayVoid() {
        healthyPlay();
        look(1, FULL, 200, List.of(share(0, true, 4_000, 300, FULL), share(1, true, 5_000, 30_000, FULL)));
        assertNull(starvation.rulesVoidReason(), "30 ms are less than the referee allows");
        look(1, FULL, 200, List.of(share(0, true, 4_000, 300, FULL), share(1, true, 5_000, 30_000, FULL)));
        String reason = starvation.rulesVoidReason();
        assertTrue(reason.matches("n1 waited 5\\d ms for cores that others had and the lab was 0 ms late, in "
            + "100 ms at 10.1 s after its start \\(bound 50 ms together\\)"), reason);
    }

    @Test
    void waitOfAProxyAndLatenessOfTheLabAddUp() {
        healthyPlay();
        look(9000, QUIET, 200, healthy(QUIET));
        look(1, FULL, 15_000, List.of(share(0, true, 4_000, 40_000, FULL)));
        assertTrue(starvation.rulesVoidReason().startsWith("n0 waited 3"), starvation.rulesVoidReason());
    }

    @Test
    void waitsOfProxiesAreNotAddedToOneAnother() {
        healthyPlay();
        List<Share> many = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            many.add(share(i, true, 4_000, 10_000, FULL));
        }
        look(100, FULL, 200, many);
        assertNull(starvation.rulesVoidReason(), "20 ms in a stretch at each");
    }

    @Test
    void proxyThatIsStoppedIsNotStarved() {
        healthyPlay();
        List<Share> stopped = List.of(share(0, true, 4_000, 300, FULL), share(1, true, 0, 0, FULL));
        long before = starvation.waited(101);
        look(120, FULL, 200, stopped);
        assertEquals(before, starvation.waited(101), "a limit is no longer for a stop");
        look(1, FULL, 200, List.of(share(0, true, 4_000, 300, FULL), share(1, true, 20_000, 15_000, FULL)));
        assertNull(starvation.rulesVoidReason());
    }

    /** Sixteen threads on eight cores wait for one another half of the time. */
    @Test
    void proxyThatSpinsIsJudged() {
        healthyPlay();
        CoreTime busy = new CoreTime(CORES * LOOK, 0);
        look(100, busy, 200, List.of(share(0, true, 395_000, 400_000, busy),
            share(1, true, 2_000, 20_000, busy)));
        assertNull(starvation.rulesVoidReason());
    }

    @Test
    void labThatIsLateAsAProxySpinsIsNoReason() {
        healthyPlay();
        CoreTime busy = new CoreTime(CORES * LOOK, 0);
        look(100, busy, 300_000, List.of(share(0, true, 390_000, 400_000, busy)));
        assertNull(starvation.rulesVoidReason());
        assertNull(starvation.latenciesVoidReason());
    }

    /** The more threads it has, the longer they wait for one another. */
    @Test
    void proxyThatSpinsWithManyThreadsBesideSomeOtherUseIsJudged() {
        healthyPlay();
        look(100, FULL, 200, List.of(share(0, true, 370_000, 120 * LOOK, FULL)));
        assertNull(starvation.rulesVoidReason());
    }

    @Test
    void oneLongWaitIsCountedWholeThoughALookIsShorter() {
        healthyPlay();
        look(1, FULL, 200, List.of(new Share("n0", 100, true, new ProcessorTime(1_000, 0, 0), FULL)));
        look(1, FULL, 200, List.of(new Share("n0", 100, true, new ProcessorTime(1_000, 90_000, 90_000),
            FULL)));
        assertTrue(starvation.rulesVoidReason().startsWith("n0 waited 8"), starvation.rulesVoidReason());
    }

    /** On the one core that it is pinned to nobody else runs. */
    @Test
    void pinnedProxyWhoseThreadsShareItsCoreIsJudged() {
        healthyPlay();
        CoreTime core = new CoreTime(LOOK, 0);
        look(100, FULL, 200, List.of(share(0, true, LOOK, 3 * LOOK, core)));
        assertNull(starvation.rulesVoidReason());
    }

    @Test
    void proxyThatSpinsWhileOthersHaveTheCoresIsStarved() {
        healthyPlay();
        look(2, FULL, 200, List.of(share(0, true, 20_000, 30_000, FULL)));
        assertNotNull(starvation.rulesVoidReason());
    }

    @Test
    void whatTheHostTakesCountsAsAWait() {
        healthyPlay();
        look(2, TAKEN, 200, List.of(share(0, true, 45_000, 0, TAKEN)));
        assertTrue(starvation.rulesVoidReason().startsWith("n0 waited "), starvation.rulesVoidReason());
    }

    @Test
    void whatIsStartingAndWhatComesBeforeTheClientsIsNotHeldAgainstAnswers() {
        look(20, FULL, 300_000, List.of(share(0, true, 4_000, 45_000, FULL)));
        healthyPlay();
        look(20, FULL, 200, List.of(share(0, true, 4_000, 300, FULL), share(2, false, 25_000, 40_000, FULL)));
        starvation.setJudging(false);
        look(20, FULL, 300_000, List.of(share(0, true, 4_000, 45_000, FULL)));
        assertNull(starvation.rulesVoidReason());
        assertTrue(starvation.waited(102) > 700_000 && starvation.waited(102) < 800_000,
            "a start's wait counts to its own limit: " + starvation.waited(102));
    }

    @Test
    void limitThatOnlyAWaitHasPassedMakesThePlayVoid() {
        healthyPlay();
        starvation.passed("the start of the next process of n0", 8_100_000, 3_200_000);
        assertEquals("the start of the next process of n0 took 8.1 s, of which it waited 3.2 s for a core",
            starvation.rulesVoidReason());
    }

    @Test
    void limitCountsWithoutTheWaitAlone() {
        TimeLimit limit = new TimeLimit(6_000_000);
        assertEquals(TimeLimit.Verdict.WITHIN, limit.verdict(6_000_000, 0));
        assertEquals(TimeLimit.Verdict.PASSED, limit.verdict(6_000_001, 0), "a process that had its cores is judged");
        assertEquals(TimeLimit.Verdict.PASSED, limit.verdict(8_000_000, 1_999_999));
        assertEquals(TimeLimit.Verdict.STARVED, limit.verdict(8_000_000, 2_000_000));
        assertEquals(TimeLimit.Verdict.PASSED, limit.verdict(20_000_000, 2_000_000));
        assertTrue(!limit.isPastMaxWait(18_000_000) && limit.isPastMaxWait(18_000_001), "nobody waits for ever");
    }
}
