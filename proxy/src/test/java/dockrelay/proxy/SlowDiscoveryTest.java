package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.DiscoveryModel.Scenario;
import dockrelay.proxy.DiscoveryModel.Trigger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A fleet went on offering a slow discovery more calls than it can serve, for many seconds. */
class SlowDiscoveryTest {
    private static final int FLEET = 100, SEEDS = 20;
    private static final long SETTLED = 5_000, MEASURED = 5_000;

    /** With a discovery that needs so long to serve the fleet; after a few seconds it is not overrun. */
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
