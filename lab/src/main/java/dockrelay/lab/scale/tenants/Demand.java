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
 * Tenants, services and routes in the settings' words, and who asks for what. The platform has classes and
 * tenants: a route is a class, with the zones in which it runs and the kind of backends that is open to it;
 * a service is a kind, and its backends are those of that kind; a tenant is a tenant, who uses a few routes.
 */
final class Demand implements OpenLoopGenerator.Workload {
    static final int TENANTS = 190_000, SERVICES = 2_300, ROUTES = 34_000, PROXIES = 5_700,
        REQUESTS_PER_SECOND = 530_000;
    /** Backends of a service, and routes that a tenant uses. */
    static final int BACKENDS_PER_SERVICE = 2, ROUTES_PER_TENANT = 3;
    /** A quota is so many times what its tenant asks for on the mean. */
    private static final double QUOTA_RATIO = 2;
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

    /** As many as there are of these at the full size, at this one. */
    static int scaled(int fullSize, int tenantCount) {
        return Math.max(1, (int) Math.round((double) fullSize * tenantCount / TENANTS));
    }

    /** A service's name is the kind of its backends. */
    static List<String> services(int tenantCount) {
        List<String> result = new ArrayList<>();
        for (int i = 0; i < scaled(SERVICES, tenantCount); i++) {
            result.add("svc-" + i);
        }
        return result;
    }

    /** As JSON. Each route runs where its service has a backend; each third one in one zone alone. */
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

    /** As JSON, each with a quota over what it asks for; the small ones' are a fraction of a request. */
    String quotas() {
        double requestsPerSecond = (double) REQUESTS_PER_SECOND * tenantCount / TENANTS;
        StringBuilder json = new StringBuilder("[");
        for (int i = 0; i < tenantCount; i++) {
            json.append(i == 0 ? "" : ",").append("{\"Name\":\"tenant-").append(i).append("\",\"QuotaRps\":")
                .append(String.format(Locale.ROOT, "%.4f", QUOTA_RATIO * requestsPerSecond
                * tenantDistribution.share(i)))
                .append(",\"Share\":").append(tenantDistribution.share(i)).append('}');
        }
        return json.append(']').toString();
    }

    /** How many tenants have been heard of. */
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
        int route = (int) (((long) tenant * ROUTE_STRIDE + random.nextInt(ROUTES_PER_TENANT)) % scaled(ROUTES,
            tenantCount));
        return SingleClassWorkload.buildRequest("route-" + route, id, timeoutSeconds, "tenant-" + tenant);
    }
}
