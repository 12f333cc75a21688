package dockrelay.fleet.budget;

import dockrelay.fleet.budget.BudgetSimulation.InvariantViolation;
import dockrelay.fleet.budget.BudgetSimulation.SimulatedProcess;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/** A random schedule of faults in a simulated fleet, generated from a seed, and the checks at its end. */
final class BudgetFaultSchedule {
    private static final long SECOND_MICROS = BudgetSimulation.SECOND_MICROS,
        MILLI_MICROS = BudgetSimulation.MILLI_MICROS;
    private static final long FIRST_FAULT_MICROS = 12 * SECOND_MICROS,
        FAULT_PHASE_MICROS = 45 * SECOND_MICROS, RECOVERY_MICROS = 60 * SECOND_MICROS;

    private final Random random;
    final BudgetSimulation simulation;
    private final Set<String> memberNames = new TreeSet<>();
    private final int memberCount;
    private final boolean overloaded; // demand far exceeds the budget

    BudgetFaultSchedule(long seed, BudgetSimulation.NodeFactory nodeFactory, boolean traceEnabled) {
        random = new Random(seed * 31 + 7);
        memberCount = random.nextInt(10) == 0 ? 16 : 1 + random.nextInt(8);
        overloaded = random.nextBoolean();
        Budget budget = random.nextInt(3) == 0
            ? new Budget("few", 3 * Budget.MICROTOKENS_PER_TOKEN, 3 * Budget.MICROTOKENS_PER_TOKEN)
            : new Budget("many", 40L * memberCount * Budget.MICROTOKENS_PER_TOKEN,
                40L * memberCount * Budget.MICROTOKENS_PER_TOKEN);
        simulation = new BudgetSimulation(seed, budget, nodeFactory, traceEnabled);
        for (int i = 0; i < memberCount; i++) {
            memberNames.add("n" + i);
        }
    }

    private void scheduleAt(long time, Runnable action) {
        simulation.scheduleAfter(time - simulation.now, action);
    }

    private SimulatedProcess randomLiveProcess() {
        List<SimulatedProcess> live = simulation.processByName.values().stream()
            .filter(process -> !process.dead).toList();
        return live.isEmpty() ? null : live.get(random.nextInt(live.size()));
    }

    /** Runs the schedule; throws {@link InvariantViolation} if an invariant is violated. */
    void run() {
        boolean startTogether = random.nextBoolean();
        for (String name : memberNames) {
            scheduleAt(startTogether ? 0 : random.nextInt((int) (4 * SECOND_MICROS)),
                () -> setRandomDemand(simulation.start(name, memberNames)));
        }
        simulation.lossProbability = random.nextInt(3) == 0 ? random.nextDouble() * 0.2 : 0;
        simulation.duplicateProbability = random.nextInt(3) == 0 ? 0.1 : 0;
        simulation.replayProbability = random.nextInt(3) == 0 ? 0.02 : 0;
        int faultCount = 1 + random.nextInt(8);
        for (int i = 0; i < faultCount; i++) {
            scheduleAt(FIRST_FAULT_MICROS + (long) (random.nextDouble() * FAULT_PHASE_MICROS),
                this::injectFault);
        }
        simulation.runUntil(FIRST_FAULT_MICROS + FAULT_PHASE_MICROS + 15 * SECOND_MICROS);
        simulation.trace("end of faults");
        simulation.cutLinks.clear();
        simulation.lossProbability = 0;
        simulation.replayProbability = 0;
        for (String name : memberNames) {
            SimulatedProcess process = simulation.processByName.get(name);
            if (process == null || process.dead || process.unreachable) {
                setRandomDemand(simulation.start(name, memberNames));
            } else {
                simulation.resume(process);
                simulation.configure(process, memberNames);
            }
        }
        // processes that are not on the final list end
        for (SimulatedProcess process : simulation.allProcesses) {
            if (simulation.processByName.get(process.name) != process
                || !memberNames.contains(process.name)) {
                simulation.kill(process);
            }
        }
        Set<String> retiredNames = new TreeSet<>();
        simulation.allProcesses.forEach(process -> retiredNames.add(process.name));
        retiredNames.removeAll(memberNames);
        for (SimulatedProcess process : simulation.processByName.values()) {
            process.run(() -> process.node.setRetiredMembers(process.localTime(), retiredNames));
        }
        simulation.runUntil(simulation.now + RECOVERY_MICROS);
        long maxLeasedRate = 0; // shares that move between processes belong to neither for a moment
        for (int i = 0; i < 30; i++) {
            simulation.runUntil(simulation.now + 100 * MILLI_MICROS);
            maxLeasedRate = Math.max(maxLeasedRate, simulation.totalLeasedRate());
        }
        long coordinatorCount = simulation.processByName.values().stream().filter(process -> !process.dead
            && process.node.isCoordinator(process.localTime())).count();
        if (coordinatorCount != 1) {
            throw new InvariantViolation(coordinatorCount + " coordinators at the end, "
                + describeMissingVoters());
        }
        if (simulation.budget.name().equals("many") && maxLeasedRate < 0.9 * simulation.budget.rate()) {
            throw new InvariantViolation(maxLeasedRate / (double) simulation.budget.rate()
                + " of the rate is leased at the end, " + simulation.processByName.values().stream()
                .filter(process -> !process.dead).map(process -> process.name + " " + process.shareRate
                + " of " + process.node.budgetStatuses(process.localTime())).toList());
        }
    }

    private String describeMissingVoters() {
        return String.valueOf(simulation.processByName.values().stream().map(process -> process.name
            + " waits for " + process.node.missingVoters()).toList());
    }

    private void setRandomDemand(SimulatedProcess process) {
        double budgetRate = simulation.budget.rate() / (double) Budget.MICROTOKENS_PER_TOKEN;
        process.demandPerSecond = random.nextInt(3) == 0 ? 0 : (overloaded ? 5 : random.nextDouble() * 3)
            * budgetRate / memberCount;
    }

    private void injectFault() {
        SimulatedProcess process = randomLiveProcess();
        if (process == null) {
            return;
        }
        switch (random.nextInt(12)) {
            case 0, 1 -> killAndMaybeRestart(process);
            case 2 -> { // several processes die at once
                int count = 1 + random.nextInt(memberCount);
                for (int i = 0; i < count; i++) {
                    SimulatedProcess victim = randomLiveProcess();
                    if (victim != null) {
                        killAndMaybeRestart(victim);
                    }
                }
            }
            case 3, 4 -> { // suspended with its state, and resumed later
                process.suspended = true;
                scheduleAt(simulation.now
                    + (long) (random.nextDouble() * random.nextInt(4) * 4 * SECOND_MICROS),
                    () -> simulation.resume(process));
            }
            case 5 -> partitionNetwork();
            case 6 -> cutLinksOneWay(process);
            case 7, 8 -> changeMemberList();
            case 9 -> replaceProcess(process);
            case 10 -> { // leaves in order and is started again
                simulation.leave(process);
                scheduleAt(simulation.now + SECOND_MICROS / 2, () -> simulation.kill(process));
                scheduleAt(simulation.now + 2 * SECOND_MICROS,
                    () -> setRandomDemand(simulation.start(process.name, process.memberNames)));
            }
            default -> simulation.processByName.values().forEach(this::setRandomDemand);
        }
    }

    private void killAndMaybeRestart(SimulatedProcess process) {
        simulation.kill(process);
        if (random.nextInt(4) > 0) {
            scheduleAt(simulation.now + 300 * MILLI_MICROS + random.nextInt((int) (5 * SECOND_MICROS)),
                () -> {
                if (simulation.processByName.get(process.name) == process) {
                    setRandomDemand(simulation.start(process.name, process.memberNames));
                }
            });
        }
    }

    private void partitionNetwork() {
        List<String> firstSide = new ArrayList<>();
        for (String name : simulation.processByName.keySet()) {
            if (random.nextBoolean()) {
                firstSide.add(name);
            }
        }
        for (String first : simulation.processByName.keySet()) {
            for (String second : simulation.processByName.keySet()) {
                if (firstSide.contains(first) != firstSide.contains(second)) {
                    cutLink(first + ">" + second, 15);
                }
            }
        }
    }

    private void cutLinksOneWay(SimulatedProcess process) {
        for (String other : simulation.processByName.keySet()) {
            cutLink(random.nextBoolean() ? process.name + ">" + other : other + ">" + process.name, 10);
        }
    }

    private void cutLink(String link, int maxSeconds) {
        simulation.cutLinks.add(link);
        scheduleAt(simulation.now + SECOND_MICROS + random.nextInt(maxSeconds * (int) SECOND_MICROS),
            () -> simulation.cutLinks.remove(link));
    }

    /** Changes the member list. Each process learns of it at a random time, some never. */
    private void changeMemberList() {
        Set<String> newNames = new TreeSet<>();
        int size = 1 + random.nextInt(2 * memberCount);
        for (int i = 0; i < size; i++) {
            newNames.add("n" + i);
        }
        for (String name : newNames) {
            SimulatedProcess process = simulation.processByName.get(name);
            if (process == null || process.dead) {
                scheduleAt(simulation.now + random.nextInt((int) (4 * SECOND_MICROS)), () -> {
                    SimulatedProcess current = simulation.processByName.get(name);
                    if (current == null || current.dead) {
                        setRandomDemand(simulation.start(name, newNames));
                    }
                });
            }
        }
        for (SimulatedProcess process : List.copyOf(simulation.processByName.values())) {
            if (random.nextInt(5) > 0 && newNames.contains(process.name)) {
                scheduleAt(simulation.now + random.nextInt((int) (6 * SECOND_MICROS)), () -> {
                    if (!process.dead) {
                        simulation.configure(process, newNames);
                    }
                });
            } else if (!newNames.contains(process.name) && random.nextBoolean()) {
                scheduleAt(simulation.now + random.nextInt((int) (6 * SECOND_MICROS)),
                    () -> simulation.kill(process));
            }
        }
    }

    /**
     * Replaces a process by another of the same name; the old one may be suspended, killed or slow to
     * leave.
     */
    private void replaceProcess(SimulatedProcess process) {
        int variant = random.nextInt(4);
        if (variant == 0) {
            process.unreachable = true; // it lost its address without leaving, and keeps spending
        } else if (variant == 1) {
            process.suspended = true;
            process.unreachable = true;
            scheduleAt(simulation.now + random.nextInt((int) (8 * SECOND_MICROS)),
                () -> simulation.resume(process));
        } else {
            simulation.leave(process);
        }
        scheduleAt(simulation.now + random.nextInt((int) SECOND_MICROS),
            () -> setRandomDemand(simulation.start(process.name, process.memberNames)));
        scheduleAt(simulation.now + (variant == 2 ? 100 * MILLI_MICROS : 9 * SECOND_MICROS), () -> {
            process.dead = true; // the name belongs to the new process
        });
    }
}
