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
record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
              int memory, KnownList known, Settings settings, long connectTimeoutMicros, long connectionIdle,
              boolean sendsRetryAfter, InetSocketAddress console, InetSocketAddress peerListenAddress,
              PeerDirectory peers, InetSocketAddress peerBroadcastAddress, PeerGroups peerGroups, List<Budget> budgets,
              List<String> retiredMembers, Set<String> streamingClasses) {
    private static final double MICROS = 1_000_000;

    /** Reads the configuration. Any error is reported in one line that names the file. */
    static Config read(Path file) throws ConfigException {
        return read(file, true);
    }

    /**
     * Reads the configuration for a reload. Skips the list of known backends: the running process has its
     * own and no memory for a second one.
     */
    static Config readAgain(Path file) throws ConfigException {
        return read(file, false);
    }

    private static Config read(Path file, boolean starts) throws ConfigException {
        try (InputStream in = Files.newInputStream(file)) {
            return read(in, starts);
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
    private static Config read(InputStream in, boolean starts) throws IOException {
        Map<String, Object> top = new LinkedHashMap<>();
        KnownList known = new KnownList();
        try (JsonParser parser = new JsonFactory().createParser(in)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new SettingException("the configuration", parser.currentToken() == null ? ""
                    : Json.readValue(parser), "one JSON object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String key = parser.currentName();
                parser.nextToken();
                if ("known".equals(key) && starts) {
                    known = KnownList.read(parser);
                } else if ("known".equals(key)) {
                    parser.skipChildren();
                } else {
                    top.put(key, Json.readValue(parser));
                }
            }
        } catch (JsonProcessingException e) {
            throw new SettingException("line " + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()),
                e.getOriginalMessage(), "one JSON object");
        }
        return of(top, known);
    }

    private static Config of(Map<?, ?> top, KnownList known) {
        Map<?, ?> settings = map(top, "settings");
        Map<?, ?> allowed = map(settings, "Permissions");
        PeerDirectory peers = peers(top);
        // Without peers, the classes for peers are not even loaded, because that would lengthen each start.
        PeerGroups groups = peers.names().isEmpty() && !top.containsKey(PeerGroups.CONFIG_KEY) ? null
            : PeerGroups.read(top, peers);
        Settings read = SettingsReader.read(settings);
        return new Config(text(top, "name"), address("listen", text(top, "listen")),
            address("discovery", text(top, "discovery")),
            seed(text(top, "seed")), within(map(top, "limits"), "limits.", "sockets", 1024, 34),
            within(map(top, "limits"), "limits.", "memory_mb", 192, 16),
            known, read,
            (long) (numberOrDefault(allowed, "ConnectTimeout", 0.25) * MICROS),
            (long) (numberOrDefault(allowed, "ConnIdle", 15) * MICROS),
            !Boolean.FALSE.equals(allowed.get("RetryAfter")), maybe(top, "console"),
            maybe(top, "peer_listen"), peers, maybe(top, "peers_all"), groups,
            top.get("budgets") instanceof Map<?, ?> budgets ? BudgetConfigReader.read(budgets, read, groups)
                : List.of(),
            list(top, "retired").stream().map(String.class::cast).toList(), streaming(settings));
    }

    /** Names of the service classes whose responses may be streamed without a time limit. */
    private static Set<String> streaming(Map<?, ?> settings) {
        return list(settings, "Services").stream().map(Map.class::cast)
            .filter(service -> Boolean.TRUE.equals(service.get("Streaming")))
            .map(service -> text(service, "Name")).collect(Collectors.toSet());
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new SettingException("seed", text, "1 to 16 hex digits");
        }
    }

    /** Reads an integer that must be at least {@code least}; {@code fallback} if the key is missing. */
    private static int within(Map<?, ?> from, String path, String key, int fallback, int least) {
        Object value = from.get(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Number number && number.doubleValue() >= least
            && number.doubleValue() <= Integer.MAX_VALUE && number.doubleValue() % 1 == 0) {
            return number.intValue();
        }
        throw new SettingException(path + key, value, "a whole number of at least " + least);
    }

    private static PeerDirectory peers(Map<?, ?> top) {
        Map<?, ?> named = map(top, "peers");
        List<String> names = new ArrayList<>();
        named.keySet().forEach(name -> names.add((String) name));
        if (!named.isEmpty() && !named.containsKey(text(top, "name"))) {
            throw new IllegalArgumentException("peers: its own name " + text(top, "name")
                + " is not among them: " + PeerGroups.abbreviate(names));
        }
        List<InetSocketAddress> result = new ArrayList<>();
        named.forEach((name, value) -> result.add(address("peers." + name, value)));
        list(top, "peers").forEach(value -> result.add(address("peers[" + result.size() + "]", value)));
        return new PeerDirectory(names, result);
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
    boolean membership() {
        return settings.limits().peers() && peerListenAddress != null && peerGroups != null;
    }

    private static InetSocketAddress address(String key, Object value) {
        try {
            return address((String) value);
        } catch (RuntimeException e) {
            throw new SettingException(key, value, "HOST:PORT");
        }
    }

    /**
     * Parses an address written as host:port. Only literal IP addresses are accepted, because names are not
     * resolved.
     */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        InetSocketAddress address =
            new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        if (address.isUnresolved()) {
            throw new IllegalArgumentException("not an IP address: " + text);
        }
        return address;
    }

    private static InetSocketAddress maybe(Map<?, ?> from, String key) {
        return from.get(key) instanceof String value ? address(key, value) : null;
    }

    static Map<?, ?> map(Map<?, ?> from, String key) {
        return from.get(key) instanceof Map<?, ?> value ? value : Map.of();
    }

    static List<?> list(Map<?, ?> from, String key) {
        return from.get(key) instanceof List<?> value ? value : List.of();
    }

    static double numberOrDefault(Map<?, ?> from, String key, double fallback) {
        return from.get(key) instanceof Number value ? value.doubleValue() : fallback;
    }

    static String text(Map<?, ?> from, String key) {
        if (from.get(key) instanceof String value) {
            return value;
        }
        throw new SettingException(key, from.get(key), "a string");
    }
}
