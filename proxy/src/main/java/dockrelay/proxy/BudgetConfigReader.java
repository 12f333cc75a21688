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
    private static final Set<String> KNOWN_BUDGETS = Set.of("extra");

    private BudgetConfigReader() {
    }

    /**
     * Returns the configured budgets and one for each tenant's quota. The groups are null if no peers are
     * named.
     *
     * @throws BudgetException if a budget is unknown, invalid or too small for the groups
     */
    static List<Budget> read(Map<?, ?> entries, Settings settings, PeerGroups groups) {
        List<Budget> budgets = new ArrayList<>();
        entries.forEach((name, value) -> {
            if (!KNOWN_BUDGETS.contains(name) || !(value instanceof Map<?, ?>)) {
                throw new BudgetException(BudgetException.Code.NAME, "budgets." + name + " = " + value
                    + " is not a known budget", "allowed are " + KNOWN_BUDGETS
                    + ", each {\"per_second\": NUMBER, \"burst\": NUMBER}");
            }
            Map<?, ?> properties = (Map<?, ?>) value;
            Budget budget = Budget.perSecond((String) name,
                Config.numberOrDefault(properties, "per_second", 0));
            budget = properties.containsKey("burst") ? new Budget(budget.name(), budget.rate(),
                Math.round(Config.numberOrDefault(properties, "burst", 0) * Budget.MICROTOKENS_PER_TOKEN))
                : budget;
            if (groups != null && !isDivisible(budget, groups)) {
                throw tooSmall(budget, groups);
            }
            budgets.add(budget);
        });
        for (Tenant tenant : settings.tenants()) {
            if (tenant.quotaPerSecond() > 0) {
                Budget budget = Budget.perSecond("tenant/" + tenant.name(), tenant.quotaPerSecond());
                if (groups == null || isDivisible(budget, groups)) {
                    budgets.add(budget); // the balancer divides smaller quotas itself
                }
            }
        }
        return budgets;
    }

    private static BudgetException tooSmall(Budget budget, PeerGroups groups) {
        int peerCount = groups.assignment().memberCount(), smallestSize = groups.smallestGroupSize();
        return new BudgetException(BudgetException.Code.BURST, "budget " + budget.name() + ": burst of "
            + budget.burst() / (double) Budget.MICROTOKENS_PER_TOKEN + " is too small for "
            + groups.assignment().groupCount() + " groups with a total of " + peerCount
            + " peers, the smallest with " + smallestSize,
            "the minimum here is " + (long) Math.ceil((double) Budget.MIN_BURST_MICROTOKENS
                / Budget.MICROTOKENS_PER_TOKEN * peerCount / smallestSize));
    }

    /**
     * Whether the part of the smallest group is still a valid budget. The result is the same at all
     * processes with the same list of peers.
     */
    private static boolean isDivisible(Budget budget, PeerGroups groups) {
        return groupPart(budget.burst(), groups.smallestGroupSize(), groups) >= Budget.MIN_BURST_MICROTOKENS
            && groupPart(budget.rate(), groups.smallestGroupSize(), groups) > 0;
    }

    private static long groupPart(long total, int groupSize, PeerGroups groups) {
        return total * groupSize / groups.assignment().memberCount();
    }

    /**
     * The budgets of a group with this number of members. The parts of all groups never add up to more
     * than the whole.
     */
    static List<Budget> groupShares(List<Budget> budgets, int groupSize, PeerGroups groups) {
        return budgets.stream().map(budget -> new Budget(budget.name(),
            groupPart(budget.rate(), groupSize, groups),
            groupPart(budget.burst(), groupSize, groups))).toList();
    }
}
