package dockrelay.proxy;

import dockrelay.Balancer.BudgetShare;
import dockrelay.Balancer.BudgetUse;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MemberState;
import dockrelay.fleet.budget.Budget;
import dockrelay.fleet.budget.BudgetTiming;
import dockrelay.fleet.budget.BudgetStatus;
import dockrelay.fleet.budget.BudgetNode;
import dockrelay.fleet.budget.LeasedShare;
import dockrelay.fleet.budget.ShareUsage;
import io.netty.channel.EventLoop;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Runs the budget protocol on the membership thread, while the balancer spends the shares on the event
 * loop of the request table. In a fleet of several groups each group divides a part of the budget in
 * proportion to its number of members; shares are not leased between groups.
 */
final class BudgetService implements BudgetNode.Callbacks {
    private static final long REPORT_MILLIS = 100;
    /**
     * A member that is gone for longer loses its vote, so that the remaining voters can form a quorum.
     */
    private static final long GONE_MICROS = 10_000_000;

    private final EventLoop loop;
    private final RequestTable table;
    private final BiConsumer<String, ByteBuffer> sender;
    private final BudgetNode machine;
    private final Map<String, Long> askedBefore = new HashMap<>();
    private volatile boolean left;
    private long reportedAt, lastTold; // confined to the event loop of the request table

    BudgetService(EventLoop loop, RequestTable table, Config config, int life, Random random,
                 BiConsumer<String, ByteBuffer> sender) {
        this.loop = loop;
        this.table = table;
        this.sender = sender;
        long now = now();
        this.reportedAt = now;
        this.machine = new BudgetNode(config.name(), config.groupMemberNames(), config.groupBudgets(), life,
            BudgetTiming.DEFAULT, random, this, now);
        machine.setRetiredMembers(now, config.retiredMembers());
        schedule();
        table.eventLoop().scheduleWithFixedDelay(this::report, REPORT_MILLIS, REPORT_MILLIS,
            TimeUnit.MILLISECONDS);
    }

    /**
     * Sets all shares to zero, so that nothing is spent before the first lease. Runs on the table's
     * event loop.
     */
    static void applyZeroShares(RequestTable table, Config config) {
        table.budgets(0, 0, config.budgets().stream().map(budget -> new BudgetShare(budget.name(), 0, 0, 0))
            .toList());
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    private void schedule() {
        loop.schedule(() -> {
            if (!left) {
                machine.tick(now());
                schedule();
            }
        }, Math.max(0, machine.nextTickAt() - now()), TimeUnit.MICROSECONDS);
    }

    void receive(String from, ByteBuffer datagram) {
        if (!left) {
            machine.receive(now(), from, datagram);
        }
    }

    void presence(List<MemberStatus> rows) {
        List<String> here = new ArrayList<>(), away = new ArrayList<>();
        for (MemberStatus row : rows) {
            if (row.state() == MemberState.PRESENT || row.state() == MemberState.SUSPECT) {
                here.add(row.name());
            } else if (row.state() == MemberState.LEFT || row.state() == MemberState.GONE && row.stateAge() > GONE_MICROS) {
                away.add(row.name());
            }
        }
        machine.updatePresence(here, away);
    }

    void configure(Config next) {
        machine.configure(now(), next.groupMemberNames(), next.groupBudgets());
        machine.setRetiredMembers(now(), next.retiredMembers());
    }

    @Override
    public void send(String to, ByteBuffer datagram) {
        sender.accept(to, datagram);
    }

    @Override
    public void applyShares(long telling, List<LeasedShare> parts, long until) {
        tell(telling, until, parts);
    }

    private void tell(long telling, long until, List<LeasedShare> parts) {
        List<BudgetShare> told = parts.stream().map(part -> new BudgetShare(part.budget(), micros(part.rate()),
            micros(part.burst()), micros(part.addedTokens()))).toList();
        table.eventLoop().execute(() -> {
            if (!left) {
                table.budgets(telling, until - now(), told);
                lastTold = telling;
            }
        });
    }

    private static double micros(long amount) {
        return amount / (double) Budget.MICROTOKENS_PER_TOKEN;
    }

    /** Reports the balancer's usage of the shares. Runs on the table's event loop. */
    private void report() {
        if (left) {
            return;
        }
        long now = now(), went = Math.max(1, now - reportedAt), upTo = lastTold;
        reportedAt = now;
        List<ShareUsage> uses = new ArrayList<>();
        for (BudgetUse use : table.budgets()) {
            Long before = askedBefore.put(use.budget(), use.asked());
            double wanted = (use.asked() - (before == null ? 0 : before)) * 1e6 / went * Budget.MICROTOKENS_PER_TOKEN;
            uses.add(new ShareUsage(use.budget(), wanted, use.waits() ? 1 : 0, (long) Math.ceil(use.left() *
                Budget.MICROTOKENS_PER_TOKEN),
                use.spent()));
        }
        loop.execute(() -> machine.reportUsage(upTo, uses));
    }

    /** Revokes all shares for good, including updates still queued. Runs on the table's event loop. */
    void stopSpending() {
        left = true;
        table.budgets(Long.MAX_VALUE, 0, List.of());
    }

    /** Returns the shares after spending has stopped. Runs on the membership thread. */
    void leave() {
        machine.leave(now());
    }

    void log() {
        Map<String, Long> refused = machine.takeRefusalCounts();
        if (!refused.isEmpty()) {
            Log.write("budgets-refused", "datagrams not taken: " + refused);
        }
    }

    @Override
    public void logEvent(String text) {
        Log.write("budgets", text);
    }

    /** The console's answer to BUDGETS: a summary line, then a line per budget. */
    String describe() {
        long now = now();
        String keeper = machine.coordinatorName(now);
        StringBuilder text = new StringBuilder("200 keeper=" + (machine.isCoordinator(now) ? "self" : keeper == null
            ? "none" : keeper));
        if (machine.missingVoters() != null) {
            text.append(" waits-for=").append(machine.missingVoters());
        }
        for (BudgetStatus row : machine.budgetStatuses(now)) {
            text.append(String.format(Locale.ROOT, "%n%s whole=%.3f/s burst=%.1f part=%.3f/s part-burst=%.1f"
                + " wanted=%.1f/s spent=%d lease=%.1fs age=%.1fs", row.budget().name(),
                    micros(row.budget().rate()),
                micros(row.budget().burst()), micros(row.shareRate()), micros(row.shareBurst()), row.demand() /
                    Budget.MICROTOKENS_PER_TOKEN,
                row.spentTokens(), row.remainingLeaseMicros() / 1e6, Math.min(row.grantAgeMicros() / 1e6, 99_999)));
        }
        return text.toString();
    }
}
