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
    private static final long REPORT_INTERVAL_MILLIS = 100;
    /**
     * A member that is gone for longer loses its vote, so that the remaining voters can form a quorum.
     */
    private static final long MIN_GONE_MICROS = 10_000_000;

    private final EventLoop membershipLoop;
    private final RequestTable requestTable;
    private final BiConsumer<String, ByteBuffer> datagramSender;
    private final BudgetNode budgetNode;
    private final Map<String, Long> previousRequestCounts = new HashMap<>();
    private volatile boolean stopped;
    private long lastReportAt, lastUpdateNumber; // confined to the event loop of the request table

    BudgetService(EventLoop membershipLoop, RequestTable requestTable, Config config, int instanceId,
                  Random random, BiConsumer<String, ByteBuffer> datagramSender) {
        this.membershipLoop = membershipLoop;
        this.requestTable = requestTable;
        this.datagramSender = datagramSender;
        long now = nowMicros();
        this.lastReportAt = now;
        this.budgetNode = new BudgetNode(config.name(), config.groupMemberNames(), config.groupBudgets(),
            instanceId, BudgetTiming.DEFAULT, random, this, now);
        budgetNode.setRetiredMembers(now, config.retiredMembers());
        scheduleTick();
        requestTable.eventLoop().scheduleWithFixedDelay(this::reportUsage, REPORT_INTERVAL_MILLIS,
            REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets all shares to zero, so that nothing is spent before the first lease. Runs on the table's
     * event loop.
     */
    static void applyZeroShares(RequestTable requestTable, Config config) {
        requestTable.budgets(0, 0, config.budgets().stream()
            .map(budget -> new BudgetShare(budget.name(), 0, 0, 0)).toList());
    }

    private static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    private void scheduleTick() {
        membershipLoop.schedule(() -> {
            if (!stopped) {
                budgetNode.tick(nowMicros());
                scheduleTick();
            }
        }, Math.max(0, budgetNode.nextTickAt() - nowMicros()), TimeUnit.MICROSECONDS);
    }

    void receive(String senderName, ByteBuffer datagram) {
        if (!stopped) {
            budgetNode.receive(nowMicros(), senderName, datagram);
        }
    }

    /** Passes the states of the members of this group to the budget protocol. */
    void updatePresence(List<MemberStatus> statuses) {
        List<String> presentNames = new ArrayList<>(), departedNames = new ArrayList<>();
        for (MemberStatus status : statuses) {
            if (status.state() == MemberState.PRESENT || status.state() == MemberState.SUSPECT) {
                presentNames.add(status.name());
            } else if (status.state() == MemberState.LEFT
                || status.state() == MemberState.GONE && status.stateAge() > MIN_GONE_MICROS) {
                departedNames.add(status.name());
            }
        }
        budgetNode.updatePresence(presentNames, departedNames);
    }

    void configure(Config newConfig) {
        budgetNode.configure(nowMicros(), newConfig.groupMemberNames(), newConfig.groupBudgets());
        budgetNode.setRetiredMembers(nowMicros(), newConfig.retiredMembers());
    }

    @Override
    public void send(String memberName, ByteBuffer datagram) {
        datagramSender.accept(memberName, datagram);
    }

    @Override
    public void applyShares(long updateNumber, List<LeasedShare> shares, long validUntil) {
        passToBalancer(updateNumber, validUntil, shares);
    }

    private void passToBalancer(long updateNumber, long validUntil, List<LeasedShare> shares) {
        List<BudgetShare> balancerShares = shares.stream().map(share -> new BudgetShare(share.budget(),
            toTokens(share.rate()), toTokens(share.burst()), toTokens(share.addedTokens()))).toList();
        requestTable.eventLoop().execute(() -> {
            if (!stopped) {
                requestTable.budgets(updateNumber, validUntil - nowMicros(), balancerShares);
                lastUpdateNumber = updateNumber;
            }
        });
    }

    private static double toTokens(long microtokens) {
        return microtokens / (double) Budget.MICROTOKENS_PER_TOKEN;
    }

    /** Reports the balancer's usage of the shares. Runs on the table's event loop. */
    private void reportUsage() {
        if (stopped) {
            return;
        }
        long now = nowMicros(), elapsedMicros = Math.max(1, now - lastReportAt),
            updateNumber = lastUpdateNumber;
        lastReportAt = now;
        List<ShareUsage> usages = new ArrayList<>();
        for (BudgetUse balancerUsage : requestTable.budgets()) {
            Long previousCount = previousRequestCounts.put(balancerUsage.budget(), balancerUsage.asked());
            double demand = (balancerUsage.asked() - (previousCount == null ? 0 : previousCount)) * 1e6
                / elapsedMicros * Budget.MICROTOKENS_PER_TOKEN;
            usages.add(new ShareUsage(balancerUsage.budget(), demand, balancerUsage.waits() ? 1 : 0,
                (long) Math.ceil(balancerUsage.left() * Budget.MICROTOKENS_PER_TOKEN),
                balancerUsage.spent()));
        }
        membershipLoop.execute(() -> budgetNode.reportUsage(updateNumber, usages));
    }

    /** Revokes all shares for good, including updates still queued. Runs on the table's event loop. */
    void stopSpending() {
        stopped = true;
        requestTable.budgets(Long.MAX_VALUE, 0, List.of());
    }

    /** Returns the shares after spending has stopped. Runs on the membership thread. */
    void leave() {
        budgetNode.leave(nowMicros());
    }

    void logRefusals() {
        Map<String, Long> refusalCounts = budgetNode.takeRefusalCounts();
        if (!refusalCounts.isEmpty()) {
            Log.write("budgets-refused", "datagrams not taken: " + refusalCounts);
        }
    }

    @Override
    public void logEvent(String text) {
        Log.write("budgets", text);
    }

    /** The console's answer to BUDGETS: a summary line, then a line per budget. */
    String consoleAnswer() {
        long now = nowMicros();
        String coordinator = budgetNode.coordinatorName(now);
        StringBuilder text = new StringBuilder("200 keeper=" + (budgetNode.isCoordinator(now) ? "self"
            : coordinator == null ? "none" : coordinator));
        if (budgetNode.missingVoters() != null) {
            text.append(" waits-for=").append(budgetNode.missingVoters());
        }
        for (BudgetStatus status : budgetNode.budgetStatuses(now)) {
            text.append(String.format(Locale.ROOT,
                "%n%s whole=%.3f/s burst=%.1f part=%.3f/s part-burst=%.1f"
                + " wanted=%.1f/s spent=%d lease=%.1fs age=%.1fs", status.budget().name(),
                toTokens(status.budget().rate()), toTokens(status.budget().burst()),
                toTokens(status.shareRate()), toTokens(status.shareBurst()),
                status.demand() / Budget.MICROTOKENS_PER_TOKEN, status.spentTokens(),
                status.remainingLeaseMicros() / 1e6, Math.min(status.grantAgeMicros() / 1e6, 99_999)));
        }
        return text.toString();
    }
}
