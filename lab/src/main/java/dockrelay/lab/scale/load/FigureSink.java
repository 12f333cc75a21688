package dockrelay.lab.scale.load;

import dockrelay.lab.scale.load.ProxyUnderTest.StartOutcome;
import dockrelay.lab.scale.load.ProxyUnderTest.CpuTime;

/** Receives the figures that a play measures. */
@FunctionalInterface
public interface FigureSink {
    /** Unit of a figure that reports an event: its value is 1, and its name says what happened. */
    String EVENT_UNIT = "event";
    /** Fewest requests for which the 99.9th percentile is reported. */
    long MIN_REQUESTS_FOR_P999 = 1_000;
    /**
     * If the generator's lateness at the 99th percentile is above this, latencies measured from the scheduled
     * time say nothing about the proxy.
     */
    double MAX_GENERATOR_LATENESS_MILLIS = 5;

    /** Adds one figure. */
    void add(String unit, String name, double value);

    /** Adds latencies and outcomes of the requests of one phase; no latencies if the generator was late. */
    default void addRequestFigures(String phase, Tally tally) {
        add("requests", phase + ": sent", tally.sent());
        if (tally.latenessMillis(99) > MAX_GENERATOR_LATENESS_MILLIS) {
            add(EVENT_UNIT, phase + ": latencies void, the generator was late", 1);
        } else if (tally.served() + tally.unanswered() > 0) {
            add("ms", phase + ": latency p50", tally.latencyMillis(50));
            add("ms", phase + ": latency p99", tally.latencyMillis(99));
            if (tally.sent() >= MIN_REQUESTS_FOR_P999) {
                add("ms", phase + ": latency p99.9", tally.latencyMillis(99.9));
            }
            add("ms", phase + ": latency, most", tally.latencyMillis(100));
        }
        add("requests", phase + ": refused", tally.refused());
        add("requests", phase + ": failed", tally.failed());
        add("requests", phase + ": unanswered", tally.unanswered());
        add("ms", phase + ": generator late p99", tally.latenessMillis(99));
    }

    /** Adds the event of a proxy that did not start to serve or that exited. */
    default void addStartFailure(String phase, StartOutcome outcome, long timeoutSeconds) {
        add(EVENT_UNIT, phase + ": " + switch (outcome) {
            case OUT_OF_MEMORY -> "out of memory";
            case ENDED -> "ended by itself";
            default -> "not ready within " + timeoutSeconds + " s";
        }, 1);
    }

    /** Adds CPU time as a share of one core, and the share of time spent waiting for a CPU. */
    default void addCpuTime(String phase, CpuTime cpuTime, long elapsedNanos) {
        add("% of a core", phase + ": processor", 100.0 * cpuTime.usedNanos() / elapsedNanos);
        add("% of the time", phase + ": waited for a processor",
            100.0 * cpuTime.waitedNanos() / elapsedNanos);
    }
}
