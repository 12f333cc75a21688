package dockrelay.lab.scale.tenants;

import dockrelay.lab.process.Build;
import dockrelay.lab.scale.ProgressLog;
import dockrelay.lab.scale.list.EmulatedDiscovery;
import dockrelay.lab.scale.list.SyntheticBackendList;
import dockrelay.lab.scale.list.ListVersionTracker;
import dockrelay.lab.scale.load.EmulatedServers;
import dockrelay.lab.scale.load.FigureSink;
import dockrelay.lab.scale.load.OpenLoopGenerator;
import dockrelay.lab.scale.load.ProxyUnderTest;
import dockrelay.lab.scale.load.ProxyUnderTest.StartOutcome;
import dockrelay.lab.scale.load.ProxyUnderTest.CpuTime;
import dockrelay.lab.scale.load.FleetProxyConfig;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** One size of the settings: a start, some time under load, changes of the list. */
final class TenantsPlay implements AutoCloseable {
    private static final List<String> ZONES = List.of("a", "b", "c", "d", "e", "f", "g");
    private static final int NODES_EACH = 6, CHANGES = 10;
    private static final long PATIENCE_MICROS = 2_100_000, SETTLE_MILLIS = 2_000, CHANGE_MILLIS = 30_000;
    /** The log has room for so many lines of a kind a second. */
    private static final long APART_MILLIS = 250, MARK_MILLIS = 1_100;
    private static final double TIMEOUT_SECONDS = 2.0, MILLION = 1e6, MIB = 1 << 20;

    private final TenantsRole.Keys keys;
    private final boolean quotas;
    private final int size;
    private final long seed;
    private final FigureSink found;
    private final ProgressLog progress;
    private final EventLoopGroup nodesGroup = group("nodes"), clientsGroup = group("clients"),
        discoveryGroup = group("discovery");
    private final EmulatedServers nodes = new EmulatedServers(nodesGroup.next(), ZONES.size(), NODES_EACH);
    private final SyntheticBackendList list;
    private final EmulatedDiscovery discovery;
    private final ProxyUnderTest proxy;
    private final ListVersionTracker force;
    private OpenLoopGenerator clients;

    TenantsPlay(TenantsRole.Keys keys, Build build, int size, boolean quotas, long seed, FigureSink found,
                ProgressLog progress) throws IOException {
        this.keys = keys;
        this.quotas = quotas;
        this.size = size;
        this.seed = seed;
        this.found = found;
        this.progress = progress;
        List<String> services = Demand.services(size);
        list = new SyntheticBackendList(services.size() * Demand.BACKENDS_EACH, ZONES, services, nodes::addressText);
        discovery = new EmulatedDiscovery(discoveryGroup.next(), list);
        proxy = new ProxyUnderTest(build);
        force = new ListVersionTracker(proxy);
    }

    private static EventLoopGroup group(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true),
            NioIoHandler.newFactory());
    }

    void run() throws Exception {
        Demand demand = new Demand(size, ZONES, keys.skew(), proxy.address(), TIMEOUT_SECONDS);
        String configuration = new FleetProxyConfig(discovery.address(), false, Demand.part(Demand.PROXIES, size), ZONES,
            Demand.services(size), demand.routes(), quotas ? demand.quotas() : "[]", FleetProxyConfig.EMPTY_LIST)
            .toJson(proxy, seed);
        found.add("MiB", "configuration", configuration.getBytes(StandardCharsets.UTF_8).length / MIB);
        proxy.start(configuration, discovery.address(), force::onLogLine);
        StartOutcome end = proxy.awaitReady(keys.readyWithin() / 1_000);
        long ready = System.nanoTime();
        CpuTime spent = proxy.cpuTime();
        if (end != StartOutcome.READY) {
            found.addStartFailure("start", end, keys.readyWithin() / 1_000_000);
            proxy.lastLogLines().forEach(line -> progress.log("    log: " + line));
            return;
        }
        found.add("ms", "start: ready after", (ready - proxy.startedAtNanos()) / MILLION);
        found.add("ms", "start: processor time", spent.usedNanos() / MILLION);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        found.add("MiB", "start: resident", proxy.residentBytes() / MIB);
        clients = new OpenLoopGenerator(clientsGroup.next(), keys.rate(), PATIENCE_MICROS, new Random(seed),
            new Random(seed + 1), demand);
        clients.start();
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        clients.swapTally();
        CpuTime before = proxy.cpuTime();
        long began = System.nanoTime();
        TimeUnit.MICROSECONDS.sleep(keys.length());
        long took = System.nanoTime() - began;
        spent = proxy.cpuTime().since(before);
        clients.setPaused(true);
        TimeUnit.MICROSECONDS.sleep(PATIENCE_MICROS);
        found.addRequestFigures("load", clients.swapTally());
        if (!ended("load")) {
            found.addCpuTime("load", spent, took);
            found.add("tenants", "load: tenants that asked", demand.seen());
            changes();
            ended("changes of the list");
        }
    }

    /** What one changed backend takes, with so many routes to whom it may be open; nothing else goes on. */
    private void changes() throws Exception {
        CpuTime before = proxy.cpuTime();
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CHANGE_MILLIS);
        int told = 0;
        do { // the first are told in any case; then one at a time until one is seen in the log
            String state = told % 2 == 0 ? "leaving" : "active";
            discovery.push(list.applyChange(List.of(told / 2 % Demand.BACKENDS_EACH), state, -1));
            TimeUnit.MILLISECONDS.sleep(++told < CHANGES ? APART_MILLIS : MARK_MILLIS);
        } while (told < CHANGES || force.awaitApplied(list.version(), MARK_MILLIS) == 0 && System.nanoTime() < by
            && proxy.isAlive());
        if (force.awaitApplied(list.version(), 0) == 0) {
            found.add(FigureSink.EVENT_UNIT,
                "changes of the list: not in force within " + CHANGE_MILLIS / 1_000 + " s", 1);
            return;
        }
        found.add("ms", "changes of the list: processor time a change",
            proxy.cpuTime().since(before).usedNanos() / MILLION / told);
        found.add("MiB", "resident after all", proxy.residentBytes() / MIB);
    }

    private boolean ended(String part) {
        if (proxy.isAlive()) {
            return false;
        }
        found.add(FigureSink.EVENT_UNIT,
            part + ": " + (proxy.ranOutOfMemory() ? "out of memory" : "ended by itself"), 1);
        proxy.lastLogLines().forEach(line -> progress.log("    log: " + line));
        return true;
    }

    @Override
    public void close() throws IOException {
        if (clients != null) {
            clients.close();
        }
        force.close();
        proxy.close();
        for (EventLoopGroup one : List.of(nodesGroup, clientsGroup, discoveryGroup)) {
            one.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
