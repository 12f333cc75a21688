package dockrelay.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.process.ProxyFleet;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.referee.Rule;
import dockrelay.lab.report.OutcomeStatistics.Outcome;
import dockrelay.lab.report.OutcomeStatistics.Part;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.Units;
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
public final class Result {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final double WHOLE = 0.55, WORST_WINDOW = 0.15, WORST_CLASS = 0.3;
    private static final double WASTE = 0.18, LATE_FAIL = 0.08, PROBE = 0.01;
    private static final double SECOND = 1_000_000, MILLI = 1_000;

    public final Plan plan;
    public final OutcomeStatistics score;
    public final List<Sample> samples;
    public final List<Referee.Violation> broken;
    private final Map<String, Object> values = new LinkedHashMap<>();
    private final double g, waste, cpuSeconds;
    private final Referee.Totals totals;
    private final String rulesVoid, latenciesVoid;

    /**
     * How well the lab itself kept up: the lateness of its load generator and event loops, and the reasons
     * why rules or latencies cannot be judged by this play, null where they can.
     */
    public record Own(Histogram generatorLateness, Histogram loopLateness, String rulesVoid,
        String latenciesVoid, Map<String, Object> starvation, List<Long> leftovers) {
    }

    public Result(Plan plan, String build, OutcomeStatistics score, Referee referee, List<ProxyFleet.ResourceUsage> proxies,
                  List<Sample> samples, Own own, long fallen, long discoveryLines,
                  long[] peerTraffic, Map<String, Object> members) {
        this.plan = plan;
        this.score = score;
        this.samples = List.copyOf(samples);
        this.broken = referee.violations();
        this.rulesVoid = own.rulesVoid;
        this.latenciesVoid = own.latenciesVoid;
        Part whole = score.whole();
        totals = referee.totals();
        double work = totals.usefulWorkMicros() + totals.wastedWorkMicros();
        double asked = plan.arrivals().stream().mapToDouble(Plan.Arrival::work).sum();
        cpuSeconds = proxies.stream().mapToDouble(ProxyFleet.ResourceUsage::cpuSeconds).sum();
        waste = asked > 0 ? totals.wastedWorkMicros() / asked : 0;
        double lateFail = whole.asked > 0 ? whole.unservedLate / whole.asked : 0;
        double probes = totals.firstRequests() > 0 ? (double) totals.probes() / totals.firstRequests() : 0;
        double prices = WASTE * waste + LATE_FAIL * lateFail + PROBE * probes;
        g = Math.max(0, WHOLE * whole.share() + WORST_WINDOW * score.worstWindow()
            + WORST_CLASS * score.worstClass()
            - prices);
        Experiment experiment = plan.experiment();
        values.put("experiment", experiment.name());
        values.put("shows", experiment.shows());
        values.put("seed", plan.seed());
        values.put("plan_sha256", plan.hash());
        values.put("build", build);
        values.put("length_s", experiment.length() / SECOND);
        values.put("void", isVoid());
        values.put("void_because", voidBecause());
        values.put("rules_void_because", rulesVoid);
        values.put("void_plays_before", List.of());
        values.put("g", round(g));
        values.put("g_parts", map("whole", round(whole.share()), "worst_10s", round(score.worstWindow()),
            "worst_class", round(score.worstClass()), "waste", round(waste), "late_fail", round(lateFail),
            "probes_per_request", round(probes)));
        values.put("whole", part(whole));
        Map<String, Object> classes = new LinkedHashMap<>();
        for (int i = 0; i < experiment.classes().size(); i++) {
            classes.put(experiment.classes().get(i).name(), part(score.ofClass(i)));
        }
        values.put("classes", classes);
        Map<String, Object> tenants = new LinkedHashMap<>();
        if (!experiment.tenants().isEmpty()) {
            score.tenants().forEach((name, of) -> tenants.put(name, part(of)));
        }
        values.put("tenants", tenants);
        double first = Math.max(1, totals.firstRequests());
        values.put("attempts", map("per_request", round(totals.attempts() / first), "turned_away",
            totals.rejectedAttempts(), "new_connections_per_request", round(totals.connections() / first),
            "work_used_share", work > 0 ? round(totals.usefulWorkMicros() / work) : 1.0));
        values.put("extra_attempts", referee.extraAttempts());
        values.put("rules_broken", rules(referee.violationCounts()));
        List<Map<String, Object>> told = new ArrayList<>();
        for (Referee.Violation one : broken) {
            told.add(map("rule", word(one.rule()), "at_s", round(one.atMicros() / SECOND), "request", one.request(),
                "proxy", one.proxy(), "what", one.description()));
        }
        values.put("broken", told);
        List<Map<String, Object>> processes = new ArrayList<>();
        for (ProxyFleet.ResourceUsage one : proxies) {
            processes.add(map("name", one.name(), "starts", one.starts(), "peak_mib", one.peakResidentKib() >> 10,
                "peak_descriptors", one.peakDescriptors(), "cpu_s", round(one.cpuSeconds())));
        }
        values.put("proxies", processes);
        values.put("peers", map("datagrams", peerTraffic[0], "bytes", peerTraffic[1]));
        values.put("members", members);
        values.put("nodes", map("count", plan.nodes().size(), "fell_over", fallen, "mean_held",
            round(samples.stream().mapToDouble(Sample::mean).average().orElse(0)), "most_held",
            samples.stream().mapToInt(Sample::most).max().orElse(0), "discovery_lines", discoveryLines));
        List<Map<String, Object>> faults = new ArrayList<>();
        for (Break one : plan.faults()) {
            faults.add(map("kind", one.kind().name().toLowerCase(Locale.ROOT), "at_s", one.at() / SECOND,
                "until_s",
                one.endAt() / SECOND, "victims", victims(one), "size", round(one.size())));
        }
        values.put("faults", faults);
        values.put("lab", map("generator_late_ms", percentiles(own.generatorLateness), "loop_late_ms",
            percentiles(own.loopLateness), "starvation", own.starvation, "leftovers_ended", own.leftovers));
    }

    public double g() {
        return g;
    }

    /** Work that did not contribute to a client's answer, as a share of the requested work. */
    public double waste() {
        return waste;
    }

    public double attemptsPerRequest() {
        return totals.attempts() / Math.max(1.0, totals.firstRequests());
    }

    public double connectionsPerRequest() {
        return totals.connections() / Math.max(1.0, totals.firstRequests());
    }

    /** CPU time of all proxies per request, in milliseconds. */
    public double cpuPerRequest() {
        return 1e3 * cpuSeconds / Math.max(1.0, totals.firstRequests());
    }

    public boolean isVoid() {
        return voidBecause() != null;
    }

    /** Why the play is void, in one line; null if it is valid. */
    public String voidBecause() {
        return rulesVoid != null ? rulesVoid : latenciesVoid;
    }

    /** Why this play cannot show whether the rules were kept, in one line; null if it can. */
    public String rulesVoidBecause() {
        return rulesVoid;
    }

    /** Records why the preceding plays were void. */
    public void afterVoid(List<String> reasons) {
        values.put("void_plays_before", reasons);
    }

    /** Whether no rule was broken. */
    public boolean kept() {
        return broken.isEmpty();
    }

    public Map<String, Object> values() {
        return values;
    }

    public List<String> victims(Break one) {
        return one.victims().stream().map(victim -> one.kind().targetsNodes() ? plan.nodes().get(victim).name()
            : "n" + victim).toList();
    }

    /** Writes the files of the result to a folder. */
    public void write(Path folder) throws IOException {
        write(folder.resolve("result.json"), JSON.writeValueAsString(values));
        write(folder.resolve("series.csv"), series());
        write(folder.resolve("report.html"), HtmlReport.of(this));
    }

    /** Writes to a temporary file and renames it, so that the target file is always complete. */
    static void write(Path file, String text) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".part");
        try {
            Files.writeString(beside, text);
            Files.move(beside, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            Files.deleteIfExists(beside);
            throw new IOException(file + " could not be written: " + e.getMessage(), e);
        }
    }

    /** One CSV row per second; requests count in the second of their intended send time. */
    private String series() {
        StringBuilder text =
            new StringBuilder("second,asked,earned,requests,in_time,late,refused,failed,unanswered,"
            + "unreachable,tries,p50_ms,p99_ms,held_mean,held_most,nodes_down,nodes_crowded\n");
        Part[] seconds = score.seconds();
        for (int i = 0; i < seconds.length; i++) {
            Part part = seconds[i];
            text.append(String.format(Locale.ROOT, "%d,%.3f,%.3f,%d", i, part.asked, part.earned,
                part.requests));
            for (Outcome end : Outcome.values()) {
                text.append(',').append(part.count(end));
            }
            Sample sample = sampleAt(i);
            text.append(String.format(Locale.ROOT, ",%d,%.2f,%.2f,%.2f,%d,%d,%d%n", part.tries,
                part.latency.getValueAtPercentile(50) / MILLI, part.latency.getValueAtPercentile(99) / MILLI,
                sample.mean(), sample.most(), sample.down(), sample.crowded()));
        }
        return text.toString();
    }

    private Sample sampleAt(double second) {
        Sample last = new Sample(second, 0, 0, 0, 0, 0);
        for (Sample sample : samples) {
            if (sample.at() <= second + 1) {
                last = sample;
            }
        }
        return last;
    }

    private static Map<String, Object> part(Part part) {
        Map<String, Object> ends = new LinkedHashMap<>();
        for (Outcome end : Outcome.values()) {
            ends.put(word(end), part.count(end));
        }
        return map("worth_in_time", round(part.share()), "requests", part.requests, "tries_per_request",
            round(part.requests > 0 ? (double) part.tries / part.requests : 0), "ends", ends, "latency_ms",
            percentiles(part.latency));
    }

    private static Map<String, Object> percentiles(Histogram of) {
        return map("p50", round(of.getValueAtPercentile(50) / MILLI), "p90",
            round(of.getValueAtPercentile(90) / MILLI),
            "p99", round(of.getValueAtPercentile(99) / MILLI), "p999",
            round(of.getValueAtPercentile(99.9) / MILLI),
            "max", round(of.getMaxValue() / MILLI));
    }

    private static Map<String, Object> rules(Map<Rule, Integer> counts) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (Rule rule : Rule.values()) {
            result.put(word(rule), counts.getOrDefault(rule, 0));
        }
        return result;
    }

    private static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            result.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return result;
    }

    private static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static double round(double value) {
        return Math.round(value * 1e4) / 1e4;
    }

    /** A summary of a few lines for the terminal. */
    public String summary() {
        Part whole = score.whole();
        StringBuilder text = new StringBuilder();
        text.append(String.format(Locale.ROOT,
            "%s, seed %d: G %.3f, worth in time %.3f (worst 10 s %.3f, worst class "
            + "%.3f)%n", plan.experiment().name(), plan.seed(), g, whole.share(), score.worstWindow(),
            score.worstClass()));
        text.append(String.format(Locale.ROOT,
            "%d requests at %.0f/s: in time %d, late %d, refused %d, failed %d, "
            + "unanswered %d, unreachable %d; p50 %s, p99 %s%n", whole.requests, plan.rate(),
            whole.count(Outcome.IN_TIME),
            whole.count(Outcome.LATE), whole.count(Outcome.REFUSED), whole.count(Outcome.FAILED),
            whole.count(Outcome.UNANSWERED),
            whole.count(Outcome.UNREACHABLE), Units.time(whole.latency.getValueAtPercentile(50)),
            Units.time(whole.latency.getValueAtPercentile(99))));
        if (values.get("members") instanceof Map<?, ?> members && !members.isEmpty()) {
            text.append("members: ").append(members).append('\n');
        }
        if (isVoid()) {
            text.append("VOID: ").append(voidBecause())
                .append("; this machine could not run it in real time; the results below are invalid\n");
        }
        if (kept()) {
            return text.append("every rule kept\n").toString();
        }
        for (Referee.Violation one : broken.subList(0, Math.min(10, broken.size()))) {
            text.append(String.format(Locale.ROOT, "BROKEN %s at %.3f s%s%s: %s%n", word(one.rule()),
                one.atMicros() / SECOND,
                one.proxy().isEmpty() ? "" : " by " + one.proxy(),
                one.request().isEmpty() ? "" : ", request " + one.request(), one.description()));
        }
        return text.append(broken.size()).append(" breaches recorded, counts in result.json\n").toString();
    }
}
