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
    private static final int SERVERS_PER_ZONE = 6, PROXY_COUNT = 3;
    private static final long READY_TIMEOUT_MILLIS = 30_000, CLIENT_TIMEOUT_MICROS = 2_100_000;
    private static final double TIMEOUT_SECONDS = 2.0, NANOS_PER_MILLI = 1e6, BYTES_PER_MIB = 1 << 20;
    /** Prefixes of the figures that are void if the generator was late. */
    static final List<String> VOIDABLE_FIGURE_PREFIXES = List.of("through the proxy ", "direct p", "added ");
    private static final double[] PERCENTILES = {50, 99, 99.9};

    private final LoadRole.Settings settings;
    private final FigureSink figureSink;
    private final EventLoopGroup serverLoops = newEventLoopGroup("nodes"),
        clientLoops = newEventLoopGroup("clients"), discoveryLoops = newEventLoopGroup("discovery");
    private final EmulatedServers servers = new EmulatedServers(serverLoops.next(), ZONES.size(),
        SERVERS_PER_ZONE);
    private final EmulatedDiscovery discovery;
    private final ProxyUnderTest proxy;
    private final OpenLoopGenerator proxyLoad, directLoad;
    private final long seed;

    LoadPlay(LoadRole.Settings settings, Build build, int rate, long seed, FigureSink figureSink)
        throws IOException {
        this.settings = settings;
        this.figureSink = figureSink;
        this.seed = seed;
        SyntheticBackendList list = new SyntheticBackendList(ZONES.size() * SERVERS_PER_ZONE, ZONES, KINDS,
            servers::addressText);
        discovery = new EmulatedDiscovery(discoveryLoops.next(), list);
        proxy = new ProxyUnderTest(build);
        proxyLoad = new OpenLoopGenerator(clientLoops.next(), rate, CLIENT_TIMEOUT_MICROS, new Random(seed),
            new Random(seed + 1), new SingleClassWorkload(proxy.address(), "any", TIMEOUT_SECONDS));
        directLoad = new OpenLoopGenerator(clientLoops.next(), rate, CLIENT_TIMEOUT_MICROS,
            new Random(seed + 2), new Random(seed + 3),
            new SingleClassWorkload(servers.addresses(), "any", TIMEOUT_SECONDS));
    }

    private static EventLoopGroup newEventLoopGroup(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true),
            NioIoHandler.newFactory());
    }

    /** Number of requests that all servers have received so far. */
    private long totalRequestCount() {
        long sum = 0;
        for (int i = 0; i < ZONES.size(); i++) {
            sum += servers.requestCount(i);
        }
        return sum;
    }

    /** Runs the play; returns the generator's lateness in milliseconds at the 99th percentile. */
    double run() throws Exception {
        proxy.start(new FleetProxyConfig(discovery.address(), false, PROXY_COUNT, ZONES, KINDS,
            FleetProxyConfig.ANY_CLASS_SERVICES, "[]", FleetProxyConfig.EMPTY_LIST)
            .toJson(proxy, seed), discovery.address(), line -> { });
        StartOutcome outcome = proxy.awaitReady(READY_TIMEOUT_MILLIS);
        if (outcome != StartOutcome.READY) {
            figureSink.addStartFailure("start", outcome, READY_TIMEOUT_MILLIS / 1_000);
            return 0;
        }
        proxyLoad.start();
        directLoad.start();
        TimeUnit.MICROSECONDS.sleep(settings.warmUpMicros());
        proxyLoad.swapTally();
        directLoad.swapTally();
        long serverRequests = totalRequestCount(), startNanos = System.nanoTime();
        CpuTime cpuBefore = proxy.cpuTime();
        TimeUnit.MICROSECONDS.sleep(settings.durationMicros());
        Tally proxyTally = proxyLoad.swapTally(), directTally = directLoad.swapTally();
        CpuTime cpuTime = proxy.cpuTime().since(cpuBefore);
        long elapsedNanos = System.nanoTime() - startNanos;
        serverRequests = totalRequestCount() - serverRequests;
        proxyLoad.setPaused(true);
        directLoad.setPaused(true);
        TimeUnit.MICROSECONDS.sleep(CLIENT_TIMEOUT_MICROS); // requests in flight complete or time out
        if (!proxy.isAlive()) {
            figureSink.addStartFailure("run", StartOutcome.ENDED, 0);
            return 0;
        }
        for (double percentile : PERCENTILES) {
            String label = "p" + (percentile == Math.rint(percentile) ? String.valueOf((int) percentile)
                : String.valueOf(percentile));
            figureSink.add("ms", "through the proxy " + label, proxyTally.latencyMillis(percentile));
            figureSink.add("ms", "direct " + label, directTally.latencyMillis(percentile));
            figureSink.add("ms", "added " + label,
                proxyTally.latencyMillis(percentile) - directTally.latencyMillis(percentile));
        }
        figureSink.add("requests", "sent", proxyTally.sent());
        figureSink.add("requests", "refused", proxyTally.refused());
        figureSink.add("requests", "failed", proxyTally.failed());
        figureSink.add("requests", "unanswered", proxyTally.unanswered());
        figureSink.add("requests", "direct, not served", directTally.sent() - directTally.served());
        figureSink.add("attempts", "attempts a request",
            (serverRequests - directTally.sent()) / (double) proxyTally.sent());
        figureSink.addCpuTime("run", cpuTime, elapsedNanos);
        figureSink.add("ms", "processor time a request",
            cpuTime.usedNanos() / NANOS_PER_MILLI / proxyTally.sent());
        figureSink.add("MiB", "resident", proxy.residentBytes() / BYTES_PER_MIB);
        double latenessMillis = Math.max(proxyTally.latenessMillis(99), directTally.latenessMillis(99));
        figureSink.add("ms", "generator late p99", latenessMillis);
        figureSink.add("ms", "generator late p99.9",
            Math.max(proxyTally.latenessMillis(99.9), directTally.latenessMillis(99.9)));
        return latenessMillis;
    }

    @Override
    public void close() throws IOException {
        proxyLoad.close();
        directLoad.close();
        proxy.close();
        for (EventLoopGroup loops : List.of(serverLoops, clientLoops, discoveryLoops)) {
            loops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
