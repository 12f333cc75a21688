package dockrelay.lab.report;

import dockrelay.lab.report.OutcomeStatistics.Outcome;
import java.util.function.ToDoubleFunction;

/** The metrics by which plays are compared, with title and decimal places for tables. */
public enum PlayMetric {
    G("G", 4, PlayResult::score),
    WORTH("worth in time", 4, result -> result.outcomes.total().earnedShare()),
    WORST_WINDOW("worst 10 s", 4, result -> result.outcomes.worstWindowShare()),
    WORST_CLASS("worst class", 4, result -> result.outcomes.worstClassShare()),
    WASTE("waste", 4, PlayResult::wastedWorkShare),
    P50("p50 ms", 1, result -> result.outcomes.total().latencyHistogram.getValueAtPercentile(50) / 1e3),
    P99("p99 ms", 1, result -> result.outcomes.total().latencyHistogram.getValueAtPercentile(99) / 1e3),
    REFUSED("refused share", 4, result -> (double) result.outcomes.total().count(Outcome.REFUSED)
        / Math.max(1, result.outcomes.total().requests)),
    ATTEMPTS("attempts a request", 3, PlayResult::attemptsPerRequest),
    CONNECTIONS("new connections a request", 3, PlayResult::connectionsPerRequest),
    CPU("CPU ms a request", 2, PlayResult::cpuMillisPerRequest);

    public final String title;
    public final int decimals;
    private final ToDoubleFunction<PlayResult> extractor;

    PlayMetric(String title, int decimals, ToDoubleFunction<PlayResult> extractor) {
        this.title = title;
        this.decimals = decimals;
        this.extractor = extractor;
    }

    public double extract(PlayResult result) {
        return extractor.applyAsDouble(result);
    }
}
