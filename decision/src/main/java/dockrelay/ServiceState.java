package dockrelay;

/** A service class with its pool of backends and the statistics of its requests, times in microseconds. */
final class ServiceState {
    final Balancer.ServiceClass spec;
    final BackendPools.Pool pool;
    double shedShare; // own if the class is restricted, else kept in the unknown class for all
    double median, deviation;
    double minMedian = Double.MAX_VALUE;
    int answerCount;
    double usualBudget, meanLogLatency, meanLogHint, covariance, variance; // of log hint and latency

    ServiceState(Balancer.ServiceClass spec, BackendPools.Pool pool) {
        this.spec = spec;
        this.pool = pool;
    }
}
