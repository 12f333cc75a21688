package dockrelay.lab.process;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.plan.Seeds;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.referee.Rule;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.world.Addresses;
import dockrelay.lab.world.Clock;
import dockrelay.lab.world.World;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The processes under test: their starts and ends, what befalls them, and what the system says of them. */
public final class Proxies implements AutoCloseable {
    private static final long LOOK_MILLIS = 250;
    /** SIGKILL follows SIGTERM after the longest deadline, of this at most, and 0.7 s. */
    private static final long LONGEST_DEADLINE = 3_000_000, GRACE = 700_000;
    private static final double TICKS = 100;

    /** What one proxy used, over all its processes. */
    public record Figures(String name, int starts, long peakKib, int peakDescriptors, double cpuSeconds) {
    }

    private final Plan plan;
    private final Clock clock;
    private final Referee referee;
    private final World world;
    private final Leftovers leftovers;
    private final List<ProxyProcess> all = new ArrayList<>();
    private final long[] peakKib, ticks, earlierTicks;
    private final int[] peakDescriptors;
    private final boolean[] reported;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(runnable -> {
        Thread one = new Thread(runnable, "proxies");
        one.setDaemon(true);
        return one;
    });

    public Proxies(Plan plan, Build build, Path folder, Clock clock, Referee referee, World world,
                   Leftovers leftovers) throws IOException {
        this.plan = plan;
        this.clock = clock;
        this.referee = referee;
        this.world = world;
        this.leftovers = leftovers;
        int count = plan.experiment().proxies().count();
        for (int i = 0; i < count; i++) {
            all.add(new ProxyProcess(i, build, folder, Addresses.proxy(i), Addresses.console(i), leftovers));
        }
        peakKib = new long[count];
        ticks = new long[count];
        earlierTicks = new long[count];
        peakDescriptors = new int[count];
        reported = new boolean[count];
    }

    public InetSocketAddress[] addresses() {
        return all.stream().map(ProxyProcess::listen).toArray(InetSocketAddress[]::new);
    }

    public void start() throws IOException {
        for (ProxyProcess proxy : all) {
            start(proxy);
        }
        thread.scheduleWithFixedDelay(this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void start(ProxyProcess proxy) throws IOException {
        Experiment experiment = plan.experiment();
        int i = proxy.index();
        String listen = Addresses.text(proxy.listen()), console = Addresses.text(proxy.console());
        referee.forgot(i);
        long seed = Seeds.number(plan.seed(), proxy.name() + " start " + proxy.starts());
        proxy.start(Configuration.of(experiment, proxy, listen, console, world.discovery(i), seed,
            world.known(i)),
            Map.of("PROXY_LISTEN", listen, "PROXY_CONSOLE", console, "PROXY_DISCOVERY", world.discovery(i)));
        reported[i] = false;
    }

    /** Those that are there no more though nobody told them to end. */
    public List<String> dead() {
        return all.stream().filter(ProxyProcess::crashed)
            .map(proxy -> proxy.name() + " ended with " + proxy.exitCode()).toList();
    }

    private void look() {
        Experiment.Proxies limits = plan.experiment().proxies();
        for (ProxyProcess proxy : all) {
            int i = proxy.index();
            if (proxy.crashed() && !reported[i]) {
                reported[i] = true;
                referee.process(Rule.CRASH, i, clock.now(), "ended by itself with " + proxy.exitCode());
            }
            if (!proxy.alive()) {
                continue;
            }
            ProxyProcess.Usage usage = proxy.usage();
            if (usage.residentKib() * 1024 > limits.memory() && peakKib[i] * 1024 <= limits.memory()) {
                referee.process(Rule.MEMORY, i, clock.now(), "holds " + usage.residentKib() / 1024
                    + " MiB of "
                    + (limits.memory() >> 20));
            }
            if (usage.descriptors() > limits.descriptors() && peakDescriptors[i] <= limits.descriptors()) {
                referee.process(Rule.DESCRIPTORS, i, clock.now(), "holds " + usage.descriptors() + " of "
                    + limits.descriptors());
            }
            peakKib[i] = Math.max(peakKib[i], usage.residentKib());
            peakDescriptors[i] = Math.max(peakDescriptors[i], usage.descriptors());
            if (usage.cpuTicks() < ticks[i]) {
                earlierTicks[i] += ticks[i]; // another process by the same name
            }
            ticks[i] = usage.cpuTicks() > 0 ? usage.cpuTicks() : ticks[i];
        }
    }

    /** Lets a fault of proxies begin at its time; zero is when clients come. */
    public void schedule(Break fault, long zero) {
        thread.schedule(() -> fault.victims().forEach(victim -> begin(fault, all.get(victim))),
            Math.max(0, zero + fault.at() - clock.now()), TimeUnit.MICROSECONDS);
    }

    private void begin(Break fault, ProxyProcess proxy) {
        long now = clock.now(), until = now + fault.lasts();
        switch (fault.kind()) {
            case KILL -> {
                referee.excused(proxy.index(), now, until);
                proxy.signal("KILL");
                again(proxy, fault.lasts());
            }
            case TERM -> {
                proxy.signal("TERM");
                thread.schedule(() -> {
                    if (proxy.alive()) {
                        proxy.signal("KILL");
                    }
                }, longest() + GRACE, TimeUnit.MICROSECONDS);
                again(proxy, Math.max(fault.lasts(), longest() + GRACE + LOOK_MILLIS * 1000));
            }
            case PAUSE -> {
                referee.excused(proxy.index(), now, until);
                proxy.signal("STOP");
                thread.schedule(() -> proxy.signal("CONT"), fault.lasts(), TimeUnit.MICROSECONDS);
            }
            case HANGUP -> proxy.signal("HUP");
            default -> throw new IllegalArgumentException(fault.kind() + " has no proxy as victim");
        }
    }

    private long longest() {
        return Math.min(LONGEST_DEADLINE, plan.experiment().classes().stream()
            .mapToLong(Experiment.ServiceClass::deadline).max().orElse(0));
    }

    private void again(ProxyProcess proxy, long after) {
        thread.schedule(() -> {
            try {
                start(proxy);
            } catch (IOException e) {
                referee.process(Rule.CRASH, proxy.index(), clock.now(), "could not be started again: " + e);
            }
        }, after, TimeUnit.MICROSECONDS);
    }

    /** Tells all to end, and kills what does not in time. */
    public void stop() throws IOException {
        thread.shutdownNow();
        look();
        for (ProxyProcess proxy : all) {
            proxy.signal("CONT");
            proxy.signal("TERM");
        }
        long by = clock.now() + longest() + GRACE;
        for (ProxyProcess proxy : all) {
            if (!proxy.await(Math.max(1, (by - clock.now()) / 1000))) {
                referee.process(Rule.CRASH, proxy.index(), clock.now(), "did not end after SIGTERM");
                proxy.signal("KILL");
                proxy.await(5_000);
            }
        }
        leftovers.clear();
    }

    public List<Figures> figures() {
        List<Figures> result = new ArrayList<>();
        for (ProxyProcess proxy : all) {
            int i = proxy.index();
            result.add(new Figures(proxy.name(), proxy.starts(), peakKib[i], peakDescriptors[i],
                (earlierTicks[i] + ticks[i]) / TICKS));
        }
        return result;
    }

    /** Leaves no process behind, whatever happened. */
    @Override
    public void close() {
        thread.shutdownNow();
        for (ProxyProcess proxy : all) {
            proxy.signal("KILL");
        }
    }
}
