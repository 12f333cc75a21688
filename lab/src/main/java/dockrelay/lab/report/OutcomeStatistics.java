package dockrelay.lab.report;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Arrival;
import dockrelay.lab.spec.Experiment.ServiceClass;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The outcomes of the clients' requests, in total and per second of the intended send time, class and
 * tenant. The value of a request is that of its class times its work relative to the class's mean work.
 * Thread-safe: updated by the clients' event loop, read by the play's thread.
 */
public final class OutcomeStatistics {
    /** The final outcome of a client's request, over all its tries. */
    public enum Outcome { IN_TIME, LATE, REFUSED, FAILED, UNANSWERED, UNREACHABLE }

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int WINDOW_SECONDS = 10;
    private static final long MAX_LATENCY_MICROS = 3_600 * MICROS_PER_SECOND;

    /** Counts, latencies and value of the requests of one second, class or tenant, or of all. */
    public static final class Tally {
        public double requestedValue, earnedValue, lateFailureValue;
        public long requests, tries;
        public final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
        public final Histogram latencyHistogram = new Histogram(MAX_LATENCY_MICROS, 3);

        private void add(double value, double earnedShare, boolean lateFailure, Outcome outcome,
            long latencyMicros,
            int requestTries) {
            requestedValue += value;
            earnedValue += value * earnedShare;
            lateFailureValue += lateFailure ? value : 0;
            requests++;
            tries += requestTries;
            outcomes.merge(outcome, 1L, Long::sum);
            if (outcome == Outcome.IN_TIME || outcome == Outcome.LATE) {
                latencyHistogram.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, latencyMicros)));
            }
        }

        /** Earned value as a share of the requested value; 1 without requests. */
        public double earnedShare() {
            return requestedValue > 0 ? earnedValue / requestedValue : 1;
        }

        public long count(Outcome outcome) {
            return outcomes.getOrDefault(outcome, 0L);
        }
    }

    private final Plan plan;
    private final Tally total = new Tally();
    private final Tally[] byClass;
    private final Tally[] bySecond;
    private final Map<String, Tally> byTenant = new TreeMap<>();

    public OutcomeStatistics(Plan plan) {
        this.plan = plan;
        byClass = newTallies(plan.experiment().classes().size());
        bySecond = newTallies((int) ((plan.experiment().duration() + MICROS_PER_SECOND - 1)
            / MICROS_PER_SECOND));
    }

    private static Tally[] newTallies(int count) {
        Tally[] result = new Tally[count];
        for (int i = 0; i < count; i++) {
            result[i] = new Tally();
        }
        return result;
    }

    /**
     * Records the outcome of a request. The latency, in microseconds, counts from the intended send time.
     */
    public synchronized void recordOutcome(Arrival arrival, Outcome outcome, long latencyMicros, int tries) {
        ServiceClass serviceClass = plan.experiment().classes().get(arrival.serviceClass());
        double value = serviceClass.value() * arrival.work() / plan.meanWorkByClass()[arrival.serviceClass()];
        double earnedShare = outcome == Outcome.IN_TIME ? 1 : outcome == Outcome.LATE
            ? serviceClass.lateValue() : 0;
        boolean lateFailure = earnedShare == 0 && latencyMicros > serviceClass.latencyTarget();
        Tally secondTally = bySecond[(int) (arrival.at() / MICROS_PER_SECOND)];
        Tally tenantTally = byTenant.computeIfAbsent(arrival.tenant(), name -> new Tally());
        for (Tally tally : new Tally[] {secondTally, byClass[arrival.serviceClass()], tenantTally}) {
            tally.add(value, earnedShare, lateFailure, outcome, latencyMicros, tries);
        }
        if (arrival.at() >= plan.experiment().settlingTime()) {
            total.add(value, earnedShare, lateFailure, outcome, latencyMicros, tries);
        }
    }

    public synchronized Tally total() {
        return total;
    }

    public synchronized Tally tallyOfClass(int index) {
        return byClass[index];
    }

    /** Statistics by tenant name; requests without a tenant are under the empty name. */
    public synchronized Map<String, Tally> talliesByTenant() {
        return new TreeMap<>(byTenant);
    }

    public synchronized Tally[] talliesBySecond() {
        return bySecond.clone();
    }

    /** The lowest share of value earned in any 10 consecutive seconds after the settling time. */
    public synchronized double worstWindowShare() {
        double worstShare = total.earnedShare();
        int firstSecond = (int) (plan.experiment().settlingTime() / MICROS_PER_SECOND);
        for (int i = firstSecond; i + WINDOW_SECONDS <= bySecond.length; i++) {
            double requestedValue = 0, earnedValue = 0;
            for (int j = i; j < i + WINDOW_SECONDS; j++) {
                requestedValue += bySecond[j].requestedValue;
                earnedValue += bySecond[j].earnedValue;
            }
            worstShare = requestedValue > 0 ? Math.min(worstShare, earnedValue / requestedValue) : worstShare;
        }
        return worstShare;
    }

    public synchronized double worstClassShare() {
        double worstShare = 1;
        for (Tally tally : byClass) {
            worstShare = Math.min(worstShare, tally.earnedShare());
        }
        return worstShare;
    }
}
