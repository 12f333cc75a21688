package dockrelay.fleet.budget;

/**
 * The leased share of a budget: a token bucket with the given burst and refill rate per second, and
 * tokens to add to it once, all in millionths of a token. From an update that the spender has applied
 * before, only the expiry is used.
 */
public record LeasedShare(String budget, long rate, long burst, long addedTokens) {
}
