package dockrelay.lab.report;

import dockrelay.lab.report.OutcomeStatistics.Outcome;
import java.util.function.ToDoubleFunction;

/** The metrics by which plays are compared, with title and decimal places for tables. */
public enum Figure {
    G("G", 4, Result::g),
    WORTH("worth in time", 4, result -> result.score.whole().share()),
    WORST_WINDOW("worst 10 s", 4, result -> result.score.worstWindow()),
    WORST_CLASS("worst class", 4, result -> result.score.worstClass()),
    WASTE("waste", 4, Result::waste),
    P50("p50 ms", 1, result -> result.score.whole().latency.getValueAtPercentile(50) / 1e3),
    P99("p99 ms", 1, result -> result.score.whole().latency.getValueAtPercentile(99) / 1e3),
    REFUSED("refused share", 4, result -> (double) result.score.whole().count(Outcome.REFUSED)
        / Math.max(1, result.score.whole().requests)),
    ATTEMPTS("attempts a request", 3, Result::attemptsPerRequest),
    CONNECTIONS("new connections a request", 3, Result::connectionsPerRequest),
    CPU("CPU ms a request", 2, Result::cpuPerRequest);

    public final String title;
    public final int digits;
    private final ToDoubleFunction<Result> read;

    Figure(String title, int digits, ToDoubleFunction<Result> read) {
        this.title = title;
        this.digits = digits;
        this.read = read;
    }

    public double of(Result result) {
        return read.applyAsDouble(result);
    }
}
