package dockrelay.fleet.budget;

/**
 * What this process may spend of a budget: a bucket of {@code burst} that earns {@code rate}, in millionths;
 * {@code add} goes into it once. Who has heard of a telling before takes nothing from it but its end.
 */
public record LeasedShare(String budget, long rate, long burst, long addedTokens) {
}
