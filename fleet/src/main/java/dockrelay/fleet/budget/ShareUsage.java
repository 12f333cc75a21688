package dockrelay.fleet.budget;

/**
 * What was made of a part: how many a second are wanted, how many wait for one, and what is in the bucket.
 */
public record ShareUsage(String budget, double wanted, int waiting, long tokens, long spent) {
}
