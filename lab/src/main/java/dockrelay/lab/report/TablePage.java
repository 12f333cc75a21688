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

    private final String title, description;
    private final List<String> columnTitles;
    private final List<List<String>> rows = new ArrayList<>();
    private final List<Map<String, Object>> charts = new ArrayList<>();

    public TablePage(String title, String description, List<String> columnTitles) {
        this.title = title;
        this.description = description;
        this.columnTitles = columnTitles;
    }

    public void addRow(List<String> cells) {
        rows.add(cells);
    }

    /** Adds a line chart of means with their confidence intervals, if any, over these x values. */
    public void addChart(String name, String xAxisLabel, List<Double> xValues, List<Estimate> values) {
        List<Object> means = new ArrayList<>(), lows = new ArrayList<>(), highs = new ArrayList<>();
        for (Estimate estimate : values) {
            double halfWidth = Double.isNaN(estimate.half()) ? 0 : estimate.half();
            means.add(estimate.mean());
            lows.add(estimate.mean() - halfWidth);
            highs.add(estimate.mean() + halfWidth);
        }
        charts.add(Map.of("name", name, "axis", xAxisLabel, "at", xValues, "mean", means, "low", lows,
            "high", highs));
    }

    public void write(Path file) throws IOException {
        PlayResult.write(file, HtmlReport.fillTemplate("table.html",
            Map.of("title", title, "text", description, "head", columnTitles, "rows", rows, "charts",
            charts)));
    }

    /** The table as aligned plain text, for a terminal. */
    public String toPlainText() {
        int[] widths = new int[columnTitles.size()];
        List<List<String>> allRows = new ArrayList<>(List.of(columnTitles));
        allRows.addAll(rows);
        for (List<String> row : allRows) {
            for (int i = 0; i < row.size(); i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder result = new StringBuilder();
        for (List<String> row : allRows) {
            for (int i = 0; i < row.size(); i++) {
                String cell = row.get(i), padding = " ".repeat(widths[i] - cell.length());
                result.append(i == 0 ? cell + padding : "  " + padding + cell);
            }
            result.append('\n');
        }
        return result.toString();
    }
}
