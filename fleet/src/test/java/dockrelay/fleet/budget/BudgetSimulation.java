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
final class BudgetSimulation {
    static final long MILLI_MICROS = 1_000, SECOND_MICROS = 1_000_000;
    private static final int MAX_QUEUED_ACTIONS = 256;
    private static final double MAX_CLOCK_DRIFT = 0.03;

    /** Creates the protocol instance of a process, so that tests can inject a faulty one. */
    interface NodeFactory {
        BudgetNode newNode(String selfName, Collection<String> memberNames, Collection<Budget> budgets,
            int instanceId, Random random, BudgetNode.Callbacks callbacks, long now);
    }

    /** An invariant was violated. */
    static final class InvariantViolation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvariantViolation(String message) {
            super(message);
        }
    }

    private record Event(long time, long order, Runnable action) {
    }

    /** A simulated process. Several may have run under one name. */
    final class SimulatedProcess implements BudgetNode.Callbacks {
        final String name;
        final double clockRate = 1 + (random.nextDouble() - 0.5) * MAX_CLOCK_DRIFT * 0.98;
        final long clockOffset = random.nextInt(1_000_000_000), startedAt = now;
        final List<Runnable> queuedActions = new ArrayList<>();
        final BudgetNode node;
        Set<String> memberNames;
        boolean dead, suspended, unreachable;
        double demandPerSecond, tokens;
        long shareRate, shareBurst, validUntil, refilledAt, lastUpdateNumber, lastTickNumber, spentTokens,
            waitingSince, waitingRequests, maxWaitMicros, lastDeliveryAt;
        int requestCount;

        SimulatedProcess(String name, Collection<String> memberNames) {
            this.name = name;
            this.memberNames = new TreeSet<>(memberNames);
            this.node = nodeFactory.newNode(name, memberNames, List.of(budget), random.nextInt() | 1,
                new Random(random.nextLong()), this, localTime());
            scheduleTick();
            scheduleAfter(random.nextInt((int) (100 * MILLI_MICROS)), this::reportUsage);
            scheduleAfter(random.nextInt((int) (100 * MILLI_MICROS)), this::createRequest);
        }

        long localTime() {
            return clockOffset + (long) (now * clockRate);
        }

        void scheduleTick() {
            long tickNumber = ++lastTickNumber;
            long time = now + Math.max(0, (long) Math.ceil((node.nextTickAt() - localTime()) / clockRate));
            scheduleAfter(time - now, () -> run(() -> {
                if (tickNumber == lastTickNumber) {
                    node.tick(localTime());
                    scheduleTick();
                }
            }));
        }

        /** Runs an action; if the process is suspended, queues it until the process resumes. */
        void run(Runnable action) {
            if (dead) {
                return;
            } else if (!suspended) {
                action.run();
            } else if (queuedActions.size() < MAX_QUEUED_ACTIONS) {
                queuedActions.add(action);
            }
        }

        private void refill() {
            long refillTime = Math.min(localTime(), validUntil);
            if (refillTime > refilledAt) {
                tokens = Math.min(shareBurst, tokens + shareRate * ((refillTime - refilledAt) / 1e6));
                refilledAt = refillTime;
            }
        }

        private boolean trySpend() {
            refill();
            if (localTime() >= validUntil || tokens < Budget.MICROTOKENS_PER_TOKEN) {
                return false;
            }
            tokens -= Budget.MICROTOKENS_PER_TOKEN;
            spentTokens++;
            checkSpentToken();
            return true;
        }

        /**
         * Creates requests at random intervals. Without a token a request waits if the burst is small,
         * else it is dropped.
         */
        private void createRequest() {
            if (dead) {
                return;
            }
            scheduleAfter(demandPerSecond <= 0 ? 50 * MILLI_MICROS
                : (long) Math.max(1, -Math.log(1 - random.nextDouble()) * 1e6 / demandPerSecond),
                this::createRequest);
            if (demandPerSecond > 0) {
                run(() -> {
                    requestCount++;
                    if (waitingRequests == 0) {
                        waitingSince = now;
                    }
                    waitingRequests++;
                    serveWaiting();
                });
            }
        }

        private void serveWaiting() {
            while (waitingRequests > 0 && trySpend()) {
                waitingRequests = hasSmallBurst() ? 0 : waitingRequests - 1;
                maxWaitMicros = Math.max(maxWaitMicros, now - waitingSince);
                waitingSince = now;
            }
            waitingRequests = hasSmallBurst() ? Math.min(waitingRequests, 1) : 0;
        }

        private boolean hasSmallBurst() {
            return budget.burst() < 2 * Budget.MICROTOKENS_PER_TOKEN * processByName.size();
        }

        /** Reports the usage to the protocol instance with a random delay, as between two threads. */
        private void reportUsage() {
            if (dead) {
                return;
            }
            scheduleAfter(100 * MILLI_MICROS, this::reportUsage);
            run(() -> {
                refill();
                serveWaiting();
                ShareUsage usage = new ShareUsage(budget.name(),
                    requestCount * 10.0 * Budget.MICROTOKENS_PER_TOKEN, (int) waitingRequests,
                    (long) tokens, spentTokens);
                requestCount = 0;
                long updateNumber = lastUpdateNumber;
                scheduleAfter(random.nextInt((int) (3 * MILLI_MICROS)),
                    () -> run(() -> node.reportUsage(updateNumber, List.of(usage))));
            });
        }

        @Override
        public void applyShares(long updateNumber, List<LeasedShare> shares, long leaseEnd) {
            long delay = random.nextInt((int) (random.nextInt(50) == 0 ? SECOND_MICROS / 2
                : 3 * MILLI_MICROS));
            lastDeliveryAt = Math.max(lastDeliveryAt, now + delay); // between threads, in order
            scheduleAfter(lastDeliveryAt - now, () -> run(() -> {
                refill();
                refilledAt = Math.max(refilledAt, localTime());
                validUntil = updateNumber < lastUpdateNumber ? validUntil : leaseEnd;
                // An update that was applied before only extends the expiry.
                for (LeasedShare share : updateNumber > lastUpdateNumber ? shares : List.<LeasedShare>of()) {
                    shareRate = share.rate();
                    shareBurst = share.burst();
                    tokens = Math.min(shareBurst, tokens + share.addedTokens());
                }
                lastUpdateNumber = Math.max(lastUpdateNumber, updateNumber);
                checkSumOfShares();
                serveWaiting();
            }));
        }

        @Override
        public void send(String receiverName, ByteBuffer datagram) {
            byte[] bytes = new byte[datagram.remaining()];
            datagram.get(bytes);
            datagramCount++;
            sentBytes += bytes.length;
            transmit(this, receiverName, bytes);
        }

        @Override
        public void logEvent(String text) {
            trace(name + ": " + text);
        }
    }

    final Random random;
    final Budget budget;
    /** The process that has the address of each name. */
    final Map<String, SimulatedProcess> processByName = new LinkedHashMap<>();
    /** All processes ever started, including those that have ended. */
    final List<SimulatedProcess> allProcesses = new ArrayList<>();
    final Set<String> cutLinks = new HashSet<>();
    final Map<String, Long> deathTimes = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.time != b.time
        ? Long.compare(a.time, b.time) : Long.compare(a.order, b.order));
    private final NodeFactory nodeFactory;
    private final boolean traceEnabled;
    double lossProbability, duplicateProbability, replayProbability;
    long maxJitterMicros = 3 * MILLI_MICROS, now, datagramCount, sentBytes, totalSpent;
    private double bucketTokens;
    private long bucketRefilledAt, nextEventOrder;

    BudgetSimulation(long seed, Budget budget, NodeFactory nodeFactory, boolean traceEnabled) {
        this.random = new Random(seed);
        this.budget = budget;
        this.nodeFactory = nodeFactory;
        this.traceEnabled = traceEnabled;
        this.bucketTokens = budget.burst();
        scheduleAfter(250 * MILLI_MICROS, this::updatePresence);
    }

    void trace(String text) {
        if (traceEnabled) {
            System.out.printf("%9.3f %s%n", now / 1e6, text);
        }
    }

    void scheduleAfter(long delay, Runnable action) {
        events.add(new Event(now + delay, nextEventOrder++, action));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time <= end) {
            Event event = events.poll();
            now = event.time;
            event.action.run();
        }
        now = end;
    }

    /**
     * Counts a token spent by any process against a token bucket of the whole budget that starts full.
     * It detects any interval in which more is spent than the budget allows.
     */
    private void checkSpentToken() {
        bucketTokens = Math.min(budget.burst(),
            bucketTokens + budget.rate() * ((now - bucketRefilledAt) / 1e6));
        bucketRefilledAt = now;
        bucketTokens -= Budget.MICROTOKENS_PER_TOKEN;
        totalSpent++;
        if (bucketTokens < -1e-3) {
            throw new InvariantViolation(String.format(
                "at %.3f s more tokens were spent than the budget allows: %.2f too many", now / 1e6,
                -bucketTokens / Budget.MICROTOKENS_PER_TOKEN));
        }
    }

    /** Checks that the shares of all processes are within the budget, whether they are spent or not. */
    private void checkSumOfShares() {
        long rate = 0, burst = 0;
        for (SimulatedProcess process : allProcesses) {
            if (!process.dead && process.localTime() < process.validUntil) {
                rate += process.shareRate;
                burst += process.shareRate > 0 ? process.shareBurst : (long) process.tokens;
            }
        }
        if (rate > budget.rate() || burst > budget.burst()) {
            throw new InvariantViolation(
                String.format("at %.3f s the shares add up to %.3f of the rate and %.3f of the burst",
                now / 1e6, rate / (double) budget.rate(), burst / (double) budget.burst()));
        }
    }

    SimulatedProcess start(String name, Collection<String> memberNames) {
        trace(name + " starts with " + memberNames);
        SimulatedProcess previous = processByName.get(name);
        if (previous != null && !previous.dead && !previous.unreachable) {
            kill(previous); // it occupies the address
        }
        SimulatedProcess process = new SimulatedProcess(name, memberNames);
        processByName.put(name, process);
        allProcesses.add(process);
        deathTimes.remove(name);
        return process;
    }

    void kill(SimulatedProcess process) {
        if (!process.dead) {
            trace(process.name + " is killed");
            process.dead = true;
            deathTimes.put(process.name, now);
        }
    }

    void resume(SimulatedProcess process) {
        process.suspended = false;
        List<Runnable> actions = new ArrayList<>(process.queuedActions);
        process.queuedActions.clear();
        actions.forEach(process::run);
    }

    void configure(SimulatedProcess process, Collection<String> memberNames) {
        process.run(() -> {
            trace(process.name + " applies the list " + memberNames);
            process.memberNames = new TreeSet<>(memberNames);
            process.node.configure(process.localTime(), memberNames, List.of(budget));
        });
    }

    /** Returns all shares of a process and releases its address for the next one. */
    void leave(SimulatedProcess process) {
        process.run(() -> {
            trace(process.name + " leaves");
            process.validUntil = 0;
            process.lastUpdateNumber = Long.MAX_VALUE; // updates still queued between the threads are ignored
            process.node.leave(process.localTime());
            process.unreachable = true;
        });
    }

    /**
     * Passes on which processes are present: late and sometimes wrong, as the protocol has to tolerate.
     */
    private void updatePresence() {
        for (SimulatedProcess process : allProcesses) {
            Set<String> presentNames = new TreeSet<>(), departedNames = new TreeSet<>();
            for (String name : process.memberNames) {
                SimulatedProcess other = processByName.get(name);
                boolean isReachable = other != null && !other.dead && !other.suspended
                    && !cutLinks.contains(process.name + ">" + name);
                (isReachable ? presentNames : departedNames).add(name);
                departedNames.removeIf(departed -> departed.equals(name) && (other == null || !other.dead
                    || now - deathTimes.getOrDefault(name, now) < 8 * SECOND_MICROS)
                    && random.nextInt(20) > 0);
            }
            process.run(() -> process.node.updatePresence(presentNames, departedNames));
        }
        scheduleAfter(250 * MILLI_MICROS, this::updatePresence);
    }

    private void transmit(SimulatedProcess sender, String receiverName, byte[] bytes) {
        if (cutLinks.contains(sender.name + ">" + receiverName) || random.nextDouble() < lossProbability) {
            return;
        }
        deliver(sender, receiverName, bytes, 300 + (long) (random.nextDouble() * maxJitterMicros));
        if (duplicateProbability > 0 && random.nextDouble() < duplicateProbability) {
            deliver(sender, receiverName, bytes, 300 + (long) (random.nextDouble() * 20 * maxJitterMicros));
        }
        if (replayProbability > 0 && random.nextDouble() < replayProbability) {
            deliver(sender, receiverName, bytes, (long) (random.nextDouble() * 30 * SECOND_MICROS));
        }
    }

    private void deliver(SimulatedProcess sender, String receiverName, byte[] bytes, long delay) {
        scheduleAfter(delay, () -> {
            SimulatedProcess process = processByName.get(receiverName);
            if (process != null && !process.unreachable) {
                process.run(() -> {
                    boolean unlistedSender = !process.memberNames.contains(sender.name);
                    process.node.receive(process.localTime(), unlistedSender ? null : sender.name,
                        ByteBuffer.wrap(bytes));
                    process.scheduleTick();
                });
            }
        });
    }

    /** The sum of the rates of all live shares, in millionths of a token per second. */
    long totalLeasedRate() {
        return allProcesses.stream().filter(process -> !process.dead
            && process.localTime() < process.validUntil).mapToLong(process -> process.shareRate).sum();
    }
}
