package dockrelay.fleet.budget;

import dockrelay.fleet.budget.Message.Kind;

/**
 * One name's vote: promised to one at a time, for a while, and never so soon after a start that the process
 * before may have promised it to somebody else. It remembers the agreed list that a keeper told it of.
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

    /** The highest term that it knows of. */
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

    /** From when on it votes: nobody can count on the process before any more. */
    long votesFrom(long startedAt) {
        return startedAt + pace.promiseOver();
    }

    /** The same name is not enough: a process before or beside may count on the promise still. */
    boolean same(int ofLife) {
        return toLife == ofLife;
    }

    /** Whether it is free to be promised: nobody else counts on it. */
    boolean free(long now) {
        return now >= votesFrom && !(promised && now < until);
    }

    /** A start of a canvass or a keeper's renewal; what it answers tells what it remembered before. */
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

    /** Who asked for it needs it no longer. */
    boolean resigned(int by, int byLife, long ofTerm) {
        boolean freed = promised && to == by && toLife == byLife && ofTerm >= promisedTerm;
        promised &= !freed;
        return freed;
    }
}
