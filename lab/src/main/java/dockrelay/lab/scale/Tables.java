package dockrelay.lab.scale;

import dockrelay.lab.scale.ScaleResult.Refusal;
import dockrelay.lab.scale.ScaleResult.Slope;
import dockrelay.lab.spec.SpecException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/** Formats figures as tables: for a terminal, and for the capacity page between its two markers. */
final class Tables {
    static final String BEGIN_MARKER = "<!-- scale: begin -->", END_MARKER = "<!-- scale: end -->";
    private static final int COMMIT_HASH_CHARS = 7, ONE_DECIMAL_FROM = 10;

    /** Identifies the figure of a table row. */
    private record RowKey(String role, String name, String unit, String how) {
        boolean matches(Figure figure) {
            return figure.role().equals(role) && figure.name().equals(name) && figure.unit().equals(unit)
                && figure.how().equals(how);
        }

        boolean matches(Slope slope) {
            return slope.role().equals(role) && slope.name().equals(name) && slope.unit().equals(unit)
                && slope.how().equals(how);
        }
    }

    private Tables() {
    }

    /** Returns the page with the tables between its markers replaced. */
    static String replaceTables(Path page, String text, List<ScaleResult> results) {
        int begin = text.indexOf(BEGIN_MARKER), end = text.indexOf(END_MARKER);
        if (begin < 0 || end < begin) {
            throw new SpecException(page + ": has no line " + BEGIN_MARKER + " with " + END_MARKER
                + " after it");
        }
        return text.substring(0, begin + BEGIN_MARKER.length()) + "\n" + markdown(results)
            + text.substring(end);
    }

    /** Formats the results as Markdown, in order of measurement. */
    static String markdown(List<ScaleResult> results) {
        StringBuilder out = new StringBuilder();
        results.stream().sorted(Comparator.comparing(ScaleResult::when).thenComparing(ScaleResult::spec))
            .forEach(result -> {
                out.append("\n### ").append(result.spec()).append(", ").append(formatCommit(result))
                    .append("\n\n").append(describeRun(result)).append("\n");
                for (String role : rolesOf(result)) {
                    appendTable(result, role, out);
                }
                for (Refusal refusal : result.refused()) {
                    out.append("\n- `").append(refusal.role()).append("` at ")
                        .append(formatSize(refusal.size())).append(" was refused: ")
                        .append(refusal.why()).append("\n");
                }
            });
        return out.append("\n").toString();
    }

    /** The abbreviated commit hash, and whether the working tree differed from it. */
    private static String formatCommit(ScaleResult result) {
        String hash = String.valueOf(result.build().get("commit"));
        return "commit " + hash.substring(0, Math.min(COMMIT_HASH_CHARS, hash.length()))
            + (Boolean.TRUE.equals(result.build().get("dirty")) ? " with changes" : "");
    }

    /** One paragraph about the machine, its load and the settings of a run. */
    private static String describeRun(ScaleResult result) {
        return "Made " + result.when() + ", " + result.machine().get("cores") + " cores, "
            + result.machine().get("memory_mb") + " MiB, Java " + result.machine().get("java")
            + "; load " + result.machine().get("load_before") + " before and "
            + result.machine().get("load_after") + " after; seed " + result.seed() + "; plays "
            + result.figures().stream().mapToInt(Figure::play).max().orElse(0) + "."
            + (result.cutShort() ? " Cut short: larger sizes were not played." : "")
            + (result.note().isEmpty() ? "" : " " + result.note());
    }

    private static Set<String> rolesOf(ScaleResult result) {
        Set<String> roles = new LinkedHashSet<>();
        result.figures().forEach(figure -> roles.add(figure.role()));
        return roles;
    }

    private static Set<RowKey> rowKeys(ScaleResult result, String role) {
        Set<RowKey> keys = new LinkedHashSet<>();
        result.figures().stream().filter(figure -> figure.role().equals(role))
            .forEach(figure -> keys.add(new RowKey(role, figure.name(), figure.unit(), figure.how())));
        return keys;
    }

    /** Appends the table of one role: a row for each figure and a column for each size. */
    private static void appendTable(ScaleResult result, String role, StringBuilder out) {
        Set<Integer> sizes = sizesOf(result, role);
        out.append("\n| ").append(role).append(" | unit | how |");
        sizes.forEach(size -> out.append(' ').append(formatSize(size)).append(" |"));
        out.append(" exponent | slope a unit of size | grows |\n| --- | --- | --- |");
        sizes.forEach(size -> out.append(" --- |"));
        out.append(" --- | --- | --- |\n");
        for (RowKey key : rowKeys(result, role)) {
            out.append("| ").append(key.name).append(" | ").append(key.unit).append(" | ").append(key.how)
                .append(" |");
            sizes.forEach(size -> out.append(' ').append(formatCell(result, key, size)).append(" |"));
            Fit fit = findFit(result, key);
            out.append(fit == null ? " | | |" : " " + formatExponent(fit) + " | "
                + formatNumber(fit.slope()) + " ± " + formatNumber(fit.slopeError())
                + " | " + fit.grows() + " |").append('\n');
        }
    }

    private static Set<Integer> sizesOf(ScaleResult result, String role) {
        Set<Integer> sizes = new TreeSet<>();
        result.figures().stream().filter(figure -> figure.role().equals(role))
            .forEach(figure -> sizes.add(figure.size()));
        return sizes;
    }

    private static Fit findFit(ScaleResult result, RowKey key) {
        return result.slopes().stream().filter(key::matches).map(Slope::fit).filter(Objects::nonNull)
            .findFirst().orElse(null);
    }

    private static String formatExponent(Fit fit) {
        return fit.exponent() == null ? "" : String.format(Locale.ROOT, "%.2f ± %.2f", fit.exponent(),
            fit.exponentError());
    }

    /** The mean over the plays, with minimum and maximum if they differ. */
    private static String formatCell(ScaleResult result, RowKey key, int size) {
        double[] values = result.figures().stream()
            .filter(figure -> figure.size() == size && key.matches(figure))
            .mapToDouble(Figure::value).sorted().toArray();
        if (values.length == 0) {
            return "";
        }
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        String min = formatNumber(values[0]), max = formatNumber(values[values.length - 1]);
        return formatNumber(sum / values.length) + (min.equals(max) ? "" : " (" + min + " to " + max + ")");
    }

    /** Formats a size with thousands separators. */
    static String formatSize(int size) {
        return String.format(Locale.ROOT, "%,d", size);
    }

    /** Formats a number with three significant digits. */
    static String formatNumber(double value) {
        double magnitude = Math.abs(value);
        if (value == 0) {
            return "0";
        }
        if (magnitude >= 100) {
            return String.format(Locale.ROOT, "%,d", Math.round(value));
        }
        if (magnitude < 0.001) {
            return String.format(Locale.ROOT, "%.2g", value);
        }
        int decimals = magnitude >= ONE_DECIMAL_FROM ? 1 : magnitude >= 1 ? 2 : magnitude >= 0.1 ? 3 : 4;
        String formatted = String.format(Locale.ROOT, "%." + decimals + "f", value);
        return formatted.replaceAll("0+$", "").replaceAll("\\.$", "");
    }

    /** Formats the result as plain text for a terminal. */
    static String plainText(ScaleResult result) {
        StringBuilder out = new StringBuilder();
        for (String role : rolesOf(result)) {
            for (RowKey key : rowKeys(result, role)) {
                List<String> cells = new ArrayList<>();
                sizesOf(result, role).forEach(size -> cells.add(formatSize(size) + ": "
                    + formatCell(result, key, size)));
                Fit fit = findFit(result, key);
                out.append(role).append(' ').append(key.name).append(" [").append(key.unit).append(", ")
                    .append(key.how).append("] ").append(String.join("; ", cells)).append(fit == null ? ""
                        : "; " + fit.grows() + " (exponent " + formatExponent(fit) + ")").append('\n');
            }
        }
        result.refused().forEach(refusal -> out.append(refusal.role()).append(" at ")
            .append(formatSize(refusal.size())).append(" refused: ").append(refusal.why()).append('\n'));
        return out.toString();
    }
}
