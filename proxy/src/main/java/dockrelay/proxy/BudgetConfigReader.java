package dockrelay.proxy;

import dockrelay.Balancer.Settings;
import dockrelay.Balancer.Tenant;
import dockrelay.fleet.budget.Budget;
import dockrelay.fleet.budget.BudgetException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The budgets of the whole fleet that a configuration names, and a group's parts of them. */
final class BudgetConfigReader {
    /** Copies, hedges and retries of all proxies together. */
    private static final Set<String> NAMES = Set.of("extra");

    private BudgetConfigReader() {
    }

    /** Those that are named, and each tenant's share. Groups are null where no peers are named. */
    static List<Budget> read(Map<?, ?> named, Settings settings, PeerGroups groups) {
        List<Budget> result = new ArrayList<>();
        named.forEach((name, value) -> {
            if (!NAMES.contains(name) || !(value instanceof Map<?, ?>)) {
                throw new BudgetException(BudgetException.Code.NAME, "budgets." + name + " = " + value
                    + " is not known", "allowed are " + NAMES
                    + ", each {\"per_second\": NUMBER, \"burst\": NUMBER}");
            }
            Map<?, ?> of = (Map<?, ?>) value;
            Budget budget = Budget.perSecond((String) name, Config.numberOrDefault(of, "per_second", 0));
            budget = of.containsKey("burst") ? new Budget(budget.name(), budget.rate(),
                Math.round(Config.numberOrDefault(of, "burst", 0) * Budget.MICROTOKENS_PER_TOKEN)) : budget;
            if (groups != null && !divisible(budget, groups)) {
                throw tooSmall(budget, groups);
            }
            result.add(budget);
        });
        for (Tenant tenant : settings.tenants()) {
            if (tenant.quotaPerSecond() > 0) {
                Budget budget = Budget.perSecond("tenant/" + tenant.name(), tenant.quotaPerSecond());
                if (groups == null || divisible(budget, groups)) {
                    result.add(budget); // the module divides the others' by what it is told of the fleet
                }
            }
        }
        return result;
    }

    private static BudgetException tooSmall(Budget budget, PeerGroups groups) {
        int names = groups.grouping().memberCount(), smallest = groups.smallest();
        return new BudgetException(BudgetException.Code.BURST, "budget " + budget.name() + ": burst of "
            + budget.burst() / (double) Budget.MICROTOKENS_PER_TOKEN + " is too little for " + groups.grouping().groupCount()
            + " groups of " + names + " peers, the smallest of " + smallest, "allowed there is at least "
            + (long) Math.ceil((double) Budget.LEAST_BURST / Budget.MICROTOKENS_PER_TOKEN * names / smallest));
    }

    /** Whether each group's part is a budget still; so all who have the same list see it alike. */
    private static boolean divisible(Budget budget, PeerGroups groups) {
        return part(budget.burst(), groups.smallest(), groups) >= Budget.LEAST_BURST
            && part(budget.rate(), groups.smallest(), groups) > 0;
    }

    private static long part(long whole, int names, PeerGroups groups) {
        return whole * names / groups.grouping().memberCount();
    }

    /** Those of a group of so many names: in all groups together never more than the whole. */
    static List<Budget> groupShares(List<Budget> budgets, int names, PeerGroups groups) {
        return budgets.stream().map(whole -> new Budget(whole.name(), part(whole.rate(), names, groups),
            part(whole.burst(), names, groups))).toList();
    }
}
