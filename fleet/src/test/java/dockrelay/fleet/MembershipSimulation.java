package dockrelay.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A deterministic simulation of many members on a virtual clock and network, from one seed. Datagrams are
 * lost, delayed, duplicated, corrupted or blocked, processes are paused, killed and restarted, and their
 * clocks run at different rates. The invariants are checked periodically.
 */
final class MembershipSimulation extends VirtualNetwork {
    private static final int MAX_QUEUED_ACTIONS = 256;
    /** How often a process computes its snapshot, and how often the invariants are checked. */
    private static final long SNAPSHOT_INTERVAL = SECOND / 2, CHECK_INTERVAL = 50 * MILLISECOND;

    /** Creates a member; lets tests substitute a faulty variant. */
    interface Factory {
        Membership create(String self, List<String> names, long incarnation, int instanceId,
            ProtocolTiming timing, Random random, Membership.Callbacks callbacks, long now);
    }

    /** Thrown if an invariant does not hold. */
    static final class InvariantViolation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvariantViolation(String message) {
            super(message);
        }
    }

    /** A process of a member, with its own clock. */
    final class Process implements Membership.Callbacks {
        final String name;
        final double clockRate = 1 + (random.nextDouble() - 0.5) * 0.02;
        final long clockOffset = random.nextInt(1_000_000_000);
        final List<Runnable> queuedActions = new ArrayList<>();
        final Map<String, Long> lastIncarnations = new HashMap<>();
        final int instanceId = random.nextInt() | 1;
        final Membership membership;
        final long firstIncarnation, startedAt = now;
        boolean dead, paused;
        MembershipSnapshot snapshot;
        long snapshotAt, tickGeneration, resumedAt = -SECOND;

        Process(String name, long incarnation) {
            this.name = name;
            // Lower incarnations belong to earlier processes.
            this.firstIncarnation = incarnations.getOrDefault(name, 0L) + 1;
            this.membership = factory.create(name, names, incarnation, instanceId, ProtocolTiming.DEFAULT,
                new Random(random.nextLong()), this, localTime());
            scheduleTick();
            refreshSnapshot();
        }

        long localTime() {
            return clockOffset + (long) (now * clockRate);
        }

        void scheduleTick() {
            long generation = ++tickGeneration;
            long time = now + Math.max(0,
                (long) Math.ceil((membership.nextTickAt() - localTime()) / clockRate));
            schedule(time - now, () -> runOrQueue(() -> {
                if (generation == tickGeneration) {
                    membership.tick(localTime());
                    scheduleTick();
                }
            }));
        }

        /** Runs an action, or queues it while the process is paused. */
        void runOrQueue(Runnable action) {
            if (dead) {
                return;
            } else if (!paused) {
                action.run();
            } else if (queuedActions.size() < MAX_QUEUED_ACTIONS) {
                queuedActions.add(action);
            }
        }

        private void refreshSnapshot() {
            runOrQueue(() -> {
                snapshot = membership.snapshot(localTime());
                snapshotAt = localTime();
                schedule(SNAPSHOT_INTERVAL, this::refreshSnapshot);
            });
        }

        double budgetShare() {
            return localTime() - snapshotAt <= ProtocolTiming.DEFAULT.snapshotExpiry()
                ? snapshot.budgetShare() : snapshot.minBudgetShare();
        }

        @Override
        public void send(String receiver, ByteBuffer datagram) {
            byte[] bytes = new byte[datagram.remaining()];
            datagram.get(bytes);
            sentDatagrams++;
            sentBytes += bytes.length;
            maxDatagramBytes = Math.max(maxDatagramBytes, bytes.length);
            transmit(name, receiver, bytes);
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            trace(name + " sees: " + change);
            Process subject = processes.get(change.member());
            boolean running = subject != null && !subject.dead && !subject.paused;
            // A report about an earlier process of the name is not false.
            if (change.newState() == MemberState.GONE && running
                && change.incarnation() >= subject.firstIncarnation && now - subject.startedAt > 3 * SECOND) {
                falseDeclarations++;
                lastFalseDeclaration = name + " sees " + change;
                // A suspicion that is under way when the partition heals may time out before it is refuted,
                // but only rarely.
                if (sides != null && sides[indexByName.get(name)] == sides[indexByName.get(change.member())]
                    && ++falseDeclarationsOnSameSide > names.size() / 2) {
                    throw new InvariantViolation("false declaration on the same side of the only partition: "
                        + lastFalseDeclaration);
                }
            }
            if (change.newState() == MemberState.SUSPECT && running && change.reportedBy().equals(name)
                && now - resumedAt < SECOND) {
                suspicionAfterResume = name + " sees " + change;
            }
            if (change.newState() == MemberState.GONE && subject != null && subject.dead
                && diedAt.containsKey(change.member())) {
                detectionTimes.add(now - diedAt.get(change.member()));
            }
        }

        @Override
        public void incarnationChanged(long incarnation) {
            incarnations.merge(name, incarnation, Math::max);
        }

        @Override
        public void nameConflict(String conflictingName, String reason) {
            nameConflicts++;
            trace(name + " reports a name conflict of " + conflictingName + ": " + reason);
        }
    }

    final List<String> names;
    final Map<String, Process> processes = new HashMap<>();
    final Map<String, Long> incarnations = new HashMap<>(), diedAt = new HashMap<>();
    final List<Long> detectionTimes = new ArrayList<>();
    final int[][] blockCounts;
    int[] sides; // the side of each member if the only fault is a partition, else null
    final List<byte[]> recordedDatagrams = new ArrayList<>();
    private final Map<String, Integer> indexByName = new HashMap<>();
    private final Factory factory;
    long sentDatagrams, sentBytes;
    int falseDeclarations, nameConflicts, maxDatagramBytes, falseDeclarationsOnSameSide;
    String lastFalseDeclaration, suspicionAfterResume;
    double maxShareSum;
    private long checkCount;

    MembershipSimulation(long seed, int memberCount, Factory factory, boolean tracing) {
        super(seed, tracing);
        this.factory = factory;
        names = new ArrayList<>();
        for (int i = 0; i < memberCount; i++) {
            names.add("n" + i);
            indexByName.put("n" + i, i);
        }
        blockCounts = new int[memberCount][memberCount];
        schedule(CHECK_INTERVAL, this::checkInvariants);
    }

    void start(String name, long incarnation) {
        trace(name + " starts with incarnation " + incarnation);
        diedAt.remove(name);
        processes.put(name, new Process(name, incarnation));
    }

    void kill(String name) {
        Process process = processes.get(name);
        if (process != null && !process.dead) {
            trace(name + " is killed");
            process.dead = true;
            diedAt.put(name, now);
        }
    }

    void pause(String name) {
        trace(name + " is paused");
        processes.get(name).paused = true;
    }

    void resume(Process process) {
        process.paused = false;
        process.resumedAt = now;
        trace(process.name + " resumes");
        List<Runnable> actions = new ArrayList<>(process.queuedActions);
        process.queuedActions.clear();
        // The operating system serves sockets and timers in no guaranteed order.
        java.util.Collections.shuffle(actions, random);
        actions.forEach(process::runOrQueue);
    }

    /**
     * Blocks one direction ({@code change} is 1) or unblocks it (-1); it may be blocked several times.
     */
    void changeBlockCount(int from, int to, int change) {
        blockCounts[from][to] += change;
    }

    @Override
    protected boolean isBlocked(String from, String to) {
        return blockCounts[indexByName.get(from)][indexByName.get(to)] > 0;
    }

    @Override
    protected void onDatagram(String from, String to, byte[] bytes) {
        Process process = processes.get(to);
        if (process != null) {
            process.runOrQueue(() -> {
                process.membership.receive(process.localTime(), from, ByteBuffer.wrap(bytes));
                process.scheduleTick();
            });
        }
    }

    /** Checks that budget shares add up to at most 1 and that incarnations never decrease. */
    private void checkInvariants() {
        double shareSum = 0;
        checkCount++;
        for (Process process : processes.values()) {
            if (process.dead) {
                continue;
            }
            shareSum += process.budgetShare();
            for (String name : checkCount % 10 == 0 ? names : List.<String>of()) {
                long incarnation = process.membership.incarnationOf(name);
                Long previous = process.lastIncarnations.put(name, incarnation);
                if (previous != null && previous > incarnation) {
                    throw new InvariantViolation(process.name + " has incarnation " + incarnation + " of "
                        + name + " after " + previous);
                }
            }
        }
        maxShareSum = Math.max(maxShareSum, shareSum);
        if (shareSum > 1 + 1e-9) {
            throw new InvariantViolation(String.format("at %.3f s the budget shares add up to %.4f",
                now / 1e6, shareSum));
        }
        schedule(CHECK_INTERVAL, this::checkInvariants);
    }

    /**
     * Returns null if the views of all live members are equal and right and the members know that they agree,
     * else what is wrong.
     */
    String disagreement() {
        String error = viewDifference();
        for (Process process : processes.values()) {
            MembershipSnapshot snapshot = error != null || process.dead ? null
                : process.membership.snapshot(process.localTime());
            // With many members, a few reports may be stale at any moment.
            if (snapshot != null && snapshot.agreeingMembers()
                < snapshot.presentMembers() - snapshot.presentMembers() / 40) {
                return process.name + " does not know that all agree: " + snapshot
                    + process.membership.memberStatuses(process.localTime()).stream()
                    .filter(status -> !status.state().isAbsent()
                    && (status.reportAge() < 0 || !status.differingMembers().isEmpty())).toList();
            }
        }
        return error;
    }

    /** Returns null if the views of all live members are equal and right, else what is wrong. */
    String viewDifference() {
        String digest = null;
        for (Process process : processes.values()) {
            if (process.dead) {
                continue;
            }
            for (String name : names) {
                Process subject = processes.get(name);
                boolean running = subject != null && !subject.dead;
                MemberState state = process.membership.stateOf(name);
                if (running != (state == MemberState.PRESENT)) {
                    return process.name + " sees " + name + " " + state + ", which " + (running ? "is alive"
                        : "is dead");
                }
            }
            if (digest != null && !digest.equals(process.membership.digest())) {
                return process.name + " has a different view";
            }
            digest = process.membership.digest();
        }
        return null;
    }
}
