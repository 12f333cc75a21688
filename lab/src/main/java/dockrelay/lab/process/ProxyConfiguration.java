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

/** Writes the configuration file of a proxy, with the keys and units of the platform. */
public final class ProxyConfiguration {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MICROS_PER_SECOND = 1_000_000;

    private ProxyConfiguration() {
    }

    /** The configuration as JSON; without peers the keys of the peer network are absent. */
    public static String toJson(Experiment experiment, ProxyProcess proxy, String listenAddress,
                            String consoleAddress, String discoveryAddress, long seed,
                            Map<String, Object> knownBackends, String peerListenAddress,
                            List<String> peerAddresses) {
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("name", proxy.name());
        configuration.put("listen", listenAddress);
        configuration.put("console", consoleAddress);
        configuration.put("discovery", discoveryAddress);
        configuration.put("seed", Long.toHexString(seed));
        configuration.put("limits", Map.of("cores", experiment.proxies().cpuCores(), "memory_mb",
            experiment.proxies().maxMemoryBytes() >> 20, "sockets", experiment.proxies().maxDescriptors()));
        configuration.put("known", knownBackends);
        if (peerAddresses != null) {
            configuration.put("peer_listen", peerListenAddress);
            Map<String, String> peersByName = new LinkedHashMap<>();
            peerAddresses.forEach(peer -> peersByName.put("n" + peersByName.size(), peer));
            configuration.put("peers", peersByName);
            Map<String, List<String>> membersByZone = new LinkedHashMap<>();
            for (int i = 0; i < peerAddresses.size() && !experiment.proxies().zones().isEmpty(); i++) {
                membersByZone.computeIfAbsent(experiment.proxies().zoneOf(i), zone -> new ArrayList<>())
                    .add("n" + i);
            }
            if (!membersByZone.isEmpty()) {
                configuration.put("peer_groups", Map.of("zones", membersByZone));
            }
        }
        if (experiment.permissions().extraAttemptsPerSecond() > 0) {
            configuration.put("budgets", Map.of("extra", Map.of("per_second",
                experiment.permissions().extraAttemptsPerSecond())));
        }
        configuration.put("settings", settings(experiment, proxy.index()));
        try {
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(configuration);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Map<String, Object> settings(Experiment experiment, int proxyIndex) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("Balancers", experiment.proxies().count());
        settings.put("Clients", Map.of("MarksRetry", false));
        settings.put("Discovery", "ask");
        settings.put("DomainType", "proxy");
        settings.put("FailureDomains", experiment.nodes().zones());
        settings.put("Kinds",
            new ArrayList<>(new TreeSet<>(experiment.nodes().kinds().stream()
                .map(Experiment.NodeKind::name).toList())));
        settings.put("Me", proxyIndex);
        settings.put("Obligations", Map.of(
            "AnswerSlack", experiment.ruleLimits().responseSlack() / MICROS_PER_SECOND,
            "AskWithin", experiment.ruleLimits().maxListFetchInterval() / MICROS_PER_SECOND,
            "Cold", experiment.ruleLimits().warmUpTime() / MICROS_PER_SECOND,
            "ColdShare", experiment.ruleLimits().maxColdShare(),
            "DrainGrace", experiment.ruleLimits().drainGrace() / MICROS_PER_SECOND,
            "Fall", experiment.ruleLimits().overloadTime() / MICROS_PER_SECOND,
            "FallMultiple", experiment.ruleLimits().overloadMultiple()));
        Map<String, Object> permissions = new LinkedHashMap<>();
        permissions.put("ConnIdle", experiment.nodes().connections().idleTimeout() / MICROS_PER_SECOND);
        permissions.put("ConnectTimeout",
            experiment.nodes().connections().connectTimeout() / MICROS_PER_SECOND);
        permissions.put("MaxAttempts", experiment.permissions().maxAttempts());
        permissions.put("MaxRetryAfter", experiment.clients().maxRetryAfter() / MICROS_PER_SECOND);
        permissions.put("MayCancel", experiment.permissions().mayCancel());
        permissions.put("MostHeld", 20_000);
        permissions.put("Peers", experiment.permissions().peerProtocol());
        permissions.put("Probes", experiment.permissions().probes());
        permissions.put("RetryAfter", experiment.permissions().retryAfter());
        permissions.put("SecondCopies", experiment.permissions().redundantAttempts());
        permissions.put("StreamsPerConn", 1);
        settings.put("Permissions", permissions);
        settings.put("Prices", Map.of("LateFail", 0.08, "Probe", 0.01, "Waste", 0.18));
        settings.put("Report", Map.of("How", "on_probe", "Names", List.of("outstanding", "errors_per_s")));
        settings.put("ScoringMix", Map.of("Whole", 0.55, "WorstClass", 0.3, "WorstTenant", 0.0, "WorstWindow",
            0.15));
        List<Map<String, Object>> services = new ArrayList<>();
        for (ServiceClass serviceClass : experiment.classes()) {
            services.add(service(serviceClass));
        }
        settings.put("Services", services);
        double shareSum = experiment.tenants().stream().mapToDouble(Experiment.Tenant::share).sum();
        settings.put("Tenants", experiment.tenants().stream()
            .map(tenant -> Map.of("Name", tenant.name(), "QuotaRps", tenant.quotaPerSecond(),
            "Share", tenant.share() / shareSum)).toList());
        settings.put("Tick", 0.005);
        settings.put("Tier", 0);
        settings.put("Tiers", List.of("nodes"));
        settings.put("Weights", "nominal");
        settings.put("WorthBy", "work");
        settings.put("Zone", experiment.nodes().zones().get(proxyIndex % experiment.nodes().zones().size()));
        return settings;
    }

    private static Map<String, Object> service(ServiceClass serviceClass) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("Name", serviceClass.name());
        service.put("Aim", serviceClass.latencyTarget() / MICROS_PER_SECOND);
        service.put("HardLimit", serviceClass.deadline() / MICROS_PER_SECOND);
        service.put("Idempotency", serviceClass.idempotency().name().toLowerCase(Locale.ROOT));
        service.put("DedupScope", serviceClass.dedupScope().name().toLowerCase(Locale.ROOT));
        service.put("MemorySpan", serviceClass.dedupWindow() / MICROS_PER_SECOND);
        service.put("LateWorth", serviceClass.lateValue());
        service.put("Streaming", false);
        service.put("Worth", serviceClass.value());
        return service;
    }
}
