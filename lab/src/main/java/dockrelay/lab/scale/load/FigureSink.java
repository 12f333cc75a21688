package dockrelay.lab.scale.load;

import dockrelay.lab.scale.load.ProxyUnderTest.StartOutcome;
import dockrelay.lab.scale.load.ProxyUnderTest.CpuTime;

/** Takes what a play has found, figure by figure. */
@FunctionalInterface
public interface FigureSink {
    /** Something that happened, or that did not: its figure is 1, and its name says what. */
    String EVENT_UNIT = "event";
    long ENOUGH_FOR_A_THOUSANDTH = 1_000;
    /** Where one in a hundred left later than this, times from the intended send say nothing of the proxy. */
    double LATE_MILLIS = 5;

    void add(String unit, String what, double value);

    /** What became of requests in one part of a play. */
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

    /** A start that did not come to serving. */
    default void addStartFailure(String what, StartOutcome end, long withinSeconds) {
        add(EVENT_UNIT, what + ": " + switch (end) {
            case OUT_OF_MEMORY -> "out of memory";
            case ENDED -> "ended by itself";
            default -> "not ready within " + withinSeconds + " s";
        }, 1);
    }

    /** Of one core; waited is what it wanted a processor and had none. */
    default void addCpuTime(String part, CpuTime spent, long nanos) {
        add("% of a core", part + ": processor", 100.0 * spent.usedNanos() / nanos);
        add("% of the time", part + ": waited for a processor", 100.0 * spent.waited() / nanos);
    }
}
