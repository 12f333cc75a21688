package dockrelay.fleet.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import dockrelay.fleet.budget.BudgetSimulation.InvariantViolation;
import dockrelay.fleet.budget.BudgetSimulation.SimulatedProcess;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random fault schedules of the budget protocol. {@code -Dbudget.schedule=SEED} runs a single one with
 * a trace, {@code -Dbudget.schedules=N} sets their number.
 */
class BudgetNodeTest {
    private static final BudgetSimulation.NodeFactory CORRECT_NODE = (selfName, memberNames, budgets,
        instanceId, random, callbacks, now) -> new BudgetNode(selfName, memberNames, budgets, instanceId,
        BudgetTiming.DEFAULT, random, callbacks, now);

    private static final BudgetNode.Callbacks NO_CALLBACKS = new BudgetNode.Callbacks() {
        @Override
        public void send(String memberName, ByteBuffer datagram) {
            // no network
        }

        @Override
        public void applyShares(long updateNumber, List<LeasedShare> shares, long validUntil) {
            // no spender
        }

        @Override
        public void logEvent(String text) {
            // no log
        }
    };

    private static final Pattern OVERSPENDING = Pattern.compile("spent than the budget|shares add up to");

    static String violationOf(long seed, BudgetSimulation.NodeFactory nodeFactory, boolean traceEnabled) {
        try {
            new BudgetFaultSchedule(seed, nodeFactory, traceEnabled).run();
            return null;
        } catch (InvariantViolation violation) {
            return "schedule " + seed + ": " + violation.getMessage();
        }
    }

    /** A list of 129 members does not fit into a datagram: no coordinator could ever be elected. */
    @Test
    void rejectsTooManyMembers() {
        List<String> maxNames = IntStream.range(0, 128).mapToObj(i -> "n" + i).toList();
        List<String> tooManyNames = IntStream.range(0, 129).mapToObj(i -> "n" + i).toList();
        BudgetNode node = CORRECT_NODE.newNode("n0", maxNames, List.of(), 1, new Random(1), NO_CALLBACKS, 0);
        for (Executable rejectedCall : List.<Executable>of(() -> node.configure(1, tooManyNames, List.of()),
            () -> CORRECT_NODE.newNode("n0", tooManyNames, List.of(), 1, new Random(1), NO_CALLBACKS, 0))) {
            BudgetException exception = assertThrows(BudgetException.class, rejectedCall);
            assertEquals("B-MEMBERS: 129 members that share budgets; allowed are 128 in one group",
                exception.getMessage());
        }
    }

    @Test
    void randomSchedulesNeverOverspend() {
        String singleSeed = System.getProperty("budget.schedule");
        if (singleSeed != null) {
            String violation = violationOf(Long.parseLong(singleSeed), CORRECT_NODE, true);
            assertTrue(violation == null, violation);
            return;
        }
        long scheduleCount = Long.getLong("budget.schedules", 3_000);
        long startNanos = System.nanoTime();
        List<String> violations = LongStream.range(0, scheduleCount).parallel()
            .mapToObj(seed -> violationOf(seed, CORRECT_NODE, false)).filter(text -> text != null).toList();
        System.out.printf("%d schedules in %.1f s, %d with violations%n", scheduleCount,
            (System.nanoTime() - startNanos) / 1e9, violations.size());
        if (!violations.isEmpty()) {
            fail(String.join("\n", violations.subList(0, Math.min(5, violations.size()))));
        }
    }

    /**
     * Checks that the schedules are able to detect bugs: each injected bug has to violate an invariant.
     */
    @ParameterizedTest
    @EnumSource(FaultyBudgetNode.class)
    void schedulesDetectInjectedBugs(FaultyBudgetNode faulty) {
        long seedLimit = faulty.firstSeed + 1_000, detectedAtSeed = -1;
        for (long firstSeed = faulty.firstSeed;
            firstSeed < seedLimit && detectedAtSeed < 0; firstSeed += 200) {
            detectedAtSeed = LongStream.range(firstSeed, firstSeed + 200).parallel()
                .filter(seed -> OVERSPENDING.matcher(String.valueOf(violationOf(seed, faulty, false))).find())
                .min().orElse(-1);
        }
        System.out.println(faulty + ": detected at seed " + detectedAtSeed);
        assertTrue(detectedAtSeed >= 0, faulty + " is not detected");
    }

    /**
     * Shares follow a demand that shifts between members, with small budgets as well as with large
     * ones.
     */
    @ParameterizedTest
    @CsvSource({"3,60,60", "12,120,120", "48,480,480", "12,3,3", "48,3,3"})
    void sharesFollowShiftingDemand(int members, int rate, int burst) {
        Budget budget = new Budget("shifts", rate * Budget.MICROTOKENS_PER_TOKEN,
            burst * Budget.MICROTOKENS_PER_TOKEN);
        BudgetSimulation simulation = new BudgetSimulation(members, budget, CORRECT_NODE, false);
        Set<String> names = new TreeSet<>();
        IntStream.range(0, members).forEach(i -> names.add("n" + i));
        names.forEach(name -> simulation.start(name, names));
        simulation.runUntil(20 * BudgetSimulation.SECOND_MICROS);
        long spent = 0;
        int shifts = 10;
        for (int i = 0; i < shifts; i++) {
            // a third of the members together demand twice the budget
            for (SimulatedProcess process : simulation.allProcesses) {
                process.demandPerSecond = simulation.random.nextInt(3) == 0 ? 6.0 * rate / members : 0;
            }
            simulation.allProcesses.get(i % members).demandPerSecond = 6.0 * rate / members + rate * 1.2;
            simulation.runUntil(simulation.now + 2 * BudgetSimulation.SECOND_MICROS);
            long spentBefore = simulation.totalSpent;
            simulation.runUntil(simulation.now + 8 * BudgetSimulation.SECOND_MICROS);
            spent += simulation.totalSpent - spentBefore;
        }
        double usedFraction = spent / (8.0 * shifts * rate);
        long maxWaitMicros = simulation.allProcesses.stream().mapToLong(process -> process.maxWaitMicros)
            .max().orElse(0);
        System.out.printf("%d members, %d a second: %.3f of the rate used from 2 s after a shift,"
            + " %.0f datagrams and %.1f kB a second each, longest wait %.1f s%n", members, rate, usedFraction,
            simulation.datagramCount * 1e6 / simulation.now / members,
            simulation.sentBytes * 1e3 / simulation.now / members, maxWaitMicros / 1e6);
        assertTrue(usedFraction >= 0.9, usedFraction + " of the rate is used");
    }

    /**
     * A new member soon gets a share, the share of a leaving member is redistributed at once, and that
     * of a dead member after its lease has expired.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 12, 48})
    void sharesAreRedistributedWhenMembersChange(int members) {
        Budget budget = new Budget("all", 20L * members * Budget.MICROTOKENS_PER_TOKEN,
            20L * members * Budget.MICROTOKENS_PER_TOKEN);
        BudgetSimulation simulation = new BudgetSimulation(members, budget, CORRECT_NODE, false);
        Set<String> names = new TreeSet<>();
        IntStream.range(0, members + 1).forEach(i -> names.add("n" + i));
        names.forEach(name -> simulation.start(name, names).demandPerSecond = 40);
        simulation.runUntil(20 * BudgetSimulation.SECOND_MICROS);
        List<SimulatedProcess> dead = simulation.allProcesses.stream()
            .filter(process -> !process.node.isCoordinator(process.localTime()))
            .limit(Math.max(1, members / 4)).toList();
        dead.forEach(simulation::kill);
        long redistributedAfter = microsUntil(simulation, () -> simulation.totalLeasedRate() > 0.93 * budget
            .rate());
        SimulatedProcess newMember = simulation.start(dead.get(0).name, names);
        newMember.demandPerSecond = 40;
        long newMemberServedAfter = microsUntil(simulation, () -> newMember.shareRate > budget.rate() / 2
            / (members + 1));
        simulation.runUntil(simulation.now + 5 * BudgetSimulation.SECOND_MICROS);
        simulation.leave(newMember);
        long leftShareDividedAfter = microsUntil(simulation, () -> simulation.totalLeasedRate() > 0.93
            * budget.rate());
        SimulatedProcess coordinator = simulation.allProcesses.stream().filter(process ->
            process.node.isCoordinator(process.localTime())).findFirst().orElseThrow();
        simulation.kill(coordinator);
        long newCoordinatorAfter = microsUntil(simulation, () -> simulation.allProcesses.stream()
            .anyMatch(process -> !process.dead && !process.unreachable
            && process.node.isCoordinator(process.localTime())));
        long allDividedAfter = microsUntil(simulation, () -> simulation.totalLeasedRate() > 0.9
            * budget.rate());
        System.out.printf("%d members: shares of a quarter that dies are back after %.1f s, a new member has"
            + " one after %.1f s, that of a leaving one is divided after %.1f s; the coordinator dies: next"
            + " after %.1f s, all divided %.1f s later%n", members, redistributedAfter / 1e6,
            newMemberServedAfter / 1e6, leftShareDividedAfter / 1e6, newCoordinatorAfter / 1e6,
            allDividedAfter / 1e6);
        assertTrue(newMemberServedAfter <= 2 * BudgetSimulation.SECOND_MICROS
            && leftShareDividedAfter <= BudgetSimulation.SECOND_MICROS, newMemberServedAfter
            + " us until a new member has a share; us until a leaving member's share is divided: "
            + leftShareDividedAfter);
        assertTrue(redistributedAfter <= 7 * BudgetSimulation.SECOND_MICROS
            && newCoordinatorAfter + allDividedAfter <= 11 * BudgetSimulation.SECOND_MICROS,
            redistributedAfter + " us until the shares of dead members are back; us until a new"
            + " coordinator has divided all: " + allDividedAfter);
    }

    /** Shares of a budget that is removed and added again are not leased twice. */
    @Test
    void reAddedBudgetIsNotLeasedTwice() {
        Budget budget = Budget.perSecond("again", 100);
        long now = BudgetTiming.DEFAULT.maxLeaseDuration() + 1;
        LeaseLedger ledger = new LeaseLedger(List.of(budget), 1, BudgetTiming.DEFAULT, 0);
        assertTrue(ledger.handleRequest(now, firstLeaseRequest(1, budget)).entries().get(0).rate() > 0,
            "the whole budget is free");
        ledger.configure(now + 1, List.of());
        ledger.configure(now + 2, List.of(budget));
        assertTrue(ledger.handleRequest(now + 3, firstLeaseRequest(2, budget)).entries().get(0).rate() == 0,
            "the budget is still leased");
        assertTrue(ledger.handleRequest(now + 3 + BudgetTiming.DEFAULT.maxLeaseDuration(),
            firstLeaseRequest(3, budget)).entries().get(0).rate() > 0, "the earlier lease has expired");
    }

    private static BudgetMessage firstLeaseRequest(int memberId, Budget budget) {
        return new BudgetMessage(BudgetMessage.Kind.LEASE_REQUEST, memberId, 7, 0, 1, 1, 0, 0, false, 0,
            null, null, List.of(new BudgetMessage.BudgetEntry(budget.id(), 0, 0, budget.rate(), 0)));
    }

    private static long microsUntil(BudgetSimulation simulation, BooleanSupplier condition) {
        long startedAt = simulation.now;
        while (!condition.getAsBoolean()
            && simulation.now - startedAt < 30 * BudgetSimulation.SECOND_MICROS) {
            simulation.runUntil(simulation.now + 10 * BudgetSimulation.MILLI_MICROS);
        }
        return simulation.now - startedAt;
    }
}
