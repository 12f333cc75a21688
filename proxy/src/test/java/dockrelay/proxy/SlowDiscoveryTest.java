package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.DiscoveryModel.Scenario;
import dockrelay.proxy.DiscoveryModel.Trigger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a fleet that keeps sending more calls than a slow discovery can serve, for many seconds.
 */
class SlowDiscoveryTest {
    private static final int FLEET = 100, SEEDS = 20;
    private static final long SETTLED = 5_000, MEASURED = 5_000;

    /**
     * {@code wholeFleet} is the time that discovery needs to serve the whole fleet once. After a few
     * seconds the fleet must not call more often than that.
     */
    @ParameterizedTest
    @CsvSource({"START,10000", "RESET,10000", "CUT,10000", "SILENCE,10000", "START,20000", "RESET,20000",
        "CUT,20000", "SILENCE,20000"})
    void aFleetDoesNotOverrunADiscoveryThatIsTooSlowForIt(Trigger trigger, long wholeFleet) {
        long servable = FLEET * MEASURED / wholeFleet;
        for (long seed = 1; seed <= SEEDS; seed++) {
            DiscoveryModel model = new DiscoveryModel(new Scenario(trigger, FLEET, wholeFleet), seed)
                .play(SETTLED + MEASURED);
            long offered = model.offered(SETTLED, SETTLED + MEASURED);
            assertTrue(offered <= servable, "seed " + seed + ": " + offered + " calls offered in "
                + MEASURED + " ms, " + servable + " can be served");
        }
    }
}
