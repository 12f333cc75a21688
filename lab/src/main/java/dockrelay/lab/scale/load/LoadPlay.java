package dockrelay.lab.scale.load;

import dockrelay.lab.process.Build;
import dockrelay.lab.scale.list.EmulatedDiscovery;
import dockrelay.lab.scale.list.SyntheticBackendList;
import dockrelay.lab.scale.load.ProxyUnderTest.StartOutcome;
import dockrelay.lab.scale.load.ProxyUnderTest.CpuTime;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Measures one rate: sends requests through the proxy and, at the same rate, directly to the servers. */
final class LoadPlay implements AutoCloseable {
    private static final List<String> ZONES = List.of("a", "b", "c", "d", "e", "f", "g"),
        KINDS = List.of("m1");
    private static final int NODES_EACH = 6, PROXIES = 3;
    private static final long READY_MILLIS = 30_000, PATIENCE_MICROS = 2_100_000;
    private static final double TIMEOUT_SECONDS = 2.0, MILLION = 1e6, MIB = 1 << 20;
    /** Prefixes of the figures that are void if the generator was late. */
    static final List<String> LATENCIES = List.of("through the proxy ", "direct p", "added ");
    private static final double[] PERCENTILES = {50, 99, 99.9};

    private final LoadRole.Keys keys;
    private final FigureSink found;
    private final EventLoopGroup nodesGroup = group("nodes"), clientsGroup = group("clients"),
        discoveryGroup = group("discovery");
    private final EmulatedServers nodes = new EmulatedServers(nodesGroup.next(), ZONES.size(), NODES_EACH);
    private final EmulatedDiscovery discovery;
    private final ProxyUnderTest proxy;
    private final OpenLoopGenerator through, direct;
    private final long seed;

    LoadPlay(LoadRole.Keys keys, Build build, int rate, long seed, FigureSink found) throws IOException {
        this.keys = keys;
        this.found = found;
        this.seed = seed;
        SyntheticBackendList list = new SyntheticBackendList(ZONES.size() * NODES_EACH, ZONES, KINDS, nodes::addressText);
        discovery = new EmulatedDiscovery(discoveryGroup.next(), list);
        proxy = new ProxyUnderTest(build);
        through = new OpenLoopGenerator(clientsGroup.next(), rate, PATIENCE_MICROS, new Random(seed),
            new Random(seed + 1), new SingleClassWorkload(proxy.address(), "any", TIMEOUT_SECONDS));
        direct = new OpenLoopGenerator(clientsGroup.next(), rate, PATIENCE_MICROS, new Random(seed + 2),
            new Random(seed + 3), new SingleClassWorkload(nodes.addresses(), "any", TIMEOUT_SECONDS));
    }

    private static EventLoopGroup group(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true),
            NioIoHandler.newFactory());
    }

    private long arrivals() {
        long sum = 0;
        for (int i = 0; i < ZONES.size(); i++) {
            sum += nodes.arrivals(i);
        }
        return sum;
    }

    /** Runs the play; returns the generator's lateness in milliseconds at the 99th percentile. */
    double run() throws Exception {
        proxy.start(new FleetProxyConfig(discovery.address(), false, PROXIES, ZONES, KINDS, FleetProxyConfig.ANY, "[]", FleetProxyConfig.EMPTY_LIST)
            .toJson(proxy, seed), discovery.address(), line -> { });
        StartOutcome end = proxy.awaitReady(READY_MILLIS);
        if (end != StartOutcome.READY) {
            found.addStartFailure("start", end, READY_MILLIS / 1_000);
            return 0;
        }
        through.start();
        direct.start();
        TimeUnit.MICROSECONDS.sleep(keys.warm());
        through.swapTally();
        direct.swapTally();
        long arrived = arrivals(), began = System.nanoTime();
        CpuTime before = proxy.cpuTime();
        TimeUnit.MICROSECONDS.sleep(keys.length());
        Tally with = through.swapTally(), without = direct.swapTally();
        CpuTime spent = proxy.cpuTime().since(before);
        long took = System.nanoTime() - began;
        arrived = arrivals() - arrived;
        through.setPaused(true);
        direct.setPaused(true);
        TimeUnit.MICROSECONDS.sleep(PATIENCE_MICROS); // every request in flight is answered or times out
        if (!proxy.isAlive()) {
            found.addStartFailure("run", StartOutcome.ENDED, 0);
            return 0;
        }
        for (double percentile : PERCENTILES) {
            String p = "p" + (percentile == Math.rint(percentile) ? String.valueOf((int) percentile)
                : String.valueOf(percentile));
            found.add("ms", "through the proxy " + p, with.millis(percentile));
            found.add("ms", "direct " + p, without.millis(percentile));
            found.add("ms", "added " + p, with.millis(percentile) - without.millis(percentile));
        }
        found.add("requests", "sent", with.sent());
        found.add("requests", "refused", with.refused());
        found.add("requests", "failed", with.failed());
        found.add("requests", "unanswered", with.unanswered());
        found.add("requests", "direct, not served", without.sent() - without.served());
        found.add("attempts", "attempts a request", (arrived - without.sent()) / (double) with.sent());
        found.addCpuTime("run", spent, took);
        found.add("ms", "processor time a request", spent.usedNanos() / MILLION / with.sent());
        found.add("MiB", "resident", proxy.residentBytes() / MIB);
        double late = Math.max(with.lateMillis(99), without.lateMillis(99));
        found.add("ms", "generator late p99", late);
        found.add("ms", "generator late p99.9", Math.max(with.lateMillis(99.9), without.lateMillis(99.9)));
        return late;
    }

    @Override
    public void close() throws IOException {
        through.close();
        direct.close();
        proxy.close();
        for (EventLoopGroup one : List.of(nodesGroup, clientsGroup, discoveryGroup)) {
            one.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
