package dockrelay.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.report.OutcomeStatistics.Outcome;
import dockrelay.lab.report.OutcomeStatistics.Tally;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Renders a play's result as one self-contained HTML page: charting library, data and text. */
final class HtmlReport {
    private static final String CHART_LIBRARY = "/META-INF/resources/webjars/uplot/1.6.30/dist/uPlot.";
    private static final ObjectMapper JSON = new ObjectMapper();

    private HtmlReport() {
    }

    static String render(PlayResult result) throws IOException {
        Map<String, Object> data = new LinkedHashMap<>(result.values());
        data.put("rate", Math.round(result.plan.requestsPerSecond()));
        data.put("series", series(result));
        List<Map<String, Object>> faultBands = new ArrayList<>();
        for (Break fault : result.plan.faults()) {
            List<String> victims = result.victimNames(fault);
            faultBands.add(Map.of("from", fault.at() / 1e6, "to", fault.endAt() / 1e6, "text",
                fault.kind().name().toLowerCase(Locale.ROOT).replace('_', ' ') + (victims.size() > 3
                    ? " of " + victims.size() : " " + String.join(" ", victims))));
        }
        data.put("bands", faultBands);
        return fillTemplate("report.html", data);
    }

    /** Fills a page template with the shared style, the charting library and the data. */
    static String fillTemplate(String template, Map<String, Object> data) throws IOException {
        // A script element ends at the first "</script", even inside a string literal.
        String json = JSON.writeValueAsString(data).replace("</", "<\\/");
        return readResource("/dockrelay/lab/report/" + template)
            .replace("/*STYLE*/", readResource("/dockrelay/lab/report/style.css"))
            .replace("/*UPLOT_CSS*/", readResource(CHART_LIBRARY + "min.css"))
            .replace("/*UPLOT_JS*/", readResource(CHART_LIBRARY + "iife.min.js").replace("</", "<\\/"))
            .replace("/*DATA*/", json);
    }

    private static Map<String, Object> series(PlayResult result) {
        Tally[] seconds = result.outcomes.talliesBySecond();
        List<Object> times = new ArrayList<>(), shares = new ArrayList<>(), p50 = new ArrayList<>(), p99 =
            new ArrayList<>();
        Map<String, List<Object>> outcomes = new LinkedHashMap<>();
        for (Outcome outcome : Outcome.values()) {
            outcomes.put(outcome.name().toLowerCase(Locale.ROOT), new ArrayList<>());
        }
        for (int i = 0; i < seconds.length; i++) {
            Tally tally = seconds[i];
            boolean hasAnswers = tally.latencyHistogram.getTotalCount() > 0;
            times.add(i + 0.5);
            shares.add(tally.requests == 0 ? null : tally.earnedShare());
            p50.add(hasAnswers ? tally.latencyHistogram.getValueAtPercentile(50) / 1e3 : null);
            p99.add(hasAnswers ? tally.latencyHistogram.getValueAtPercentile(99) / 1e3 : null);
            for (Outcome outcome : Outcome.values()) {
                outcomes.get(outcome.name().toLowerCase(Locale.ROOT)).add(tally.count(outcome));
            }
        }
        Map<String, Object> columns = new LinkedHashMap<>();
        columns.put("at", times);
        columns.put("share", shares);
        columns.put("p50", p50);
        columns.put("p99", p99);
        columns.putAll(outcomes);
        columns.put("sampled", result.samples.stream().map(NodeSample::seconds).toList());
        columns.put("mean", result.samples.stream().map(NodeSample::meanHeld).toList());
        columns.put("most", result.samples.stream().map(NodeSample::maxHeld).toList());
        columns.put("least", result.samples.stream().map(NodeSample::minHeld).toList());
        columns.put("down", result.samples.stream().map(NodeSample::nodesDown).toList());
        columns.put("crowded", result.samples.stream().map(NodeSample::nodesOverloaded).toList());
        return columns;
    }

    private static String readResource(String resource) throws IOException {
        try (InputStream in = HtmlReport.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw new FileNotFoundException(resource + " is missing from the jar");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
