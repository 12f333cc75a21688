package dockrelay.lab.scale.members;

import dockrelay.fleet.budget.Budget;
import dockrelay.lab.scale.ResourceEstimate;
import dockrelay.lab.scale.Figure;
import dockrelay.lab.scale.ProgressLog;
import dockrelay.lab.scale.SizeRefusedException;
import dockrelay.lab.scale.Role;
import dockrelay.lab.scale.ScaleSpec;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures fleet-wide budgets over a virtual network for a given number of members: the traffic of the lease
 * coordinator, and how long a member that joins waits for its share.
 */
public final class BudgetsRole implements Role {
    private static final long MICROS_PER_SECOND = VirtualFleet.MICROS_PER_SECOND,
        CONSUME_INTERVAL_MICROS = MICROS_PER_SECOND / 10, PRESENCE_INTERVAL_MICROS = MICROS_PER_SECOND / 4;
    private static final long WARM_UP_MICROS = 30 * MICROS_PER_SECOND,
        MEASURE_MICROS = 30 * MICROS_PER_SECOND, SETTLE_MICROS = 12 * MICROS_PER_SECOND;
    private static final double TOKENS_PER_SECOND = 10_000, DEMAND_RATIO = 1.5;
    private static final int MAX_BUDGETS = 10_000, MAX_RESTARTED_MEMBERS = 5;
    private static final long BYTES_PER_MEMBER = 100_000, BYTES_PER_PEER = 400;

    @Override
    public String name() {
        return "budgets";
    }

    /** The numbers of budgets to run with. */
    private static List<Integer> budgetCounts(ScaleSpec spec) {
        return spec.roleSection().readAscendingCounts("budgets", List.of(1, 32), 1, MAX_BUDGETS);
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        budgetCounts(spec);
        return new ResourceEstimate(size * (BYTES_PER_MEMBER + BYTES_PER_PEER * size), 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress)
        throws SizeRefusedException {
        String refusal = FlatMember.VARIANT.refusalReason(Layout.of(size));
        if (refusal != null) {
            throw new SizeRefusedException(refusal);
        }
        Figures figures = new Figures(name(), size, "virtual", play);
        for (int budgetCount : budgetCounts(spec)) {
            try {
                playBudgets(spec, size, budgetCount, play, figures);
            } catch (IllegalArgumentException e) { // a BudgetException is one
                throw new SizeRefusedException(budgetCount + " budgets: " + e.getMessage());
            }
            progress.log("budgets " + size + ": " + budgetCount + " budgets played");
        }
        return figures.asList();
    }

    /** Runs the fleet with one number of budgets. */
    private static void playBudgets(ScaleSpec spec, int size, int budgetCount, int play, Figures figures)
        throws SizeRefusedException {
        List<Budget> budgets = new ArrayList<>();
        for (int i = 0; i < budgetCount; i++) {
            budgets.add(Budget.perSecond("b" + i, TOKENS_PER_SECOND));
        }
        Layout layout = Layout.of(size);
        VirtualFleet fleet = new VirtualFleet((name, members, incarnation, random, callbacks, now)
            -> new BudgetMember(name, members, budgets, random, callbacks, now), layout, 0,
            spec.seed() * 100 + play);
        fleet.startAll(layout);
        consumePeriodically(fleet);
        updatePresencePeriodically(fleet, layout);
        fleet.runUntil(WARM_UP_MICROS);
        if (coordinator(fleet) < 0) {
            fleet.runUntil(2 * WARM_UP_MICROS);
        }
        if (coordinator(fleet) < 0) {
            throw new SizeRefusedException("no lease coordinator for " + budgetCount
                + " budgets was elected within " + 2 * WARM_UP_MICROS / MICROS_PER_SECOND
                + " s: no shares are leased");
        }
        fleet.sentTraffic.reset();
        fleet.receivedTraffic.reset();
        fleet.runUntil(fleet.now() + MEASURE_MICROS);
        double seconds = (double) MEASURE_MICROS / MICROS_PER_SECOND;
        String suffix = ", " + budgetCount + (budgetCount == 1 ? " budget" : " budgets");
        figures.add("bytes sent, mean of all" + suffix, "B/s",
            fleet.sentTraffic.totalBytes() / seconds / size);
        figures.add("bytes sent by the keeper" + suffix, "B/s", fleet.sentTraffic.maxMemberBytes() / seconds);
        figures.add("bytes received by the keeper" + suffix, "B/s",
            fleet.receivedTraffic.maxMemberBytes() / seconds);
        figures.add("datagrams sent by a member" + suffix, "1/s",
            fleet.sentTraffic.totalDatagrams() / seconds / size);
        figures.add("longest datagram" + suffix, "B", fleet.longestDatagramBytes());
        double totalShare = 0;
        for (int i = 0; i < size; i++) {
            totalShare += ((BudgetMember) fleet.stateMachine(i)).rateShare(fleet.localTime(i));
        }
        figures.add("rate lent, all wanting more" + suffix, "share", totalShare);
        measureRestarts(fleet, layout, figures, suffix);
    }

    /**
     * Measures how fast restarted members get their shares, and how the fleet fares without its coordinator.
     */
    private static void measureRestarts(VirtualFleet fleet, Layout layout, Figures figures, String suffix) {
        List<Double> convergenceSeconds = new ArrayList<>();
        int unconverged = 0;
        for (int i = 0; i < Math.min(MAX_RESTARTED_MEMBERS, fleet.memberCount() - 1); i++) {
            int candidate = (i * 7 + 1) % fleet.memberCount();
            if (candidate == coordinator(fleet)) {
                candidate = (candidate + 1) % fleet.memberCount();
            }
            int restarted = candidate;
            fleet.kill(restarted);
            fleet.runUntil(fleet.now() + SETTLE_MICROS);
            fleet.start(restarted, layout);
            ConvergenceSampler sampler = new ConvergenceSampler(fleet, SETTLE_MICROS, false,
                member -> member == restarted, member -> ((BudgetMember) fleet.stateMachine(member))
                    .holdsAllShares(fleet.localTime(member)));
            fleet.runUntil(fleet.now() + SETTLE_MICROS);
            convergenceSeconds.addAll(sampler.convergenceSeconds());
            unconverged += sampler.unconvergedCount();
        }
        figures.addTimes("a newcomer has a part" + suffix, convergenceSeconds, unconverged);
        fleet.kill(coordinator(fleet));
        ConvergenceSampler sampler = new ConvergenceSampler(fleet, 3 * SETTLE_MICROS, false, member -> true,
            member -> ((BudgetMember) fleet.stateMachine(member)).holdsAllShares(fleet.localTime(member)));
        fleet.runUntil(fleet.now() + 3 * SETTLE_MICROS);
        figures.add("members without a part after the keeper's death, mean of 36 s" + suffix, "share",
            sampler.divergedShare());
    }

    /** Index of the lease coordinator; -1 if there is none. */
    private static int coordinator(VirtualFleet fleet) {
        for (int i = 0; i < fleet.memberCount(); i++) {
            if (fleet.isRunning(i) && ((BudgetMember) fleet.stateMachine(i))
                .isCoordinator(fleet.localTime(i))) {
                return i;
            }
        }
        return -1;
    }

    /** Makes each running member spend its tokens, periodically. */
    private static void consumePeriodically(VirtualFleet fleet) {
        for (int i = 0; i < fleet.memberCount(); i++) {
            BudgetMember member = (BudgetMember) fleet.stateMachine(i);
            if (member != null) {
                member.consume(fleet.localTime(i), DEMAND_RATIO / fleet.memberCount());
            }
        }
        fleet.runAfter(CONSUME_INTERVAL_MICROS, () -> consumePeriodically(fleet));
    }

    /** Periodically tells each member which members are running, as a hint like that of the membership. */
    private static void updatePresencePeriodically(VirtualFleet fleet, Layout layout) {
        List<String> present = new ArrayList<>();
        for (int i = 0; i < fleet.memberCount(); i++) {
            if (fleet.isRunning(i)) {
                present.add(fleet.nameOf(i));
            }
        }
        for (int i = 0; i < fleet.memberCount(); i++) {
            BudgetMember member = (BudgetMember) fleet.stateMachine(i);
            if (member != null) {
                member.updatePresence(present, List.of());
            }
        }
        fleet.runAfter(PRESENCE_INTERVAL_MICROS, () -> updatePresencePeriodically(fleet, layout));
    }
}
