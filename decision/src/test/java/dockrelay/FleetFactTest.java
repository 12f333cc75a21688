package dockrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.Agreement;
import dockrelay.Balancer.FleetView;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a proxy takes of a quota by what it was told of the others. */
class FleetFactTest {
    private static final int ALL = 7, CUT_OFF = 3;
    private static final long AGE = 3 * Host.SECOND;

    private static RiqBalancer balancer() {
        return (RiqBalancer) Host.of(Host.settings(Host.limits(), false, List.of(
            new Balancer.Tenant("t", 100))), 9).balancer;
    }

    /** What one of these takes that hears nobody's demand, told so and so many microseconds ago. */
    private static double taken(FleetView fleet, long ago) {
        RiqBalancer balancer = balancer();
        balancer.onFleetView(0, fleet);
        double even = 1.0 / fleet.proxies();
        return balancer.quotaShare(ago, even, even);
    }

    private static FleetView fleet(int proxies, Agreement agreement, double share, long countsAge) {
        return new FleetView(proxies, 0, share, 1.0 / ALL / 2, agreement, 0, countsAge);
    }

    /** A group that is cut off keeps its even part: the others, who all agree without it, leave it that. */
    @Test
    void whatIsCountedByOthersWordIsNotSpentByCounts() {
        double others = (ALL - CUT_OFF) * taken(fleet(ALL - CUT_OFF, Agreement.ALL, 1.0 / ALL, AGE), 0);
        double cutOff = CUT_OFF * taken(fleet(ALL, Agreement.MINORITY, 1.0 / ALL, AGE), 0);
        assertEquals(1, others + cutOff, 1e-9, "never over the whole");
    }

    /** Counts of this age are used; the share beside them is as short-lived as ever. */
    @Test
    void theShareEndsSoonerThanTheCounts() {
        FleetView fleet = fleet(ALL, Agreement.ALL, 1.0 / ALL, AGE);
        assertEquals(1.0 / ALL, taken(fleet, Host.SECOND), 1e-9);
        assertEquals(1.0 / ALL / 2, taken(fleet, 2 * Host.SECOND), 1e-9, "the least part");
    }

    /** Where nobody passes anything on, or nothing is told, all is as before. */
    @Test
    void atFirstHandDemandDivides() {
        RiqBalancer balancer = balancer();
        assertEquals(0.4, balancer.quotaShare(0, 0.25, 0.4), 1e-9);
        balancer.onFleetView(0, fleet(4, Agreement.ALL, 1.0 / ALL, 0));
        assertEquals(0.4, balancer.quotaShare(0, 0.25, 0.4), 1e-9);
        balancer.onFleetView(0, fleet(4, Agreement.MAJORITY, 1.0 / ALL, 0));
        assertEquals(1.0 / ALL, balancer.quotaShare(0, 0.25, 0.4), 1e-9);
        assertTrue(balancer.quotaShare(2 * Host.SECOND, 0.25, 0.4) < 1.0 / ALL);
    }
}
