package dockrelay.fleet.budget;

/**
 * The intervals and durations of the budget protocol, all derived from one period, in microseconds.
 * The clocks of two processes may run up to 3 % apart; therefore whoever grants a vote or a lease
 * honours it longer than whoever received it relies on it.
 */
public record BudgetTiming(long periodMicros) {
    public static final BudgetTiming DEFAULT = new BudgetTiming(200_000);
    private static final double RELIED_FRACTION = 0.94, EXPIRY_FACTOR = 1.07;

    /** Interval at which the coordinator renews its votes. */
    long renewalInterval() {
        return 2 * periodMicros;
    }

    /** How long a voter keeps a vote that it granted. */
    long voteDuration() {
        return 10 * periodMicros;
    }

    /**
     * How long the coordinator relies on a vote, counted from the moment at which it sent the request.
     */
    long reliedVoteDuration() {
        return (long) (voteDuration() * RELIED_FRACTION);
    }

    /** After this time every vote that was granted before has expired, on any clock. */
    long maxVoteDuration() {
        return (long) (voteDuration() * EXPIRY_FACTOR);
    }

    /** How long the coordinator leases a share. */
    public long leaseDuration() {
        return 25 * periodMicros;
    }

    /** How long the holder relies on a lease, counted from the moment at which it sent the request. */
    long reliedLeaseDuration() {
        return (long) (leaseDuration() * RELIED_FRACTION);
    }

    /** After this time every lease that was granted before has expired, on any clock. */
    public long maxLeaseDuration() {
        return (long) (leaseDuration() * EXPIRY_FACTOR);
    }

    /** How long a candidate waits for votes. */
    long electionTimeout() {
        return 2 * periodMicros;
    }
}
