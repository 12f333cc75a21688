package dockrelay.lab.scale.list;

import dockrelay.lab.process.Build;
import dockrelay.lab.scale.ProgressLog;
import dockrelay.lab.scale.load.SingleClassWorkload;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Measures one list size in one discovery mode: proxy starts first, then list changes under load. */
final class ListPlay implements AutoCloseable {
    private static final List<String> ZONES = List.of("a", "b", "c", "d", "e", "f", "g"),
        KINDS = List.of("m1", "m2");
    /** Servers per zone behind the synthetic backends; index of the lost zone, which is not the proxy's. */
    private static final int SERVERS_PER_ZONE = 6, LOST_ZONE = 3;
    private static final double TIMEOUT_SECONDS = 2.0;
    private static final long CLIENT_TIMEOUT_MICROS = 2_100_000, RESTART_STEP_MILLIS = 2_000,
        SETTLE_MILLIS = 2_000;
    private static final long COUNTERS_TIMEOUT_MILLIS = 6_000, MARKER_INTERVAL_MILLIS = 1_100,
        POLL_INTERVAL_MILLIS = 20;
    private static final int CALL_TIMEOUT_MILLIS = 1_000, ISOLATED_CHANGES_PER_SECOND = 10,
        ISOLATED_CHANGE_COUNT = 60;
    private static final double MILLION = 1e6, BYTES_PER_MIB = 1 << 20;

    private final ListSpec spec;
    private final Build build;
    private final int size;
    private final boolean asksDiscovery;
    private final long seed;
    private final FigureSink figureSink;
    private final ProgressLog progress;
    private final EventLoopGroup serverLoops = newEventLoopGroup("nodes"),
        discoveryLoops = newEventLoopGroup("discovery"), clientLoops = newEventLoopGroup("clients");
    private final EmulatedServers servers = new EmulatedServers(serverLoops.next(), ZONES.size(),
        SERVERS_PER_ZONE);
    private final SyntheticBackendList list;
    private final EmulatedDiscovery discovery;
    private ProxyUnderTest proxy;
    private ListVersionTracker versionTracker;
    private OpenLoopGenerator loadGenerator;
    private double baselineCpuShare; // share of a core that the requests take while the list does not change
    private List<Integer> lostBackends = List.of();

    ListPlay(ListSpec spec, Build build, int size, String discoveryMode, long seed, FigureSink figureSink,
        ProgressLog progress) {
        this.spec = spec;
        this.build = build;
        this.size = size;
        this.asksDiscovery = discoveryMode.equals("ask");
        this.seed = seed;
        this.figureSink = figureSink;
        this.progress = progress;
        this.list = new SyntheticBackendList(size, ZONES, KINDS, servers::addressText);
        this.discovery = new EmulatedDiscovery(discoveryLoops.next(), list);
    }

    private static EventLoopGroup newEventLoopGroup(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true),
            NioIoHandler.newFactory());
    }

    void run() throws Exception {
        boolean startedWithList = startProxy("start, list known", list.fullListJson());
        if (!startProxy("start, nothing known", FleetProxyConfig.EMPTY_LIST)
            && !(startedWithList && startProxy(null, list.fullListJson()))) {
            return;
        }
        loadGenerator = new OpenLoopGenerator(clientLoops.next(), spec.requestsPerSecond(),
            CLIENT_TIMEOUT_MICROS, new Random(seed), new Random(seed + 1),
            new SingleClassWorkload(proxy.address(), "any", TIMEOUT_SECONDS));
        loadGenerator.start();
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        runPhase("quiet", this::measureBaseline);
        runPhase("restarts at the day's rate", this::rollingRestarts);
        runPhase("restarts, " + Math.round(spec.fastChangesPerSecond()) + " a second", this::fastRestarts);
        runPhase("changes without requests", this::changesWithoutRequests);
        runPhase("zone lost, one change", () -> changeZone("zone lost, one change", true));
        runPhase("zone back, one change", () -> changeZone("zone back, one change", false));
        runPhase("whole list again", this::reloadFullList);
        runPhase("zone lost, one by one", this::loseZoneOneByOne);
        if (proxy.isAlive()) {
            figureSink.add("MiB", "resident after all", proxy.residentBytes() / BYTES_PER_MIB);
            figureSink.add("MiB", "heap used, as it said at last", versionTracker.heapMiB());
        }
    }

    /**
     * Replaces the running proxy with a new one and measures its start; no figures if {@code phase} is null.
     * Returns whether the proxy became ready.
     */
    private boolean startProxy(String phase, String knownListJson) throws Exception {
        stopProxy();
        proxy = new ProxyUnderTest(build);
        versionTracker = new ListVersionTracker(proxy);
        CompletableFuture<Long> fullListSent = discovery.nextFullList();
        String configuration = new FleetProxyConfig(discovery.address(), asksDiscovery,
            ListSpec.proxyCount(size), ZONES, KINDS, FleetProxyConfig.ANY_CLASS_SERVICES, "[]", knownListJson)
            .toJson(proxy, seed);
        proxy.start(configuration, discovery.address(), versionTracker::onLogLine);
        StartOutcome outcome = proxy.awaitReady(spec.readyTimeoutMicros() / 1_000);
        long readyNanos = System.nanoTime();
        CpuTime cpuTime = proxy.cpuTime();
        if (phase == null) {
            return outcome == StartOutcome.READY;
        }
        if (outcome != StartOutcome.READY) {
            figureSink.addStartFailure(phase, outcome, spec.readyTimeoutMicros() / 1_000_000);
            figureSink.add("s", phase + ": processor time until then", cpuTime.usedNanos() / 1e9);
            proxy.lastLogLines().forEach(line -> progress.log("    log: " + line));
            return false;
        }
        figureSink.add("ms", phase + ": ready after", (readyNanos - proxy.startedAtNanos()) / MILLION);
        figureSink.add("ms", phase + ": processor time", cpuTime.usedNanos() / MILLION);
        figureSink.add("ms", phase + ": waited for a processor", cpuTime.waitedNanos() / MILLION);
        if (knownListJson.equals(FleetProxyConfig.EMPTY_LIST)) {
            long loggedNanos = versionTracker.awaitAccepted(list.version(),
                spec.readyTimeoutMicros() / 1_000);
            long sentNanos = fullListSent.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            figureSink.add("ms", phase + ": list's last byte to its line in the log",
                Math.max(0, loggedNanos - sentNanos) / MILLION);
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        figureSink.add("MiB", phase + ": resident", proxy.residentBytes() / BYTES_PER_MIB);
        return true;
    }

    /** The action of a phase; requests are sent meanwhile and count in the phase in which they were due. */
    private interface PhaseAction {
        void run() throws Exception;
    }

    /** Runs a phase and adds its CPU, loop lateness and request figures, unless the proxy has ended. */
    private void runPhase(String phase, PhaseAction action) throws Exception {
        if (!proxy.isAlive()) {
            return;
        }
        progress.log("  " + phase);
        versionTracker.awaitMaxLatenessMillis(0);
        loadGenerator.swapTally();
        CpuTime cpuBefore = proxy.cpuTime();
        long startNanos = System.nanoTime();
        try {
            action.run();
        } catch (TimeoutException e) {
            figureSink.add(FigureSink.EVENT_UNIT, phase + ": a change was not written within its time", 1);
        }
        long elapsedNanos = System.nanoTime() - startNanos;
        CpuTime cpuTime = proxy.cpuTime().since(cpuBefore);
        if (proxy.isAlive()) {
            figureSink.addCpuTime(phase, cpuTime, elapsedNanos);
            long latenessMillis = spec.readsCounters()
                ? versionTracker.awaitMaxLatenessMillis(COUNTERS_TIMEOUT_MILLIS) : -1;
            if (latenessMillis >= 0) {
                figureSink.add("ms", phase + ": loop late, most", latenessMillis);
            }
        }
        figureSink.addRequestFigures(phase, loadGenerator.swapTally());
        if (!proxy.isAlive()) {
            figureSink.add(FigureSink.EVENT_UNIT, phase + ": " + (proxy.ranOutOfMemory() ? "out of memory"
                : "ended by itself"), 1);
            proxy.lastLogLines().forEach(line -> progress.log("    log: " + line));
        }
    }

    /** Measures the CPU time of the requests alone. */
    private void measureBaseline() throws InterruptedException {
        CpuTime cpuBefore = proxy.cpuTime();
        long startNanos = System.nanoTime();
        TimeUnit.MICROSECONDS.sleep(spec.quietMicros());
        baselineCpuShare = (double) proxy.cpuTime().since(cpuBefore).usedNanos()
            / (System.nanoTime() - startNanos);
    }

    /** Pushes a change; returns the time at which it was written (nanoseconds) and its list version. */
    private long[] pushChange(List<Integer> indexes, String state, long startedMillis) throws Exception {
        long sentNanos = discovery.push(list.applyChange(indexes, state, startedMillis))
            .get(spec.applyTimeoutMicros(), TimeUnit.MICROSECONDS);
        return new long[] {sentNanos, list.version()};
    }

    /** Waits for the last change to be applied, and adds how long the changes took from their sending. */
    private void addApplyTimes(String phase, List<long[]> changes, long timeoutMillis)
        throws InterruptedException {
        long lastVersion = changes.get(changes.size() - 1)[1];
        boolean allApplied = versionTracker.awaitApplied(lastVersion, timeoutMillis) > 0;
        List<Double> delaysMillis = new ArrayList<>();
        for (long[] change : changes) {
            long appliedNanos = changes.size() == 1 ? versionTracker.awaitApplied(change[1], 0)
                : versionTracker.appliedAt(change[1]);
            if (appliedNanos > 0) {
                delaysMillis.add((appliedNanos - change[0]) / MILLION);
            }
        }
        if (!allApplied) {
            figureSink.add(FigureSink.EVENT_UNIT, phase + ": not in force within "
                + spec.applyTimeoutMicros() / 1_000_000 + " s", 1);
        }
        if (changes.size() == 1 && allApplied) {
            figureSink.add("ms", phase + ": in force after", Math.max(0, delaysMillis.get(0)));
        } else if (!delaysMillis.isEmpty()) {
            delaysMillis.sort(Double::compare);
            figureSink.add("ms", phase + ": in force after, median",
                Math.max(0, delaysMillis.get(delaysMillis.size() / 2)));
            figureSink.add("ms", phase + ": in force after, most",
                Math.max(0, delaysMillis.get(delaysMillis.size() - 1)));
        }
    }

    /** Rolling restarts: each backend drains, leaves, and then returns or is replaced with a new one. */
    private void rollingRestarts() throws Exception {
        List<long[]> changes = new ArrayList<>();
        long nextRestartNanos = System.nanoTime();
        for (int i = 0; i < spec.restartCount(); i++) {
            int backend = (int) ((long) (i + 1) * size / (spec.restartCount() + 2));
            changes.add(pushChange(List.of(backend), "leaving", -1));
            TimeUnit.MILLISECONDS.sleep(RESTART_STEP_MILLIS);
            changes.add(pushChange(List.of(backend), "left", -1));
            int successor = i % 2 == 0 ? backend : list.addReplacement(backend);
            TimeUnit.MILLISECONDS.sleep(RESTART_STEP_MILLIS);
            changes.add(pushChange(List.of(successor), "active", System.currentTimeMillis()));
            nextRestartNanos += spec.restartIntervalMicros() * 1_000;
            TimeUnit.NANOSECONDS.sleep(nextRestartNanos - System.nanoTime());
        }
        addApplyTimes("restarts at the day's rate", changes, spec.applyTimeoutMicros() / 1_000);
    }

    /** Restarts at a high rate for a fixed time. */
    private void fastRestarts() throws Exception {
        String phase = "restarts, " + Math.round(spec.fastChangesPerSecond()) + " a second";
        sendRestartSeries(phase, spec.fastChangesPerSecond(),
            (int) Math.max(1, spec.fastDurationMicros() / MILLION * spec.fastChangesPerSecond()));
    }

    /** Measures the CPU time of a change while no requests are sent, for an undisturbed reading. */
    private void changesWithoutRequests() throws Exception {
        String phase = "changes without requests";
        loadGenerator.setPaused(true);
        try {
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            CpuTime cpuIdle = proxy.cpuTime();
            long startNanos = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            CpuTime cpuBefore = proxy.cpuTime();
            double idleShare = (double) cpuBefore.since(cpuIdle).usedNanos()
                / (System.nanoTime() - startNanos);
            startNanos = System.nanoTime();
            int count = sendRestartSeries(phase, ISOLATED_CHANGES_PER_SECOND, ISOLATED_CHANGE_COUNT);
            double usedNanos = proxy.cpuTime().since(cpuBefore).usedNanos(),
                elapsedNanos = System.nanoTime() - startNanos;
            figureSink.add("ms", phase + ": processor time a change", usedNanos / MILLION / count);
            figureSink.add("ms", phase + ": processor time a change, less idle",
                Math.max(0, usedNanos - idleShare * elapsedNanos) / MILLION / count);
            figureSink.add("% of a core", phase + ": idle before", 100 * idleShare);
        } finally {
            loadGenerator.setPaused(false);
        }
    }

    /** Sends restarts at {@code changesPerSecond}, then markers; returns how many changes were sent. */
    private int sendRestartSeries(String phase, double changesPerSecond, int count) throws Exception {
        List<long[]> changes = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            int backend = (int) ((long) (i / 3 + 1) * size / (count / 3 + 3));
            String state = i % 3 == 0 ? "leaving" : i % 3 == 1 ? "left" : "active";
            changes.add(pushChange(List.of(backend), state, i % 3 == 2 ? System.currentTimeMillis() : -1));
            long dueNanos = startNanos + (long) ((i + 1) / changesPerSecond * 1e9);
            TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
        }
        long deadlineNanos = System.nanoTime() + spec.applyTimeoutMicros() * 1_000;
        // the proxy limits its log lines a second and may omit the last change's, so no-op changes are sent
        // until the line of one appears
        do {
            TimeUnit.MILLISECONDS.sleep(MARKER_INTERVAL_MILLIS);
            changes.add(pushChange(List.of(0), "active", -1));
        } while (versionTracker.awaitApplied(list.version(), MARKER_INTERVAL_MILLIS) == 0
            && System.nanoTime() < deadlineNanos && proxy.isAlive());
        addApplyTimes(phase, changes, MARKER_INTERVAL_MILLIS);
        return changes.size();
    }

    /** Removes all backends of one of the seven zones in a single change, or returns them freshly started. */
    private void changeZone(String phase, boolean lost) throws Exception {
        List<Integer> backends = lost ? list.backendsInZone(LOST_ZONE) : lostBackends;
        if (lost) {
            lostBackends = backends;
            servers.stopGroup(LOST_ZONE);
        } else {
            servers.startGroup(LOST_ZONE);
        }
        figureSink.add("backends", phase + ": backends", backends.size());
        CpuTime cpuBefore = proxy.cpuTime();
        long startNanos = System.nanoTime();
        long[] change = pushChange(backends, lost ? "left" : "active",
            lost ? -1 : System.currentTimeMillis());
        addApplyTimes(phase, List.of(change), spec.applyTimeoutMicros() / 1_000);
        double usedNanos = proxy.cpuTime().since(cpuBefore).usedNanos()
            - baselineCpuShare * (System.nanoTime() - startNanos);
        figureSink.add("ms", phase + ": processor time", Math.max(0, usedNanos) / MILLION);
        long requestsBefore = servers.requestCount(LOST_ZONE);
        TimeUnit.MICROSECONDS.sleep(spec.afterLossMicros());
        if (lost) {
            figureSink.add("requests", phase + ": sent there once in force",
                servers.requestCount(LOST_ZONE) - requestsBefore);
        }
    }

    /** Ends the watch; the next one receives the full list. */
    private void reloadFullList() throws Exception {
        String phase = "whole list again";
        list.applyChange(List.of(0), "active", -1);
        CpuTime cpuBefore = proxy.cpuTime();
        long startNanos = System.nanoTime();
        long sentNanos;
        try {
            sentNanos = discovery.resendFullList().get(spec.applyTimeoutMicros(), TimeUnit.MICROSECONDS);
        } catch (TimeoutException e) {
            figureSink.add(FigureSink.EVENT_UNIT, phase + ": not read to its end within "
                + spec.applyTimeoutMicros() / 1_000_000 + " s", 1);
            return;
        }
        addApplyTimes(phase, List.of(new long[] {sentNanos, list.version()}),
            spec.applyTimeoutMicros() / 1_000);
        double usedNanos = proxy.cpuTime().since(cpuBefore).usedNanos()
            - baselineCpuShare * (System.nanoTime() - startNanos);
        figureSink.add("ms", phase + ": processor time", Math.max(0, usedNanos) / MILLION);
        TimeUnit.MICROSECONDS.sleep(spec.quietMicros());
    }

    /**
     * Loss of a zone, reported backend by backend as fast as the proxy reads. A final marker backend shows
     * when all changes are applied: the console accepts its id once the list has it, and answers after the
     * event loop's current iteration.
     */
    private void loseZoneOneByOne() throws Exception {
        String phase = "zone lost, one by one";
        List<Integer> backends = list.backendsInZone(LOST_ZONE);
        int marker = list.addReplacement(0);
        servers.stopGroup(LOST_ZONE);
        CpuTime cpuBefore = proxy.cpuTime();
        long startNanos = System.nanoTime();
        for (int backend : backends) {
            discovery.push(list.applyChange(List.of(backend), "left", -1));
        }
        discovery.push(list.applyChange(List.of(marker), "active", 0));
        long deadlineNanos = startNanos + spec.applyTimeoutMicros() * 1_000;
        boolean applied = false;
        while (!applied && System.nanoTime() < deadlineNanos && proxy.isAlive()) {
            applied = proxy.callConsole("ATTACH " + list.id(marker), CALL_TIMEOUT_MILLIS).startsWith("200");
            if (!applied) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            }
        }
        long elapsedNanos = System.nanoTime() - startNanos;
        double usedNanos = proxy.cpuTime().since(cpuBefore).usedNanos() - baselineCpuShare * elapsedNanos;
        if (applied) {
            figureSink.add("ms", phase + ": all in force after", elapsedNanos / MILLION);
            figureSink.add("ms", phase + ": processor time", Math.max(0, usedNanos) / MILLION);
            TimeUnit.MICROSECONDS.sleep(spec.quietMicros());
        } else {
            figureSink.add(FigureSink.EVENT_UNIT, phase + ": not in force within "
                + spec.applyTimeoutMicros() / 1_000_000 + " s", 1);
        }
    }

    private void stopProxy() throws IOException {
        if (versionTracker != null) {
            versionTracker.close();
            versionTracker = null;
        }
        if (proxy != null) {
            proxy.close();
            proxy = null;
        }
    }

    @Override
    public void close() throws IOException {
        if (loadGenerator != null) {
            loadGenerator.close();
        }
        stopProxy();
        for (EventLoopGroup loops : List.of(serverLoops, discoveryLoops, clientLoops)) {
            loops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
