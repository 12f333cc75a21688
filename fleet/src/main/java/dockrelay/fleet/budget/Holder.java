package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;
import dockrelay.fleet.budget.Message.Kind;
import dockrelay.fleet.budget.Message.Line;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The shares that this process has leased. A lease counts from the moment at which the request was
 * sent. A reduced share is reported to the coordinator only after the spender has confirmed it, so the
 * coordinator never assumes less than may still be spent.
 */
class Holder {
    private static final int MOST_ASKED = 32;
    /**
     * Smoothing factors of the demand, which is sampled every 100 ms: a rise is followed faster than a
     * fall.
     */
    private static final double RISES = 0.3, FALLS = 0.12;
    private static final Line NONE = new Line(0, 0, 0, 0, 0);

    /** The state of one budget. */
    private static final class Held {
        final Budget budget;
        long rate, burst; // upper bound of what the spender may use at present
        long toRate, toBurst; // the last share passed to the spender
        double wanted;
        int waiting;
        long spent, tokens;
        boolean retired; // removed from the configuration: dropped once the spender has confirmed

        Held(Budget budget) {
            this.budget = budget;
        }
    }

    private final int self, life;
    private final BudgetTiming pace;
    private final Map<Integer, Held> all = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Long> asked = new LinkedHashMap<>();
    private final long startedAt;
    private long term, version, confirmed, number, lapsedBefore, grantedAt, telling;
    private long leaseEnd = Long.MIN_VALUE;
    private boolean lapsed;

    Holder(int self, int life, BudgetTiming pace, Collection<Budget> budgets, long now) {
        this.self = self;
        this.life = life;
        this.pace = pace;
        this.startedAt = now;
        this.grantedAt = Long.MIN_VALUE / 2;
        configure(budgets);
    }

    /**
     * Applies a new list of budgets. Shares of removed budgets are returned once the spender has
     * confirmed. Returns whether any budget was removed.
     */
    boolean configure(Collection<Budget> budgets) {
        Map<Integer, Held> before = new LinkedHashMap<>(all);
        all.clear();
        for (Budget budget : budgets) {
            Held held = new Held(budget);
            Held old = before.remove(budget.id());
            if (old != null) {
                held.rate = old.rate;
                held.burst = old.burst;
                held.toRate = old.toRate;
                held.toBurst = old.toBurst;
            }
            all.put(budget.id(), held);
        }
        before.forEach((id, held) -> {
            held.retired = true;
            held.toRate = 0;
            held.toBurst = 0;
            all.put(id, held);
        });
        telling += before.isEmpty() ? 0 : 1;
        return !before.isEmpty();
    }

    long term() {
        return term;
    }

    /** The number of the last share update passed to the spender, which names it in its reports. */
    long telling() {
        return telling;
    }

    long leaseEnd() {
        return leaseEnd;
    }

    long grantedAt() {
        return grantedAt;
    }

    /** Drops all shares if the lease has expired since the last call; returns whether it did. */
    boolean lapse(long now) {
        if (leaseEnd == Long.MIN_VALUE || now < leaseEnd) {
            return false;
        }
        leaseEnd = Long.MIN_VALUE;
        lapsed = true;
        lapsedBefore = number;
        confirmed = version;
        telling++;
        all.values().forEach(held -> {
            held.rate = 0;
            held.burst = 0;
            held.toRate = 0;
            held.toBurst = 0;
        });
        return true;
    }

    /** Takes the spender's report, which confirms all share updates up to the given number. */
    void used(long upTo, Collection<ShareUsage> uses) {
        for (ShareUsage use : uses) {
            Held held = all.get(MemberList.idOf(use.budget()));
            if (held != null) {
                held.wanted += (use.wanted() > held.wanted ? RISES : FALLS) * (use.wanted() - held.wanted);
                held.waiting = use.waiting();
                held.spent = use.spent();
                held.tokens = use.tokens();
            }
        }
        if (upTo != telling) {
            return;
        }
        all.values().removeIf(held -> held.retired);
        if (!lapsed) {
            confirmed = version;
            all.values().forEach(held -> {
                held.rate = held.toRate;
                // Without a rate a spent token is not refilled: its part of the burst is returned at once.
                held.burst = held.toRate > 0 ? held.toBurst : Math.min(held.toBurst, whole(held.tokens));
            });
        }
    }

    private static long whole(long tokens) {
        return (tokens + Budget.MICROTOKENS_PER_TOKEN - 1) / Budget.MICROTOKENS_PER_TOKEN * Budget.MICROTOKENS_PER_TOKEN;
    }

    /** Creates the lease request, which reports the shares held and the demand. */
    Message ask(long now) {
        asked.put(++number, now);
        asked.keySet().removeIf(old -> old <= number - MOST_ASKED);
        List<Line> lines = new ArrayList<>();
        all.forEach((id, held) -> lines.add(new Line(id, held.rate, held.burst, (long) held.wanted,
            held.waiting)));
        return new Message(Kind.ASK, self, life, 0, term, number, lapsed ? 0 : confirmed, now - startedAt,
            lapsed, 0, null, null, lines);
    }

    /**
     * Takes a coordinator's grant; returns whether it was accepted and the shares or their expiry
     * changed.
     */
    boolean granted(long now, Message grant) {
        Long sentAt = asked.get(grant.number());
        if (grant.to() != life || grant.term() < term || sentAt == null || grant.number() <= lapsedBefore) {
            return false;
        }
        if (grant.term() > term) {
            // Grants of earlier coordinators are ignored from here on, so the report stays true.
            term = grant.term();
            version = 0;
            confirmed = 0;
        }
        if (grant.version() < version || grant.version() == 0) {
            return false;
        }
        long end = leaseEnd(now, sentAt);
        if (now >= end) {
            return false;
        }
        grantedAt = now;
        boolean anew = grant.version() > version;
        if (anew) {
            version = grant.version();
            lapsed = false;
            telling++;
            Map<Integer, Line> lines = new HashMap<>();
            grant.lines().forEach(line -> lines.put(line.budget(), line));
            all.forEach((id, held) -> {
                Line line = held.retired ? NONE : lines.getOrDefault(id, NONE);
                held.toRate = line.rate();
                held.toBurst = line.burst();
                held.rate = Math.max(held.rate, held.toRate);
                held.burst = Math.max(held.burst, held.toBurst);
            });
        }
        leaseEnd = Math.max(leaseEnd, end);
        return true;
    }

    /**
     * The end of a lease, counted from the moment of the request: however late the grant arrives, the
     * coordinator considers the lease expired no earlier than this.
     */
    long leaseEnd(long now, long sentAt) {
        return sentAt + pace.leaseRelied();
    }

    /**
     * The shares for the spender. The extra tokens of a grant must be added exactly once, so they are
     * included only when the grant is passed on for the first time; null otherwise.
     */
    List<LeasedShare> parts(Message grant) {
        List<LeasedShare> parts = new ArrayList<>();
        all.forEach((id, held) -> {
            long add = 0;
            for (Line line : grant == null ? List.<Line>of() : grant.lines()) {
                add = line.budget() == id ? line.extra() : add;
            }
            parts.add(new LeasedShare(held.budget.name(), held.toRate, held.toBurst, add));
        });
        return parts;
    }

    /** Drops all shares and creates the message that returns them. */
    Message leave() {
        leaseEnd = 0;
        lapse(0);
        return Message.plain(Kind.LEAVE, self, life, 0, term, ++number);
    }

    /** The status of each configured budget, for the console. */
    List<BudgetRow> rows(long now) {
        return all.values().stream().filter(held -> !held.retired).map(held -> new BudgetRow(held.budget,
            held.rate, held.burst, held.wanted,
            held.waiting, held.spent, leaseEnd == Long.MIN_VALUE ? 0 : Math.max(0, leaseEnd - now),
            now - grantedAt)).toList();
    }
}
