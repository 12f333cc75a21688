package dockrelay.lab.scale.tenants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dockrelay.lab.scale.list.SyntheticBackendList;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Generated settings and requests: sizes, consistency of routes with backends, skew of the demand. */
class DemandTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> ZONES = List.of("a", "b", "c", "d", "e", "f", "g");
    private static final int TENANTS = 1_900;
    private final Demand demand = new Demand(TENANTS, ZONES, 1, InetSocketAddress.createUnresolved("x", 1),
        2);

    @Test
    void sizesScaleWithTheNumberOfTenants() throws Exception {
        assertEquals(190_000, Demand.TENANTS);
        assertEquals(2_300, Demand.services(190_000).size());
        assertEquals(23, Demand.services(TENANTS).size());
        assertEquals(340, JSON.readTree(demand.routes()).size());
        assertEquals(TENANTS, JSON.readTree(demand.quotas()).size());
    }

    @Test
    void everyRouteHasABackend() throws Exception {
        List<String> services = Demand.services(TENANTS);
        SyntheticBackendList list = new SyntheticBackendList(services.size() * Demand.BACKENDS_PER_SERVICE,
            ZONES, services, (zone, number) -> "127.0.0.1:1");
        Set<String> available = new HashSet<>();
        for (JsonNode server : JSON.readTree(list.fullListJson()).get("servers")) {
            available.add(server.get("kind").asText() + " in " + server.get("zone").asText());
        }
        for (JsonNode route : JSON.readTree(demand.routes())) {
            for (JsonNode zone : route.get("RunsIn")) {
                String required = route.get("KindsOpen").get(0).asText() + " in " + zone.asText();
                assertTrue(available.contains(required), route.get("Name") + " has no backend: " + required);
            }
        }
    }

    @Test
    void demandIsSkewedAndUsesConfiguredRoutes() throws Exception {
        Set<String> routes = new HashSet<>();
        JSON.readTree(demand.routes()).forEach(route -> routes.add(route.get("Name").asText()));
        Random random = new Random(3);
        int firstTenantRequests = 0, requestCount = 20_000;
        for (int i = 0; i < requestCount; i++) {
            FullHttpRequest request = demand.nextRequest(random, "id" + i);
            assertTrue(routes.contains(request.headers().get("X-Priority-Class")));
            firstTenantRequests += request.headers().get("X-Tenant-Id").equals("tenant-0") ? 1 : 0;
        }
        double share = new Zipf(TENANTS, 1).share(0);
        assertEquals(share, (double) firstTenantRequests / requestCount, 0.01);
        assertTrue(share > 50.0 / TENANTS, "the first tenant sends far more than an even share: " + share);
    }
}
