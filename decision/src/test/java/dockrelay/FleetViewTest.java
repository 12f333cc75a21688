package dockrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.Agreement;
import dockrelay.Balancer.FleetView;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The share of a quota that a proxy takes, by its view of the fleet. */
class FleetViewTest {
    private static final int PROXIES = 7, ISOLATED = 3;
    private static final long COUNTS_AGE_MICROS = 3 * Host.SECOND;

    private static RiqBalancer balancer() {
        return (RiqBalancer) Host.create(Host.settings(Host.limits(), false, List.of(
            new Balancer.Tenant("t", 100))), 9).balancer;
    }

    /** The quota share of a proxy without reports of demand, {@code age} microseconds after a view. */
    private static double quotaShare(FleetView view, long age) {
        RiqBalancer balancer = balancer();
        balancer.onFleetView(0, view);
        double evenShare = 1.0 / view.proxies();
        return balancer.quotaShare(age, evenShare, evenShare);
    }

    private static FleetView view(int proxies, Agreement agreement, double share, long countsAge) {
        return new FleetView(proxies, 0, share, 1.0 / PROXIES / 2, agreement, 0, countsAge);
    }

    /**
     * Guards against quota shares above the whole: isolated proxies keep their even share, so the others,
     * whose relayed counts no longer include them, must not divide the quota by these counts.
     */
    @Test
    void relayedCountsDoNotDivideQuotas() {
        double connected = (PROXIES - ISOLATED)
            * quotaShare(view(PROXIES - ISOLATED, Agreement.ALL, 1.0 / PROXIES, COUNTS_AGE_MICROS), 0);
        double isolated = ISOLATED * quotaShare(view(PROXIES, Agreement.MINORITY, 1.0 / PROXIES,
            COUNTS_AGE_MICROS), 0);
        assertEquals(1, connected + isolated, 1e-9, "the shares must add up to the whole quota");
    }

    /** Relayed counts may be older than a view, but the share in the view expires as usual. */
    @Test
    void shareExpiresBeforeRelayedCounts() {
        FleetView view = view(PROXIES, Agreement.ALL, 1.0 / PROXIES, COUNTS_AGE_MICROS);
        assertEquals(1.0 / PROXIES, quotaShare(view, Host.SECOND), 1e-9);
        assertEquals(1.0 / PROXIES / 2, quotaShare(view, 2 * Host.SECOND), 1e-9,
            "expected the minimum share once the view is stale");
    }

    /** With first-hand counts, or without any view, quotas are divided by demand. */
    @Test
    void firstHandCountsDivideQuotasByDemand() {
        RiqBalancer balancer = balancer();
        assertEquals(0.4, balancer.quotaShare(0, 0.25, 0.4), 1e-9);
        balancer.onFleetView(0, view(4, Agreement.ALL, 1.0 / PROXIES, 0));
        assertEquals(0.4, balancer.quotaShare(0, 0.25, 0.4), 1e-9);
        balancer.onFleetView(0, view(4, Agreement.MAJORITY, 1.0 / PROXIES, 0));
        assertEquals(1.0 / PROXIES, balancer.quotaShare(0, 0.25, 0.4), 1e-9);
        assertTrue(balancer.quotaShare(2 * Host.SECOND, 0.25, 0.4) < 1.0 / PROXIES);
    }
}
