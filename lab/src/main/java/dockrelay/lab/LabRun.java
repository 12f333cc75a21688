package dockrelay.lab;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.process.Build;
import dockrelay.lab.process.ChildProcessRegistry;
import dockrelay.lab.process.MembershipMonitor;
import dockrelay.lab.process.ProxyFleet;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.report.PlayResult;
import dockrelay.lab.report.NodeSample;
import dockrelay.lab.report.OutcomeStatistics;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.starvation.LatenessRecorder;
import dockrelay.lab.starvation.TimeLimit;
import dockrelay.lab.starvation.StarvationDetector;
import dockrelay.lab.starvation.SchedulerStats;
import dockrelay.lab.world.OpenLoopClients;
import dockrelay.lab.world.Clock;
import dockrelay.lab.world.FrontLoadBalancer;
import dockrelay.lab.world.EmulatorNetwork;
import dockrelay.lab.world.Emulator;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * One play of an experiment: starts the emulator and the proxies, runs clients and faults, and collects the
 * result.
 */
final class LabRun {
    private static final long SAMPLE_MILLIS = 250, LATENESS_SAMPLE_PERIOD_MICROS = 5_000,
        MICROS_PER_SECOND = 1_000_000;
    /** Delay, in microseconds, between the last proxy becoming ready and the start of the clients. */
    private static final long START_DELAY_MICROS = 200_000;

    /** The proxies could not be started. */
    static final class ProxyStartException extends Exception {
        private static final long serialVersionUID = 1L;

        ProxyStartException(String message) {
            super(message);
        }
    }

    private final Plan plan;
    private final Build build;
    private final Path outputFolder;
    private final Consumer<String> progressListener;
    private final Clock clock = new Clock();
    private final StarvationDetector starvation;

    LabRun(Plan plan, Build build, Path outputFolder, Consumer<String> progressListener) {
        this.plan = plan;
        this.build = build;
        this.outputFolder = outputFolder;
        this.progressListener = progressListener;
        starvation = new StarvationDetector(Referee.SOCKET_TOLERANCE_MICROS, plan.experiment().proxies()
            .cpuCores());
    }

    PlayResult play() throws IOException, ProxyStartException, VoidPlayException, InterruptedException {
        Files.createDirectories(outputFolder);
        deleteRecursively(outputFolder.resolve("proxies"));
        ChildProcessRegistry processRegistry = new ChildProcessRegistry(ChildProcessRegistry.defaultFolder());
        List<Long> killedProcesses = processRegistry.killOrphans();
        if (!killedProcesses.isEmpty()) {
            System.err.println("killed processes left over by an earlier lab: " + killedProcesses);
        }
        Experiment experiment = plan.experiment();
        Referee referee = new Referee(plan);
        EmulatorNetwork network = new EmulatorNetwork(plan.seed());
        Emulator emulator = new Emulator(plan, network, clock, referee);
        List<NodeSample> samples = new ArrayList<>();
        OutcomeStatistics outcomes = new OutcomeStatistics(plan);
        LatenessRecorder generatorLateness = new LatenessRecorder();
        try (ProxyFleet proxies = new ProxyFleet(plan, build, outputFolder.resolve("proxies"), clock,
            referee, emulator,
            network, processRegistry, starvation, generatorLateness)) {
            Thread shutdownHook = new Thread(proxies::close, "killer");
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            proxies.start();
            FrontLoadBalancer front = new FrontLoadBalancer(proxies.listenAddresses(), experiment.clients(),
                plan.seed(), network, clock,
                proxies::proxyReady);
            front.start();
            awaitProxiesReady(experiment, proxies, front);
            OpenLoopClients clients = new OpenLoopClients(plan, network, clock, referee, front, outcomes,
                generatorLateness);
            recordLateness(network, network.emulatorLoop(), proxies.starvationMonitor().emulatorLateness,
                clock.nowMicros()
                + LATENESS_SAMPLE_PERIOD_MICROS);
            recordLateness(network, network.clientLoop(), proxies.starvationMonitor().clientsLateness,
                clock.nowMicros()
                + LATENESS_SAMPLE_PERIOD_MICROS);
            long startTime = clock.nowMicros() + START_DELAY_MICROS;
            for (Break fault : plan.faults()) {
                if (fault.kind().targetsProxies()) {
                    proxies.scheduleFault(fault, startTime);
                } else {
                    emulator.scheduleFault(fault, startTime);
                }
            }
            MembershipMonitor membershipMonitor = new MembershipMonitor(plan, proxies, clock);
            if (experiment.permissions().peerProtocol()) {
                membershipMonitor.start();
            }
            clients.start(startTime);
            starvation.setJudging(true);
            sampleUntilEnd(experiment, startTime, clients, emulator, outcomes, samples);
            starvation.setJudging(false);
            front.close();
            membershipMonitor.close();
            proxies.stop();
            PlayResult result = new PlayResult(plan, build.root().getFileName().toString(), outcomes, referee,
                proxies.resourceUsages(),
                samples, new PlayResult.LabTimeliness(generatorLateness.total(),
                proxies.starvationMonitor().emulatorLateness.total(), starvation.rulesVoidReason(),
                    starvation.latenciesVoidReason(),
                    starvation.toResult(SchedulerStats.isAvailable()), killedProcesses),
                    emulator.overloadCrashedBackendCount(),
                emulator.discoveryEntriesSent(), proxies.peerTraffic(),
                membershipMonitor.collectResults(outputFolder.resolve("proxies"), startTime));
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            return result;
        } finally {
            network.close();
        }
    }

    private void awaitProxiesReady(Experiment experiment, ProxyFleet proxies, FrontLoadBalancer front)
        throws ProxyStartException, VoidPlayException, InterruptedException {
        TimeLimit limit = new TimeLimit(experiment.proxies().maxStartTime());
        long startedWaiting = clock.nowMicros();
        int proxyCount = experiment.proxies().count();
        while (true) {
            int readyCount = front.healthyProxyCount();
            List<String> crashes = proxies.crashes();
            progressListener.accept(readyCount + " of " + proxyCount + " proxies are ready");
            if (!crashes.isEmpty()) {
                throw new ProxyStartException("proxies exited during start: " + String.join(", ", crashes)
                    + "; their logs are in " + outputFolder.resolve("proxies"));
            }
            if (readyCount == proxyCount) {
                return;
            }
            long elapsed = clock.nowMicros() - startedWaiting, cpuWait = elapsed > limit.limitMicros()
                ? proxies.maxStartCpuWaitMicros() : 0;
            TimeLimit.Verdict verdict = limit.verdict(elapsed, cpuWait);
            if (verdict == TimeLimit.Verdict.STARVED && limit.isPastMaxWait(elapsed)) {
                throw new VoidPlayException(String.format(Locale.ROOT, "%d of %d proxies were not ready "
                    + "within %.1f s, of which one waited %.1f s for a core", proxyCount - readyCount,
                    proxyCount,
                    elapsed / 1e6, cpuWait / 1e6));
            }
            if (verdict == TimeLimit.Verdict.PASSED) {
                throw new ProxyStartException((proxyCount - readyCount) + " of " + proxyCount
                    + " proxies were not ready within "
                    + experiment.proxies().maxStartTime() / MICROS_PER_SECOND + " s; their logs are in "
                    + outputFolder.resolve("proxies"));
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    /**
     * Records the lateness of an event loop every 5 ms. The emulator's loop delays nodes and discovery by
     * as much as it is late, the clients' loop the clients.
     */
    private void recordLateness(EmulatorNetwork network, EventLoop loop, LatenessRecorder lateness,
        long due) {
        network.schedule(loop, due - clock.nowMicros(), () -> {
            long now = clock.nowMicros();
            lateness.record(now - due);
            recordLateness(network, loop, lateness, Math.max(due, now - LATENESS_SAMPLE_PERIOD_MICROS)
                + LATENESS_SAMPLE_PERIOD_MICROS);
        });
    }

    private void sampleUntilEnd(Experiment experiment, long startTime, OpenLoopClients clients,
        Emulator emulator,
        OutcomeStatistics outcomes,
                       List<NodeSample> samples) throws InterruptedException {
        long end = startTime + experiment.duration();
        long maxDeadline = experiment.classes().stream().mapToLong(Experiment.ServiceClass::deadline).max()
            .orElse(0);
        while (clock.nowMicros() < end || clients.unfinishedRequestCount() > 0 && clock.nowMicros() < end
            + 2 * maxDeadline + MICROS_PER_SECOND) {
            double elapsedSeconds = (double) (clock.nowMicros() - startTime) / MICROS_PER_SECOND;
            if (elapsedSeconds >= 0 && clock.nowMicros() < end) {
                NodeSample sample = NodeSample.of(elapsedSeconds, emulator.requestsPerBackend(),
                    emulator.overloadedBackendCount());
                samples.add(sample);
                OutcomeStatistics.Tally lastSecond = outcomes.talliesBySecond()[Math.max(0,
                    (int) elapsedSeconds - 1)];
                StringBuilder activeFaults = new StringBuilder();
                for (Break fault : plan.faults()) {
                    if (fault.at() <= elapsedSeconds * MICROS_PER_SECOND && elapsedSeconds
                        * MICROS_PER_SECOND < fault.endAt()) {
                        activeFaults.append(", ").append(fault.kind().name().toLowerCase(Locale.ROOT));
                    }
                }
                progressListener.accept(String.format(Locale.ROOT,
                    "%.0f of %d s: %d requests/s, %.0f%% of worth in time, "
                    + "busiest node holds %d%s", elapsedSeconds, experiment.duration() / MICROS_PER_SECOND,
                    lastSecond.requests,
                    100 * lastSecond.earnedShare(), sample.maxHeld(), activeFaults));
            }
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
        }
    }

    private static void deleteRecursively(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }
}
