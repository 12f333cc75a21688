package dockrelay.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** An HTML page with a table and charts, for the results of several plays. */
public final class TablePage {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String title, text;
    private final List<String> head;
    private final List<List<String>> rows = new ArrayList<>();
    private final List<Map<String, Object>> charts = new ArrayList<>();

    public TablePage(String title, String text, List<String> head) {
        this.title = title;
        this.text = text;
        this.head = head;
    }

    public void row(List<String> cells) {
        rows.add(cells);
    }

    /** Adds a line chart of means with their confidence intervals, if any, over these x values. */
    public void chart(String name, String axis, List<Double> at, List<Estimate> values) {
        List<Object> means = new ArrayList<>(), lows = new ArrayList<>(), highs = new ArrayList<>();
        for (Estimate one : values) {
            double half = Double.isNaN(one.half()) ? 0 : one.half();
            means.add(one.mean());
            lows.add(one.mean() - half);
            highs.add(one.mean() + half);
        }
        charts.add(Map.of("name", name, "axis", axis, "at", at, "mean", means, "low", lows, "high", highs));
    }

    public void write(Path file) throws IOException {
        Result.write(file, HtmlReport.page("table.html",
            Map.of("title", title, "text", text, "head", head, "rows", rows, "charts", charts)));
    }

    /** The table as aligned plain text, for a terminal. */
    public String plain() {
        int[] widths = new int[head.size()];
        List<List<String>> all = new ArrayList<>(List.of(head));
        all.addAll(rows);
        for (List<String> row : all) {
            for (int i = 0; i < row.size(); i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder result = new StringBuilder();
        for (List<String> row : all) {
            for (int i = 0; i < row.size(); i++) {
                String cell = row.get(i), space = " ".repeat(widths[i] - cell.length());
                result.append(i == 0 ? cell + space : "  " + space + cell);
            }
            result.append('\n');
        }
        return result.toString();
    }
}
