package dockrelay.lab.starvation;

import dockrelay.lab.starvation.LoadSample.ProcessSample;
import dockrelay.lab.world.Clock;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Takes load samples periodically during a play and passes them to the detector. */
public final class StarvationMonitor implements AutoCloseable {
    /** Sampling period: a minimum, and a time for each proxy, as a sample reads a file for each thread. */
    private static final long MIN_PERIOD_MILLIS = 50, PERIOD_PER_PROXY_MILLIS = 5;

    private final StarvationDetector detector;
    private final Clock clock;
    private final Supplier<List<MonitoredProcess>> processes;
    private final long periodMillis;
    private final CoreStats coreStats = new CoreStats();
    private final Map<Long, SchedulerStats> statsByPid = new HashMap<>();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(
        new DefaultThreadFactory("starvation", true));
    public final LatenessRecorder generatorLateness, emulatorLateness = new LatenessRecorder(),
        clientsLateness = new LatenessRecorder();
    private long lastSampleMicros;

    public StarvationMonitor(StarvationDetector detector, Clock clock, int proxies,
        LatenessRecorder generatorLateness, Supplier<List<MonitoredProcess>> processes) {
        this.detector = detector;
        this.clock = clock;
        this.generatorLateness = generatorLateness;
        this.processes = processes;
        periodMillis = Math.max(MIN_PERIOD_MILLIS, PERIOD_PER_PROXY_MILLIS * proxies);
    }

    /** Starts periodic sampling. */
    public void start() {
        lastSampleMicros = clock.nowMicros();
        scheduler.scheduleWithFixedDelay(this::takeSample, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void takeSample() {
        List<MonitoredProcess> monitored = processes.get();
        statsByPid.keySet().retainAll(monitored.stream().map(MonitoredProcess::pid).toList());
        coreStats.sample();
        List<ProcessSample> samples = new ArrayList<>();
        for (MonitoredProcess process : monitored) {
            samples.add(new ProcessSample(process.proxy(), process.pid(), process.ready(),
                statsByPid.computeIfAbsent(process.pid(), SchedulerStats::new).takeInterval(),
                coreStats.timeOf(process.core())));
        }
        long nowMicros = clock.nowMicros();
        detector.add(new LoadSample(nowMicros, Math.max(1, nowMicros - lastSampleMicros),
            generatorLateness.takeInterval(), emulatorLateness.takeInterval(),
            clientsLateness.takeInterval(), coreStats.timeOf(CoreStats.ALL_CORES), samples));
        lastSampleMicros = nowMicros;
    }

    /**
     * How long a process has waited for cores in use by others since its start, up to now, in microseconds.
     * Takes a sample first.
     */
    public long waitedMicros(long pid) {
        takeSample();
        return detector.waitedMicros(pid);
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
