package dockrelay.proxy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import dockrelay.Balancer.Settings;
import dockrelay.fleet.budget.Budget;
import dockrelay.settings.Json;
import dockrelay.settings.SettingException;
import dockrelay.settings.SettingsReader;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The configuration of a proxy, read at its start. If {@code peers} is an object, its keys are the names of
 * the deployment's members, this proxy included, arranged in groups; if it is a plain list of addresses,
 * the peers have no names and groups are null.
 */
record Config(String name, InetSocketAddress listenAddress, InetSocketAddress discoveryAddress, long seed,
              int maxSockets, int memoryMegabytes, KnownList knownList, Settings settings,
              long connectTimeoutMicros, long connectionIdleMicros, boolean sendsRetryAfter,
              InetSocketAddress consoleAddress, InetSocketAddress peerListenAddress, PeerDirectory peers,
              InetSocketAddress peerBroadcastAddress, PeerGroups peerGroups, List<Budget> budgets,
              List<String> retiredMembers, Set<String> streamingClasses) {
    private static final double MICROS_PER_SECOND = 1_000_000;

    /** Reads the configuration. Any error is reported in one line that names the file. */
    static Config read(Path file) throws ConfigException {
        return read(file, true);
    }

    /**
     * Reads the configuration for a reload. Skips the list of known backends: the running process has its
     * own and no memory for a second one.
     */
    static Config readForReload(Path file) throws ConfigException {
        return read(file, false);
    }

    private static Config read(Path file, boolean readsKnownList) throws ConfigException {
        try (InputStream in = Files.newInputStream(file)) {
            return read(in, readsKnownList);
        } catch (IOException | RuntimeException e) {
            throw new ConfigException(file, e);
        }
    }

    static Config parse(String text) throws IOException {
        return read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), true);
    }

    /**
     * Streams the input, because a file that names all backends and tenants is larger than what is kept of
     * it.
     */
    private static Config read(InputStream in, boolean readsKnownList) throws IOException {
        Map<String, Object> root = new LinkedHashMap<>();
        KnownList knownList = new KnownList();
        try (JsonParser parser = new JsonFactory().createParser(in)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new SettingException("the configuration", parser.currentToken() == null ? ""
                    : Json.readValue(parser), "one JSON object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String key = parser.currentName();
                parser.nextToken();
                if ("known".equals(key) && readsKnownList) {
                    knownList = KnownList.read(parser);
                } else if ("known".equals(key)) {
                    parser.skipChildren();
                } else {
                    root.put(key, Json.readValue(parser));
                }
            }
        } catch (JsonProcessingException e) {
            throw new SettingException("line " + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()),
                e.getOriginalMessage(), "one JSON object");
        }
        return fromJson(root, knownList);
    }

    private static Config fromJson(Map<?, ?> root, KnownList knownList) {
        Map<?, ?> settings = objectOrEmpty(root, "settings");
        Map<?, ?> permissions = objectOrEmpty(settings, "Permissions");
        PeerDirectory peers = peers(root);
        // Without peers, the classes for peers are not even loaded, because that would lengthen each start.
        PeerGroups peerGroups = peers.names().isEmpty() && !root.containsKey(PeerGroups.CONFIG_KEY) ? null
            : PeerGroups.read(root, peers);
        Settings parsedSettings = SettingsReader.read(settings);
        return new Config(requireString(root, "name"), parseAddress("listen", requireString(root, "listen")),
            parseAddress("discovery", requireString(root, "discovery")),
            seed(requireString(root, "seed")),
            intAtLeast(objectOrEmpty(root, "limits"), "limits.", "sockets", 1024, 34),
            intAtLeast(objectOrEmpty(root, "limits"), "limits.", "memory_mb", 192, 16),
            knownList, parsedSettings,
            (long) (numberOrDefault(permissions, "ConnectTimeout", 0.25) * MICROS_PER_SECOND),
            (long) (numberOrDefault(permissions, "ConnIdle", 15) * MICROS_PER_SECOND),
            !Boolean.FALSE.equals(permissions.get("RetryAfter")), optionalAddress(root, "console"),
            optionalAddress(root, "peer_listen"), peers, optionalAddress(root, "peers_all"), peerGroups,
            root.get("budgets") instanceof Map<?, ?> budgets
                ? BudgetConfigReader.read(budgets, parsedSettings, peerGroups) : List.of(),
            listOrEmpty(root, "retired").stream().map(String.class::cast).toList(),
            readStreamingClasses(settings));
    }

    /** Names of the service classes whose responses may be streamed without a time limit. */
    private static Set<String> readStreamingClasses(Map<?, ?> settings) {
        return listOrEmpty(settings, "Services").stream().map(Map.class::cast)
            .filter(service -> Boolean.TRUE.equals(service.get("Streaming")))
            .map(service -> requireString(service, "Name")).collect(Collectors.toSet());
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new SettingException("seed", text, "1 to 16 hex digits");
        }
    }

    /** Reads an integer that must be at least {@code min}; {@code fallback} if the key is missing. */
    private static int intAtLeast(Map<?, ?> object, String pathPrefix, String key, int fallback, int min) {
        Object value = object.get(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Number number && number.doubleValue() >= min
            && number.doubleValue() <= Integer.MAX_VALUE && number.doubleValue() % 1 == 0) {
            return number.intValue();
        }
        throw new SettingException(pathPrefix + key, value, "a whole number of at least " + min);
    }

    private static PeerDirectory peers(Map<?, ?> root) {
        Map<?, ?> addressesByName = objectOrEmpty(root, "peers");
        List<String> names = new ArrayList<>();
        addressesByName.keySet().forEach(name -> names.add((String) name));
        if (!addressesByName.isEmpty() && !addressesByName.containsKey(requireString(root, "name"))) {
            throw new IllegalArgumentException("peers: its own name " + requireString(root, "name")
                + " is not among them: " + PeerGroups.abbreviate(names));
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        addressesByName.forEach((name, value) -> addresses.add(parseAddress("peers." + name, value)));
        listOrEmpty(root, "peers").forEach(value -> addresses.add(parseAddress("peers[" + addresses.size()
            + "]", value)));
        return new PeerDirectory(names, addresses);
    }

    /** Names of the members of this proxy's own group, this proxy included. */
    List<String> groupMemberNames() {
        return peerGroups.namesInGroupOf(name);
    }

    /** This group's shares of the budgets; the whole budgets if there is only one group. */
    List<Budget> groupBudgets() {
        return BudgetConfigReader.groupShares(budgets, groupMemberNames().size(), peerGroups);
    }

    /** Whether the proxies track each other's membership. */
    boolean usesMembership() {
        return settings.limits().peers() && peerListenAddress != null && peerGroups != null;
    }

    private static InetSocketAddress parseAddress(String key, Object value) {
        try {
            return parseAddress((String) value);
        } catch (RuntimeException e) {
            throw new SettingException(key, value, "HOST:PORT");
        }
    }

    /**
     * Parses an address written as host:port. Only literal IP addresses are accepted, because names are not
     * resolved.
     */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        InetSocketAddress address =
            new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        if (address.isUnresolved()) {
            throw new IllegalArgumentException("not an IP address: " + text);
        }
        return address;
    }

    private static InetSocketAddress optionalAddress(Map<?, ?> object, String key) {
        return object.get(key) instanceof String value ? parseAddress(key, value) : null;
    }

    static Map<?, ?> objectOrEmpty(Map<?, ?> object, String key) {
        return object.get(key) instanceof Map<?, ?> value ? value : Map.of();
    }

    static List<?> listOrEmpty(Map<?, ?> object, String key) {
        return object.get(key) instanceof List<?> value ? value : List.of();
    }

    static double numberOrDefault(Map<?, ?> object, String key, double fallback) {
        return object.get(key) instanceof Number value ? value.doubleValue() : fallback;
    }

    static String requireString(Map<?, ?> object, String key) {
        if (object.get(key) instanceof String value) {
            return value;
        }
        throw new SettingException(key, object.get(key), "a string");
    }
}
