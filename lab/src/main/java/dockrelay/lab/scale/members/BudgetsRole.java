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
 * The budgets of the whole fleet over a virtual network, by how many share them: what one keeper of all
 * takes in and sends, and how long a newcomer waits for his part.
 */
public final class BudgetsRole implements Role {
    private static final long SECOND = VirtualFleet.SECOND, USE = SECOND / 10, PRESENCE = SECOND / 4;
    private static final long WARM = 30 * SECOND, QUIET = 30 * SECOND, GAP = 12 * SECOND;
    private static final double RATE = 10_000, WANTED = 1.5;
    private static final int MOST_BUDGETS = 10_000, NEWCOMERS = 5;
    private static final long BYTES_OF_ONE = 100_000, BYTES_EACH = 400;

    @Override
    public String name() {
        return "budgets";
    }

    private static List<Integer> counts(ScaleSpec spec) {
        return spec.roleSection().readAscendingCounts("budgets", List.of(1, 32), 1, MOST_BUDGETS);
    }

    @Override
    public ResourceEstimate estimate(ScaleSpec spec, int size) {
        counts(spec);
        return new ResourceEstimate(size * (BYTES_OF_ONE + BYTES_EACH * size), 1);
    }

    @Override
    public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress) throws SizeRefusedException {
        String refused = FlatMember.KIND.refuses(Layout.of(size));
        if (refused != null) {
            throw new SizeRefusedException(refused);
        }
        Figures figures = new Figures(name(), size, "virtual", play);
        for (int count : counts(spec)) {
            try {
                one(spec, size, count, play, figures);
            } catch (IllegalArgumentException e) { // a BudgetException is one
                throw new SizeRefusedException(count + " budgets: " + e.getMessage());
            }
            progress.log("budgets " + size + ": " + count + " budgets played");
        }
        return figures.all();
    }

    private static void one(ScaleSpec spec, int size, int count, int play, Figures figures)
        throws SizeRefusedException {
        List<Budget> budgets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            budgets.add(Budget.perSecond("b" + i, RATE));
        }
        Layout layout = Layout.of(size);
        VirtualFleet fleet = new VirtualFleet((self, list, incarnation, random, actions, now)
            -> new BudgetMember(self, list, budgets, random, actions, now), layout, 0,
            spec.seed() * 100 + play);
        fleet.startAll(layout);
        use(fleet);
        presence(fleet, layout);
        fleet.runUntil(WARM);
        if (keeper(fleet) < 0) {
            fleet.runUntil(2 * WARM);
        }
        if (keeper(fleet) < 0) {
            throw new SizeRefusedException("no keeper of " + count + " budgets was agreed on within "
                + 2 * WARM / SECOND + " s: nothing is lent");
        }
        fleet.out.clear();
        fleet.in.clear();
        fleet.runUntil(fleet.now() + QUIET);
        double seconds = (double) QUIET / SECOND;
        String of = ", " + count + (count == 1 ? " budget" : " budgets");
        figures.add("bytes sent, mean of all" + of, "B/s", fleet.out.bytes() / seconds / size);
        figures.add("bytes sent by the keeper" + of, "B/s", fleet.out.mostOfOne() / seconds);
        figures.add("bytes received by the keeper" + of, "B/s", fleet.in.mostOfOne() / seconds);
        figures.add("datagrams sent by a member" + of, "1/s", fleet.out.datagrams() / seconds / size);
        figures.add("longest datagram" + of, "B", fleet.longest());
        double shares = 0;
        for (int i = 0; i < size; i++) {
            shares += ((BudgetMember) fleet.machine(i)).share(fleet.local(i));
        }
        figures.add("rate lent, all wanting more" + of, "share", shares);
        newcomers(fleet, layout, figures, of);
    }

    private static void newcomers(VirtualFleet fleet, Layout layout, Figures figures, String of) {
        List<Double> times = new ArrayList<>();
        int never = 0;
        for (int i = 0; i < Math.min(NEWCOMERS, fleet.count() - 1); i++) {
            int one = (i * 7 + 1) % fleet.count();
            if (one == keeper(fleet)) {
                one = (one + 1) % fleet.count();
            }
            int newcomer = one;
            fleet.kill(newcomer);
            fleet.runUntil(fleet.now() + GAP);
            fleet.start(newcomer, layout);
            Watch watch = new Watch(fleet, GAP, false, other -> other == newcomer,
                other -> ((BudgetMember) fleet.machine(other)).hasParts(fleet.local(other)));
            fleet.runUntil(fleet.now() + GAP);
            times.addAll(watch.times());
            never += watch.unsettled();
        }
        figures.times("a newcomer has a part" + of, times, never);
        fleet.kill(keeper(fleet));
        Watch watch = new Watch(fleet, 3 * GAP, false, other -> true,
            other -> ((BudgetMember) fleet.machine(other)).hasParts(fleet.local(other)));
        fleet.runUntil(fleet.now() + 3 * GAP);
        figures.add("members without a part after the keeper's death, mean of 36 s" + of, "share",
            watch.wrong());
    }

    /** Who keeps the budgets; below 0 where nobody does. */
    private static int keeper(VirtualFleet fleet) {
        for (int i = 0; i < fleet.count(); i++) {
            if (fleet.lives(i) && ((BudgetMember) fleet.machine(i)).keeps(fleet.local(i))) {
                return i;
            }
        }
        return -1;
    }

    private static void use(VirtualFleet fleet) {
        for (int i = 0; i < fleet.count(); i++) {
            BudgetMember member = (BudgetMember) fleet.machine(i);
            if (member != null) {
                member.use(fleet.local(i), WANTED / fleet.count());
            }
        }
        fleet.later(USE, () -> use(fleet));
    }

    /** Who is there, as membership would say some time later; a hint only. */
    private static void presence(VirtualFleet fleet, Layout layout) {
        List<String> here = new ArrayList<>();
        for (int i = 0; i < fleet.count(); i++) {
            if (fleet.lives(i)) {
                here.add(fleet.name(i));
            }
        }
        for (int i = 0; i < fleet.count(); i++) {
            BudgetMember member = (BudgetMember) fleet.machine(i);
            if (member != null) {
                member.presence(here, List.of());
            }
        }
        fleet.later(PRESENCE, () -> presence(fleet, layout));
    }
}
