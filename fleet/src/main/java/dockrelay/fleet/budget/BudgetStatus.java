package dockrelay.fleet.budget;

/**
 * The status of one budget at this process, for the console: the whole budget, the leased share (in
 * millionths of a token), the demand, the requests that wait for a token, the tokens spent so far, the
 * remaining lease time (0 without a lease) and the time since the last grant, both in microseconds.
 */
public record BudgetStatus(Budget budget, long shareRate, long shareBurst, double demand,
                           int waitingRequests, long spentTokens, long remainingLeaseMicros,
                           long grantAgeMicros) {
}
