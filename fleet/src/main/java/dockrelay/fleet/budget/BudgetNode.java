package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;
import dockrelay.fleet.budget.Message.Kind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * One process's side of the protocol that shares token-bucket budgets among the whole fleet
 * (docs/budgets.md): it takes part in the election of the coordinator, holds leased shares and, while
 * it is the coordinator, grants them. A pure state machine: times are microseconds of a monotonic clock
 * that the caller passes in, and all output goes through {@link Callbacks}. Not thread-safe.
 */
public class BudgetNode {
    private static final int MOST_BUDGETS = Message.MOST_LINES, ASKED_AGAIN_PERIODS = 3;
    private static final long NEVER = 3_600_000_000L;

    /** The output of the state machine. */
    public interface Callbacks {
        /** Sends a datagram to a member; it may be lost. */
        void send(String to, ByteBuffer datagram);

        /**
         * Sets the shares that may be spent until the given time. The spender confirms the update by
         * passing its number to {@link BudgetNode#used}.
         */
        void applyShares(long telling, List<LeasedShare> parts, long until);

        /** Reports an event for the log. */
        void logEvent(String text);
    }

    private final int self, life;
    private final BudgetTiming pace;
    private final Random random;
    private final Callbacks actions;
    private final Voter voter;
    private final Authority authority;
    private final Holder holder;
    private final Map<String, Long> refused = new TreeMap<>();
    private Collection<Budget> budgets;
    private MemberList roster;
    private Ledger ledger; // null unless this process is the coordinator
    private Set<Integer> present = new HashSet<>(), departed = new HashSet<>();
    private long askAt, nextAt, keeperHeardAt = Long.MIN_VALUE / 2, keeperTerm;
    private int keeper;
    private boolean left;

    public BudgetNode(String self, Collection<String> names, Collection<Budget> budgets, int life, BudgetTiming
        pace,
                   Random random, Callbacks actions, long now) {
        this.self = MemberList.idOf(self);
        this.life = life;
        this.pace = pace;
        this.random = random;
        this.actions = actions;
        this.roster = roster(names);
        this.budgets = checked(budgets);
        this.voter = voter(this.self, life, pace, now);
        this.authority = authority(this.self, life, pace, voter, roster, random, this::send, now);
        this.holder = holder(this.self, life, pace, this.budgets, now);
        this.askAt = now + (long) (random.nextDouble() * pace.period());
        this.nextAt = askAt;
    }

    // Factory methods, overridden by tests that inject faulty components.

    Voter voter(int id, int ofLife, BudgetTiming at, long now) {
        return new Voter(id, ofLife, at, now);
    }

    Authority authority(int id, int ofLife, BudgetTiming at, Voter of, MemberList names, Random by,
                        Authority.Sender sender, long now) {
        return new Authority(id, ofLife, at, of, names, by, sender, now);
    }

    Holder holder(int id, int ofLife, BudgetTiming at, Collection<Budget> of, long now) {
        return new Holder(id, ofLife, at, of, now);
    }

    Ledger ledger(Collection<Budget> of, long term, BudgetTiming at, long now) {
        return new Ledger(of, term, at, now);
    }

    /** Rejects lists that do not fit into a datagram: no coordinator could ever be elected with them. */
    private static MemberList roster(Collection<String> names) {
        if (names.size() > Message.MOST_NAMES) {
            throw new BudgetException(BudgetException.Code.MEMBERS, names.size()
                + " members that share budgets", "allowed are " + Message.MOST_NAMES + " in one group");
        }
        return new MemberList(names);
    }

    private static Collection<Budget> checked(Collection<Budget> budgets) {
        Set<Integer> ids = new HashSet<>();
        for (Budget budget : budgets) {
            if (!ids.add(budget.id())) {
                throw new BudgetException(BudgetException.Code.TWICE, "budget " + budget.name()
                    + " has the same id as another budget", "rename one of them");
            }
        }
        if (ids.size() > MOST_BUDGETS) {
            throw new BudgetException(BudgetException.Code.TOO_MANY, ids.size() + " budgets",
                "allowed are at most " + MOST_BUDGETS);
        }
        return List.copyOf(budgets);
    }

    /**
     * Applies a new list of members and budgets. The voter set is not configured; the members agree on
     * it.
     */
    public void configure(long now, Collection<String> names, Collection<Budget> next) {
        Collection<Budget> usable = checked(next);
        roster = roster(names);
        authority.roster(roster);
        if (!usable.equals(budgets)) {
            budgets = usable;
            if (holder.configure(budgets)) {
                actions.applyShares(holder.telling(), holder.parts(null), holder.leaseEnd());
            }
            if (ledger != null) {
                ledger.configure(now, budgets);
            }
        }
    }

    /**
     * Sets the members that operators have declared retired: no process runs under these names or will
     * again.
     */
    public void retired(long now, Collection<String> names) {
        Set<Integer> gone = ids(names);
        gone.remove(self);
        authority.retired(now, gone);
    }

    /**
     * Passes on which members the membership protocol considers present and which departed for good.
     * These are hints; the budgets stay within their bounds even if they are wrong.
     */
    public void updatePresence(Collection<String> here, Collection<String> away) {
        present = ids(here);
        departed = ids(away);
    }

    private static Set<Integer> ids(Collection<String> names) {
        Set<Integer> result = new HashSet<>();
        names.forEach(name -> result.add(MemberList.idOf(name)));
        return result;
    }

    // --- timers

    public long nextTickAt() {
        return nextAt;
    }

    public void tick(long now) {
        if (left) {
            nextAt = now + NEVER;
            return;
        }
        if (holder.lapse(now)) {
            actions.logEvent("the lease has expired: nothing may be spent until a coordinator grants a new one");
            actions.applyShares(holder.telling(), holder.parts(null), now);
        }
        authority.tick(now, present, departed);
        follow(now);
        if (now >= askAt) {
            askAt = Math.max(askAt + pace.period(), now + pace.period() / 2);
            ask(now);
        }
        nextAt = Math.min(askAt, authority.nextAt());
        nextAt = holder.leaseEnd() == Long.MIN_VALUE ? nextAt : Math.min(nextAt, holder.leaseEnd());
        nextAt = Math.max(nextAt, now + pace.period() / 100);
    }

    private void ask(long now) {
        if (authority.holds(now)) {
            keeper = self;
            keeperTerm = authority.term();
            keeperHeardAt = now;
            for (int i = 0; i < 2; i++) { // the first request may only move the holder to the new term
                Message grant = ledger.ask(now, holder.ask(now));
                if (grant != null) {
                    granted(now, grant);
                }
            }
            String apart = ledger.apart();
            if (apart != null) {
                actions.logEvent("B-CLOCK: the clock of member #" + apart + " s against this one: the member"
                    + " gets no grants until both clocks agree again");
            }
            return;
        }
        boolean known = now - keeperHeardAt < pace.promise() && keeper != self;
        if (known) {
            send(keeper, holder.ask(now));
        }
        if (!known || now - holder.grantedAt() > ASKED_AGAIN_PERIODS * pace.period()) {
            List<Integer> others = new ArrayList<>(present);
            others.removeIf(id -> id == self || known && id == keeper);
            if (others.isEmpty()) {
                for (int i = 0; i < roster.size(); i++) {
                    others.add(roster.idAt(i));
                }
                others.removeIf(id -> id == self);
            }
            if (!others.isEmpty()) {
                send(others.get(random.nextInt(others.size())), holder.ask(now));
            }
        }
    }

    // --- datagrams

    private void send(int to, Message message) {
        int index = roster.indexOf(to);
        if (index >= 0) {
            actions.send(roster.nameAt(index), message.bytes());
        }
    }

    /**
     * Handles a datagram from a peer. The name is the one configured for the sender's address, null
     * if the address is unknown. Datagrams that cannot be used are dropped and counted by reason.
     */
    public void receive(long now, String from, ByteBuffer datagram) {
        Message message;
        try {
            message = Message.read(datagram);
        } catch (Message.Unreadable e) {
            refused.merge(e.getMessage(), 1L, Long::sum);
            return;
        }
        boolean twin = message.sender() == self && message.life() != life;
        if (from == null || message.sender() != MemberList.idOf(from) || twin) {
            refused.merge(from == null ? "stranger" : twin ? "twin" : "misnamed", 1L, Long::sum);
            if (from == null) {
                authority.stranger(now);
            }
            return;
        }
        if (left) {
            return;
        }
        authority.heard(message.sender(), message.life());
        switch (message.kind()) {
            case ASK -> asked(now, message);
            case GRANT -> granted(now, message);
            case REDIRECT -> keeperIs(now, message.keeper(), message.term());
            case CANVASS, RENEW -> {
                Message vote = voter.asked(now, message);
                if (message.kind() == Kind.RENEW && vote.yes() && message.sender() != self) {
                    keeperIs(now, message.sender(), message.term());
                    authority.quiet(now);
                }
                send(message.sender(), vote);
            }
            case VOTE -> {
                if (message.to() == life) {
                    authority.vote(now, message.sender(), message);
                    follow(now);
                }
            }
            case RESIGN -> {
                if (voter.resigned(message.sender(), message.life(), message.term())) {
                    authority.hurry(now);
                }
            }
            case LEAVE -> {
                if (ledger != null && authority.holds(now)) {
                    ledger.left(message.sender(), message.life());
                }
            }
            default -> refused.merge("unknown", 1L, Long::sum);
        }
    }

    /** Starts a new ledger for each term as coordinator, and drops it when the term ends. */
    private void follow(long now) {
        boolean keeps = authority.holds(now);
        if (keeps && (ledger == null || ledger.term() != authority.term())) {
            ledger = ledger(budgets, authority.term(), pace, now);
            askAt = now;
            nextAt = now;
            actions.logEvent("the keeper of term " + authority.term() + ", by " + authority.voters()
                + " that vote");
        } else if (!keeps && ledger != null) {
            ledger = null;
            actions.logEvent("no longer the coordinator");
        }
    }

    private void keeperIs(long now, int id, long term) {
        if (term >= keeperTerm && id != self) {
            keeper = id;
            keeperTerm = term;
            keeperHeardAt = now;
        }
    }

    private void asked(long now, Message ask) {
        if (authority.holds(now)) {
            Message grant = ledger.ask(now, ask);
            if (grant != null) {
                send(ask.sender(), new Message(Kind.GRANT, self, life, grant.to(), grant.term(),
                    grant.number(),
                    grant.version(), 0, false, self, null, null, grant.lines()));
            }
        } else if (now - keeperHeardAt < pace.promise() && keeper != self) {
            send(ask.sender(), new Message(Kind.REDIRECT, self, life, ask.life(), keeperTerm, 0, 0, 0, false,
                keeper, null, null, List.of()));
        }
    }

    private void granted(long now, Message grant) {
        long before = holder.telling();
        if (holder.granted(now, grant)) {
            if (grant.sender() != 0) {
                keeperIs(now, grant.sender(), grant.term());
            }
            boolean anew = holder.telling() != before;
            actions.applyShares(holder.telling(), holder.parts(anew ? grant : null), holder.leaseEnd());
        }
    }

    /**
     * Takes the spender's report. It confirms all share updates up to the given number: tokens of
     * earlier shares that exceed the confirmed ones are no longer available to the spender.
     */
    public void reportUsage(long upTo, Collection<ShareUsage> uses) {
        holder.used(upTo, uses);
    }

    /**
     * Returns all shares and resigns as coordinator. The spender must have stopped spending before this
     * call.
     */
    public void leave(long now) {
        Message goodbye = holder.leave();
        if (authority.holds(now)) {
            authority.resign(now);
            ledger = null;
        } else if (now - keeperHeardAt < pace.promise()) {
            send(keeper, goodbye);
            send(keeper, goodbye);
        }
        left = true;
    }

    // --- status

    /** Whether this process is the coordinator. */
    public boolean isCoordinator(long now) {
        return authority.holds(now);
    }

    /** The name of the coordinator that this process knows of; null if there is none. */
    public String keeper(long now) {
        return now - keeperHeardAt < pace.promise() ? roster.nameOrId(keeper) : null;
    }

    /** The members whose votes the last failed election lacked, comma-separated; null if none failed. */
    public String waitsFor() {
        return authority.waitsFor();
    }

    public List<BudgetRow> rows(long now) {
        return holder.rows(now);
    }

    /** Counts of rejected datagrams by reason since the last call. */
    public Map<String, Long> refused() {
        Map<String, Long> result = new TreeMap<>(refused);
        refused.clear();
        return result;
    }

    /**
     * Whether a datagram with this first byte belongs to the budget protocol; other protocols share the
     * socket.
     */
    public static boolean ours(byte first) {
        return first == Message.MAGIC;
    }
}
