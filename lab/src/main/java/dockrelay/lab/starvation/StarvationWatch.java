package dockrelay.lab.starvation;

import dockrelay.lab.starvation.Look.Share;
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

/** Looks at what the system counts, again and again while a play goes on. */
public final class StarvationWatch implements AutoCloseable {
    /** Each thread of each proxy is asked for: the more there are, the seldomer. */
    private static final long LEAST_MILLIS = 50, EACH_MILLIS = 5;

    private final StarvationDetector starvation;
    private final Clock clock;
    private final Supplier<List<Watched>> processes;
    private final long everyMillis;
    private final CoreCounts cores = new CoreCounts();
    private final Map<Long, SchedulerStats> tasks = new HashMap<>();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(
        new DefaultThreadFactory("starvation", true));
    public final LatenessRecorder generator, emulatorLateness = new LatenessRecorder(), clientsLateness = new LatenessRecorder();
    private long last;

    public StarvationWatch(StarvationDetector starvation, Clock clock, int proxies, LatenessRecorder generator,
        Supplier<List<Watched>> processes) {
        this.starvation = starvation;
        this.clock = clock;
        this.generator = generator;
        this.processes = processes;
        everyMillis = Math.max(LEAST_MILLIS, EACH_MILLIS * proxies);
    }

    public void start() {
        last = clock.nowMicros();
        thread.scheduleWithFixedDelay(this::look, everyMillis, everyMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void look() {
        List<Watched> all = processes.get();
        tasks.keySet().retainAll(all.stream().map(Watched::process).toList());
        cores.look();
        List<Share> shares = new ArrayList<>();
        for (Watched one : all) {
            shares.add(new Share(one.proxy(), one.process(), one.serves(),
                tasks.computeIfAbsent(one.process(), SchedulerStats::new).since(), cores.of(one.core())));
        }
        long now = clock.nowMicros();
        starvation.add(new Look(now, Math.max(1, now - last), generator.since(), emulatorLateness.since(),
            clientsLateness.since(), cores.of(CoreCounts.ALL), shares));
        last = now;
    }

    /** How long a process has waited since its start, up to now. */
    public long waited(long process) {
        look();
        return starvation.waited(process);
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
