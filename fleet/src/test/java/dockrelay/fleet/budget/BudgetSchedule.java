package dockrelay.fleet.budget;

import dockrelay.fleet.budget.BudgetWorld.Broken;
import dockrelay.fleet.budget.BudgetWorld.Process;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/** A random schedule of faults in a simulated fleet, generated from a seed, and the checks at its end. */
final class BudgetSchedule {
    private static final long SECOND = BudgetWorld.SECOND, MILLI = BudgetWorld.MILLI;
    private static final long START = 12 * SECOND, FAULTS = 45 * SECOND, CALM = 60 * SECOND;

    private final Random random;
    final BudgetWorld world;
    private final Set<String> names = new TreeSet<>();
    private final int n;
    private final boolean hot; // demand far exceeds the budget

    BudgetSchedule(long seed, BudgetWorld.Maker maker, boolean traced) {
        random = new Random(seed * 31 + 7);
        n = random.nextInt(10) == 0 ? 16 : 1 + random.nextInt(8);
        hot = random.nextBoolean();
        Budget budget = random.nextInt(3) == 0 ? new Budget("few", 3 * Budget.MICROTOKENS_PER_TOKEN, 3 * Budget.MICROTOKENS_PER_TOKEN)
            : new Budget("many", 40L * n * Budget.MICROTOKENS_PER_TOKEN, 40L * n * Budget.MICROTOKENS_PER_TOKEN);
        world = new BudgetWorld(seed, budget, maker, traced);
        for (int i = 0; i < n; i++) {
            names.add("n" + i);
        }
    }

    private void at(long when, Runnable action) {
        world.later(when - world.now, action);
    }

    private Process any() {
        List<Process> alive = world.processes.values().stream().filter(one -> !one.dead).toList();
        return alive.isEmpty() ? null : alive.get(random.nextInt(alive.size()));
    }

    /** Runs the schedule; throws {@link Broken} if an invariant is violated. */
    void play() {
        boolean together = random.nextBoolean();
        for (String name : names) {
            at(together ? 0 : random.nextInt((int) (4 * SECOND)), () -> demand(world.start(name, names)));
        }
        world.loss = random.nextInt(3) == 0 ? random.nextDouble() * 0.2 : 0;
        world.repeats = random.nextInt(3) == 0 ? 0.1 : 0;
        world.replays = random.nextInt(3) == 0 ? 0.02 : 0;
        int faults = 1 + random.nextInt(8);
        for (int i = 0; i < faults; i++) {
            at(START + (long) (random.nextDouble() * FAULTS), this::fault);
        }
        world.runUntil(START + FAULTS + 15 * SECOND);
        world.trace("end of faults");
        world.cut.clear();
        world.loss = 0;
        world.replays = 0;
        for (String name : names) {
            Process process = world.processes.get(name);
            if (process == null || process.dead || process.deaf) {
                demand(world.start(name, names));
            } else {
                world.goOn(process);
                world.configure(process, names);
            }
        }
        for (Process process : world.all) { // processes that are not on the final list end
            if (world.processes.get(process.name) != process || !names.contains(process.name)) {
                world.kill(process);
            }
        }
        Set<String> gone = new TreeSet<>();
        world.all.forEach(process -> gone.add(process.name));
        gone.removeAll(names);
        for (Process process : world.processes.values()) {
            process.run(() -> process.machine.setRetiredMembers(process.local(), gone));
        }
        world.runUntil(world.now + CALM);
        long most = 0; // shares that move between processes belong to neither for a moment
        for (int i = 0; i < 30; i++) {
            world.runUntil(world.now + 100 * MILLI);
            most = Math.max(most, world.lent());
        }
        long keepers = world.processes.values().stream().filter(one -> !one.dead
            && one.machine.isCoordinator(one.local())).count();
        if (keepers != 1) {
            throw new Broken(keepers + " coordinators at the end, " + waiting());
        }
        if (world.budget.name().equals("many") && most < 0.9 * world.budget.rate()) {
            throw new Broken(most / (double) world.budget.rate() + " of the rate is leased at the end, "
                + world.processes.values().stream().filter(one -> !one.dead).map(one -> one.name + " " +
                    one.partRate
                + " of " + one.machine.budgetStatuses(one.local())).toList());
        }
    }

    private String waiting() {
        return String.valueOf(world.processes.values().stream().map(one -> one.name + " waits for "
            + one.machine.missingVoters()).toList());
    }

    private void demand(Process process) {
        double whole = world.budget.rate() / (double) Budget.MICROTOKENS_PER_TOKEN;
        process.demand = random.nextInt(3) == 0 ? 0 : (hot ? 5 : random.nextDouble() * 3) * whole / n;
    }

    private void fault() {
        Process process = any();
        if (process == null) {
            return;
        }
        switch (random.nextInt(12)) {
            case 0, 1 -> killed(process);
            case 2 -> { // several processes die at once
                int count = 1 + random.nextInt(n);
                for (int i = 0; i < count; i++) {
                    Process one = any();
                    if (one != null) {
                        killed(one);
                    }
                }
            }
            case 3, 4 -> { // suspended with its state, and resumed later
                process.stopped = true;
                at(world.now + (long) (random.nextDouble() * random.nextInt(4) * 4 * SECOND),
                    () -> world.goOn(process));
            }
            case 5 -> split();
            case 6 -> oneWay(process);
            case 7, 8 -> resize();
            case 9 -> upgrade(process);
            case 10 -> {
                world.leave(process);
                at(world.now + SECOND / 2, () -> world.kill(process));
                at(world.now + 2 * SECOND, () -> demand(world.start(process.name, process.names)));
            }
            default -> world.processes.values().forEach(this::demand);
        }
    }

    private void killed(Process process) {
        world.kill(process);
        if (random.nextInt(4) > 0) {
            at(world.now + 300 * MILLI + random.nextInt((int) (5 * SECOND)), () -> {
                if (world.processes.get(process.name) == process) {
                    demand(world.start(process.name, process.names));
                }
            });
        }
    }

    private void split() {
        List<String> side = new ArrayList<>();
        for (String name : world.processes.keySet()) {
            if (random.nextBoolean()) {
                side.add(name);
            }
        }
        for (String a : world.processes.keySet()) {
            for (String b : world.processes.keySet()) {
                if (side.contains(a) != side.contains(b)) {
                    cut(a + ">" + b, 15);
                }
            }
        }
    }

    private void oneWay(Process process) {
        for (String other : world.processes.keySet()) {
            cut(random.nextBoolean() ? process.name + ">" + other : other + ">" + process.name, 10);
        }
    }

    private void cut(String way, int most) {
        world.cut.add(way);
        at(world.now + SECOND + random.nextInt(most * (int) SECOND), () -> world.cut.remove(way));
    }

    /** Changes the member list. Each process learns of it at a random time, some never. */
    private void resize() {
        Set<String> to = new TreeSet<>();
        int size = 1 + random.nextInt(2 * n);
        for (int i = 0; i < size; i++) {
            to.add("n" + i);
        }
        for (String name : to) {
            Process process = world.processes.get(name);
            if (process == null || process.dead) {
                at(world.now + random.nextInt((int) (4 * SECOND)), () -> {
                    Process there = world.processes.get(name);
                    if (there == null || there.dead) {
                        demand(world.start(name, to));
                    }
                });
            }
        }
        for (Process process : List.copyOf(world.processes.values())) {
            if (random.nextInt(5) > 0 && to.contains(process.name)) {
                at(world.now + random.nextInt((int) (6 * SECOND)), () -> {
                    if (!process.dead) {
                        world.configure(process, to);
                    }
                });
            } else if (!to.contains(process.name) && random.nextBoolean()) {
                at(world.now + random.nextInt((int) (6 * SECOND)), () -> world.kill(process));
            }
        }
    }

    /**
     * Replaces a process by another of the same name; the old one may be suspended, killed or slow to
     * leave.
     */
    private void upgrade(Process process) {
        int how = random.nextInt(4);
        if (how == 0) {
            process.deaf = true; // it lost its address without leaving, and keeps spending
        } else if (how == 1) {
            process.stopped = true;
            process.deaf = true;
            at(world.now + random.nextInt((int) (8 * SECOND)), () -> world.goOn(process));
        } else {
            world.leave(process);
        }
        at(world.now + random.nextInt((int) SECOND), () -> demand(world.start(process.name, process.names)));
        at(world.now + (how == 2 ? 100 * MILLI : 9 * SECOND), () -> {
            process.dead = true; // the name belongs to the new process
        });
    }
}
