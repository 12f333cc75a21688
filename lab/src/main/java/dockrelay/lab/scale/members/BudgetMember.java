package dockrelay.lab.scale.members;

import dockrelay.fleet.budget.Budget;
import dockrelay.fleet.budget.BudgetTiming;
import dockrelay.fleet.budget.BudgetNode;
import dockrelay.fleet.budget.LeasedShare;
import dockrelay.fleet.budget.ShareUsage;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A budget node whose consumer spends all tokens that it is given and demands more. */
final class BudgetMember implements HollowStateMachine, BudgetNode.Callbacks {
    /**
     * Token bucket of one budget, in microtokens: refilled by the leased share, drained at each consumption.
     * Only the total that was spent is in whole tokens.
     */
    private static final class Bucket {
        long rate, burst, tokens, spentTokens;
    }

    private final BudgetNode node;
    private final Callbacks callbacks;
    private final Collection<Budget> budgets;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private long updateNumber, leaseEndsAt, consumedAt;

    BudgetMember(String self, Layout layout, Collection<Budget> budgets, Random random, Callbacks callbacks,
                 long now) {
        this.callbacks = callbacks;
        this.budgets = budgets;
        budgets.forEach(budget -> buckets.put(budget.name(), new Bucket()));
        consumedAt = now;
        node = new BudgetNode(self, layout.names(), budgets, random.nextInt() | 1, BudgetTiming.DEFAULT,
            random, this, now);
    }

    @Override
    public void applyShares(long newUpdateNumber, List<LeasedShare> shares, long leaseEnd) {
        leaseEndsAt = leaseEnd;
        for (LeasedShare share : newUpdateNumber > updateNumber ? shares : List.<LeasedShare>of()) {
            Bucket bucket = buckets.get(share.budget());
            bucket.rate = share.rate();
            bucket.burst = share.burst();
            bucket.tokens = Math.min(bucket.burst, bucket.tokens + share.addedTokens());
        }
        updateNumber = Math.max(updateNumber, newUpdateNumber);
    }

    /** Spends all available tokens and reports usage and demand to the budget node. */
    void consume(long now, double demandRatio) {
        long elapsedMicros = Math.max(0, Math.min(now, leaseEndsAt) - consumedAt);
        consumedAt = now;
        List<ShareUsage> usages = new ArrayList<>();
        for (Budget budget : budgets) {
            Bucket bucket = buckets.get(budget.name());
            bucket.tokens = Math.min(bucket.burst, bucket.tokens
                + bucket.rate * elapsedMicros / VirtualFleet.MICROS_PER_SECOND);
            long wholeTokens = now < leaseEndsAt ? bucket.tokens / Budget.MICROTOKENS_PER_TOKEN : 0;
            bucket.tokens -= wholeTokens * Budget.MICROTOKENS_PER_TOKEN;
            bucket.spentTokens += wholeTokens;
            usages.add(new ShareUsage(budget.name(), demandRatio * budget.rate(), 0, bucket.tokens,
                bucket.spentTokens));
        }
        node.reportUsage(updateNumber, usages);
    }

    /** Forwards a hint as to which members are present and which are absent. */
    void updatePresence(List<String> present, List<String> absent) {
        node.updatePresence(present, absent);
    }

    /** Whether this member is the lease coordinator at this time. */
    boolean isCoordinator(long now) {
        return node.isCoordinator(now);
    }

    /** Whether it holds a share of every budget at this time. */
    boolean holdsAllShares(long now) {
        return now < leaseEndsAt && buckets.values().stream().allMatch(bucket -> bucket.rate > 0);
    }

    /** Its share, from 0 to 1, of the first budget's rate at this time. */
    double rateShare(long now) {
        Budget firstBudget = budgets.iterator().next();
        return now < leaseEndsAt ? (double) buckets.get(firstBudget.name()).rate / firstBudget.rate() : 0;
    }

    @Override
    public void send(String receiver, ByteBuffer datagram) {
        callbacks.send(receiver, datagram);
    }

    @Override
    public void logEvent(String text) {
        // the effect is measured instead
    }

    @Override
    public long nextTickAt() {
        return node.nextTickAt();
    }

    @Override
    public void tick(long now) {
        node.tick(now);
    }

    @Override
    public void receive(long now, String sender, ByteBuffer datagram) {
        node.receive(now, sender, datagram);
    }

    @Override
    public void leave(long now) {
        node.leave(now);
    }

    @Override
    public void configure(long now, Layout layout) {
        node.configure(now, layout.names(), budgets);
    }
}
