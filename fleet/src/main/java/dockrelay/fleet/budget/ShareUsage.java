package dockrelay.fleet.budget;

/**
 * What a spender reports of its share: the demand per second and the tokens left in the bucket, both
 * in millionths of a token, the requests that wait for a token, and the tokens spent so far.
 */
public record ShareUsage(String budgetName, double demand, int waitingRequests, long remainingTokens,
                         long spentTokens) {
}
