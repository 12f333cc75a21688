package dockrelay.lab.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.Experiment.ServiceClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** What a proxy is told at its start, in the platform's words and units. */
public final class ProxyConfiguration {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double SECOND = 1_000_000;

    private ProxyConfiguration() {
    }

    public static String toJson(Experiment experiment, ProxyProcess proxy, String listen, String console,
                            String discovery, long seed, Map<String, Object> known, String peerListen,
                            List<String> peers) {
        Map<String, Object> top = new LinkedHashMap<>();
        top.put("name", proxy.name());
        top.put("listen", listen);
        top.put("console", console);
        top.put("discovery", discovery);
        top.put("seed", Long.toHexString(seed));
        top.put("limits", Map.of("cores", experiment.proxies().cpuCores(), "memory_mb",
            experiment.proxies().maxMemoryBytes() >> 20, "sockets", experiment.proxies().maxDescriptors()));
        top.put("known", known);
        if (peers != null) {
            top.put("peer_listen", peerListen);
            Map<String, String> named = new LinkedHashMap<>();
            peers.forEach(peer -> named.put("n" + named.size(), peer));
            top.put("peers", named);
            Map<String, List<String>> zones = new LinkedHashMap<>();
            for (int i = 0; i < peers.size() && !experiment.proxies().zones().isEmpty(); i++) {
                zones.computeIfAbsent(experiment.proxies().zoneOf(i), zone -> new ArrayList<>()).add("n" + i);
            }
            if (!zones.isEmpty()) {
                top.put("peer_groups", Map.of("zones", zones));
            }
        }
        if (experiment.permissions().extraAttemptsPerSecond() > 0) {
            top.put("budgets", Map.of("extra", Map.of("per_second", experiment.permissions().extraAttemptsPerSecond())));
        }
        top.put("settings", settings(experiment, proxy.index()));
        try {
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(top);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Map<String, Object> settings(Experiment e, int me) {
        Map<String, Object> s = new LinkedHashMap<>();
        s.put("Balancers", e.proxies().count());
        s.put("Clients", Map.of("MarksRetry", false));
        s.put("Discovery", "ask");
        s.put("DomainType", "proxy");
        s.put("FailureDomains", e.nodes().zones());
        s.put("Kinds",
            new ArrayList<>(new TreeSet<>(e.nodes().kinds().stream().map(Experiment.NodeKind::name).toList())));
        s.put("Me", me);
        s.put("Obligations", Map.of("AnswerSlack", e.ruleLimits().responseSlack() / SECOND, "AskWithin",
            e.ruleLimits().maxListFetchInterval() / SECOND, "Cold", e.ruleLimits().warmUpTime() / SECOND, "ColdShare",
            e.ruleLimits().maxColdShare(),
            "DrainGrace", e.ruleLimits().drainGrace() / SECOND, "Fall", e.ruleLimits().overloadTime() / SECOND, "FallMultiple",
            e.ruleLimits().overloadMultiple()));
        Map<String, Object> allowed = new LinkedHashMap<>();
        allowed.put("ConnIdle", e.nodes().connections().idleTimeout() / SECOND);
        allowed.put("ConnectTimeout", e.nodes().connections().connectTimeout() / SECOND);
        allowed.put("MaxAttempts", e.permissions().maxAttempts());
        allowed.put("MaxRetryAfter", e.clients().maxRetryAfter() / SECOND);
        allowed.put("MayCancel", e.permissions().mayCancel());
        allowed.put("MostHeld", 20_000);
        allowed.put("Peers", e.permissions().peerProtocol());
        allowed.put("Probes", e.permissions().probes());
        allowed.put("RetryAfter", e.permissions().retryAfter());
        allowed.put("SecondCopies", e.permissions().redundantAttempts());
        allowed.put("StreamsPerConn", 1);
        s.put("Permissions", allowed);
        s.put("Prices", Map.of("LateFail", 0.08, "Probe", 0.01, "Waste", 0.18));
        s.put("Report", Map.of("How", "on_probe", "Names", List.of("outstanding", "errors_per_s")));
        s.put("ScoringMix", Map.of("Whole", 0.55, "WorstClass", 0.3, "WorstTenant", 0.0, "WorstWindow",
            0.15));
        List<Map<String, Object>> services = new ArrayList<>();
        for (ServiceClass c : e.classes()) {
            services.add(service(c));
        }
        s.put("Services", services);
        double shares = e.tenants().stream().mapToDouble(Experiment.Tenant::share).sum();
        s.put("Tenants", e.tenants().stream()
            .map(tenant -> Map.of("Name", tenant.name(), "QuotaRps", tenant.quotaPerSecond(),
            "Share", tenant.share() / shares)).toList());
        s.put("Tick", 0.005);
        s.put("Tier", 0);
        s.put("Tiers", List.of("nodes"));
        s.put("Weights", "nominal");
        s.put("WorthBy", "work");
        s.put("Zone", e.nodes().zones().get(me % e.nodes().zones().size()));
        return s;
    }

    private static Map<String, Object> service(ServiceClass c) {
        Map<String, Object> s = new LinkedHashMap<>();
        s.put("Name", c.name());
        s.put("Aim", c.latencyTarget() / SECOND);
        s.put("HardLimit", c.deadline() / SECOND);
        s.put("Idempotency", c.idempotency().name().toLowerCase(Locale.ROOT));
        s.put("DedupScope", c.dedupScope().name().toLowerCase(Locale.ROOT));
        s.put("MemorySpan", c.dedupWindow() / SECOND);
        s.put("LateWorth", c.lateValue());
        s.put("Streaming", false);
        s.put("Worth", c.value());
        return s;
    }
}
