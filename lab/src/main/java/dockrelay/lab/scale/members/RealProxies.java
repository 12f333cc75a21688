package dockrelay.lab.scale.members;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.process.ProxyConfiguration;
import dockrelay.lab.process.ConsoleClient;
import dockrelay.lab.process.ChildProcessRegistry;
import dockrelay.lab.process.ProxyProcess;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.spec.ExperimentReader;
import dockrelay.lab.world.LoopbackAddresses;
import dockrelay.lab.world.Clock;
import dockrelay.lab.world.EmulatorNetwork;
import dockrelay.lab.world.Emulator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Real proxy processes, started as in production, that run beside hollow ones and know all member names. */
final class RealProxies implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern KEY_VALUE = Pattern.compile("(\\w+)=(\\S+)");

    /**
     * The key=value pairs in the first line of a proxy's MEMBERS reply; empty if there was no valid reply.
     */
    record MembersReply(String name, Map<String, String> values) {
        /** The value as a number; -1 if absent. */
        int count(String key) {
            return Integer.parseInt(values.getOrDefault(key, "-1"));
        }

        /** Whether the proxy reports that all members agree. */
        boolean allAgree() {
            return "all".equals(values.get("agreement"));
        }

        String digest() {
            return values.getOrDefault("digest", "");
        }
    }

    private final Plan plan;
    private final Emulator emulator;
    private final EmulatorNetwork network;
    private final ChildProcessRegistry childProcesses;
    private final List<ProxyProcess> proxies = new ArrayList<>();
    private final Map<String, InetSocketAddress> peerAddresses = new LinkedHashMap<>();

    /** Prepares the proxies and the emulator that they connect to; {@code folder} receives their files. */
    RealProxies(int count, Path root, Path folder, long seed) throws IOException {
        Files.createDirectories(folder);
        Path experimentFile = Files.writeString(folder.resolve("world.toml"),
            "shows = \"members\"\n[proxies]\ncount = "
            + count + "\n[nodes]\ncount = 4\n[permissions]\npeers = true\n");
        plan = Plan.generate(ExperimentReader.read(experimentFile), seed);
        Build build = Build.load(root);
        childProcesses = new ChildProcessRegistry(ChildProcessRegistry.defaultFolder());
        childProcesses.killOrphans();
        network = new EmulatorNetwork(seed);
        emulator = new Emulator(plan, network, new Clock(), new Referee(plan));
        for (int i = 0; i < count; i++) {
            proxies.add(new ProxyProcess(i, build, folder, LoopbackAddresses.freeProxyAddress(i), false, 0,
                -1, childProcesses));
            peerAddresses.put(proxies.get(i).name(), LoopbackAddresses.freePeerAddress(i));
        }
    }

    /** Peer address of each proxy by name. */
    Map<String, InetSocketAddress> peerAddresses() {
        return peerAddresses;
    }

    /** Starts the proxies with the peer addresses of all members, including these proxies' own. */
    void start(Map<String, InetSocketAddress> memberAddresses, HollowMember.Variant variant, Layout layout)
        throws IOException {
        Map<String, String> addressTexts = new LinkedHashMap<>();
        memberAddresses.forEach((name, address) -> addressTexts.put(name,
            LoopbackAddresses.hostAndPort(address)));
        for (ProxyProcess proxy : proxies) {
            int index = proxy.index();
            proxy.setConsoleAddress(LoopbackAddresses.freeConsoleAddress(index));
            ObjectNode settings = (ObjectNode) JSON.readTree(ProxyConfiguration.toJson(plan.experiment(),
                proxy, LoopbackAddresses.hostAndPort(proxy.listenAddress()),
                LoopbackAddresses.hostAndPort(proxy.consoleAddress()), emulator.discoveryAddress(index),
                plan.seed() + index, emulator.backendListFor(index, true), null, null));
            settings.put("peer_listen", LoopbackAddresses.hostAndPort(peerAddresses.get(proxy.name())));
            settings.set("peers", JSON.valueToTree(addressTexts));
            variant.addSettings(settings, layout);
            proxy.start(settings.toString(), Map.of("PROXY_LISTEN",
                LoopbackAddresses.hostAndPort(proxy.listenAddress()),
                "PROXY_CONSOLE", LoopbackAddresses.hostAndPort(proxy.consoleAddress()), "PROXY_DISCOVERY",
                emulator.discoveryAddress(index)), false);
        }
    }

    /** Asks the console of each proxy for its view of the membership. */
    List<MembersReply> queryMembers() {
        List<MembersReply> replies = new ArrayList<>();
        for (ProxyProcess proxy : proxies) {
            Map<String, String> values = new LinkedHashMap<>();
            List<String> lines = ConsoleClient.call(proxy.consoleAddress(), "MEMBERS");
            Matcher matcher = KEY_VALUE.matcher(lines.isEmpty() || !lines.get(0).startsWith("200") ? ""
                : lines.get(0));
            while (matcher.find()) {
                values.put(matcher.group(1), matcher.group(2));
            }
            replies.add(new MembersReply(proxy.name(), values));
        }
        return replies;
    }

    /** Describes a proxy that exited unexpectedly; null if all are running. */
    String crashReport() {
        return proxies.stream().filter(proxy -> proxy.crashDescription() != null)
            .map(proxy -> proxy.name() + ": " + proxy.crashDescription())
            .findFirst().orElse(null);
    }

    /** Largest resident set size of the proxies, in KiB. */
    long maxResidentKib() {
        return proxies.stream().mapToLong(proxy -> proxy.sampleUsage().residentKib()).max().orElse(0);
    }

    /** Total CPU time of the proxies since their start, in seconds. */
    double cpuSeconds() {
        return proxies.stream().mapToDouble(proxy -> {
            proxy.sampleUsage();
            return proxy.cpuSeconds();
        }).sum();
    }

    int count() {
        return proxies.size();
    }

    @Override
    public void close() throws IOException {
        for (ProxyProcess proxy : proxies) {
            proxy.signal("KILL");
        }
        for (ProxyProcess proxy : proxies) {
            proxy.awaitExit(5_000);
        }
        network.close();
        childProcesses.deleteOwnList();
    }
}
