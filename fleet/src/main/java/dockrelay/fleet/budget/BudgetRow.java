package dockrelay.fleet.budget;

/**
 * A budget as an operator is told of it: the whole, the part of this process, what it wants and has spent,
 * for how
 * long the part is lent still (0: it has nothing) and how long ago the keeper said so. Times in microseconds.
 */
public record BudgetRow(Budget whole, long rate, long burst, double wanted, int waiting, long spent, long
    lease,
                        long age) {
}
