package dockrelay.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.process.ProxyFleet;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.referee.Rule;
import dockrelay.lab.report.OutcomeStatistics.Outcome;
import dockrelay.lab.report.OutcomeStatistics.Tally;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.UnitFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The result of a play, written as result.json, series.csv and report.html. docs/lab.md explains the keys.
 */
public final class PlayResult {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    /** Weights in the score G of the value share in total, in the worst 10 s and in the worst class. */
    private static final double TOTAL_WEIGHT = 0.55, WORST_WINDOW_WEIGHT = 0.15, WORST_CLASS_WEIGHT = 0.3;
    /** Penalties in the score G per share of wasted work, share of late failures, and probe per request. */
    private static final double WASTE_PRICE = 0.18, LATE_FAILURE_PRICE = 0.08, PROBE_PRICE = 0.01;
    private static final double MICROS_PER_SECOND = 1_000_000, MICROS_PER_MILLI = 1_000;

    public final Plan plan;
    public final OutcomeStatistics outcomes;
    public final List<NodeSample> samples;
    public final List<Referee.Violation> violations;
    private final Map<String, Object> values = new LinkedHashMap<>();
    private final double score, wastedWorkShare, cpuSeconds;
    private final Referee.Totals totals;
    private final String rulesVoidReason, latenciesVoidReason;

    /**
     * How well the lab itself kept up: the lateness of its load generator and event loops, and the reasons
     * why rules or latencies cannot be judged by this play, null where they can.
     */
    public record LabTimeliness(Histogram generatorLateness, Histogram loopLateness, String rulesVoidReason,
        String latenciesVoidReason, Map<String, Object> starvation, List<Long> killedProcesses) {
    }

    public PlayResult(Plan plan, String buildName, OutcomeStatistics outcomes, Referee referee,
        List<ProxyFleet.ResourceUsage> proxies,
                  List<NodeSample> samples, LabTimeliness timeliness, long overloadCrashes,
                  long discoveryLines,
                  long[] peerTraffic, Map<String, Object> members) {
        this.plan = plan;
        this.outcomes = outcomes;
        this.samples = List.copyOf(samples);
        this.violations = referee.violations();
        this.rulesVoidReason = timeliness.rulesVoidReason;
        this.latenciesVoidReason = timeliness.latenciesVoidReason;
        Tally total = outcomes.total();
        totals = referee.totals();
        double executedWork = totals.usefulWorkMicros() + totals.wastedWorkMicros();
        double requestedWork = plan.arrivals().stream().mapToDouble(Plan.Arrival::work).sum();
        cpuSeconds = proxies.stream().mapToDouble(ProxyFleet.ResourceUsage::cpuSeconds).sum();
        wastedWorkShare = requestedWork > 0 ? totals.wastedWorkMicros() / requestedWork : 0;
        double lateFailureShare = total.requestedValue > 0 ? total.lateFailureValue / total.requestedValue
            : 0;
        double probesPerRequest = totals.firstRequests() > 0 ? (double) totals.probes()
            / totals.firstRequests() : 0;
        double penalties = WASTE_PRICE * wastedWorkShare + LATE_FAILURE_PRICE * lateFailureShare
            + PROBE_PRICE * probesPerRequest;
        score = Math.max(0, TOTAL_WEIGHT * total.earnedShare() + WORST_WINDOW_WEIGHT
            * outcomes.worstWindowShare()
            + WORST_CLASS_WEIGHT * outcomes.worstClassShare()
            - penalties);
        Experiment experiment = plan.experiment();
        values.put("experiment", experiment.name());
        values.put("shows", experiment.description());
        values.put("seed", plan.seed());
        values.put("plan_sha256", plan.sha256());
        values.put("build", buildName);
        values.put("length_s", experiment.duration() / MICROS_PER_SECOND);
        values.put("void", isVoid());
        values.put("void_because", voidReason());
        values.put("rules_void_because", rulesVoidReason);
        values.put("void_plays_before", List.of());
        values.put("g", round(score));
        values.put("g_parts", mapOf("whole", round(total.earnedShare()), "worst_10s",
            round(outcomes.worstWindowShare()),
            "worst_class", round(outcomes.worstClassShare()), "waste", round(wastedWorkShare), "late_fail",
            round(lateFailureShare),
            "probes_per_request", round(probesPerRequest)));
        values.put("whole", tallyValues(total));
        Map<String, Object> classes = new LinkedHashMap<>();
        for (int i = 0; i < experiment.classes().size(); i++) {
            classes.put(experiment.classes().get(i).name(), tallyValues(outcomes.tallyOfClass(i)));
        }
        values.put("classes", classes);
        Map<String, Object> tenants = new LinkedHashMap<>();
        if (!experiment.tenants().isEmpty()) {
            outcomes.talliesByTenant().forEach((name, tally) -> tenants.put(name, tallyValues(tally)));
        }
        values.put("tenants", tenants);
        double firstRequests = Math.max(1, totals.firstRequests());
        values.put("attempts", mapOf("per_request", round(totals.attempts() / firstRequests), "turned_away",
            totals.rejectedAttempts(), "new_connections_per_request", round(totals.connections()
            / firstRequests),
            "work_used_share", executedWork > 0 ? round(totals.usefulWorkMicros() / executedWork) : 1.0));
        values.put("extra_attempts", referee.extraAttempts());
        values.put("rules_broken", ruleCounts(referee.violationCounts()));
        List<Map<String, Object>> violationValues = new ArrayList<>();
        for (Referee.Violation one : violations) {
            violationValues.add(mapOf("rule", lowerCaseName(one.rule()), "at_s", round(one.atMicros()
                / MICROS_PER_SECOND), "request",
                one.request(),
                "proxy", one.proxy(), "what", one.description()));
        }
        values.put("broken", violationValues);
        List<Map<String, Object>> processes = new ArrayList<>();
        for (ProxyFleet.ResourceUsage one : proxies) {
            processes.add(mapOf("name", one.name(), "starts", one.starts(), "peak_mib",
                one.peakResidentKib() >> 10,
                "peak_descriptors", one.peakDescriptors(), "cpu_s", round(one.cpuSeconds())));
        }
        values.put("proxies", processes);
        values.put("peers", mapOf("datagrams", peerTraffic[0], "bytes", peerTraffic[1]));
        values.put("members", members);
        values.put("nodes", mapOf("count", plan.nodes().size(), "fell_over", overloadCrashes, "mean_held",
            round(samples.stream().mapToDouble(NodeSample::meanHeld).average().orElse(0)), "most_held",
            samples.stream().mapToInt(NodeSample::maxHeld).max().orElse(0), "discovery_lines",
            discoveryLines));
        List<Map<String, Object>> faults = new ArrayList<>();
        for (Break one : plan.faults()) {
            faults.add(mapOf("kind", one.kind().name().toLowerCase(Locale.ROOT), "at_s", one.at()
                / MICROS_PER_SECOND,
                "until_s",
                one.endAt() / MICROS_PER_SECOND, "victims", victimNames(one), "size", round(one.size())));
        }
        values.put("faults", faults);
        values.put("lab", mapOf("generator_late_ms", percentiles(timeliness.generatorLateness),
            "loop_late_ms",
            percentiles(timeliness.loopLateness), "starvation", timeliness.starvation, "leftovers_ended",
            timeliness.killedProcesses));
    }

    /** The score G, from 0 to 1. */
    public double score() {
        return score;
    }

    /** Work that did not contribute to a client's answer, as a share of the requested work. */
    public double wastedWorkShare() {
        return wastedWorkShare;
    }

    public double attemptsPerRequest() {
        return totals.attempts() / Math.max(1.0, totals.firstRequests());
    }

    public double connectionsPerRequest() {
        return totals.connections() / Math.max(1.0, totals.firstRequests());
    }

    /** CPU time of all proxies per request, in milliseconds. */
    public double cpuMillisPerRequest() {
        return 1e3 * cpuSeconds / Math.max(1.0, totals.firstRequests());
    }

    public boolean isVoid() {
        return voidReason() != null;
    }

    /** Why the play is void, in one line; null if it is valid. */
    public String voidReason() {
        return rulesVoidReason != null ? rulesVoidReason : latenciesVoidReason;
    }

    /** Why this play cannot show whether the rules were kept, in one line; null if it can. */
    public String rulesVoidReason() {
        return rulesVoidReason;
    }

    /** Records why the preceding plays were void. */
    public void recordVoidPlays(List<String> reasons) {
        values.put("void_plays_before", reasons);
    }

    /** Whether no rule was broken. */
    public boolean keptAllRules() {
        return violations.isEmpty();
    }

    public Map<String, Object> values() {
        return values;
    }

    public List<String> victimNames(Break fault) {
        return fault.victims().stream().map(victim -> fault.kind().targetsNodes() ? plan.nodes().get(victim)
            .name()
            : "n" + victim).toList();
    }

    /** Writes the files of the result to a folder. */
    public void write(Path folder) throws IOException {
        write(folder.resolve("result.json"), JSON.writeValueAsString(values));
        write(folder.resolve("series.csv"), seriesCsv());
        write(folder.resolve("report.html"), HtmlReport.render(this));
    }

    /** Writes to a temporary file and renames it, so that the target file is always complete. */
    static void write(Path file, String text) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".part");
        try {
            Files.writeString(temporary, text);
            Files.move(temporary, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            Files.deleteIfExists(temporary);
            throw new IOException(file + " could not be written: " + e.getMessage(), e);
        }
    }

    /** One CSV row per second; requests count in the second of their intended send time. */
    private String seriesCsv() {
        StringBuilder text =
            new StringBuilder("second,asked,earned,requests,in_time,late,refused,failed,unanswered,"
            + "unreachable,tries,p50_ms,p99_ms,held_mean,held_most,nodes_down,nodes_crowded\n");
        Tally[] tallies = outcomes.talliesBySecond();
        for (int i = 0; i < tallies.length; i++) {
            Tally tally = tallies[i];
            text.append(String.format(Locale.ROOT, "%d,%.3f,%.3f,%d", i, tally.requestedValue,
                tally.earnedValue,
                tally.requests));
            for (Outcome outcome : Outcome.values()) {
                text.append(',').append(tally.count(outcome));
            }
            NodeSample sample = sampleAt(i);
            text.append(String.format(Locale.ROOT, ",%d,%.2f,%.2f,%.2f,%d,%d,%d%n", tally.tries,
                tally.latencyHistogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                tally.latencyHistogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                sample.meanHeld(), sample.maxHeld(), sample.nodesDown(), sample.nodesOverloaded()));
        }
        return text.toString();
    }

    private NodeSample sampleAt(double second) {
        NodeSample last = new NodeSample(second, 0, 0, 0, 0, 0);
        for (NodeSample sample : samples) {
            if (sample.seconds() <= second + 1) {
                last = sample;
            }
        }
        return last;
    }

    private static Map<String, Object> tallyValues(Tally tally) {
        Map<String, Object> outcomes = new LinkedHashMap<>();
        for (Outcome outcome : Outcome.values()) {
            outcomes.put(lowerCaseName(outcome), tally.count(outcome));
        }
        return mapOf("worth_in_time", round(tally.earnedShare()), "requests", tally.requests,
            "tries_per_request",
            round(tally.requests > 0 ? (double) tally.tries / tally.requests : 0), "ends", outcomes,
            "latency_ms",
            percentiles(tally.latencyHistogram));
    }

    private static Map<String, Object> percentiles(Histogram histogram) {
        return mapOf("p50", round(histogram.getValueAtPercentile(50) / MICROS_PER_MILLI), "p90",
            round(histogram.getValueAtPercentile(90) / MICROS_PER_MILLI),
            "p99", round(histogram.getValueAtPercentile(99) / MICROS_PER_MILLI), "p999",
            round(histogram.getValueAtPercentile(99.9) / MICROS_PER_MILLI),
            "max", round(histogram.getMaxValue() / MICROS_PER_MILLI));
    }

    private static Map<String, Object> ruleCounts(Map<Rule, Integer> counts) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (Rule rule : Rule.values()) {
            result.put(lowerCaseName(rule), counts.getOrDefault(rule, 0));
        }
        return result;
    }

    private static Map<String, Object> mapOf(Object... keysAndValues) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            result.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return result;
    }

    private static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static double round(double value) {
        return Math.round(value * 1e4) / 1e4;
    }

    /** A summary of a few lines for the terminal. */
    public String summary() {
        Tally total = outcomes.total();
        StringBuilder text = new StringBuilder();
        text.append(String.format(Locale.ROOT,
            "%s, seed %d: G %.3f, worth in time %.3f (worst 10 s %.3f, worst class "
            + "%.3f)%n", plan.experiment().name(), plan.seed(), score, total.earnedShare(),
            outcomes.worstWindowShare(),
            outcomes.worstClassShare()));
        text.append(String.format(Locale.ROOT,
            "%d requests at %.0f/s: in time %d, late %d, refused %d, failed %d, "
            + "unanswered %d, unreachable %d; p50 %s, p99 %s%n", total.requests, plan.requestsPerSecond(),
            total.count(Outcome.IN_TIME),
            total.count(Outcome.LATE), total.count(Outcome.REFUSED), total.count(Outcome.FAILED),
            total.count(Outcome.UNANSWERED),
            total.count(Outcome.UNREACHABLE),
            UnitFormat.formatMicros(total.latencyHistogram.getValueAtPercentile(50)),
            UnitFormat.formatMicros(total.latencyHistogram.getValueAtPercentile(99))));
        if (values.get("members") instanceof Map<?, ?> members && !members.isEmpty()) {
            text.append("members: ").append(members).append('\n');
        }
        if (isVoid()) {
            text.append("VOID: ").append(voidReason())
                .append("; this machine could not run it in real time; the results below are invalid\n");
        }
        if (keptAllRules()) {
            return text.append("every rule kept\n").toString();
        }
        for (Referee.Violation violation : violations.subList(0, Math.min(10, violations.size()))) {
            text.append(String.format(Locale.ROOT, "BROKEN %s at %.3f s%s%s: %s%n",
                lowerCaseName(violation.rule()),
                violation.atMicros() / MICROS_PER_SECOND,
                violation.proxy().isEmpty() ? "" : " by " + violation.proxy(),
                violation.request().isEmpty() ? "" : ", request " + violation.request(),
                violation.description()));
        }
        return text.append(violations.size()).append(" breaches recorded, counts in result.json\n")
            .toString();
    }
}
