package dockrelay.fleet.budget;

/**
 * The intervals and durations of the budget protocol, all derived from one period, in microseconds.
 * The clocks of two processes may run up to 3 % apart; therefore whoever grants a vote or a lease
 * honours it longer than whoever received it relies on it.
 */
public record BudgetTiming(long period) {
    public static final BudgetTiming DEFAULT = new BudgetTiming(200_000);
    private static final double RELIED = 0.94, WAITED = 1.07;

    /** Interval at which the coordinator renews its votes. */
    long renewal() {
        return 2 * period;
    }

    /** How long a voter keeps a vote that it granted. */
    long promise() {
        return 10 * period;
    }

    /**
     * How long the coordinator relies on a vote, counted from the moment at which it sent the request.
     */
    long promiseRelied() {
        return (long) (promise() * RELIED);
    }

    /** After this time every vote that was granted before has expired, on any clock. */
    long promiseOver() {
        return (long) (promise() * WAITED);
    }

    /** How long the coordinator leases a share. */
    public long lease() {
        return 25 * period;
    }

    /** How long the holder relies on a lease, counted from the moment at which it sent the request. */
    long leaseRelied() {
        return (long) (lease() * RELIED);
    }

    /** After this time every lease that was granted before has expired, on any clock. */
    public long leaseOver() {
        return (long) (lease() * WAITED);
    }

    /** How long a candidate waits for votes. */
    long canvass() {
        return 2 * period;
    }
}
