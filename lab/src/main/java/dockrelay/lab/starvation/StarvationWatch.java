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

    private final Starvation starvation;
    private final Clock clock;
    private final Supplier<List<Watched>> processes;
    private final long everyMillis;
    private final CoreCounts cores = new CoreCounts();
    private final Map<Long, TaskCounts> tasks = new HashMap<>();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(
        new DefaultThreadFactory("starvation", true));
    public final Lateness generator, world = new Lateness(), clients = new Lateness();
    private long last;

    public StarvationWatch(Starvation starvation, Clock clock, int proxies, Lateness generator,
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
                tasks.computeIfAbsent(one.process(), TaskCounts::new).since(), cores.of(one.core())));
        }
        long now = clock.nowMicros();
        starvation.add(new Look(now, Math.max(1, now - last), generator.since(), world.since(),
            clients.since(), cores.of(CoreCounts.ALL), shares));
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
