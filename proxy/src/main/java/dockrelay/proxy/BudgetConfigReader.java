package dockrelay.proxy;

import dockrelay.Balancer.Settings;
import dockrelay.Balancer.Tenant;
import dockrelay.fleet.budget.Budget;
import dockrelay.fleet.budget.BudgetException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the shared budgets of the configuration, and computes the part of each that a group of peers
 * gets.
 */
final class BudgetConfigReader {
    /** The budget of redundant attempts, hedges and retries of all proxies together. */
    private static final Set<String> NAMES = Set.of("extra");

    private BudgetConfigReader() {
    }

    /**
     * Returns the configured budgets and one for each tenant's quota. The groups are null if no peers are
     * named.
     *
     * @throws BudgetException if a budget is unknown, invalid or too small for the groups
     */
    static List<Budget> read(Map<?, ?> named, Settings settings, PeerGroups groups) {
        List<Budget> result = new ArrayList<>();
        named.forEach((name, value) -> {
            if (!NAMES.contains(name) || !(value instanceof Map<?, ?>)) {
                throw new BudgetException(BudgetException.Code.NAME, "budgets." + name + " = " + value
                    + " is not a known budget", "allowed are " + NAMES
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
                    result.add(budget); // the balancer divides smaller quotas itself
                }
            }
        }
        return result;
    }

    private static BudgetException tooSmall(Budget budget, PeerGroups groups) {
        int names = groups.grouping().memberCount(), smallest = groups.smallest();
        return new BudgetException(BudgetException.Code.BURST, "budget " + budget.name() + ": burst of "
            + budget.burst() / (double) Budget.MICROTOKENS_PER_TOKEN + " is too small for " + groups.grouping().groupCount()
            + " groups with a total of " + names + " peers, the smallest with " + smallest,
            "the minimum here is "
                + (long) Math.ceil((double) Budget.MIN_BURST_MICROTOKENS / Budget.MICROTOKENS_PER_TOKEN * names / smallest));
    }

    /**
     * Whether the part of the smallest group is still a valid budget. The result is the same at all
     * processes with the same list of peers.
     */
    private static boolean divisible(Budget budget, PeerGroups groups) {
        return part(budget.burst(), groups.smallest(), groups) >= Budget.MIN_BURST_MICROTOKENS
            && part(budget.rate(), groups.smallest(), groups) > 0;
    }

    private static long part(long whole, int names, PeerGroups groups) {
        return whole * names / groups.grouping().memberCount();
    }

    /**
     * The budgets of a group with so many names. The parts of all groups never add up to more than the
     * whole.
     */
    static List<Budget> groupShares(List<Budget> budgets, int names, PeerGroups groups) {
        return budgets.stream().map(whole -> new Budget(whole.name(), part(whole.rate(), names, groups),
            part(whole.burst(), names, groups))).toList();
    }
}
