package dockrelay.fleet.budget;

import dockrelay.fleet.budget.Message.Kind;
import dockrelay.fleet.budget.Message.Line;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The coordinator's record of the leases: which process holds which share, and for how long. A
 * process never holds more than is recorded here; a reduced share stays recorded in full until its
 * holder has confirmed the reduction.
 */
class Ledger {
    /** Smaller relative changes of a share are not passed on. */
    private static final double NOTABLE = 0.05;
    /** Minimum interval between two divisions by demand. */
    private static final long DIVIDED_EVERY = 80_000;
    /** A process that has sent no request for so many periods no longer waits for a token. */
    private static final int WAITING_PERIODS = 4;
    /**
     * Part of the rate that is leased: clocks may run 3 % apart, and each holder refills its bucket by
     * its own.
     */
    private static final double EARNED = 0.97;
    /**
     * Interval over which clocks are compared. They may drift by 3 %, plus the variation of the network
     * delay.
     */
    private static final long COMPARED = 10_000_000;
    private static final int STRIKES = 2;
    private static final double APART = 0.03, WAY = 100_000;

    /** One process's lease of one budget. */
    static final class Lent {
        long rate, burst; // upper bound of what the process holds
        long toRate, toBurst, add; // the share granted last
        double wanted;
        long waiting, servedAt = Long.MIN_VALUE;
        long desired;
    }

    /** A process that holds leases. */
    private static final class Borrower {
        final int name;
        final Map<Integer, Lent> lent = new HashMap<>();
        long version = 1, lastAsk, until, askedAt, comparedAt, least = Long.MAX_VALUE, leastBefore;
        int compared, strikes;
        boolean untrusted;

        Borrower(int name) {
            this.name = name;
        }
    }

    /**
     * One budget: the whole, the sum of its leases, and what processes may hold that have not reported
     * yet.
     */
    static final class Account {
        final Budget whole;
        final long rate, unlockAt; // until then leases of earlier terms may still be in use
        long unknownRate, unknownBurst, lentRate, lentBurst, filledAt;
        double tokens;
        boolean shortOf; // a process lacks most of its share: reductions apply to all others, however small

        Account(Budget whole, long now, long unlockAt) {
            this.whole = whole;
            this.unlockAt = unlockAt;
            this.rate = (long) (whole.rate() * EARNED);
            this.unknownRate = rate;
            this.unknownBurst = whole.burst();
            this.filledAt = now;
        }

        void set(Lent lent, long rate, long burst) {
            lentRate += rate - lent.rate;
            lentBurst += burst - lent.burst;
            lent.rate = rate;
            lent.burst = burst;
        }

        long freeRate() {
            return rate - unknownRate - lentRate;
        }

        long freeBurst() {
            return whole.burst() - unknownBurst - lentBurst;
        }
    }

    private final BudgetTiming pace;
    private final long term;
    private final Map<Integer, Account> accounts = new LinkedHashMap<>();
    private final Map<Long, Borrower> borrowers = new LinkedHashMap<>();
    private long dividedAt = Long.MIN_VALUE;
    private String apart;

    Ledger(Collection<Budget> budgets, long term, BudgetTiming pace, long now) {
        this.term = term;
        this.pace = pace;
        configure(now, budgets);
    }

    /**
     * Applies new or changed budgets. Existing leases stay recorded until they are returned or expire.
     */
    final void configure(long now, Collection<Budget> budgets) {
        Map<Integer, Account> before = new HashMap<>(accounts);
        accounts.clear();
        for (Budget budget : budgets) {
            Account old = before.remove(budget.id());
            Account account = new Account(budget, now, old == null ? now + pace.leaseOver() : old.unlockAt);
            if (old != null) {
                account.unknownRate = old.unknownRate;
                account.unknownBurst = old.unknownBurst;
                account.lentRate = old.lentRate;
                account.lentBurst = old.lentBurst;
                account.tokens = old.tokens;
            }
            accounts.put(budget.id(), account);
        }
        // A budget that is added again later starts as unknown: others may still hold all of it.
        borrowers.values().forEach(borrower -> borrower.lent.keySet().removeAll(before.keySet()));
        dividedAt = Long.MIN_VALUE;
    }

    long term() {
        return term;
    }

    /**
     * Describes a process whose clock drifts from this one's, once per detection; null if there is
     * none.
     */
    String apart() {
        String which = apart;
        apart = null;
        return which;
    }

    long key(int name, int life) {
        return (long) name << 32 | life & 0xffffffffL;
    }

    /**
     * Releases expired leases and, once all leases of earlier terms have expired, the unreported
     * shares.
     */
    private void sweep(long now) {
        for (Iterator<Borrower> each = borrowers.values().iterator(); each.hasNext();) {
            Borrower borrower = each.next();
            if (now >= borrower.until) {
                each.remove();
                release(borrower);
            }
        }
        for (Account account : accounts.values()) {
            if (now >= account.unlockAt) {
                account.unknownRate = 0;
                account.unknownBurst = 0;
            }
            double earned = Math.max(0, account.freeRate()) * ((now - account.filledAt) / 1e6);
            account.tokens = Math.max(0, Math.min(account.freeBurst(), account.tokens + earned));
            account.filledAt = now;
        }
    }

    private void release(Borrower borrower) {
        borrower.lent.forEach((id, lent) -> {
            Account account = accounts.get(id);
            if (account != null) {
                account.set(lent, 0, 0);
            }
        });
        dividedAt = Long.MIN_VALUE;
    }

    /** Removes a process that has returned all its leases. */
    void left(int name, int life) {
        Borrower borrower = borrowers.remove(key(name, life));
        if (borrower != null) {
            release(borrower);
        }
    }

    /**
     * Answers a lease request, which reports what the sender holds and wants; null if it gets no
     * answer. A sender that is not in this term yet gets an empty grant that moves it there. From then
     * on no earlier coordinator can raise its share, so what its next request reports is reliable.
     */
    Message ask(long now, Message ask) {
        sweep(now);
        if (ask.term() != term) {
            return grant(ask, 0, List.of());
        }
        Borrower borrower = borrowers.get(key(ask.sender(), ask.life()));
        boolean first = borrower == null;
        if (first) {
            borrower = new Borrower(ask.sender());
            borrowers.put(key(ask.sender(), ask.life()), borrower);
            dividedAt = Long.MIN_VALUE;
        } else if (old(ask.number(), borrower.lastAsk)) {
            return null; // reordered or duplicate
        }
        borrower.lastAsk = ask.number();
        borrower.askedAt = now;
        boolean lapsed = ask.yes() || ask.version() > borrower.version || first && ask.version() > 0;
        boolean acknowledged = !first && !lapsed && ask.version() == borrower.version;
        if (acknowledged) {
            compare(now, borrower, ask.clock()); // a first request may be a delayed one
        }
        Map<Integer, Line> told = new HashMap<>();
        ask.lines().forEach(line -> told.put(line.budget(), line));
        for (Account account : accounts.values()) {
            Line line = told.getOrDefault(account.whole.id(), new Line(0, 0, 0, 0, 0));
            Lent lent = borrower.lent.computeIfAbsent(account.whole.id(), id -> new Lent());
            lent.wanted = line.wanted();
            lent.waiting = line.extra();
            if (lapsed) {
                lend(account, lent, 0, 0);
            } else if (first) {
                lend(account, lent, line.rate(), line.burst());
                account.unknownRate = Math.max(0, account.unknownRate - line.rate());
                account.unknownBurst = Math.max(0, account.unknownBurst - line.burst());
            } else if (acknowledged) {
                // A holder that has confirmed all grants may have returned part of its share on its own.
                lend(account, lent, Math.min(lent.toRate, line.rate()), Math.min(lent.toBurst, line.burst()));
            }
        }
        if (lapsed) {
            borrower.version = Math.max(borrower.version, ask.version()) + 1;
        }
        if (first || lapsed || acknowledged) {
            divide(now, borrower);
        }
        borrower.until = now + (borrower.untrusted ? 2 : 1) * pace.lease();
        if (borrower.untrusted) {
            return null;
        }
        List<Line> lines = new ArrayList<>();
        borrower.lent.forEach((id, lent) -> lines.add(new Line(id, lent.toRate, lent.toBurst, 0, lent.add)));
        return grant(ask, borrower.version, lines);
    }

    private Message grant(Message ask, long version, List<Line> lines) {
        return new Message(Kind.GRANT, 0, 0, ask.life(), term, ask.number(), version, 0, false, 0, null, null,
            lines);
    }

    /** Records a lease of this size, with no other grant in flight. */
    private static void lend(Account account, Lent lent, long rate, long burst) {
        account.set(lent, rate, burst);
        lent.toRate = rate;
        lent.toBurst = burst;
        lent.add = 0;
    }

    /**
     * Detects a clock that runs slow, whose leases would last too long. A delayed message makes
     * clocks seem apart for a moment; therefore the smallest difference of an interval is compared with
     * that of the interval before, and a process is distrusted only after two deviations in a row.
     */
    private void compare(long now, Borrower borrower, long itsClock) {
        borrower.least = Math.min(borrower.least, now - itsClock);
        if (borrower.comparedAt == 0) {
            borrower.comparedAt = now;
        } else if (now - borrower.comparedAt >= COMPARED) {
            double went = borrower.least - (double) borrower.leastBefore;
            boolean far = borrower.compared++ > 0 && Math.abs(went) > APART * (now - borrower.comparedAt) +
                WAY;
            borrower.strikes = far ? borrower.strikes + 1 : 0;
            borrower.untrusted = borrower.strikes >= STRIKES;
            if (borrower.untrusted) {
                apart = String.format(java.util.Locale.ROOT, "%08x drifted by %.2f s in %.2f", borrower.name,
                    went / 1e6, (now - borrower.comparedAt) / 1e6);
            }
            borrower.comparedAt = now;
            borrower.leastBefore = borrower.least;
            borrower.least = Long.MAX_VALUE;
        }
    }

    /** Computes the target share of each process from all demands. */
    private void desire(long now) {
        if (dividedAt != Long.MIN_VALUE && now - dividedAt < DIVIDED_EVERY) {
            return;
        }
        dividedAt = now;
        for (Account account : accounts.values()) {
            int id = account.whole.id();
            List<Lent> all = borrowers.values().stream().map(borrower -> borrower.lent.get(id))
                .filter(lent -> lent != null).toList();
            double[] needs = all.stream().mapToDouble(lent -> lent.wanted).toArray();
            long[] parts = Division.of(account.rate, needs);
            account.shortOf = false;
            for (int i = 0; i < parts.length; i++) {
                Lent lent = all.get(i);
                lent.desired = parts[i];
                account.shortOf |= lent.rate < parts[i] / 2;
            }
        }
    }

    /**
     * Whether the burst suffices for two tokens per process; otherwise single tokens are leased in
     * turn.
     */
    private boolean byRate(Account account) {
        return account.whole.burst() >= 2 * Budget.MICROTOKENS_PER_TOKEN * borrowers.size();
    }

    private void divide(long now, Borrower borrower) {
        desire(now);
        boolean changed = false;
        for (Account account : accounts.values()) {
            Lent lent = borrower.lent.get(account.whole.id());
            long rate = 0, burst = 0, add = 0;
            if (byRate(account)) {
                rate = lent.desired;
                burst = burst(account, rate);
            } else if (isNext(now, account, lent)) {
                burst = Budget.MICROTOKENS_PER_TOKEN;
                add = Budget.MICROTOKENS_PER_TOKEN;
            } else if (lent.waiting > 0) {
                burst = lent.burst;
            }
            long toRate = grown(lent.rate, rate, account.freeRate());
            long toBurst = grown(lent.burst, burst, freeBurst(account));
            boolean room = account.shortOf && toRate < lent.toRate;
            if (add > 0 || room || notable(toRate, lent.toRate) || notable(toBurst, lent.toBurst)) {
                changed = true;
                told(account, lent, toRate, toBurst);
                lent.toRate = toRate;
                lent.toBurst = toBurst;
                lent.add = add;
                account.tokens -= add;
                lent.servedAt = add > 0 ? now : lent.servedAt;
            }
        }
        borrower.version += changed ? 1 : 0;
    }

    /** The burst of a process: one token, plus a part of the remainder in proportion to its rate. */
    long burst(Account account, long rate) {
        double spare = account.whole.burst() - (double) Budget.MICROTOKENS_PER_TOKEN * borrowers.size();
        return Budget.MICROTOKENS_PER_TOKEN + (long) (spare * (rate / (double) account.rate));
    }

    /** Whether a request is a duplicate or was overtaken by a later one. */
    boolean old(long number, long last) {
        return number <= last;
    }

    /**
     * Records a grant. Until the process confirms it, the process may use the larger of the old and the
     * new share.
     */
    void told(Account account, Lent lent, long rate, long burst) {
        account.set(lent, Math.max(lent.rate, rate), Math.max(lent.burst, burst));
    }

    long freeBurst(Account account) {
        return account.freeBurst();
    }

    /**
     * The new amount of a lease: a reduction always applies, an increase only as far as tokens are
     * free.
     */
    private static long grown(long lent, long wanted, long free) {
        return wanted <= lent ? wanted : lent + Math.min(wanted - lent, Math.max(0, free));
    }

    private static boolean notable(long to, long from) {
        return to != from && (to == 0 || from == 0 || Math.abs(to - from) > NOTABLE * Math.max(to, from));
    }

    /**
     * Whether a free token goes to this process: the least recently served waiting process comes first.
     */
    private boolean isNext(long now, Account account, Lent lent) {
        long tokens = (long) Math.min(account.tokens, account.freeBurst() + lent.burst) / Budget.MICROTOKENS_PER_TOKEN;
        if (lent.waiting == 0 || lent.burst >= Budget.MICROTOKENS_PER_TOKEN || tokens < 1) {
            return false;
        }
        int before = 0;
        for (Borrower other : borrowers.values()) {
            Lent its = other.lent.get(account.whole.id());
            before += its != null && its != lent && its.waiting > 0 && its.burst < Budget.MICROTOKENS_PER_TOKEN
                && now - other.askedAt < WAITING_PERIODS * pace.period() && its.servedAt < lent.servedAt ?
                    1 : 0;
        }
        return before < tokens;
    }
}
