package dockrelay.fleet.budget;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Simulates processes that spend from one budget, with virtual time and network, deterministically from
 * a seed. Each process has its own clock, up to 3 % apart from the others, and a spender that learns of
 * share updates with a delay. The invariants are checked at every token spent.
 */
final class BudgetWorld {
    static final long MILLI = 1_000, SECOND = 1_000_000;
    private static final int INBOX = 256;
    private static final double APART = 0.03;

    /** Creates the protocol instance of a process, so that tests can inject a faulty one. */
    interface Maker {
        BudgetNode make(String self, Collection<String> names, Collection<Budget> budgets, int life, Random
            random,
                     BudgetNode.Callbacks actions, long now);
    }

    /** An invariant was violated. */
    static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Broken(String what) {
            super(what);
        }
    }

    private record Event(long at, long order, Runnable action) {
    }

    /** A simulated process. Several may have run under one name. */
    final class Process implements BudgetNode.Callbacks {
        final String name;
        final double rate = 1 + (random.nextDouble() - 0.5) * APART * 0.98;
        final long offset = random.nextInt(1_000_000_000), startedAt = now;
        final List<Runnable> inbox = new ArrayList<>();
        final BudgetNode machine;
        Set<String> names;
        boolean dead, stopped, deaf;
        double demand, tokens;
        long partRate, partBurst, until, filledAt, told, wakeOrder, spent, wantedSince, wants, longestWait,
            handedAt;
        int asked;

        Process(String name, Collection<String> names) {
            this.name = name;
            this.names = new TreeSet<>(names);
            this.machine = maker.make(name, names, List.of(budget), random.nextInt() | 1,
                new Random(random.nextLong()), this, local());
            schedule();
            later(random.nextInt((int) (100 * MILLI)), this::report);
            later(random.nextInt((int) (100 * MILLI)), this::want);
        }

        long local() {
            return offset + (long) (now * rate);
        }

        void schedule() {
            long mine = ++wakeOrder;
            long at = now + Math.max(0, (long) Math.ceil((machine.nextTickAt() - local()) / rate));
            later(at - now, () -> run(() -> {
                if (mine == wakeOrder) {
                    machine.tick(local());
                    schedule();
                }
            }));
        }

        /** Runs an action; if the process is suspended, queues it until the process resumes. */
        void run(Runnable action) {
            if (dead) {
                return;
            } else if (!stopped) {
                action.run();
            } else if (inbox.size() < INBOX) {
                inbox.add(action);
            }
        }

        private void fill() {
            long here = Math.min(local(), until);
            if (here > filledAt) {
                tokens = Math.min(partBurst, tokens + partRate * ((here - filledAt) / 1e6));
                filledAt = here;
            }
        }

        private boolean spend() {
            fill();
            if (local() >= until || tokens < Budget.MICROTOKENS_PER_TOKEN) {
                return false;
            }
            tokens -= Budget.MICROTOKENS_PER_TOKEN;
            spent++;
            spentByAll();
            return true;
        }

        /**
         * Creates requests at random intervals. Without a token a request waits if the burst is small,
         * else it is dropped.
         */
        private void want() {
            if (dead) {
                return;
            }
            later(demand <= 0 ? 50 * MILLI : (long) Math.max(1, -Math.log(1 - random.nextDouble()) * 1e6 /
                demand),
                this::want);
            if (demand > 0) {
                run(() -> {
                    asked++;
                    if (wants == 0) {
                        wantedSince = now;
                    }
                    wants++;
                    satisfy();
                });
            }
        }

        private void satisfy() {
            while (wants > 0 && spend()) {
                wants = few() ? 0 : wants - 1;
                longestWait = Math.max(longestWait, now - wantedSince);
                wantedSince = now;
            }
            wants = few() ? Math.min(wants, 1) : 0;
        }

        private boolean few() {
            return budget.burst() < 2 * Budget.MICROTOKENS_PER_TOKEN * processes.size();
        }

        /** Reports the usage to the protocol instance with a random delay, as between two threads. */
        private void report() {
            if (dead) {
                return;
            }
            later(100 * MILLI, this::report);
            run(() -> {
                fill();
                satisfy();
                ShareUsage use = new ShareUsage(budget.name(), asked * 10.0 * Budget.MICROTOKENS_PER_TOKEN, (int) wants, (long) tokens,
                    spent);
                asked = 0;
                long upTo = told;
                later(random.nextInt((int) (3 * MILLI)), () -> run(() -> machine.reportUsage(upTo, List.of(use))));
            });
        }

        @Override
        public void applyShares(long telling, List<LeasedShare> parts, long end) {
            long delay = random.nextInt((int) (random.nextInt(50) == 0 ? SECOND / 2 : 3 * MILLI));
            handedAt = Math.max(handedAt, now + delay); // between threads, in order
            later(handedAt - now, () -> run(() -> {
                fill();
                filledAt = Math.max(filledAt, local());
                until = telling < told ? until : end;
                // An update that was applied before only extends the expiry.
                for (LeasedShare part : telling > told ? parts : List.<LeasedShare>of()) {
                    partRate = part.rate();
                    partBurst = part.burst();
                    tokens = Math.min(partBurst, tokens + part.addedTokens());
                }
                told = Math.max(told, telling);
                addUp();
                satisfy();
            }));
        }

        @Override
        public void send(String to, ByteBuffer datagram) {
            byte[] bytes = new byte[datagram.remaining()];
            datagram.get(bytes);
            datagrams++;
            sentBytes += bytes.length;
            pass(this, to, bytes);
        }

        @Override
        public void logEvent(String text) {
            trace(name + ": " + text);
        }
    }

    final Random random;
    final Budget budget;
    final Map<String, Process> processes = new LinkedHashMap<>(); // current process by name
    final List<Process> all = new ArrayList<>();
    final Set<String> cut = new HashSet<>();
    final Map<String, Long> diedAt = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at
        ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Maker maker;
    private final boolean traced;
    double loss, repeats, replays;
    long jitter = 3 * MILLI, now, datagrams, sentBytes, spentOfAll;
    private double level;
    private long levelAt, order;

    BudgetWorld(long seed, Budget budget, Maker maker, boolean traced) {
        this.random = new Random(seed);
        this.budget = budget;
        this.maker = maker;
        this.traced = traced;
        this.level = budget.burst();
        later(250 * MILLI, this::presence);
    }

    void trace(String text) {
        if (traced) {
            System.out.printf("%9.3f %s%n", now / 1e6, text);
        }
    }

    void later(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, action));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }

    /**
     * Counts a token spent by any process against a token bucket of the whole budget that starts full.
     * It detects any interval in which more is spent than the budget allows.
     */
    private void spentByAll() {
        level = Math.min(budget.burst(), level + budget.rate() * ((now - levelAt) / 1e6));
        levelAt = now;
        level -= Budget.MICROTOKENS_PER_TOKEN;
        spentOfAll++;
        if (level < -1e-3) {
            throw new Broken(String.format(
                "at %.3f s more tokens were spent than the budget allows: %.2f too many", now / 1e6,
                -level / Budget.MICROTOKENS_PER_TOKEN));
        }
    }

    /** Checks that the shares of all processes are within the budget, whether they are spent or not. */
    private void addUp() {
        long rate = 0, burst = 0;
        for (Process process : all) {
            if (!process.dead && process.local() < process.until) {
                rate += process.partRate;
                burst += process.partRate > 0 ? process.partBurst : (long) process.tokens;
            }
        }
        if (rate > budget.rate() || burst > budget.burst()) {
            throw new
                Broken(String.format("at %.3f s the shares add up to %.3f of the rate and %.3f of the burst",
                now / 1e6, rate / (double) budget.rate(), burst / (double) budget.burst()));
        }
    }

    Process start(String name, Collection<String> names) {
        trace(name + " starts with " + names);
        Process before = processes.get(name);
        if (before != null && !before.dead && !before.deaf) {
            kill(before); // it occupies the address
        }
        Process process = new Process(name, names);
        processes.put(name, process);
        all.add(process);
        diedAt.remove(name);
        return process;
    }

    void kill(Process process) {
        if (!process.dead) {
            trace(process.name + " is killed");
            process.dead = true;
            diedAt.put(process.name, now);
        }
    }

    void goOn(Process process) {
        process.stopped = false;
        List<Runnable> waiting = new ArrayList<>(process.inbox);
        process.inbox.clear();
        waiting.forEach(process::run);
    }

    void configure(Process process, Collection<String> names) {
        process.run(() -> {
            trace(process.name + " applies the list " + names);
            process.names = new TreeSet<>(names);
            process.machine.configure(process.local(), names, List.of(budget));
        });
    }

    /** Returns all shares of a process and releases its address for the next one. */
    void leave(Process process) {
        process.run(() -> {
            trace(process.name + " leaves");
            process.until = 0;
            process.told = Long.MAX_VALUE; // updates still queued between the threads are ignored
            process.machine.leave(process.local());
            process.deaf = true;
        });
    }

    /**
     * Passes on which processes are present: late and sometimes wrong, as the protocol has to tolerate.
     */
    private void presence() {
        for (Process process : all) {
            Set<String> here = new TreeSet<>(), away = new TreeSet<>();
            for (String name : process.names) {
                Process of = processes.get(name);
                boolean lives = of != null && !of.dead && !of.stopped && !cut.contains(process.name + ">" +
                    name);
                (lives ? here : away).add(name);
                away.removeIf(gone -> gone.equals(name) && (of == null || !of.dead
                    || now - diedAt.getOrDefault(name, now) < 8 * SECOND) && random.nextInt(20) > 0);
            }
            process.run(() -> process.machine.updatePresence(here, away));
        }
        later(250 * MILLI, this::presence);
    }

    private void pass(Process from, String to, byte[] bytes) {
        if (cut.contains(from.name + ">" + to) || random.nextDouble() < loss) {
            return;
        }
        deliver(from, to, bytes, 300 + (long) (random.nextDouble() * jitter));
        if (repeats > 0 && random.nextDouble() < repeats) {
            deliver(from, to, bytes, 300 + (long) (random.nextDouble() * 20 * jitter));
        }
        if (replays > 0 && random.nextDouble() < replays) {
            deliver(from, to, bytes, (long) (random.nextDouble() * 30 * SECOND));
        }
    }

    private void deliver(Process from, String to, byte[] bytes, long delay) {
        later(delay, () -> {
            Process process = processes.get(to);
            if (process != null && !process.deaf) {
                process.run(() -> {
                    boolean stranger = !process.names.contains(from.name);
                    process.machine.receive(process.local(), stranger ? null : from.name,
                        ByteBuffer.wrap(bytes));
                    process.schedule();
                });
            }
        });
    }

    /** The sum of the rates of all live shares, in millionths of a token per second. */
    long lent() {
        return all.stream().filter(process -> !process.dead && process.local() < process.until)
            .mapToLong(process -> process.partRate).sum();
    }
}
