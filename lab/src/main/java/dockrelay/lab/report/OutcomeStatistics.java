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

    private static final long SECOND = 1_000_000;
    private static final int WINDOW = 10;
    private static final long LONGEST = 3_600 * SECOND;

    /** Counts, latencies and value of the requests of one second, class or tenant, or of all. */
    public static final class Part {
        public double asked, earned, unservedLate;
        public long requests, tries;
        public final Map<Outcome, Long> ends = new EnumMap<>(Outcome.class);
        public final Histogram latency = new Histogram(LONGEST, 3);

        private void add(double worth, double share, boolean late, Outcome how, long latencyMicros, int ofTries) {
            asked += worth;
            earned += worth * share;
            unservedLate += late ? worth : 0;
            requests++;
            tries += ofTries;
            ends.merge(how, 1L, Long::sum);
            if (how == Outcome.IN_TIME || how == Outcome.LATE) {
                latency.recordValue(Math.min(LONGEST, Math.max(0, latencyMicros)));
            }
        }

        public double share() {
            return asked > 0 ? earned / asked : 1;
        }

        public long count(Outcome end) {
            return ends.getOrDefault(end, 0L);
        }
    }

    private final Plan plan;
    private final Part whole = new Part();
    private final Part[] classes;
    private final Part[] seconds;
    private final Map<String, Part> tenants = new TreeMap<>();

    public OutcomeStatistics(Plan plan) {
        this.plan = plan;
        classes = parts(plan.experiment().classes().size());
        seconds = parts((int) ((plan.experiment().length() + SECOND - 1) / SECOND));
    }

    private static Part[] parts(int count) {
        Part[] result = new Part[count];
        for (int i = 0; i < count; i++) {
            result[i] = new Part();
        }
        return result;
    }

    /**
     * Records the outcome of a request. The latency, in microseconds, counts from the intended send time.
     */
    public synchronized void recordOutcome(Arrival arrival, Outcome how, long latency, int tries) {
        ServiceClass type = plan.experiment().classes().get(arrival.serviceClass());
        double worth = type.value() * arrival.work() / plan.meanWork()[arrival.serviceClass()];
        double share = how == Outcome.IN_TIME ? 1 : how == Outcome.LATE ? type.lateValue() : 0;
        boolean late = share == 0 && latency > type.latencyTarget();
        Part second = seconds[(int) (arrival.at() / SECOND)];
        Part tenant = tenants.computeIfAbsent(arrival.tenant(), none -> new Part());
        for (Part part : new Part[] {second, classes[arrival.serviceClass()], tenant}) {
            part.add(worth, share, late, how, latency, tries);
        }
        if (arrival.at() >= plan.experiment().settle()) {
            whole.add(worth, share, late, how, latency, tries);
        }
    }

    public synchronized Part whole() {
        return whole;
    }

    public synchronized Part ofClass(int index) {
        return classes[index];
    }

    /** Statistics by tenant name; requests without a tenant are under the empty name. */
    public synchronized Map<String, Part> tenants() {
        return new TreeMap<>(tenants);
    }

    public synchronized Part[] seconds() {
        return seconds.clone();
    }

    /** The lowest share of value earned in any 10 consecutive seconds after the settling time. */
    public synchronized double worstWindow() {
        double worst = whole.share();
        int first = (int) (plan.experiment().settle() / SECOND);
        for (int i = first; i + WINDOW <= seconds.length; i++) {
            double asked = 0, earned = 0;
            for (int j = i; j < i + WINDOW; j++) {
                asked += seconds[j].asked;
                earned += seconds[j].earned;
            }
            worst = asked > 0 ? Math.min(worst, earned / asked) : worst;
        }
        return worst;
    }

    public synchronized double worstClass() {
        double worst = 1;
        for (Part part : classes) {
            worst = Math.min(worst, part.share());
        }
        return worst;
    }
}
