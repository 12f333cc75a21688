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
    private static final List<String> ZONES = List.of("a", "b", "c", "d", "e", "f", "g"), KINDS =
        List.of("m1", "m2");
    /** Servers per zone behind the synthetic backends; index of the lost zone, which is not the proxy's. */
    private static final int NODES_EACH = 6, LOST = 3;
    private static final double TIMEOUT_SECONDS = 2.0;
    private static final long PATIENCE_MICROS = 2_100_000, STEP_MILLIS = 2_000, SETTLE_MILLIS = 2_000;
    private static final long COUNTERS_MILLIS = 6_000, MARK_MILLIS = 1_100, POLL_MILLIS = 20;
    private static final int CALL_MILLIS = 1_000, ALONE_RATE = 10, ALONE_CHANGES = 60;
    private static final double MILLION = 1e6, MIB = 1 << 20;

    private final ListSpec spec;
    private final Build build;
    private final int size;
    private final boolean asked;
    private final long seed;
    private final FigureSink found;
    private final ProgressLog progress;
    private final EventLoopGroup nodesGroup = group("nodes"), discoveryGroup = group("discovery"),
        clientsGroup = group("clients");
    private final EmulatedServers nodes = new EmulatedServers(nodesGroup.next(), ZONES.size(), NODES_EACH);
    private final SyntheticBackendList list;
    private final EmulatedDiscovery discovery;
    private ProxyUnderTest proxy;
    private ListVersionTracker force;
    private OpenLoopGenerator clients;
    private double quietShare; // share of a core that the requests take while the list does not change
    private List<Integer> lostOnes = List.of();

    ListPlay(ListSpec spec, Build build, int size, String manner, long seed, FigureSink found, ProgressLog progress) {
        this.spec = spec;
        this.build = build;
        this.size = size;
        this.asked = manner.equals("ask");
        this.seed = seed;
        this.found = found;
        this.progress = progress;
        this.list = new SyntheticBackendList(size, ZONES, KINDS, nodes::addressText);
        this.discovery = new EmulatedDiscovery(discoveryGroup.next(), list);
    }

    private static EventLoopGroup group(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true),
            NioIoHandler.newFactory());
    }

    void run() throws Exception {
        boolean known = start("start, list known", list.fullListJson());
        if (!start("start, nothing known", FleetProxyConfig.EMPTY_LIST) && !(known && start(null, list.fullListJson()))) {
            return;
        }
        clients = new OpenLoopGenerator(clientsGroup.next(), spec.rate(), PATIENCE_MICROS, new Random(seed),
            new Random(seed + 1), new SingleClassWorkload(proxy.address(), "any", TIMEOUT_SECONDS));
        clients.start();
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        part("quiet", this::quiet);
        part("restarts at the day's rate", this::restarts);
        part("restarts, " + Math.round(spec.fastRate()) + " a second", this::fast);
        part("changes without requests", this::alone);
        part("zone lost, one change", () -> zone("zone lost, one change", true));
        part("zone back, one change", () -> zone("zone back, one change", false));
        part("whole list again", this::again);
        part("zone lost, one by one", this::oneByOne);
        if (proxy.isAlive()) {
            found.add("MiB", "resident after all", proxy.residentBytes() / MIB);
            found.add("MiB", "heap used, as it said at last", force.heapMiB());
        }
    }

    /**
     * Replaces the running proxy with a new one and measures its start; no figures if {@code what} is null.
     * Returns whether the proxy became ready.
     */
    private boolean start(String what, String known) throws Exception {
        stop();
        proxy = new ProxyUnderTest(build);
        force = new ListVersionTracker(proxy);
        CompletableFuture<Long> told = discovery.nextWhole();
        String configuration = new FleetProxyConfig(discovery.address(), asked, ListSpec.proxies(size), ZONES, KINDS,
            FleetProxyConfig.ANY, "[]", known).toJson(proxy, seed);
        proxy.start(configuration, discovery.address(), force::onLogLine);
        StartOutcome end = proxy.awaitReady(spec.readyWithin() / 1_000);
        long ready = System.nanoTime();
        CpuTime spent = proxy.cpuTime();
        if (what == null) {
            return end == StartOutcome.READY;
        }
        if (end != StartOutcome.READY) {
            found.addStartFailure(what, end, spec.readyWithin() / 1_000_000);
            found.add("s", what + ": processor time until then", spent.usedNanos() / 1e9);
            proxy.lastLogLines().forEach(line -> progress.log("    log: " + line));
            return false;
        }
        found.add("ms", what + ": ready after", (ready - proxy.startedAtNanos()) / MILLION);
        found.add("ms", what + ": processor time", spent.usedNanos() / MILLION);
        found.add("ms", what + ": waited for a processor", spent.waited() / MILLION);
        if (known.equals(FleetProxyConfig.EMPTY_LIST)) {
            long taken = force.taken(list.version(), spec.readyWithin() / 1_000);
            long last = told.get(CALL_MILLIS, TimeUnit.MILLISECONDS);
            found.add("ms", what + ": list's last byte to its line in the log",
                Math.max(0, taken - last) / MILLION);
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        found.add("MiB", what + ": resident", proxy.residentBytes() / MIB);
        return true;
    }

    /** The action of a phase; requests are sent meanwhile and count in the phase in which they were due. */
    private interface Happening {
        void happen() throws Exception;
    }

    /** Runs a phase and adds its CPU, loop lateness and request figures, unless the proxy has ended. */
    private void part(String name, Happening what) throws Exception {
        if (!proxy.isAlive()) {
            return;
        }
        progress.log("  " + name);
        force.lateMillis(0);
        clients.swapTally();
        CpuTime before = proxy.cpuTime();
        long began = System.nanoTime();
        try {
            what.happen();
        } catch (TimeoutException e) {
            found.add(FigureSink.EVENT_UNIT, name + ": a change was not written within its time", 1);
        }
        long took = System.nanoTime() - began;
        CpuTime spent = proxy.cpuTime().since(before);
        if (proxy.isAlive()) {
            found.addCpuTime(name, spent, took);
            long late = spec.counters() ? force.lateMillis(COUNTERS_MILLIS) : -1;
            if (late >= 0) {
                found.add("ms", name + ": loop late, most", late);
            }
        }
        found.addRequestFigures(name, clients.swapTally());
        if (!proxy.isAlive()) {
            found.add(FigureSink.EVENT_UNIT, name + ": " + (proxy.ranOutOfMemory() ? "out of memory"
                : "ended by itself"), 1);
            proxy.lastLogLines().forEach(line -> progress.log("    log: " + line));
        }
    }

    /** Measures the CPU time of the requests alone. */
    private void quiet() throws InterruptedException {
        CpuTime before = proxy.cpuTime();
        long began = System.nanoTime();
        TimeUnit.MICROSECONDS.sleep(spec.quiet());
        quietShare = (double) proxy.cpuTime().since(before).usedNanos() / (System.nanoTime() - began);
    }

    /** Pushes a change; returns the time at which it was written (nanoseconds) and its list version. */
    private long[] change(List<Integer> which, String state, long started) throws Exception {
        long last = discovery.push(list.applyChange(which, state, started))
            .get(spec.lossBound(), TimeUnit.MICROSECONDS);
        return new long[] {last, list.version()};
    }

    /** Waits for the last change to be applied, and adds how long the changes took from their sending. */
    private void inForce(String part, List<long[]> changes, long withinMillis) throws InterruptedException {
        long last = changes.get(changes.size() - 1)[1];
        boolean all = force.awaitApplied(last, withinMillis) > 0;
        List<Double> times = new ArrayList<>();
        for (long[] one : changes) {
            long since = changes.size() == 1 ? force.awaitApplied(one[1], 0) : force.sinceExactly(one[1]);
            if (since > 0) {
                times.add((since - one[0]) / MILLION);
            }
        }
        if (!all) {
            found.add(FigureSink.EVENT_UNIT, part + ": not in force within " + spec.lossBound() / 1_000_000 + " s", 1);
        }
        if (changes.size() == 1 && all) {
            found.add("ms", part + ": in force after", Math.max(0, times.get(0)));
        } else if (!times.isEmpty()) {
            times.sort(Double::compare);
            found.add("ms", part + ": in force after, median", Math.max(0, times.get(times.size() / 2)));
            found.add("ms", part + ": in force after, most", Math.max(0, times.get(times.size() - 1)));
        }
    }

    /** Rolling restarts: each backend drains, leaves, and then returns or is replaced with a new one. */
    private void restarts() throws Exception {
        List<long[]> changes = new ArrayList<>();
        long next = System.nanoTime();
        for (int i = 0; i < spec.restarts(); i++) {
            int which = (int) ((long) (i + 1) * size / (spec.restarts() + 2));
            changes.add(change(List.of(which), "leaving", -1));
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
            changes.add(change(List.of(which), "left", -1));
            int again = i % 2 == 0 ? which : list.replacement(which);
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
            changes.add(change(List.of(again), "active", System.currentTimeMillis()));
            next += spec.restartEvery() * 1_000;
            TimeUnit.NANOSECONDS.sleep(next - System.nanoTime());
        }
        inForce("restarts at the day's rate", changes, spec.lossBound() / 1_000);
    }

    /** Restarts at a high rate for a fixed time. */
    private void fast() throws Exception {
        String part = "restarts, " + Math.round(spec.fastRate()) + " a second";
        series(part, spec.fastRate(), (int) Math.max(1, spec.fast() / MILLION * spec.fastRate()));
    }

    /** Measures the CPU time of a change without requests, which would hide it in their noise. */
    private void alone() throws Exception {
        String part = "changes without requests";
        clients.setPaused(true);
        try {
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            CpuTime idle = proxy.cpuTime();
            long began = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            CpuTime before = proxy.cpuTime();
            double share = (double) before.since(idle).usedNanos() / (System.nanoTime() - began);
            began = System.nanoTime();
            int count = series(part, ALONE_RATE, ALONE_CHANGES);
            double used = proxy.cpuTime().since(before).usedNanos(), over = System.nanoTime() - began;
            found.add("ms", part + ": processor time a change", used / MILLION / count);
            found.add("ms", part + ": processor time a change, less idle",
                Math.max(0, used - share * over) / MILLION / count);
            found.add("% of a core", part + ": idle before", 100 * share);
        } finally {
            clients.setPaused(false);
        }
    }

    /** Sends restarts at {@code rate} changes a second; returns how many changes were sent and applied. */
    private int series(String part, double rate, int count) throws Exception {
        List<long[]> changes = new ArrayList<>();
        long began = System.nanoTime();
        for (int i = 0; i < count; i++) {
            int which = (int) ((long) (i / 3 + 1) * size / (count / 3 + 3));
            String state = i % 3 == 0 ? "leaving" : i % 3 == 1 ? "left" : "active";
            changes.add(change(List.of(which), state, i % 3 == 2 ? System.currentTimeMillis() : -1));
            long due = began + (long) ((i + 1) / rate * 1e9);
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
        }
        long by = System.nanoTime() + spec.lossBound() * 1_000;
        // the proxy limits its log lines a second and may omit the last change's, so no-op changes are sent
        // until the line of one appears
        do {
            TimeUnit.MILLISECONDS.sleep(MARK_MILLIS);
            changes.add(change(List.of(0), "active", -1));
        } while (force.awaitApplied(list.version(), MARK_MILLIS) == 0 && System.nanoTime() < by && proxy.isAlive());
        inForce(part, changes, MARK_MILLIS);
        return changes.size();
    }

    /** Removes all backends of one of the seven zones in a single change, or returns them freshly started. */
    private void zone(String part, boolean lost) throws Exception {
        List<Integer> all = lost ? list.of(LOST) : lostOnes;
        if (lost) {
            lostOnes = all;
            nodes.stop(LOST);
        } else {
            nodes.start(LOST);
        }
        found.add("backends", part + ": backends", all.size());
        CpuTime before = proxy.cpuTime();
        long began = System.nanoTime();
        long[] told = change(all, lost ? "left" : "active", lost ? -1 : System.currentTimeMillis());
        inForce(part, List.of(told), spec.lossBound() / 1_000);
        double used = proxy.cpuTime().since(before).usedNanos() - quietShare * (System.nanoTime() - began);
        found.add("ms", part + ": processor time", Math.max(0, used) / MILLION);
        long after = nodes.arrivals(LOST);
        TimeUnit.MICROSECONDS.sleep(spec.afterLoss());
        if (lost) {
            found.add("requests", part + ": sent there once in force", nodes.arrivals(LOST) - after);
        }
    }

    /** Ends the watch; the next one receives the full list. */
    private void again() throws Exception {
        String part = "whole list again";
        list.applyChange(List.of(0), "active", -1);
        CpuTime before = proxy.cpuTime();
        long began = System.nanoTime();
        long last;
        try {
            last = discovery.tellWholeAgain().get(spec.lossBound(), TimeUnit.MICROSECONDS);
        } catch (TimeoutException e) {
            found.add(FigureSink.EVENT_UNIT, part + ": not read to its end within "
                + spec.lossBound() / 1_000_000 + " s", 1);
            return;
        }
        inForce(part, List.of(new long[] {last, list.version()}), spec.lossBound() / 1_000);
        double used = proxy.cpuTime().since(before).usedNanos() - quietShare * (System.nanoTime() - began);
        found.add("ms", part + ": processor time", Math.max(0, used) / MILLION);
        TimeUnit.MICROSECONDS.sleep(spec.quiet());
    }

    /**
     * Loss of a zone, reported backend by backend as fast as the proxy reads. A final marker backend shows
     * when all changes are applied: the console accepts its id once the list has it, and answers after the
     * event loop's current iteration.
     */
    private void oneByOne() throws Exception {
        String part = "zone lost, one by one";
        List<Integer> all = list.of(LOST);
        int mark = list.replacement(0);
        nodes.stop(LOST);
        CpuTime before = proxy.cpuTime();
        long began = System.nanoTime();
        for (int one : all) {
            discovery.push(list.applyChange(List.of(one), "left", -1));
        }
        discovery.push(list.applyChange(List.of(mark), "active", 0));
        long by = began + spec.lossBound() * 1_000;
        boolean there = false;
        while (!there && System.nanoTime() < by && proxy.isAlive()) {
            there = proxy.call("ATTACH " + list.id(mark), CALL_MILLIS).startsWith("200");
            if (!there) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
        long took = System.nanoTime() - began;
        double used = proxy.cpuTime().since(before).usedNanos() - quietShare * took;
        if (there) {
            found.add("ms", part + ": all in force after", took / MILLION);
            found.add("ms", part + ": processor time", Math.max(0, used) / MILLION);
            TimeUnit.MICROSECONDS.sleep(spec.quiet());
        } else {
            found.add(FigureSink.EVENT_UNIT, part + ": not in force within " + spec.lossBound() / 1_000_000 + " s", 1);
        }
    }

    private void stop() throws IOException {
        if (force != null) {
            force.close();
            force = null;
        }
        if (proxy != null) {
            proxy.close();
            proxy = null;
        }
    }

    @Override
    public void close() throws IOException {
        if (clients != null) {
            clients.close();
        }
        stop();
        for (EventLoopGroup one : List.of(nodesGroup, discoveryGroup, clientsGroup)) {
            one.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
