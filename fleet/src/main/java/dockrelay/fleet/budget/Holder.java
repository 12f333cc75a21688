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
 * What this process has been lent: it has it while a keeper says so, counted from the moment at which it
 * asked,
 * and says that it has less only once whoever spends has been told and has answered.
 */
class Holder {
    private static final int MOST_ASKED = 32;
    /** Needs are seen as counts of tenths of a second: a rise is believed sooner than a fall. */
    private static final double RISES = 0.3, FALLS = 0.12;
    private static final Line NONE = new Line(0, 0, 0, 0, 0);

    /** One budget. */
    private static final class Held {
        final Budget budget;
        long rate, burst; // the most that whoever spends may go by now
        long toRate, toBurst; // what he was told last
        double wanted;
        int waiting;
        long spent, tokens;
        boolean retired; // not named any more: gone once whoever spends has been told

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

    /** What is not named any more is given back once whoever spends has been told; returns whether any is. */
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

    /** Counts what whoever spends has been told: he names the last one when he answers. */
    long telling() {
        return telling;
    }

    long leaseEnd() {
        return leaseEnd;
    }

    long grantedAt() {
        return grantedAt;
    }

    /** Whether a lease has just ended: nothing may be spent any more. */
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

    /** What was made of the parts by one who has been told of them up to here: what he had before is gone. */
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
                // A token that is spent is of no use without a rate: the room for it goes back at once.
                held.burst = held.toRate > 0 ? held.toBurst : Math.min(held.toBurst, whole(held.tokens));
            });
        }
    }

    private static long whole(long tokens) {
        return (tokens + Budget.MICROTOKENS_PER_TOKEN - 1) / Budget.MICROTOKENS_PER_TOKEN * Budget.MICROTOKENS_PER_TOKEN;
    }

    /** What is told to one that may be the keeper. */
    Message ask(long now) {
        asked.put(++number, now);
        asked.keySet().removeIf(old -> old <= number - MOST_ASKED);
        List<Line> lines = new ArrayList<>();
        all.forEach((id, held) -> lines.add(new Line(id, held.rate, held.burst, (long) held.wanted,
            held.waiting)));
        return new Message(Kind.ASK, self, life, 0, term, number, lapsed ? 0 : confirmed, now - startedAt,
            lapsed, 0, null, null, lines);
    }

    /** A keeper's answer; returns whether there is something to go by anew. */
    boolean granted(long now, Message grant) {
        Long sentAt = asked.get(grant.number());
        if (grant.to() != life || grant.term() < term || sentAt == null || grant.number() <= lapsedBefore) {
            return false;
        }
        if (grant.term() > term) {
            // From now on a keeper before has no say here: what is told to this one is true.
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
     * Counted from the moment of asking: however late the answer, whoever lent knows it to be over by then.
     */
    long leaseEnd(long now, long sentAt) {
        return sentAt + pace.leaseRelied();
    }

    /** What there is to go by; what a grant adds is added once, so it is given with the first word of it. */
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

    /** Everything is given back. */
    Message leave() {
        leaseEnd = 0;
        lapse(0);
        return Message.plain(Kind.LEAVE, self, life, 0, term, ++number);
    }

    /** One line a budget, as an operator is told of it. */
    List<BudgetRow> rows(long now) {
        return all.values().stream().filter(held -> !held.retired).map(held -> new BudgetRow(held.budget,
            held.rate, held.burst, held.wanted,
            held.waiting, held.spent, leaseEnd == Long.MIN_VALUE ? 0 : Math.max(0, leaseEnd - now),
            now - grantedAt)).toList();
    }
}
