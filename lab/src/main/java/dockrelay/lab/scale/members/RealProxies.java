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

/** Real proxies, as processes with the program's own start, among hollow ones: each told all names. */
final class RealProxies implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern WORD = Pattern.compile("(\\w+)=(\\S+)");

    /** What the console of one says: the words of its first line; empty where it gave none. */
    record Said(String name, Map<String, String> words) {
        int count(String word) {
            return Integer.parseInt(words.getOrDefault(word, "-1"));
        }

        boolean allAgree() {
            return "all".equals(words.get("agreement"));
        }

        String digest() {
            return words.getOrDefault("digest", "");
        }
    }

    private final Plan plan;
    private final Emulator world;
    private final EmulatorNetwork net;
    private final ChildProcessRegistry leftovers;
    private final List<ProxyProcess> all = new ArrayList<>();
    private final Map<String, InetSocketAddress> peers = new LinkedHashMap<>();

    RealProxies(int count, Path root, Path folder, long seed) throws IOException {
        Files.createDirectories(folder);
        Path file = Files.writeString(folder.resolve("world.toml"), "shows = \"members\"\n[proxies]\ncount = "
            + count + "\n[nodes]\ncount = 4\n[permissions]\npeers = true\n");
        plan = Plan.generate(ExperimentReader.read(file), seed);
        Build build = Build.load(root);
        leftovers = new ChildProcessRegistry(ChildProcessRegistry.defaultFolder());
        leftovers.killOrphans();
        net = new EmulatorNetwork(seed);
        world = new Emulator(plan, net, new Clock(), new Referee(plan));
        for (int i = 0; i < count; i++) {
            all.add(new ProxyProcess(i, build, folder, LoopbackAddresses.freeProxyAddress(i), false, 0, -1, leftovers));
            peers.put(all.get(i).name(), LoopbackAddresses.freePeerAddress(i));
        }
    }

    /** Their names, and where each hears the others. */
    Map<String, InetSocketAddress> peers() {
        return peers;
    }

    /** Starts them with this list: names with their addresses, the own ones among them. */
    void start(Map<String, InetSocketAddress> names, HollowMember.Kind kind, Layout layout)
        throws IOException {
        Map<String, String> addresses = new LinkedHashMap<>();
        names.forEach((name, address) -> addresses.put(name, LoopbackAddresses.hostAndPort(address)));
        for (ProxyProcess proxy : all) {
            int i = proxy.index();
            proxy.setConsoleAddress(LoopbackAddresses.freeConsoleAddress(i));
            ObjectNode top = (ObjectNode) JSON.readTree(ProxyConfiguration.toJson(plan.experiment(), proxy,
                LoopbackAddresses.hostAndPort(proxy.listenAddress()), LoopbackAddresses.hostAndPort(proxy.consoleAddress()), world.discoveryAddress(i),
                plan.seed() + i, world.backendListFor(i, true), null, null));
            top.put("peer_listen", LoopbackAddresses.hostAndPort(peers.get(proxy.name())));
            top.set("peers", JSON.valueToTree(addresses));
            kind.configure(top, layout);
            proxy.start(top.toString(), Map.of("PROXY_LISTEN", LoopbackAddresses.hostAndPort(proxy.listenAddress()),
                "PROXY_CONSOLE", LoopbackAddresses.hostAndPort(proxy.consoleAddress()), "PROXY_DISCOVERY", world.discoveryAddress(i)),
                false);
        }
    }

    List<Said> said() {
        List<Said> result = new ArrayList<>();
        for (ProxyProcess proxy : all) {
            Map<String, String> words = new LinkedHashMap<>();
            List<String> lines = ConsoleClient.call(proxy.consoleAddress(), "MEMBERS");
            Matcher matcher = WORD.matcher(lines.isEmpty() || !lines.get(0).startsWith("200") ? ""
                : lines.get(0));
            while (matcher.find()) {
                words.put(matcher.group(1), matcher.group(2));
            }
            result.add(new Said(proxy.name(), words));
        }
        return result;
    }

    /** Null, or which has ended though nobody told it to. */
    String crashed() {
        return all.stream().filter(one -> one.crashDescription() != null).map(one -> one.name() + ": " + one.crashDescription())
            .findFirst().orElse(null);
    }

    /** KiB that each holds, the most of all. */
    long residentKib() {
        return all.stream().mapToLong(one -> one.sampleUsage().residentKib()).max().orElse(0);
    }

    /** Seconds of processor time of all together, since their starts. */
    double cpuSeconds() {
        return all.stream().mapToDouble(one -> {
            one.sampleUsage();
            return one.cpuSeconds();
        }).sum();
    }

    int count() {
        return all.size();
    }

    @Override
    public void close() throws IOException {
        for (ProxyProcess proxy : all) {
            proxy.signal("KILL");
        }
        for (ProxyProcess proxy : all) {
            proxy.awaitExit(5_000);
        }
        net.close();
        leftovers.deleteOwnList();
    }
}
