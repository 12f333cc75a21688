package dockrelay;

/** A service class with its pool of backends and the statistics of its requests, times in microseconds. */
final class ServiceState {
    final Balancer.ServiceClass spec;
    final Roster.Pool pool;
    double shed; // own if the class is restricted; the unknown class has that of all others
    double median, deviation;
    double floor = Double.MAX_VALUE;
    int answers;
    double usualBudget, usualLog, hintLog, hintCovers, hintVaries;

    ServiceState(Balancer.ServiceClass spec, Roster.Pool pool) {
        this.spec = spec;
        this.pool = pool;
    }
}
