package dockrelay.proxy;

import dockrelay.Balancer.LoadReport;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the load reports that backends send with their responses. */
final class LoadReportParser {
    private static final Pattern LOAD_VALUE_PATTERN = Pattern.compile("(\\w+)=(\\d{1,12}(?:\\.\\d{1,12})?)");

    private LoadReportParser() {
    }

    /**
     * Parses a load report such as {@code TEXT inflight=7, queue=2}; null for null. Missing values are NaN.
     */
    static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        Matcher matcher = LOAD_VALUE_PATTERN.matcher(text);
        while (matcher.find()) {
            values.put(matcher.group(1), Double.parseDouble(matcher.group(2)));
        }
        return new LoadReport(loadValue(values, "inflight", "outstanding"),
            loadValue(values, "queue", "backlog"), loadValue(values, "util", "utilization"),
            loadValue(values, "latency_ms", "recent_ms"), loadValue(values, "qps", "throughput"),
            loadValue(values, "eps", "errors_per_s"));
    }

    /** A value that is sent under either of two names, the protocol's or the simulator's. */
    private static double loadValue(Map<String, Double> values, String name, String alias) {
        return values.getOrDefault(name, values.getOrDefault(alias, Double.NaN));
    }
}
