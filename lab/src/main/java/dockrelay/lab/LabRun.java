package dockrelay.lab;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.process.Build;
import dockrelay.lab.process.ChildProcessRegistry;
import dockrelay.lab.process.MembershipMonitor;
import dockrelay.lab.process.ProxyFleet;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.report.Result;
import dockrelay.lab.report.Sample;
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
    private static final long SAMPLE_MILLIS = 250, BEAT = 5_000, SECOND = 1_000_000;
    /** Delay, in microseconds, between the last proxy becoming ready and the start of the clients. */
    private static final long LEAD = 200_000;

    /** The proxies could not be started. */
    static final class FailedStart extends Exception {
        private static final long serialVersionUID = 1L;

        FailedStart(String message) {
            super(message);
        }
    }

    private final Plan plan;
    private final Build build;
    private final Path out;
    private final Consumer<String> progress;
    private final Clock clock = new Clock();
    private final StarvationDetector starvation;

    LabRun(Plan plan, Build build, Path out, Consumer<String> progress) {
        this.plan = plan;
        this.build = build;
        this.out = out;
        this.progress = progress;
        starvation = new StarvationDetector(Referee.SOCKET_TOLERANCE_MICROS, plan.experiment().proxies().cpuCores());
    }

    Result play() throws IOException, FailedStart, VoidPlayException, InterruptedException {
        Files.createDirectories(out);
        empty(out.resolve("proxies"));
        ChildProcessRegistry leftovers = new ChildProcessRegistry(ChildProcessRegistry.defaultFolder());
        List<Long> left = leftovers.killOrphans();
        if (!left.isEmpty()) {
            System.err.println("killed processes left over by an earlier lab: " + left);
        }
        Experiment experiment = plan.experiment();
        Referee referee = new Referee(plan);
        EmulatorNetwork net = new EmulatorNetwork(plan.seed());
        Emulator world = new Emulator(plan, net, clock, referee);
        List<Sample> samples = new ArrayList<>();
        OutcomeStatistics score = new OutcomeStatistics(plan);
        LatenessRecorder generator = new LatenessRecorder();
        try (ProxyFleet proxies = new ProxyFleet(plan, build, out.resolve("proxies"), clock, referee, world,
            net, leftovers, starvation, generator)) {
            Thread killer = new Thread(proxies::close, "killer");
            Runtime.getRuntime().addShutdownHook(killer);
            proxies.start();
            FrontLoadBalancer front = new FrontLoadBalancer(proxies.listenAddresses(), experiment.clients(), plan.seed(), net, clock,
                proxies::proxyReady);
            front.start();
            awaitStart(experiment, proxies, front);
            OpenLoopClients clients = new OpenLoopClients(plan, net, clock, referee, front, score, generator);
            beat(net, net.emulatorLoop(), proxies.starvationMonitor().emulatorLateness, clock.nowMicros() + BEAT);
            beat(net, net.clientLoop(), proxies.starvationMonitor().clientsLateness, clock.nowMicros() + BEAT);
            long zero = clock.nowMicros() + LEAD;
            for (Break fault : plan.faults()) {
                if (fault.kind().targetsProxies()) {
                    proxies.scheduleFault(fault, zero);
                } else {
                    world.scheduleFault(fault, zero);
                }
            }
            MembershipMonitor members = new MembershipMonitor(plan, proxies, clock);
            if (experiment.permissions().peerProtocol()) {
                members.start();
            }
            clients.start(zero);
            starvation.setJudging(true);
            watch(experiment, zero, clients, world, score, samples);
            starvation.setJudging(false);
            front.close();
            members.close();
            proxies.stop();
            Result result = new Result(plan, build.root().getFileName().toString(), score, referee,
                proxies.resourceUsages(),
                samples, new Result.Own(generator.total(), proxies.starvationMonitor().emulatorLateness.total(), starvation.rulesVoidReason(),
                    starvation.latenciesVoidReason(),
                    starvation.toResult(SchedulerStats.isAvailable()), left), world.overloadCrashedBackendCount(),
                world.discoveryEntriesSent(), proxies.peerTraffic(), members.collectResults(out.resolve("proxies"), zero));
            Runtime.getRuntime().removeShutdownHook(killer);
            return result;
        } finally {
            net.close();
        }
    }

    private void awaitStart(Experiment experiment, ProxyFleet proxies, FrontLoadBalancer front)
        throws FailedStart, VoidPlayException, InterruptedException {
        TimeLimit limit = new TimeLimit(experiment.proxies().startWithin());
        long since = clock.nowMicros();
        int wanted = experiment.proxies().count();
        while (true) {
            int ready = front.healthyProxyCount();
            List<String> dead = proxies.crashes();
            progress.accept(ready + " of " + wanted + " proxies are ready");
            if (!dead.isEmpty()) {
                throw new FailedStart("proxies exited during start: " + String.join(", ", dead)
                    + "; their logs are in " + out.resolve("proxies"));
            }
            if (ready == wanted) {
                return;
            }
            long took = clock.nowMicros() - since, waited = took > limit.limitMicros() ? proxies.maxStartCpuWaitMicros() : 0;
            TimeLimit.Verdict verdict = limit.verdict(took, waited);
            if (verdict == TimeLimit.Verdict.STARVED && limit.isPastMaxWait(took)) {
                throw new VoidPlayException(String.format(Locale.ROOT, "%d of %d proxies were not ready "
                    + "within %.1f s, of which one waited %.1f s for a core", wanted - ready, wanted,
                    took / 1e6, waited / 1e6));
            }
            if (verdict == TimeLimit.Verdict.PASSED) {
                throw new FailedStart((wanted - ready) + " of " + wanted + " proxies were not ready within "
                    + experiment.proxies().startWithin() / SECOND + " s; their logs are in "
                    + out.resolve("proxies"));
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    /**
     * Records the lateness of an event loop every 5 ms. The emulator's loop delays nodes and discovery by
     * as much as it is late, the clients' loop the clients.
     */
    private void beat(EmulatorNetwork net, EventLoop loop, LatenessRecorder lateness, long due) {
        net.schedule(loop, due - clock.nowMicros(), () -> {
            long now = clock.nowMicros();
            lateness.record(now - due);
            beat(net, loop, lateness, Math.max(due, now - BEAT) + BEAT);
        });
    }

    private void watch(Experiment experiment, long zero, OpenLoopClients clients, Emulator world,
        OutcomeStatistics score,
                       List<Sample> samples) throws InterruptedException {
        long end = zero + experiment.length();
        long slowest = experiment.classes().stream().mapToLong(Experiment.ServiceClass::deadline).max()
            .orElse(0);
        while (clock.nowMicros() < end || clients.unfinishedRequestCount() > 0 && clock.nowMicros() < end + 2 * slowest + SECOND) {
            double at = (double) (clock.nowMicros() - zero) / SECOND;
            if (at >= 0 && clock.nowMicros() < end) {
                Sample sample = Sample.of(at, world.requestsPerBackend(), world.overloadedBackendCount());
                samples.add(sample);
                OutcomeStatistics.Part now = score.seconds()[Math.max(0, (int) at - 1)];
                StringBuilder happening = new StringBuilder();
                for (Break fault : plan.faults()) {
                    if (fault.at() <= at * SECOND && at * SECOND < fault.endAt()) {
                        happening.append(", ").append(fault.kind().name().toLowerCase(Locale.ROOT));
                    }
                }
                progress.accept(String.format(Locale.ROOT,
                    "%.0f of %d s: %d requests/s, %.0f%% of worth in time, "
                    + "busiest node holds %d%s", at, experiment.length() / SECOND, now.requests,
                    100 * now.share(), sample.most(), happening));
            }
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
        }
    }

    private static void empty(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }
}
