package dockrelay.fleet.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import dockrelay.fleet.budget.BudgetWorld.Broken;
import dockrelay.fleet.budget.BudgetWorld.Process;
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
class BudgetsTest {
    private static final BudgetWorld.Maker SOUND = (self, names, budgets, life, random, actions, now) ->
        new BudgetNode(self, names, budgets, life, BudgetTiming.DEFAULT, random, actions, now);

    private static final BudgetNode.Callbacks NOBODY = new BudgetNode.Callbacks() {
        @Override
        public void send(String to, ByteBuffer datagram) {
            // no network
        }

        @Override
        public void applyShares(long telling, List<LeasedShare> parts, long until) {
            // no spender
        }

        @Override
        public void logEvent(String text) {
            // no log
        }
    };

    private static final Pattern BEYOND = Pattern.compile("spent than the budget|shares add up to");

    static String played(long seed, BudgetWorld.Maker maker, boolean traced) {
        try {
            new BudgetSchedule(seed, maker, traced).play();
            return null;
        } catch (Broken e) {
            return "schedule " + seed + ": " + e.getMessage();
        }
    }

    /** A list of 129 members does not fit into a datagram: no coordinator could ever be elected. */
    @Test
    void moreMembersThanAListHoldsAreRefusedByTheirNumber() {
        List<String> most = IntStream.range(0, 128).mapToObj(i -> "n" + i).toList();
        List<String> more = IntStream.range(0, 129).mapToObj(i -> "n" + i).toList();
        BudgetNode machine = SOUND.make("n0", most, List.of(), 1, new Random(1), NOBODY, 0);
        for (Executable refused : List.<Executable>of(() -> machine.configure(1, more, List.of()),
            () -> SOUND.make("n0", more, List.of(), 1, new Random(1), NOBODY, 0))) {
            BudgetException wrong = assertThrows(BudgetException.class, refused);
            assertEquals("B-MEMBERS: 129 members that share budgets; allowed are 128 in one group",
                wrong.getMessage());
        }
    }

    @Test
    void nothingIsEverSpentBeyondTheWhole() {
        String one = System.getProperty("budget.schedule");
        if (one != null) {
            String broken = played(Long.parseLong(one), SOUND, true);
            assertTrue(broken == null, broken);
            return;
        }
        long count = Long.getLong("budget.schedules", 3_000);
        long start = System.nanoTime();
        List<String> broken = LongStream.range(0, count).parallel().mapToObj(seed -> played(seed, SOUND,
            false))
            .filter(text -> text != null).toList();
        System.out.printf("%d schedules in %.1f s, %d with violations%n", count,
            (System.nanoTime() - start) / 1e9,
            broken.size());
        if (!broken.isEmpty()) {
            fail(String.join("\n", broken.subList(0, Math.min(5, broken.size()))));
        }
    }

    /**
     * Checks that the schedules are able to detect bugs: each injected bug has to violate an invariant.
     */
    @ParameterizedTest
    @EnumSource(BrokenBudgets.class)
    void aBrokenOneIsFoundOut(BrokenBudgets broken) {
        long most = broken.from + 1_000, found = -1;
        for (long from = broken.from; from < most && found < 0; from += 200) {
            found = LongStream.range(from, from + 200).parallel()
                .filter(seed -> BEYOND.matcher(String.valueOf(played(seed, broken, false))).find())
                .min().orElse(-1);
        }
        System.out.println(broken + ": detected at seed " + found);
        assertTrue(found >= 0, broken + " is not detected");
    }

    /**
     * Shares follow a demand that shifts between members, with small budgets as well as with large
     * ones.
     */
    @ParameterizedTest
    @CsvSource({"3,60,60", "12,120,120", "48,480,480", "12,3,3", "48,3,3"})
    void whatCanBeUsedIsUsed(int members, int rate, int burst) {
        Budget budget = new Budget("shifts", rate * Budget.MICROTOKENS_PER_TOKEN, burst * Budget.MICROTOKENS_PER_TOKEN);
        BudgetWorld world = new BudgetWorld(members, budget, SOUND, false);
        Set<String> names = new TreeSet<>();
        IntStream.range(0, members).forEach(i -> names.add("n" + i));
        names.forEach(name -> world.start(name, names));
        world.runUntil(20 * BudgetWorld.SECOND);
        long spent = 0;
        int shifts = 10;
        for (int i = 0; i < shifts; i++) {
            for (Process process : world.all) { // a third of the members together demand twice the budget
                process.demand = world.random.nextInt(3) == 0 ? 6.0 * rate / members : 0;
            }
            world.all.get(i % members).demand = 6.0 * rate / members + rate * 1.2;
            world.runUntil(world.now + 2 * BudgetWorld.SECOND);
            long before = world.spentOfAll;
            world.runUntil(world.now + 8 * BudgetWorld.SECOND);
            spent += world.spentOfAll - before;
        }
        double used = spent / (8.0 * shifts * rate);
        long wait = world.all.stream().mapToLong(process -> process.longestWait).max().orElse(0);
        System.out.printf("%d members, %d a second: %.3f of the rate used from 2 s after a shift,"
            + " %.0f datagrams and %.1f kB a second each, longest wait %.1f s%n", members, rate, used,
                world.datagrams * 1e6 / world.now / members,
            world.sentBytes * 1e3 / world.now / members, wait / 1e6);
        assertTrue(used >= 0.9, used + " of the rate is used");
    }

    /**
     * A new member soon gets a share, the share of a leaving member is redistributed at once, and that
     * of a dead member after its lease has expired.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 12, 48})
    void partsComeAndGo(int members) {
        Budget budget = new Budget("all", 20L * members * Budget.MICROTOKENS_PER_TOKEN, 20L * members * Budget.MICROTOKENS_PER_TOKEN);
        BudgetWorld world = new BudgetWorld(members, budget, SOUND, false);
        Set<String> names = new TreeSet<>();
        IntStream.range(0, members + 1).forEach(i -> names.add("n" + i));
        names.forEach(name -> world.start(name, names).demand = 40);
        world.runUntil(20 * BudgetWorld.SECOND);
        List<Process> dead = world.all.stream().filter(one -> !one.machine.isCoordinator(one.local()))
            .limit(Math.max(1, members / 4)).toList();
        dead.forEach(world::kill);
        long back = until(world, () -> world.lent() > 0.93 * budget.rate());
        Process comes = world.start(dead.get(0).name, names);
        comes.demand = 40;
        long came = until(world, () -> comes.partRate > budget.rate() / 2 / (members + 1));
        world.runUntil(world.now + 5 * BudgetWorld.SECOND);
        world.leave(comes);
        long gone = until(world, () -> world.lent() > 0.93 * budget.rate());
        Process keeper = world.all.stream().filter(one ->
            one.machine.isCoordinator(one.local())).findFirst().orElseThrow();
        world.kill(keeper);
        long anew = until(world, () -> world.all.stream().anyMatch(one -> !one.dead && !one.deaf
            && one.machine.isCoordinator(one.local())));
        long whole = until(world, () -> world.lent() > 0.9 * budget.rate());
        System.out.printf("%d members: shares of a quarter that dies are back after %.1f s, a new member has"
            + " one after %.1f s, that of a leaving one is divided after %.1f s; the coordinator dies: next"
            + " after %.1f s, all divided %.1f s later%n", members,
            back / 1e6, came / 1e6, gone / 1e6, anew / 1e6,
            whole / 1e6);
        assertTrue(came <= 2 * BudgetWorld.SECOND && gone <= BudgetWorld.SECOND, came
            + " us until a new member has a share; us until a leaving member's share is divided: " + gone);
        assertTrue(back <= 7 * BudgetWorld.SECOND && anew + whole <= 11 * BudgetWorld.SECOND, back
            + " us until the shares of dead members are back; us until all is divided by a new coordinator: "
            + whole);
    }

    /** Shares of a budget that is removed and added again are not leased twice. */
    @Test
    void aBudgetThatIsNamedAgainIsNotLentTwice() {
        Budget budget = Budget.perSecond("again", 100);
        long now = BudgetTiming.DEFAULT.maxLeaseDuration() + 1;
        LeaseLedger ledger = new LeaseLedger(List.of(budget), 1, BudgetTiming.DEFAULT, 0);
        assertTrue(ledger.handleRequest(now, first(1, budget)).entries().get(0).rate() > 0, "the whole budget is free");
        ledger.configure(now + 1, List.of());
        ledger.configure(now + 2, List.of(budget));
        assertTrue(ledger.handleRequest(now + 3, first(2, budget)).entries().get(0).rate() == 0,
            "the budget is still leased");
        assertTrue(ledger.handleRequest(now + 3 + BudgetTiming.DEFAULT.maxLeaseDuration(), first(3, budget)).entries().get(0).rate()
            > 0, "the earlier lease has expired");
    }

    private static BudgetMessage first(int name, Budget budget) {
        return new BudgetMessage(BudgetMessage.Kind.LEASE_REQUEST, name, 7, 0, 1, 1, 0, 0, false, 0, null, null,
            List.of(new BudgetMessage.BudgetEntry(budget.id(), 0, 0, budget.rate(), 0)));
    }

    private static long until(BudgetWorld world, BooleanSupplier holds) {
        long from = world.now;
        while (!holds.getAsBoolean() && world.now - from < 30 * BudgetWorld.SECOND) {
            world.runUntil(world.now + 10 * BudgetWorld.MILLI);
        }
        return world.now - from;
    }
}
