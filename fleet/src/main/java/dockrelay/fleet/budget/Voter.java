package dockrelay.fleet.budget;

import dockrelay.fleet.budget.Message.Kind;

/**
 * The vote of one member. It is granted to one candidate at a time and for a limited time, and not
 * until any vote that the previous process of this name may have granted has expired. Remembers the
 * voter sets that a coordinator announced.
 */
class Voter {
    private final int self, life;
    private final BudgetTiming pace;
    private final long votesFrom;
    private long term, until, promisedTerm;
    private int to, toLife;
    private boolean promised;
    private Agreed agreed, next;

    Voter(int self, int life, BudgetTiming pace, long now) {
        this.self = self;
        this.life = life;
        this.pace = pace;
        this.votesFrom = votesFrom(now);
    }

    /** The highest term that this process knows of. */
    long term() {
        return term;
    }

    void heardOf(long higher) {
        term = Math.max(term, higher);
    }

    Agreed agreed() {
        return agreed;
    }

    Agreed next() {
        return next;
    }

    /** The time from which on this process votes: votes of the previous process have expired by then. */
    long votesFrom(long startedAt) {
        return startedAt + pace.promiseOver();
    }

    /**
     * Whether the vote was granted to this instance. The same name is not enough: an earlier or
     * concurrent process of that name may still rely on the vote.
     */
    boolean same(int ofLife) {
        return toLife == ofLife;
    }

    /** Whether the vote can be granted: no other process relies on it. */
    boolean free(long now) {
        return now >= votesFrom && !(promised && now < until);
    }

    /**
     * Answers a vote request or a renewal. The answer carries the voter sets remembered before this
     * message.
     */
    Message asked(long now, Message of) {
        boolean canvass = of.kind() == Kind.CANVASS;
        boolean mine = promised && now < until && to == of.sender() && same(of.life());
        boolean yes = now >= votesFrom && of.to() == life
            && (canvass ? of.term() > term : of.term() >= term) && (free(now) || mine);
        Agreed had = agreed, hadNext = next;
        if (yes) {
            promised = true;
            to = of.sender();
            toLife = of.life();
            until = now + pace.promise();
            promisedTerm = of.term();
            term = of.term();
            if (!canvass && (agreed == null || !agreed.newerThan(of.agreed()))) {
                agreed = of.agreed();
                next = of.next();
            }
        }
        return new Message(Kind.VOTE, self, life, of.life(), term, of.number(), 0, 0, yes, of.sender(), had,
            hadNext, java.util.List.of());
    }

    /** Releases the vote if it was granted to the process that resigns; returns whether it was. */
    boolean resigned(int by, int byLife, long ofTerm) {
        boolean freed = promised && to == by && toLife == byLife && ofTerm >= promisedTerm;
        promised &= !freed;
        return freed;
    }
}
