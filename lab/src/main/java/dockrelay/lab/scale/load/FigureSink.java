package dockrelay.lab.scale.load;

import dockrelay.lab.scale.load.ProxyUnderTest.StartOutcome;
import dockrelay.lab.scale.load.ProxyUnderTest.CpuTime;

/** Receives the figures that a play measures. */
@FunctionalInterface
public interface FigureSink {
    /** Unit of a figure that reports an event: its value is 1, and its name says what happened. */
    String EVENT_UNIT = "event";
    /** Fewest requests for which the 99.9th percentile is reported. */
    long ENOUGH_FOR_A_THOUSANDTH = 1_000;
    /**
     * If the generator's lateness at the 99th percentile is above this, latencies measured from the scheduled
     * time say nothing about the proxy.
     */
    double LATE_MILLIS = 5;

    /** Adds one figure. */
    void add(String unit, String what, double value);

    /** Adds latencies and outcomes of the requests of one phase; no latencies if the generator was late. */
    default void addRequestFigures(String part, Tally tally) {
        add("requests", part + ": sent", tally.sent());
        if (tally.lateMillis(99) > LATE_MILLIS) {
            add(EVENT_UNIT, part + ": latencies void, the generator was late", 1);
        } else if (tally.served() + tally.unanswered() > 0) {
            add("ms", part + ": latency p50", tally.millis(50));
            add("ms", part + ": latency p99", tally.millis(99));
            if (tally.sent() >= ENOUGH_FOR_A_THOUSANDTH) {
                add("ms", part + ": latency p99.9", tally.millis(99.9));
            }
            add("ms", part + ": latency, most", tally.millis(100));
        }
        add("requests", part + ": refused", tally.refused());
        add("requests", part + ": failed", tally.failed());
        add("requests", part + ": unanswered", tally.unanswered());
        add("ms", part + ": generator late p99", tally.lateMillis(99));
    }

    /** Adds the event of a proxy that did not start to serve or that exited. */
    default void addStartFailure(String what, StartOutcome end, long withinSeconds) {
        add(EVENT_UNIT, what + ": " + switch (end) {
            case OUT_OF_MEMORY -> "out of memory";
            case ENDED -> "ended by itself";
            default -> "not ready within " + withinSeconds + " s";
        }, 1);
    }

    /** Adds CPU time as a share of one core, and the share of time spent waiting for a CPU. */
    default void addCpuTime(String part, CpuTime spent, long nanos) {
        add("% of a core", part + ": processor", 100.0 * spent.usedNanos() / nanos);
        add("% of the time", part + ": waited for a processor", 100.0 * spent.waited() / nanos);
    }
}
