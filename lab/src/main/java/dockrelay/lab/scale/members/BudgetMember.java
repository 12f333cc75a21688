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

/** The machine of the fleet's budgets, with one who spends all that he is given and wants more. */
final class BudgetMember implements HollowMachine, BudgetNode.Callbacks {
    /** What one budget's bucket is: filled by its part, emptied at each look. */
    private static final class Bucket {
        long rate, burst, tokens, spent;
    }

    private final BudgetNode machine;
    private final Actions actions;
    private final Collection<Budget> budgets;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private long told, until, usedAt;

    BudgetMember(String self, Layout layout, Collection<Budget> budgets, Random random, Actions actions,
                 long now) {
        this.actions = actions;
        this.budgets = budgets;
        budgets.forEach(budget -> buckets.put(budget.name(), new Bucket()));
        usedAt = now;
        machine = new BudgetNode(self, layout.names(), budgets, random.nextInt() | 1, BudgetTiming.DEFAULT, random,
            this, now);
    }

    @Override
    public void applyShares(long telling, List<LeasedShare> parts, long end) {
        until = end;
        for (LeasedShare part : telling > told ? parts : List.<LeasedShare>of()) {
            Bucket bucket = buckets.get(part.budget());
            bucket.rate = part.rate();
            bucket.burst = part.burst();
            bucket.tokens = Math.min(bucket.burst, bucket.tokens + part.addedTokens());
        }
        told = Math.max(told, telling);
    }

    /** Spends what there is, and says so. */
    void use(long now, double wanted) {
        long went = Math.max(0, Math.min(now, until) - usedAt);
        usedAt = now;
        List<ShareUsage> uses = new ArrayList<>();
        for (Budget budget : budgets) {
            Bucket bucket = buckets.get(budget.name());
            bucket.tokens = Math.min(bucket.burst, bucket.tokens + bucket.rate * went / VirtualFleet.SECOND);
            long whole = now < until ? bucket.tokens / Budget.MICROTOKENS_PER_TOKEN : 0;
            bucket.tokens -= whole * Budget.MICROTOKENS_PER_TOKEN;
            bucket.spent += whole;
            uses.add(new ShareUsage(budget.name(), wanted * budget.rate(), 0, bucket.tokens, bucket.spent));
        }
        machine.reportUsage(told, uses);
    }

    void presence(List<String> here, List<String> away) {
        machine.updatePresence(here, away);
    }

    boolean keeps(long now) {
        return machine.isCoordinator(now);
    }

    /** Whether it may spend of every budget now. */
    boolean hasParts(long now) {
        return now < until && buckets.values().stream().allMatch(bucket -> bucket.rate > 0);
    }

    /** Its part of the first budget's rate now. */
    double share(long now) {
        Budget first = budgets.iterator().next();
        return now < until ? (double) buckets.get(first.name()).rate / first.rate() : 0;
    }

    @Override
    public void send(String to, ByteBuffer datagram) {
        actions.send(to, datagram);
    }

    @Override
    public void logEvent(String text) {
        // what it comes to is measured
    }

    @Override
    public long nextAt() {
        return machine.nextTickAt();
    }

    @Override
    public void tick(long now) {
        machine.tick(now);
    }

    @Override
    public void receive(long now, String from, ByteBuffer datagram) {
        machine.receive(now, from, datagram);
    }

    @Override
    public void leave(long now) {
        machine.leave(now);
    }

    @Override
    public void configure(long now, Layout layout) {
        machine.configure(now, layout.names(), budgets);
    }
}
