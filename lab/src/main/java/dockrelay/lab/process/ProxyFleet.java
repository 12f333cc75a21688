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
import dockrelay.lab.starvation.StarvationMonitor;
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

/**
 * The proxies under test: starts and stops their processes, injects faults, and samples their resource usage
 * for the referee.
 */
public final class ProxyFleet implements AutoCloseable {
    /** Processors reserved for the lab: the emulator's loop, the clients' loop and everything else. */
    private static final int LAB_PROCESSORS = 3;
    private static final long SAMPLE_PERIOD_MILLIS = 250, POLL_INTERVAL_MILLIS = 50;
    /** The successor process of an upgrade has to answer PING within this time. */
    private static final TimeLimit UPGRADE_READY_LIMIT = new TimeLimit(6_000_000);
    /** SIGKILL follows SIGTERM after the longest deadline, capped at the first value, plus the second. */
    private static final long MAX_DEADLINE_MICROS = 3_000_000, KILL_GRACE_MICROS = 700_000;

    /** Resources that one proxy used, over all its processes. */
    public record ResourceUsage(String name, int starts, long peakResidentKib, int peakDescriptors,
        double cpuSeconds) {
    }

    private final Plan plan;
    private final Clock clock;
    private final Referee referee;
    private final Emulator emulator;
    private final ChildProcessRegistry childProcesses;
    private final List<ProxyProcess> proxies = new ArrayList<>();
    private final PeerNetwork peerNetwork;
    private final StarvationDetector starvationDetector;
    private final StarvationMonitor starvationMonitor;
    private final long[] peakResidentKib;
    private final int[] peakDescriptors;
    private final boolean[] crashReported;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2,
        new DefaultThreadFactory("proxies", true));
    private final ExecutorService operatorExecutor = Executors.newSingleThreadExecutor(
        new DefaultThreadFactory("operators", true));

    public ProxyFleet(Plan plan, Build build, Path folder, Clock clock, Referee referee, Emulator emulator,
                   EmulatorNetwork network, ChildProcessRegistry childProcesses,
                   StarvationDetector starvationDetector, LatenessRecorder generatorLateness)
        throws IOException {
        this.plan = plan;
        this.clock = clock;
        this.referee = referee;
        this.emulator = emulator;
        this.childProcesses = childProcesses;
        this.starvationDetector = starvationDetector;
        int count = plan.experiment().proxies().count();
        for (int i = 0; i < count; i++) {
            proxies.add(new ProxyProcess(i, build, folder, LoopbackAddresses.freeProxyAddress(i),
                plan.experiment().proxies().sharedListenSocket(), plan.experiment().proxies().maxFileBytes(),
                plan.experiment().proxies().pinnedToCore() ? processorFor(i) : -1, childProcesses));
        }
        peerNetwork = plan.experiment().permissions().peerProtocol()
            ? new PeerNetwork(count, plan.seed(), network, clock) : null;
        starvationMonitor = new StarvationMonitor(starvationDetector, clock, count, generatorLateness,
            () -> proxies.stream().flatMap(proxy -> proxy.monitoredProcesses().stream()).toList());
        peakResidentKib = new long[count];
        peakDescriptors = new int[count];
        crashReported = new boolean[count];
    }

    /** Assigns the processors not reserved for the lab round-robin. */
    private static int processorFor(int proxy) {
        int processors = Runtime.getRuntime().availableProcessors(),
            labProcessors = Math.min(LAB_PROCESSORS, processors - 1);
        return labProcessors + proxy % (processors - labProcessors);
    }

    /** The addresses at which the proxies listen for clients. */
    public InetSocketAddress[] listenAddresses() {
        return proxies.stream().map(ProxyProcess::listenAddress).toArray(InetSocketAddress[]::new);
    }

    /** The console addresses of the running proxies, by proxy name. */
    Map<String, InetSocketAddress> consoleAddresses() {
        Map<String, InetSocketAddress> result = new LinkedHashMap<>();
        proxies.stream().filter(ProxyProcess::isAlive).forEach(proxy ->
            result.put(proxy.name(), proxy.consoleAddress()));
        return result;
    }

    /** Starts all proxies and the periodic checks. */
    public void start() throws IOException {
        SystemCalls.load();
        starvationMonitor.start();
        for (ProxyProcess proxy : proxies) {
            start(proxy, false);
        }
        emulator.onBackendDetach((backend, detach) -> operatorExecutor.execute(() ->
            setDetached(backend, detach)));
        emulator.onDiscoveryMove(() -> operatorExecutor.execute(this::moveDiscovery));
        scheduler.scheduleWithFixedDelay(this::sampleProcesses, SAMPLE_PERIOD_MILLIS, SAMPLE_PERIOD_MILLIS,
            TimeUnit.MILLISECONDS);
    }

    private void start(ProxyProcess proxy, boolean keepTmpFolder) throws IOException {
        int index = proxy.index();
        if (!proxy.isAlive()) {
            referee.proxyRestarted(index, keepTmpFolder);
        }
        proxy.setConsoleAddress(LoopbackAddresses.freeConsoleAddress(index));
        proxy.start(configurationJson(proxy, true),
            Map.of("PROXY_LISTEN", LoopbackAddresses.hostAndPort(proxy.listenAddress()), "PROXY_CONSOLE",
            LoopbackAddresses.hostAndPort(proxy.consoleAddress()), "PROXY_DISCOVERY",
            emulator.discoveryAddress(index)), keepTmpFolder);
        crashReported[index] = false;
    }

    /** Detaches a backend at every proxy, or attaches it again, at all consoles in parallel. */
    private void setDetached(String backend, boolean detach) {
        proxies.parallelStream().forEach(proxy -> {
            long calledAtMicros = clock.nowMicros();
            if (ConsoleClient.succeeds(proxy.consoleAddress(), (detach ? "DETACH " : "ATTACH ") + backend)) {
                referee.operatorMarked(proxy.index(), backend, detach, detach ? clock.nowMicros()
                    : calledAtMicros);
            }
        });
    }

    /** Moves discovery to other addresses; updates each proxy's configuration and has it reread by SIGHUP. */
    private void moveDiscovery() {
        emulator.moveDiscovery();
        for (ProxyProcess proxy : proxies) {
            try {
                proxy.writeConfiguration(configurationJson(proxy, false));
                proxy.signal("HUP");
            } catch (IOException e) {
                referee.processViolation(Rule.CRASH, proxy.index(), clock.nowMicros(),
                    "could not be given the new discovery addresses: " + e);
            }
        }
    }

    private String configurationJson(ProxyProcess proxy, boolean atStart) {
        int index = proxy.index();
        return ProxyConfiguration.toJson(plan.experiment(), proxy,
            LoopbackAddresses.hostAndPort(proxy.listenAddress()),
            LoopbackAddresses.hostAndPort(proxy.consoleAddress()), emulator.discoveryAddress(index),
            RandomStreams.deriveSeed(plan.seed(), proxy.name() + " start " + proxy.starts()),
            emulator.backendListFor(index, atStart),
            peerNetwork == null ? null : peerNetwork.listenAddress(index),
            peerNetwork == null ? null : peerNetwork.addressesSeenBy(index));
    }

    /** Starts a successor beside the current process; once it is ready, the previous one gets SIGTERM. */
    private void upgrade(ProxyProcess proxy) throws IOException {
        start(proxy, true);
        awaitSuccessorReady(proxy, clock.nowMicros());
    }

    /** Polls the successor of an upgrade until it is ready or the limit is exceeded. */
    private void awaitSuccessorReady(ProxyProcess proxy, long startedAtMicros) {
        // before the call, which may itself take long
        long elapsedMicros = clock.nowMicros() - startedAtMicros;
        boolean ready = ConsoleClient.succeeds(proxy.consoleAddress(), "PING");
        long waitedMicros = starvationMonitor.waitedMicros(proxy.pidOrZero());
        Verdict verdict = UPGRADE_READY_LIMIT.verdict(elapsedMicros, waitedMicros);
        if (verdict == Verdict.PASSED) {
            referee.processViolation(Rule.CRASH, proxy.index(), clock.nowMicros(), String.format(Locale.ROOT,
                "the successor process was not ready within %.1f s; it waited %.1f s for a core",
                UPGRADE_READY_LIMIT.limitMicros() / 1e6, waitedMicros / 1e6));
        } else if (verdict == Verdict.STARVED
            && (ready || UPGRADE_READY_LIMIT.isPastMaxWait(elapsedMicros))) {
            starvationDetector.limitExceededByWaiting("the start of the successor process of "
                + proxy.name(), elapsedMicros, waitedMicros);
        }
        if (ready) {
            proxy.markReady(false);
            proxy.signalPrevious("TERM");
            scheduler.schedule(() -> proxy.signalPrevious("KILL"), maxDeadlineMicros() + KILL_GRACE_MICROS,
                TimeUnit.MICROSECONDS);
        } else if (verdict != Verdict.PASSED && !UPGRADE_READY_LIMIT.isPastMaxWait(elapsedMicros)) {
            scheduler.schedule(() -> awaitSuccessorReady(proxy, startedAtMicros), POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        }
    }

    /** A proxy has answered at the clients' address that it is ready to serve. */
    public void proxyReady(int proxy) {
        proxies.get(proxy).markReady(true);
    }

    /** The longest time that a process which is not ready yet has waited for a core, in micros. */
    public long maxStartCpuWaitMicros() {
        return proxies.stream().flatMap(proxy -> proxy.monitoredProcesses().stream())
            .filter(process -> !process.ready())
            .mapToLong(process -> starvationMonitor.waitedMicros(process.pid())).max().orElse(0);
    }

    /** The monitor that records how late the lab was and how long the proxies waited for cores. */
    public StarvationMonitor starvationMonitor() {
        return starvationMonitor;
    }

    /** A line for each proxy of which a process exited without being signalled. */
    public List<String> crashes() {
        return proxies.stream().filter(proxy -> proxy.crashDescription() != null)
            .map(proxy -> proxy.name() + ": " + proxy.crashDescription()).toList();
    }

    /** Samples the resources of all processes; reports crashes and exceeded limits to the referee. */
    private void sampleProcesses() {
        Experiment.Proxies limits = plan.experiment().proxies();
        for (ProxyProcess proxy : proxies) {
            int index = proxy.index();
            String crashDescription = proxy.crashDescription();
            if (crashDescription != null && !crashReported[index]) {
                crashReported[index] = true;
                referee.processViolation(Rule.CRASH, index, clock.nowMicros(), crashDescription);
            }
            if (!proxy.isAlive()) {
                continue;
            }
            ProxyProcess.Usage usage = proxy.sampleUsage();
            if (usage.residentKib() * 1024 > limits.maxMemoryBytes()
                && peakResidentKib[index] * 1024 <= limits.maxMemoryBytes()) {
                referee.processViolation(Rule.MEMORY, index, clock.nowMicros(), "holds "
                    + usage.residentKib() / 1024 + " MiB of memory; the limit in MiB is "
                    + (limits.maxMemoryBytes() >> 20));
            }
            if (usage.descriptors() > limits.maxDescriptors()
                && peakDescriptors[index] <= limits.maxDescriptors()) {
                referee.processViolation(Rule.DESCRIPTORS, index, clock.nowMicros(), "holds "
                    + usage.descriptors() + " file descriptors; the limit is " + limits.maxDescriptors());
            }
            peakResidentKib[index] = Math.max(peakResidentKib[index], usage.residentKib());
            peakDescriptors[index] = Math.max(peakDescriptors[index], usage.descriptors());
        }
    }

    /** Schedules a fault of proxies; its time is relative to the start of the clients. */
    public void scheduleFault(Break fault, long clientsStartMicros) {
        scheduler.schedule(() -> fault.victims().forEach(victim -> injectFault(fault, proxies.get(victim))),
            Math.max(0, clientsStartMicros + fault.at() - clock.nowMicros()), TimeUnit.MICROSECONDS);
    }

    private void injectFault(Break fault, ProxyProcess proxy) {
        long nowMicros = clock.nowMicros(), untilMicros = nowMicros + fault.lasts();
        switch (fault.kind()) {
            case KILL -> {
                referee.excuseProxy(proxy.index(), nowMicros, untilMicros);
                proxy.signal("KILL");
                scheduleRestart(proxy, fault, fault.lasts());
            }
            case TERM -> {
                proxy.signal("TERM");
                scheduler.schedule(() -> {
                    if (proxy.isAlive()) {
                        proxy.signal("KILL");
                    }
                }, maxDeadlineMicros() + KILL_GRACE_MICROS, TimeUnit.MICROSECONDS);
                scheduleRestart(proxy, fault, Math.max(fault.lasts(),
                    maxDeadlineMicros() + KILL_GRACE_MICROS + SAMPLE_PERIOD_MILLIS * 1000));
            }
            case PAUSE -> {
                referee.excuseProxy(proxy.index(), nowMicros, untilMicros);
                proxy.signal("STOP");
                scheduler.schedule(() -> proxy.signal("CONT"), fault.lasts(), TimeUnit.MICROSECONDS);
            }
            case HANGUP -> proxy.signal("HUP");
            case UPGRADE -> {
                try {
                    upgrade(proxy);
                } catch (IOException e) {
                    referee.processViolation(Rule.CRASH, proxy.index(), nowMicros,
                        "the successor process could not be started: " + e);
                }
            }
            default -> throw new IllegalArgumentException(fault.kind() + " is not a fault of proxies");
        }
    }

    /** The longest deadline of a service class, capped. */
    private long maxDeadlineMicros() {
        return Math.min(MAX_DEADLINE_MICROS, plan.experiment().classes().stream()
            .mapToLong(Experiment.ServiceClass::deadline).max().orElse(0));
    }

    /** Restarts a proxy after a delay, with the disk fault that belongs to the fault applied before. */
    private void scheduleRestart(ProxyProcess proxy, Break fault, long delayMicros) {
        scheduler.schedule(() -> {
            try {
                String damage = DiskFaults.apply(proxy.tmpFolder(), fault.disk(),
                    RandomStreams.stream(plan.seed(), proxy.name() + " disk " + proxy.starts()));
                if (!damage.isEmpty()) {
                    System.err.println(proxy.name() + ": " + damage);
                }
                start(proxy, fault.folder() == FolderOnRestart.KEPT);
            } catch (IOException e) {
                referee.processViolation(Rule.CRASH, proxy.index(), clock.nowMicros(),
                    "could not be restarted: " + e);
            }
        }, delayMicros, TimeUnit.MICROSECONDS);
    }

    /** Sends SIGTERM to all proxies, and SIGKILL to those that do not exit in time. */
    public void stop() throws IOException {
        scheduler.shutdownNow();
        sampleProcesses();
        List<Long> waitedMicros = proxies.stream()
            .map(proxy -> starvationMonitor.waitedMicros(proxy.pidOrZero())).toList();
        for (ProxyProcess proxy : proxies) {
            proxy.signalPrevious("KILL");
            proxy.signal("CONT");
            proxy.signal("TERM");
        }
        long signalledAtMicros = clock.nowMicros();
        for (ProxyProcess proxy : proxies) {
            awaitExit(proxy, signalledAtMicros, waitedMicros.get(proxy.index()));
        }
        starvationMonitor.close();
        childProcesses.deleteOwnList();
    }

    /** Waits for a signalled proxy to exit, and kills it when the limit is exceeded. */
    private void awaitExit(ProxyProcess proxy, long signalledAtMicros, long waitedBeforeMicros) {
        TimeLimit limit = new TimeLimit(maxDeadlineMicros() + KILL_GRACE_MICROS);
        Verdict verdict = Verdict.WITHIN;
        while (!proxy.awaitExit(POLL_INTERVAL_MILLIS)) {
            long elapsedMicros = clock.nowMicros() - signalledAtMicros,
                waitedMicros = starvationMonitor.waitedMicros(proxy.pidOrZero()) - waitedBeforeMicros;
            Verdict newVerdict = limit.verdict(elapsedMicros, waitedMicros);
            if (newVerdict == Verdict.STARVED && verdict != newVerdict) {
                starvationDetector.limitExceededByWaiting("the exit of " + proxy.name(), elapsedMicros,
                    waitedMicros);
            }
            verdict = newVerdict;
            if (verdict == Verdict.PASSED || limit.isPastMaxWait(elapsedMicros)) {
                if (verdict == Verdict.PASSED) {
                    referee.processViolation(Rule.CRASH, proxy.index(), clock.nowMicros(),
                        "did not exit in time after SIGTERM");
                }
                proxy.signal("KILL");
                proxy.awaitExit(5_000);
                return;
            }
        }
    }

    /** The numbers of datagrams and bytes between the proxies; 0 if the settings allow no peers. */
    public long[] peerTraffic() {
        return peerNetwork == null ? new long[2] : new long[] {peerNetwork.datagrams(), peerNetwork.bytes()};
    }

    /** The resources that each proxy used, in order of index. */
    public List<ResourceUsage> resourceUsages() {
        List<ResourceUsage> usages = new ArrayList<>();
        for (ProxyProcess proxy : proxies) {
            int index = proxy.index();
            usages.add(new ResourceUsage(proxy.name(), proxy.starts(), peakResidentKib[index],
                peakDescriptors[index], proxy.cpuSeconds()));
        }
        return usages;
    }

    /** Kills every process that is still there, also after a failure. */
    @Override
    public void close() {
        scheduler.shutdownNow();
        operatorExecutor.shutdownNow();
        starvationMonitor.close();
        proxies.forEach(ProxyProcess::close);
        if (peerNetwork != null) {
            peerNetwork.close();
        }
    }
}
