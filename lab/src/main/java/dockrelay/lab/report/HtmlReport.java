package dockrelay.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.report.OutcomeStatistics.Outcome;
import dockrelay.lab.report.OutcomeStatistics.Part;
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
    private static final String CHARTS = "/META-INF/resources/webjars/uplot/1.6.30/dist/uPlot.";
    private static final ObjectMapper JSON = new ObjectMapper();

    private HtmlReport() {
    }

    static String of(Result result) throws IOException {
        Map<String, Object> data = new LinkedHashMap<>(result.values());
        data.put("rate", Math.round(result.plan.rate()));
        data.put("series", series(result));
        List<Map<String, Object>> bands = new ArrayList<>();
        for (Break fault : result.plan.faults()) {
            List<String> victims = result.victims(fault);
            bands.add(Map.of("from", fault.at() / 1e6, "to", fault.endAt() / 1e6, "text",
                fault.kind().name().toLowerCase(Locale.ROOT).replace('_', ' ') + (victims.size() > 3
                    ? " of " + victims.size() : " " + String.join(" ", victims))));
        }
        data.put("bands", bands);
        return page("report.html", data);
    }

    /** Fills a page template with the shared style, the charting library and the data. */
    static String page(String template, Map<String, Object> data) throws IOException {
        // A script element ends at the first "</script", even inside a string literal.
        String json = JSON.writeValueAsString(data).replace("</", "<\\/");
        return read("/dockrelay/lab/report/" + template)
            .replace("/*STYLE*/", read("/dockrelay/lab/report/style.css"))
            .replace("/*UPLOT_CSS*/", read(CHARTS + "min.css"))
            .replace("/*UPLOT_JS*/", read(CHARTS + "iife.min.js").replace("</", "<\\/"))
            .replace("/*DATA*/", json);
    }

    private static Map<String, Object> series(Result result) {
        Part[] seconds = result.score.seconds();
        List<Object> at = new ArrayList<>(), share = new ArrayList<>(), p50 = new ArrayList<>(), p99 =
            new ArrayList<>();
        Map<String, List<Object>> ends = new LinkedHashMap<>();
        for (Outcome end : Outcome.values()) {
            ends.put(end.name().toLowerCase(Locale.ROOT), new ArrayList<>());
        }
        for (int i = 0; i < seconds.length; i++) {
            Part part = seconds[i];
            boolean any = part.latency.getTotalCount() > 0;
            at.add(i + 0.5);
            share.add(part.requests == 0 ? null : part.share());
            p50.add(any ? part.latency.getValueAtPercentile(50) / 1e3 : null);
            p99.add(any ? part.latency.getValueAtPercentile(99) / 1e3 : null);
            for (Outcome end : Outcome.values()) {
                ends.get(end.name().toLowerCase(Locale.ROOT)).add(part.count(end));
            }
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("at", at);
        all.put("share", share);
        all.put("p50", p50);
        all.put("p99", p99);
        all.putAll(ends);
        all.put("sampled", result.samples.stream().map(Sample::at).toList());
        all.put("mean", result.samples.stream().map(Sample::mean).toList());
        all.put("most", result.samples.stream().map(Sample::most).toList());
        all.put("least", result.samples.stream().map(Sample::least).toList());
        all.put("down", result.samples.stream().map(Sample::down).toList());
        all.put("crowded", result.samples.stream().map(Sample::crowded).toList());
        return all;
    }

    private static String read(String resource) throws IOException {
        try (InputStream in = HtmlReport.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw new FileNotFoundException(resource + " is missing from the jar");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
