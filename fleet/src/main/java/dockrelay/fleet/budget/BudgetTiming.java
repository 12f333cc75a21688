package dockrelay.fleet.budget;

/**
 * How fast budgets change hands, in microseconds of elapsed time. Clocks may differ by three hundredths: who
 * promises keeps to it for longer than who relies on it counts on it.
 */
public record BudgetTiming(long period) {
    public static final BudgetTiming DEFAULT = new BudgetTiming(200_000);
    private static final double RELIED = 0.94, WAITED = 1.07;

    /** Between the keeper's words to those who have promised it their vote. */
    long renewal() {
        return 2 * period;
    }

    /** How long a vote is promised. */
    long promise() {
        return 10 * period;
    }

    /** ... and how long it is counted on, from the moment at which it was asked for. */
    long promiseRelied() {
        return (long) (promise() * RELIED);
    }

    /** Promises of the process before, or of anybody, are over after this. */
    long promiseOver() {
        return (long) (promise() * WAITED);
    }

    /** How long a part is lent. */
    public long lease() {
        return 25 * period;
    }

    /** ... and how long its holder counts on it, from the moment at which it asked. */
    long leaseRelied() {
        return (long) (lease() * RELIED);
    }

    /** Parts that nobody tells of are back after this. */
    public long leaseOver() {
        return (long) (lease() * WAITED);
    }

    /** How long votes are waited for. */
    long canvass() {
        return 2 * period;
    }
}
