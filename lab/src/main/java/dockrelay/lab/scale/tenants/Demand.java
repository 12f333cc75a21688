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
    static final int TENANTS = 190_000, SERVICES = 2_300, ROUTES = 34_000, PROXIES = 5_700, RATE = 530_000;
    /** Backends of a service, and routes that a tenant uses. */
    static final int BACKENDS_EACH = 2, ROUTES_EACH = 3;
    /** A quota is so many times what its tenant asks for on the mean. */
    private static final double QUOTA = 2;
    private static final int STEP = 7_919;

    private final int tenants;
    private final List<String> zones;
    private final Zipf zipf;
    private final InetSocketAddress proxy;
    private final double timeoutSeconds;
    private final Set<Integer> seen = new HashSet<>();

    Demand(int tenants, List<String> zones, double skew, InetSocketAddress proxy, double timeoutSeconds) {
        this.tenants = tenants;
        this.zones = zones;
        this.zipf = new Zipf(tenants, skew);
        this.proxy = proxy;
        this.timeoutSeconds = timeoutSeconds;
    }

    /** As many as there are of these at the full size, at this one. */
    static int part(int all, int tenants) {
        return Math.max(1, (int) Math.round((double) all * tenants / TENANTS));
    }

    /** A service's name is the kind of its backends. */
    static List<String> services(int tenants) {
        List<String> result = new ArrayList<>();
        for (int i = 0; i < part(SERVICES, tenants); i++) {
            result.add("svc-" + i);
        }
        return result;
    }

    /** As JSON. Each route runs where its service has a backend; each third one in one zone alone. */
    String routes() {
        int services = part(SERVICES, tenants);
        StringBuilder text = new StringBuilder("[");
        for (int i = 0; i < part(ROUTES, tenants); i++) {
            int service = i % services;
            List<String> runsIn = new ArrayList<>();
            for (int j = 0; j < (i % 3 == 0 ? 1 : BACKENDS_EACH); j++) {
                String zone = zones.get((service + j * services) % zones.size());
                if (!runsIn.contains(zone)) {
                    runsIn.add(zone);
                }
            }
            text.append(i == 0 ? "" : ",").append(FleetProxyConfig.serviceJson("route-" + i, runsIn,
                List.of("svc-" + service)));
        }
        return text.append(']').toString();
    }

    /** As JSON, each with a quota over what it asks for; the small ones' are a fraction of a request. */
    String quotas() {
        double rate = (double) RATE * tenants / TENANTS;
        StringBuilder text = new StringBuilder("[");
        for (int i = 0; i < tenants; i++) {
            text.append(i == 0 ? "" : ",").append("{\"Name\":\"tenant-").append(i).append("\",\"QuotaRps\":")
                .append(String.format(Locale.ROOT, "%.4f", QUOTA * rate * zipf.share(i)))
                .append(",\"Share\":").append(zipf.share(i)).append('}');
        }
        return text.append(']').toString();
    }

    /** How many tenants have been heard of. */
    int seen() {
        return seen.size();
    }

    @Override
    public InetSocketAddress nextTarget(RandomGenerator random) {
        return proxy;
    }

    @Override
    public FullHttpRequest nextRequest(RandomGenerator random, String id) {
        int tenant = zipf.draw(random);
        seen.add(tenant);
        int route = (int) (((long) tenant * STEP + random.nextInt(ROUTES_EACH)) % part(ROUTES, tenants));
        return SingleClassWorkload.buildRequest("route-" + route, id, timeoutSeconds, "tenant-" + tenant);
    }
}
