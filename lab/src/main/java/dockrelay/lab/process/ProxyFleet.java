package dockrelay.lab.process;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.plan.RandomStreams;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.referee.Rule;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.Experiment.FolderOnRestart;
import dockrelay.lab.starvation.LatenessRecorder;
import dockrelay.lab.starvation.TimeLimit;
import dockrelay.lab.starvation.TimeLimit.Verdict;
import dockrelay.lab.starvation.StarvationDetector;
import dockrelay.lab.starvation.StarvationWatch;
import dockrelay.lab.world.LoopbackAddresses;
import dockrelay.lab.world.Clock;
import dockrelay.lab.world.EmulatorNetwork;
import dockrelay.lab.world.Emulator;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The processes under test: their starts and ends, what befalls them, and what the system says of them. */
public final class ProxyFleet implements AutoCloseable {
    /** The world's loop, the clients' and some for all else. */
    private static final int OWN_PROCESSORS = 3;
    private static final long LOOK_MILLIS = 250, ASK_MILLIS = 50;
    /** The next process of an upgrade has to say yes within this. */
    private static final TimeLimit YES_WITHIN = new TimeLimit(6_000_000);
    /** SIGKILL follows SIGTERM after the longest deadline, of this at most, and 0.7 s. */
    private static final long LONGEST_DEADLINE = 3_000_000, GRACE = 700_000;

    /** What one proxy used, over all its processes. */
    public record ResourceUsage(String name, int starts, long peakResidentKib, int peakDescriptors, double cpuSeconds) {
    }

    private final Plan plan;
    private final Clock clock;
    private final Referee referee;
    private final Emulator world;
    private final ChildProcessRegistry leftovers;
    private final List<ProxyProcess> all = new ArrayList<>();
    private final PeerNetwork peers;
    private final StarvationDetector starvation;
    private final StarvationWatch watch;
    private final long[] peakKib;
    private final int[] peakDescriptors;
    private final boolean[] reported;
    private final ScheduledExecutorService thread = Executors.newScheduledThreadPool(2,
        new DefaultThreadFactory("proxies", true));
    private final ExecutorService operators = Executors.newSingleThreadExecutor(
        new DefaultThreadFactory("operators", true));

    public ProxyFleet(Plan plan, Build build, Path folder, Clock clock, Referee referee, Emulator world,
                   EmulatorNetwork net, ChildProcessRegistry leftovers, StarvationDetector starvation, LatenessRecorder generator)
        throws IOException {
        this.plan = plan;
        this.clock = clock;
        this.referee = referee;
        this.world = world;
        this.leftovers = leftovers;
        this.starvation = starvation;
        int count = plan.experiment().proxies().count();
        for (int i = 0; i < count; i++) {
            all.add(new ProxyProcess(i, build, folder, LoopbackAddresses.freeProxyAddress(i),
                plan.experiment().proxies().sharedListenSocket(), plan.experiment().proxies().maxFileBytes(),
                plan.experiment().proxies().pinnedToCore() ? processor(i) : -1, leftovers));
        }
        peers = plan.experiment().permissions().peerProtocol() ? new PeerNetwork(count, plan.seed(), net, clock)
            : null;
        watch = new StarvationWatch(starvation, clock, count, generator,
            () -> all.stream().flatMap(proxy -> proxy.watched().stream()).toList());
        peakKib = new long[count];
        peakDescriptors = new int[count];
        reported = new boolean[count];
    }

    /** By turns over those that are left when the lab has its own. */
    private static int processor(int proxy) {
        int all = Runtime.getRuntime().availableProcessors(), own = Math.min(OWN_PROCESSORS, all - 1);
        return own + proxy % (all - own);
    }

    public InetSocketAddress[] listenAddresses() {
        return all.stream().map(ProxyProcess::listenAddress).toArray(InetSocketAddress[]::new);
    }

    /** The consoles of those that run, by name. */
    Map<String, InetSocketAddress> consoles() {
        Map<String, InetSocketAddress> result = new LinkedHashMap<>();
        all.stream().filter(ProxyProcess::isAlive).forEach(proxy -> result.put(proxy.name(), proxy.consoleAddress()));
        return result;
    }

    public void start() throws IOException {
        Native.load();
        watch.start();
        for (ProxyProcess proxy : all) {
            start(proxy, false);
        }
        world.onBackendDetach((node, out) -> operators.execute(() -> mark(node, out)));
        world.onDiscoveryMove(() -> operators.execute(this::moveDiscovery));
        thread.scheduleWithFixedDelay(this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void start(ProxyProcess proxy, boolean keepFolder) throws IOException {
        int i = proxy.index();
        if (!proxy.isAlive()) {
            referee.forgot(i, keepFolder);
        }
        proxy.setConsoleAddress(LoopbackAddresses.freeConsoleAddress(i));
        proxy.start(configuration(proxy, true),
            Map.of("PROXY_LISTEN", LoopbackAddresses.hostAndPort(proxy.listenAddress()), "PROXY_CONSOLE",
            LoopbackAddresses.hostAndPort(proxy.consoleAddress()), "PROXY_DISCOVERY", world.discoveryAddress(i)), keepFolder);
        reported[i] = false;
    }

    /**
     * Takes a node out at every proxy, or puts it back: an operator with as many hands as there are proxies.
     */
    private void mark(String node, boolean out) {
        all.parallelStream().forEach(proxy -> {
            long asked = clock.nowMicros();
            if (ConsoleClient.yes(proxy.consoleAddress(), (out ? "DETACH " : "ATTACH ") + node)) {
                referee.marked(proxy.index(), node, out, out ? clock.nowMicros() : asked);
            }
        });
    }

    /** Discovery is at other addresses from now on: each proxy's file says so, and SIGHUP has it read. */
    private void moveDiscovery() {
        world.moveDiscovery();
        for (ProxyProcess proxy : all) {
            try {
                proxy.configure(configuration(proxy, false));
                proxy.signal("HUP");
            } catch (IOException e) {
                referee.process(Rule.CRASH, proxy.index(), clock.nowMicros(), "could not be told of discovery: "
                    + e);
            }
        }
    }

    private String configuration(ProxyProcess proxy, boolean starts) {
        int i = proxy.index();
        return ProxyConfiguration.toJson(plan.experiment(), proxy, LoopbackAddresses.hostAndPort(proxy.listenAddress()),
            LoopbackAddresses.hostAndPort(proxy.consoleAddress()), world.discoveryAddress(i),
            RandomStreams.deriveSeed(plan.seed(), proxy.name() + " start " + proxy.starts()), world.backendListFor(i, starts),
            peers == null ? null : peers.listen(i), peers == null ? null : peers.seenBy(i));
    }

    /** Starts the next process beside the one there is; at its yes the old one is told to end. */
    private void upgrade(ProxyProcess proxy) throws IOException {
        start(proxy, true);
        awaitYes(proxy, clock.nowMicros());
    }

    private void awaitYes(ProxyProcess proxy, long since) {
        long took = clock.nowMicros() - since; // when it is asked: the answer may be late by itself
        boolean yes = ConsoleClient.yes(proxy.consoleAddress(), "PING");
        long waited = watch.waited(proxy.process());
        Verdict verdict = YES_WITHIN.verdict(took, waited);
        if (verdict == Verdict.PASSED) {
            referee.process(Rule.CRASH, proxy.index(), clock.nowMicros(), String.format(Locale.ROOT,
                "the next process did not say yes within %.1f s; it waited %.1f s for a core",
                YES_WITHIN.limitMicros() / 1e6, waited / 1e6));
        } else if (verdict == Verdict.STARVED && (yes || YES_WITHIN.isPastMaxWait(took))) {
            starvation.passed("the start of the next process of " + proxy.name(), took, waited);
        }
        if (yes) {
            proxy.serves(false);
            proxy.signalBefore("TERM");
            thread.schedule(() -> proxy.signalBefore("KILL"), longest() + GRACE, TimeUnit.MICROSECONDS);
        } else if (verdict != Verdict.PASSED && !YES_WITHIN.isPastMaxWait(took)) {
            thread.schedule(() -> awaitYes(proxy, since), ASK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** A proxy has said at the clients' address that it can serve. */
    public void proxyReady(int proxy) {
        all.get(proxy).serves(true);
    }

    /** The longest that one of those that do not serve yet has waited for a core. */
    public long maxStartCpuWaitMicros() {
        return all.stream().flatMap(proxy -> proxy.watched().stream()).filter(one -> !one.serves())
            .mapToLong(one -> watch.waited(one.process())).max().orElse(0);
    }

    /** How late the lab was, to be told and asked. */
    public StarvationWatch starvationMonitor() {
        return watch;
    }

    /** Those that are there no more though nobody told them to end. */
    public List<String> crashes() {
        return all.stream().filter(proxy -> proxy.crashDescription() != null)
            .map(proxy -> proxy.name() + ": " + proxy.crashDescription()).toList();
    }

    private void look() {
        Experiment.Proxies limits = plan.experiment().proxies();
        for (ProxyProcess proxy : all) {
            int i = proxy.index();
            String crash = proxy.crashDescription();
            if (crash != null && !reported[i]) {
                reported[i] = true;
                referee.process(Rule.CRASH, i, clock.nowMicros(), crash);
            }
            if (!proxy.isAlive()) {
                continue;
            }
            ProxyProcess.Usage usage = proxy.sampleUsage();
            if (usage.residentKib() * 1024 > limits.maxMemoryBytes() && peakKib[i] * 1024 <= limits.maxMemoryBytes()) {
                referee.process(Rule.MEMORY, i, clock.nowMicros(), "holds " + usage.residentKib() / 1024
                    + " MiB of "
                    + (limits.maxMemoryBytes() >> 20));
            }
            if (usage.descriptors() > limits.maxDescriptors() && peakDescriptors[i] <= limits.maxDescriptors()) {
                referee.process(Rule.DESCRIPTORS, i, clock.nowMicros(), "holds " + usage.descriptors() + " of "
                    + limits.maxDescriptors());
            }
            peakKib[i] = Math.max(peakKib[i], usage.residentKib());
            peakDescriptors[i] = Math.max(peakDescriptors[i], usage.descriptors());
        }
    }

    /** Lets a fault of proxies begin at its time; zero is when clients come. */
    public void scheduleFault(Break fault, long zero) {
        thread.schedule(() -> fault.victims().forEach(victim -> begin(fault, all.get(victim))),
            Math.max(0, zero + fault.at() - clock.nowMicros()), TimeUnit.MICROSECONDS);
    }

    private void begin(Break fault, ProxyProcess proxy) {
        long now = clock.nowMicros(), until = now + fault.lasts();
        switch (fault.kind()) {
            case KILL -> {
                referee.excuseProxy(proxy.index(), now, until);
                proxy.signal("KILL");
                again(proxy, fault, fault.lasts());
            }
            case TERM -> {
                proxy.signal("TERM");
                thread.schedule(() -> {
                    if (proxy.isAlive()) {
                        proxy.signal("KILL");
                    }
                }, longest() + GRACE, TimeUnit.MICROSECONDS);
                again(proxy, fault, Math.max(fault.lasts(), longest() + GRACE + LOOK_MILLIS * 1000));
            }
            case PAUSE -> {
                referee.excuseProxy(proxy.index(), now, until);
                proxy.signal("STOP");
                thread.schedule(() -> proxy.signal("CONT"), fault.lasts(), TimeUnit.MICROSECONDS);
            }
            case HANGUP -> proxy.signal("HUP");
            case UPGRADE -> {
                try {
                    upgrade(proxy);
                } catch (IOException e) {
                    referee.process(Rule.CRASH, proxy.index(), now, "the next process could not be started: "
                        + e);
                }
            }
            default -> throw new IllegalArgumentException(fault.kind() + " has no proxy as victim");
        }
    }

    private long longest() {
        return Math.min(LONGEST_DEADLINE, plan.experiment().classes().stream()
            .mapToLong(Experiment.ServiceClass::deadline).max().orElse(0));
    }

    private void again(ProxyProcess proxy, Break fault, long after) {
        thread.schedule(() -> {
            try {
                String spoilt = DiskFaults.apply(proxy.tmp(), fault.disk(), RandomStreams.stream(plan.seed(),
                    proxy.name() + " disk " + proxy.starts()));
                if (!spoilt.isEmpty()) {
                    System.err.println(proxy.name() + ": " + spoilt);
                }
                start(proxy, fault.folder() == FolderOnRestart.KEPT);
            } catch (IOException e) {
                referee.process(Rule.CRASH, proxy.index(), clock.nowMicros(), "could not be started again: " + e);
            }
        }, after, TimeUnit.MICROSECONDS);
    }

    /** Tells all to end, and kills what does not in time. */
    public void stop() throws IOException {
        thread.shutdownNow();
        look();
        List<Long> waited = all.stream().map(proxy -> watch.waited(proxy.process())).toList();
        for (ProxyProcess proxy : all) {
            proxy.signalBefore("KILL");
            proxy.signal("CONT");
            proxy.signal("TERM");
        }
        long told = clock.nowMicros();
        for (ProxyProcess proxy : all) {
            awaitEnd(proxy, told, waited.get(proxy.index()));
        }
        watch.close();
        leftovers.deleteOwnList();
    }

    private void awaitEnd(ProxyProcess proxy, long told, long waitedBefore) {
        TimeLimit limit = new TimeLimit(longest() + GRACE);
        Verdict verdict = Verdict.WITHIN;
        while (!proxy.awaitExit(ASK_MILLIS)) {
            long took = clock.nowMicros() - told, waited = watch.waited(proxy.process()) - waitedBefore;
            Verdict next = limit.verdict(took, waited);
            if (next == Verdict.STARVED && verdict != next) {
                starvation.passed("the end of " + proxy.name(), took, waited);
            }
            verdict = next;
            if (verdict == Verdict.PASSED || limit.isPastMaxWait(took)) {
                if (verdict == Verdict.PASSED) {
                    referee.process(Rule.CRASH, proxy.index(), clock.nowMicros(), "did not end after SIGTERM");
                }
                proxy.signal("KILL");
                proxy.awaitExit(5_000);
                return;
            }
        }
    }

    /** Datagrams and bytes between the proxies; none where the settings allow no peers. */
    public long[] peerTraffic() {
        return peers == null ? new long[2] : new long[] {peers.datagrams(), peers.bytes()};
    }

    public List<ResourceUsage> resourceUsages() {
        List<ResourceUsage> result = new ArrayList<>();
        for (ProxyProcess proxy : all) {
            int i = proxy.index();
            result.add(new ResourceUsage(proxy.name(), proxy.starts(), peakKib[i], peakDescriptors[i],
                proxy.cpuSeconds()));
        }
        return result;
    }

    /** Leaves no process behind, whatever happened. */
    @Override
    public void close() {
        thread.shutdownNow();
        operators.shutdownNow();
        watch.close();
        all.forEach(ProxyProcess::close);
        if (peers != null) {
            peers.close();
        }
    }
}
