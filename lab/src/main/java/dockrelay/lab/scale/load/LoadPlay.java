package dockrelay.lab.scale.load;

import dockrelay.lab.process.Build;
import dockrelay.lab.scale.list.HollowDiscovery;
import dockrelay.lab.scale.list.HollowList;
import dockrelay.lab.scale.load.ProxyUnderTest.End;
import dockrelay.lab.scale.load.ProxyUnderTest.Processor;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** One rate: requests through the proxy, and as many beside them that go to the nodes themselves. */
final class LoadPlay implements AutoCloseable {
    private static final List<String> ZONES = List.of("a", "b", "c", "d", "e", "f", "g"),
        KINDS = List.of("m1");
    private static final int NODES_EACH = 6, PROXIES = 3;
    private static final long READY_MILLIS = 30_000, PATIENCE_MICROS = 2_100_000;
    private static final double TIMEOUT_SECONDS = 2.0, MILLION = 1e6, MIB = 1 << 20;
    /** How the names of those figures begin that are worth nothing where the generator was late. */
    static final List<String> LATENCIES = List.of("through the proxy ", "direct p", "added ");
    private static final double[] PERCENTILES = {50, 99, 99.9};

    private final LoadRole.Keys keys;
    private final Found found;
    private final EventLoopGroup nodesGroup = group("nodes"), clientsGroup = group("clients"),
        discoveryGroup = group("discovery");
    private final FastNodes nodes = new FastNodes(nodesGroup.next(), ZONES.size(), NODES_EACH);
    private final HollowDiscovery discovery;
    private final ProxyUnderTest proxy;
    private final OpenLoop through, direct;
    private final long seed;

    LoadPlay(LoadRole.Keys keys, Build build, int rate, long seed, Found found) throws IOException {
        this.keys = keys;
        this.found = found;
        this.seed = seed;
        HollowList list = new HollowList(ZONES.size() * NODES_EACH, ZONES, KINDS, nodes::addressText);
        discovery = new HollowDiscovery(discoveryGroup.next(), list);
        proxy = new ProxyUnderTest(build);
        through = new OpenLoop(clientsGroup.next(), rate, PATIENCE_MICROS, new Random(seed),
            new Random(seed + 1), new Calls(proxy.address(), "any", TIMEOUT_SECONDS));
        direct = new OpenLoop(clientsGroup.next(), rate, PATIENCE_MICROS, new Random(seed + 2),
            new Random(seed + 3), new Calls(nodes.addresses(), "any", TIMEOUT_SECONDS));
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

    /** Returns how late the generator was, in milliseconds at 99 in 100. */
    double run() throws Exception {
        proxy.start(new Told(discovery.address(), false, PROXIES, ZONES, KINDS, Told.ANY, "[]", Told.NOTHING)
            .configuration(proxy, seed), discovery.address(), line -> { });
        End end = proxy.awaitReady(READY_MILLIS);
        if (end != End.READY) {
            found.notReady("start", end, READY_MILLIS / 1_000);
            return 0;
        }
        through.start();
        direct.start();
        TimeUnit.MICROSECONDS.sleep(keys.warm());
        through.next();
        direct.next();
        long arrived = arrivals(), began = System.nanoTime();
        Processor before = proxy.processor();
        TimeUnit.MICROSECONDS.sleep(keys.length());
        Tally with = through.next(), without = direct.next();
        Processor spent = proxy.processor().since(before);
        long took = System.nanoTime() - began;
        arrived = arrivals() - arrived;
        through.pause(true);
        direct.pause(true);
        TimeUnit.MICROSECONDS.sleep(PATIENCE_MICROS); // what is out still is answered by then, or never
        if (!proxy.alive()) {
            found.notReady("run", End.ENDED, 0);
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
        found.processor("run", spent, took);
        found.add("ms", "processor time a request", spent.used() / MILLION / with.sent());
        found.add("MiB", "resident", proxy.resident() / MIB);
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
