package dockrelay.fleet;

import static dockrelay.fleet.MembershipSimulation.MILLISECOND;
import static dockrelay.fleet.MembershipSimulation.SECOND;

import java.util.List;
import java.util.Random;

/**
 * One simulated run from a seed: a group starts, random faults overlap for a while, and then it has time to
 * converge.
 */
final class FaultSchedule {
    /** Time after the last fault within which all views have to converge. */
    static final long CONVERGENCE_TIME = 22 * SECOND;
    private static final long STARTUP_TIME = 4 * SECOND, FAULT_WINDOW = 14 * SECOND;

    /** The result of a run. */
    record Outcome(int memberCount, boolean lossless, int falseDeclarations, List<Long> detectionTimes,
        double maxShareSum) {
    }

    private final MembershipSimulation simulation;
    private final Random random;
    private final int memberCount;
    private boolean lossless = true, pausesOnly = true;
    private long lastFaultAt;
    private boolean singleFault;

    private FaultSchedule(long seed, MembershipSimulation.Factory factory, boolean tracing) {
        random = new Random(seed * 31 + 7);
        double sizeClass = random.nextDouble();
        memberCount = sizeClass < 0.8 ? 3 + random.nextInt(6) : sizeClass < 0.985 ? 9 + random.nextInt(16)
            : 25 + random.nextInt(76);
        simulation = new MembershipSimulation(seed, memberCount, factory, tracing);
    }

    static Outcome run(long seed, MembershipSimulation.Factory factory, boolean tracing) {
        return new FaultSchedule(seed, factory, tracing).run();
    }

    private Outcome run() {
        boolean startTogether = random.nextBoolean();
        for (int i = 0; i < memberCount; i++) {
            int memberIndex = i;
            simulation.schedule(startTogether ? 0 : random.nextInt((int) SECOND),
                () -> simulation.start("n" + memberIndex, 1));
        }
        simulation.runUntil(STARTUP_TIME);
        int faultCount = 1 + random.nextInt(3);
        singleFault = faultCount == 1;
        for (int i = 0; i < faultCount; i++) {
            addRandomFault(STARTUP_TIME + (long) (random.nextDouble() * FAULT_WINDOW));
        }
        lastFaultAt = Math.max(lastFaultAt, STARTUP_TIME);
        while (simulation.now < lastFaultAt) { // a fault may schedule further ones
            simulation.runUntil(lastFaultAt);
        }
        // Replayed datagrams still arrive.
        simulation.lossRate = simulation.duplicationRate = simulation.corruptionRate = 0;
        String error = awaitAgreement(lastFaultAt + CONVERGENCE_TIME);
        if (error == null) { // the views stay equal, except that members never heard of become gone over time
            simulation.runUntil(simulation.now + (random.nextInt(10) == 0 ? CONVERGENCE_TIME : SECOND));
            error = awaitAgreement(simulation.now + 4 * SECOND);
        }
        if (error != null) {
            throw new MembershipSimulation.InvariantViolation(String.format("%.1f s after the last fault: %s",
                CONVERGENCE_TIME / 1e6, error));
        }
        if (lossless && simulation.falseDeclarations > 0) {
            throw new MembershipSimulation.InvariantViolation(
                "false declaration although no datagram was lost: " + simulation.lastFalseDeclaration);
        }
        if (pausesOnly && simulation.suspicionAfterResume != null) {
            throw new MembershipSimulation.InvariantViolation(
                "a member suspected others right after it was paused: " + simulation.suspicionAfterResume);
        }
        if (simulation.maxDatagramBytes > Datagram.MAX_DATAGRAM_BYTES) {
            throw new MembershipSimulation.InvariantViolation("datagram too long: "
                + simulation.maxDatagramBytes + " bytes");
        }
        return new Outcome(memberCount, lossless, simulation.falseDeclarations, simulation.detectionTimes,
            simulation.maxShareSum);
    }

    private String awaitAgreement(long deadline) {
        String error = simulation.disagreement();
        while (error != null && simulation.now < deadline) {
            simulation.runUntil(simulation.now + SECOND / 2);
            error = simulation.disagreement();
        }
        return error;
    }

    private void scheduleAt(long time, Runnable action) {
        lastFaultAt = Math.max(lastFaultAt, time);
        simulation.schedule(time - simulation.now, action);
    }

    private String randomMember() {
        return "n" + random.nextInt(memberCount);
    }

    private boolean isRunning(String name) {
        MembershipSimulation.Process process = simulation.processes.get(name);
        return process != null && !process.dead && !process.paused;
    }

    private void addRandomFault(long time) {
        int kind = random.nextInt(12);
        pausesOnly &= kind == 3 || kind == 11;
        switch (kind) {
            case 0, 1 -> kill(time, randomMember());
            case 2 -> { // most or all members die at once, and most of them restart
                double fraction = random.nextBoolean() ? 0.7 : 1;
                for (int i = 0; i < memberCount; i++) {
                    if (random.nextDouble() < fraction) {
                        kill(time, "n" + i);
                    }
                }
            }
            case 3 -> { // a pause; one of half a second must not be taken for a death
                long duration = List.of(500 * MILLISECOND, 3 * SECOND, 9 * SECOND).get(random.nextInt(3));
                lossless &= duration < SECOND;
                pause(time, duration, randomMember());
            }
            case 11 -> { // a process that runs for short moments only
                lossless = false;
                String name = randomMember();
                for (int i = 0; i < 30; i++) {
                    pause(time + i * 350 * MILLISECOND, 250 * MILLISECOND, name);
                }
            }
            case 4 -> { // one member loses all datagrams in one direction
                lossless = false;
                int a = random.nextInt(memberCount);
                boolean inbound = random.nextBoolean();
                for (int b = 0; b < memberCount; b++) {
                    if (a != b) {
                        blockDirection(time, time + 3 * SECOND + random.nextInt((int) (6 * SECOND)), inbound
                            ? b : a, inbound ? a : b);
                    }
                }
            }
            case 5 -> { // two members cannot reach each other; indirect probes show that both are alive
                int a = random.nextInt(memberCount), b = random.nextInt(memberCount);
                lossless &= memberCount > 3 && singleFault; // needs at least one helper that is alive
                blockDirection(time, time + 5 * SECOND, a, b);
                blockDirection(time, time + 5 * SECOND, b, a);
            }
            case 6 -> partition(time, 2);
            case 7 -> partition(time, 3);
            case 8 -> { // loss, delay, duplication and corruption
                lossless = false;
                double lossRate = random.nextDouble() * 0.3;
                scheduleAt(time, () -> {
                    simulation.lossRate = lossRate;
                    simulation.duplicationRate = 0.1;
                    simulation.corruptionRate = 0.02;
                    simulation.maxJitter = 30 * MILLISECOND;
                });
                scheduleAt(time + 6 * SECOND, () -> {
                    simulation.lossRate = simulation.duplicationRate = simulation.corruptionRate = 0;
                    simulation.maxJitter = 3 * MILLISECOND;
                });
            }
            case 9 -> { // a flapping link
                lossless = false;
                int a = random.nextInt(memberCount), b = random.nextInt(memberCount);
                for (int i = 0; i < 10; i++) {
                    blockDirection(time + i * 600 * MILLISECOND, time + i * 600 * MILLISECOND
                        + 300 * MILLISECOND, a, b);
                    blockDirection(time + i * 600 * MILLISECOND, time + i * 600 * MILLISECOND
                        + 300 * MILLISECOND, b, a);
                }
            }
            default -> { // a member leaves and returns
                String name = randomMember();
                scheduleAt(time, () -> {
                    if (isRunning(name)) {
                        MembershipSimulation.Process process = simulation.processes.get(name);
                        simulation.trace(name + " leaves");
                        process.membership.leave(process.localTime());
                        scheduleAt(simulation.now + SECOND, () -> simulation.kill(name));
                        restart(simulation.now + 2 * SECOND + random.nextInt((int) (5 * SECOND)), name);
                    }
                });
                lastFaultAt = Math.max(lastFaultAt, time + 8 * SECOND);
            }
        }
        simulation.replayRate = random.nextInt(3) == 0 ? 0.01 : 0;
    }

    private void pause(long time, long duration, String name) {
        scheduleAt(time, () -> {
            if (isRunning(name)) {
                MembershipSimulation.Process process = simulation.processes.get(name);
                simulation.pause(name);
                scheduleAt(simulation.now + duration, () -> {
                    if (!process.dead) {
                        simulation.resume(process);
                    }
                });
            }
        });
        lastFaultAt = Math.max(lastFaultAt, time + duration);
    }

    private void kill(long time, String name) {
        scheduleAt(time, () -> simulation.kill(name));
        if (random.nextInt(4) > 0) {
            restart(time + 20 * MILLISECOND + random.nextInt((int) (8 * SECOND)), name);
        }
    }

    /**
     * Restarts a member with its stored incarnation, or with the lowest one, so that peers have to correct
     * it.
     */
    private void restart(long time, String name) {
        boolean keepsIncarnation = random.nextBoolean();
        scheduleAt(time, () -> {
            MembershipSimulation.Process process = simulation.processes.get(name);
            if (process != null && process.dead) {
                simulation.start(name, keepsIncarnation ? simulation.incarnations.getOrDefault(name, 0L) + 1
                    : 1);
            }
        });
    }

    private void blockDirection(long start, long end, int from, int to) {
        if (from != to) {
            scheduleAt(start, () -> simulation.changeBlockCount(from, to, 1));
            scheduleAt(end, () -> simulation.changeBlockCount(from, to, -1));
        }
    }

    private void partition(long start, int sideCount) {
        lossless = false;
        long end = start + 2 * SECOND + random.nextInt((int) (12 * SECOND));
        int[] sides = random.ints(memberCount, 0, sideCount).toArray();
        simulation.sides = singleFault ? sides : null;
        for (int a = 0; a < memberCount; a++) {
            for (int b = 0; b < memberCount; b++) {
                if (sides[a] != sides[b]) {
                    blockDirection(start, end, a, b);
                }
            }
        }
    }
}
