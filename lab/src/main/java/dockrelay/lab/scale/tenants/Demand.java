package dockrelay.lab.scale.tenants;

import dockrelay.lab.scale.load.SingleClassWorkload;
import dockrelay.lab.scale.load.OpenLoopGenerator;
import dockrelay.lab.scale.load.FleetProxyConfig;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Settings for tenants, services and routes, and the requests of the tenants. The proxy's settings have no
 * routes or services: a route maps to a class, with the zones in which it runs and the kind of backend it
 * may use; a service maps to a kind of backend. Each tenant uses a few routes.
 */
final class Demand implements OpenLoopGenerator.Workload {
    /** Numbers at full size, and the requests per second of the whole fleet. */
    static final int TENANTS = 190_000, SERVICES = 2_300, ROUTES = 34_000, PROXIES = 5_700,
        REQUESTS_PER_SECOND = 530_000;
    /** Backends of a service, and routes that a tenant uses. */
    static final int BACKENDS_PER_SERVICE = 2, ROUTES_PER_TENANT = 3;
    /** Ratio of a tenant's quota to its mean request rate. */
    private static final double QUOTA_RATIO = 2;
    /** Prime stride that spreads the tenants' routes over all routes. */
    private static final int ROUTE_STRIDE = 7_919;

    private final int tenantCount;
    private final List<String> zones;
    private final Zipf tenantDistribution;
    private final InetSocketAddress proxyAddress;
    private final double timeoutSeconds;
    private final Set<Integer> activeTenants = new HashSet<>();

    Demand(int tenantCount, List<String> zones, double skew, InetSocketAddress proxyAddress,
        double timeoutSeconds) {
        this.tenantCount = tenantCount;
        this.zones = zones;
        this.tenantDistribution = new Zipf(tenantCount, skew);
        this.proxyAddress = proxyAddress;
        this.timeoutSeconds = timeoutSeconds;
    }

    /** Scales a full-size number to this number of tenants; at least 1. */
    static int scaled(int fullSize, int tenantCount) {
        return Math.max(1, (int) Math.round((double) fullSize * tenantCount / TENANTS));
    }

    /** Names of the services; a service's name is the kind of its backends. */
    static List<String> services(int tenantCount) {
        List<String> result = new ArrayList<>();
        for (int i = 0; i < scaled(SERVICES, tenantCount); i++) {
            result.add("svc-" + i);
        }
        return result;
    }

    /**
     * Routes as JSON. A route runs in the zones of its service's backends; every third one in one zone only.
     */
    String routes() {
        int serviceCount = scaled(SERVICES, tenantCount);
        StringBuilder json = new StringBuilder("[");
        for (int i = 0; i < scaled(ROUTES, tenantCount); i++) {
            int service = i % serviceCount;
            List<String> runsIn = new ArrayList<>();
            for (int j = 0; j < (i % 3 == 0 ? 1 : BACKENDS_PER_SERVICE); j++) {
                String zone = zones.get((service + j * serviceCount) % zones.size());
                if (!runsIn.contains(zone)) {
                    runsIn.add(zone);
                }
            }
            json.append(i == 0 ? "" : ",").append(FleetProxyConfig.serviceJson("route-" + i, runsIn,
                List.of("svc-" + service)));
        }
        return json.append(']').toString();
    }

    /** Tenants as JSON, each with a quota above its mean rate; small tenants get less than one request/s. */
    String quotas() {
        double requestsPerSecond = (double) REQUESTS_PER_SECOND * tenantCount / TENANTS;
        StringBuilder json = new StringBuilder("[");
        for (int i = 0; i < tenantCount; i++) {
            json.append(i == 0 ? "" : ",").append("{\"Name\":\"tenant-").append(i).append("\",\"QuotaRps\":")
                .append(String.format(Locale.ROOT, "%.4f",
                    QUOTA_RATIO * requestsPerSecond * tenantDistribution.share(i)))
                .append(",\"Share\":").append(tenantDistribution.share(i)).append('}');
        }
        return json.append(']').toString();
    }

    /** Number of tenants that have sent a request. */
    int activeTenants() {
        return activeTenants.size();
    }

    @Override
    public InetSocketAddress nextTarget(RandomGenerator random) {
        return proxyAddress;
    }

    @Override
    public FullHttpRequest nextRequest(RandomGenerator random, String id) {
        int tenant = tenantDistribution.draw(random);
        activeTenants.add(tenant);
        int route = (int) (((long) tenant * ROUTE_STRIDE + random.nextInt(ROUTES_PER_TENANT))
            % scaled(ROUTES, tenantCount));
        return SingleClassWorkload.buildRequest("route-" + route, id, timeoutSeconds, "tenant-" + tenant);
    }
}
