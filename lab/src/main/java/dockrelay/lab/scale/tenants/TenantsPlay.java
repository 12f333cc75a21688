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

/** Runs one proxy with settings of one size: start, a phase under load, changes of the backend list. */
final class TenantsPlay implements AutoCloseable {
    private static final List<String> ZONES = List.of("a", "b", "c", "d", "e", "f", "g");
    private static final int SERVERS_PER_ZONE = 6, MIN_CHANGES = 10;
    private static final long CLIENT_TIMEOUT_MICROS = 2_100_000, SETTLE_MILLIS = 2_000,
        CHANGES_TIMEOUT_MILLIS = 30_000;
    /** Pauses between changes; the proxy limits how many log lines of a kind it writes per second. */
    private static final long CHANGE_INTERVAL_MILLIS = 250, LOG_INTERVAL_MILLIS = 1_100;
    private static final double REQUEST_TIMEOUT_SECONDS = 2.0, NANOS_PER_MILLI = 1e6, BYTES_PER_MIB = 1 << 20;

    private final TenantsRole.Settings settings;
    private final boolean withQuotas;
    private final int size;
    private final long seed;
    private final FigureSink results;
    private final ProgressLog progress;
    private final EventLoopGroup serversGroup = eventLoopGroup("nodes"),
        loadGeneratorGroup = eventLoopGroup("clients"), discoveryGroup = eventLoopGroup("discovery");
    private final EmulatedServers servers = new EmulatedServers(serversGroup.next(), ZONES.size(),
        SERVERS_PER_ZONE);
    private final SyntheticBackendList backendList;
    private final EmulatedDiscovery discovery;
    private final ProxyUnderTest proxy;
    private final ListVersionTracker versionTracker;
    private OpenLoopGenerator loadGenerator;

    TenantsPlay(TenantsRole.Settings settings, Build build, int size, boolean withQuotas, long seed,
        FigureSink results, ProgressLog progress) throws IOException {
        this.settings = settings;
        this.withQuotas = withQuotas;
        this.size = size;
        this.seed = seed;
        this.results = results;
        this.progress = progress;
        List<String> services = Demand.services(size);
        backendList = new SyntheticBackendList(services.size() * Demand.BACKENDS_PER_SERVICE, ZONES, services,
            servers::addressText);
        discovery = new EmulatedDiscovery(discoveryGroup.next(), backendList);
        proxy = new ProxyUnderTest(build);
        versionTracker = new ListVersionTracker(proxy);
    }

    private static EventLoopGroup eventLoopGroup(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true),
            NioIoHandler.newFactory());
    }

    /** Runs all phases and records the results; ends early if the proxy exits. */
    void run() throws Exception {
        Demand demand = new Demand(size, ZONES, settings.skew(), proxy.address(), REQUEST_TIMEOUT_SECONDS);
        String configuration = new FleetProxyConfig(discovery.address(), false,
            Demand.scaled(Demand.PROXIES, size), ZONES,
            Demand.services(size), demand.routes(), withQuotas ? demand.quotas() : "[]",
            FleetProxyConfig.EMPTY_LIST).toJson(proxy, seed);
        results.add("MiB", "configuration",
            configuration.getBytes(StandardCharsets.UTF_8).length / BYTES_PER_MIB);
        proxy.start(configuration, discovery.address(), versionTracker::onLogLine);
        StartOutcome startOutcome = proxy.awaitReady(settings.readyTimeoutMicros() / 1_000);
        long readyAt = System.nanoTime();
        CpuTime cpu = proxy.cpuTime();
        if (startOutcome != StartOutcome.READY) {
            results.addStartFailure("start", startOutcome, settings.readyTimeoutMicros() / 1_000_000);
            proxy.lastLogLines().forEach(line -> progress.log("    log: " + line));
            return;
        }
        results.add("ms", "start: ready after", (readyAt - proxy.startedAtNanos()) / NANOS_PER_MILLI);
        results.add("ms", "start: processor time", cpu.usedNanos() / NANOS_PER_MILLI);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        results.add("MiB", "start: resident", proxy.residentBytes() / BYTES_PER_MIB);
        loadGenerator = new OpenLoopGenerator(loadGeneratorGroup.next(), settings.requestsPerSecond(),
            CLIENT_TIMEOUT_MICROS, new Random(seed), new Random(seed + 1), demand);
        loadGenerator.start();
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        loadGenerator.swapTally();
        CpuTime cpuBefore = proxy.cpuTime();
        long startedAt = System.nanoTime();
        TimeUnit.MICROSECONDS.sleep(settings.lengthMicros());
        long durationNanos = System.nanoTime() - startedAt;
        cpu = proxy.cpuTime().since(cpuBefore);
        loadGenerator.setPaused(true);
        TimeUnit.MICROSECONDS.sleep(CLIENT_TIMEOUT_MICROS);
        results.addRequestFigures("load", loadGenerator.swapTally());
        if (!hasExited("load")) {
            results.addCpuTime("load", cpu, durationNanos);
            results.add("tenants", "load: tenants that asked", demand.activeTenants());
            measureChanges();
            hasExited("changes of the list");
        }
    }

    /** Measures the CPU time of a backend change with no other load. */
    private void measureChanges() throws Exception {
        CpuTime cpuBefore = proxy.cpuTime();
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CHANGES_TIMEOUT_MILLIS);
        int changeCount = 0;
        do { // after a fixed number of changes, one at a time until the log shows one in force
            String state = changeCount % 2 == 0 ? "leaving" : "active";
            discovery.push(backendList.applyChange(List.of(changeCount / 2 % Demand.BACKENDS_PER_SERVICE),
                state, -1));
            TimeUnit.MILLISECONDS.sleep(++changeCount < MIN_CHANGES ? CHANGE_INTERVAL_MILLIS
                : LOG_INTERVAL_MILLIS);
        } while (changeCount < MIN_CHANGES
            || versionTracker.awaitApplied(backendList.version(), LOG_INTERVAL_MILLIS) == 0
            && System.nanoTime() < deadline && proxy.isAlive());
        if (versionTracker.awaitApplied(backendList.version(), 0) == 0) {
            results.add(FigureSink.EVENT_UNIT,
                "changes of the list: not in force within " + CHANGES_TIMEOUT_MILLIS / 1_000 + " s", 1);
            return;
        }
        results.add("ms", "changes of the list: processor time a change",
            proxy.cpuTime().since(cpuBefore).usedNanos() / NANOS_PER_MILLI / changeCount);
        results.add("MiB", "resident after all", proxy.residentBytes() / BYTES_PER_MIB);
    }

    /** Whether the proxy has exited; if so, records it with the last lines of its log. */
    private boolean hasExited(String phase) {
        if (proxy.isAlive()) {
            return false;
        }
        results.add(FigureSink.EVENT_UNIT,
            phase + ": " + (proxy.ranOutOfMemory() ? "out of memory" : "ended by itself"), 1);
        proxy.lastLogLines().forEach(line -> progress.log("    log: " + line));
        return true;
    }

    @Override
    public void close() throws IOException {
        if (loadGenerator != null) {
            loadGenerator.close();
        }
        versionTracker.close();
        proxy.close();
        for (EventLoopGroup group : List.of(serversGroup, loadGeneratorGroup, discoveryGroup)) {
            group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
