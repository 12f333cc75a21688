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
    static final String BEGIN = "<!-- scale: begin -->", END = "<!-- scale: end -->";
    private static final int COMMIT = 7, SMALL = 10;

    /** Identifies the figure of a table row. */
    private record Name(String role, String name, String unit, String how) {
        boolean of(Figure figure) {
            return figure.role().equals(role) && figure.name().equals(name) && figure.unit().equals(unit)
                && figure.how().equals(how);
        }

        boolean of(Slope slope) {
            return slope.role().equals(role) && slope.name().equals(name) && slope.unit().equals(unit)
                && slope.how().equals(how);
        }
    }

    private Tables() {
    }

    /** Returns the page with the tables between its markers replaced. */
    static String into(Path page, String text, List<ScaleResult> results) {
        int begin = text.indexOf(BEGIN), end = text.indexOf(END);
        if (begin < 0 || end < begin) {
            throw new SpecException(page + ": has no line " + BEGIN + " with " + END + " after it");
        }
        return text.substring(0, begin + BEGIN.length()) + "\n" + markdown(results) + text.substring(end);
    }

    /** Formats the results as Markdown, in order of measurement. */
    static String markdown(List<ScaleResult> results) {
        StringBuilder out = new StringBuilder();
        results.stream().sorted(Comparator.comparing(ScaleResult::when).thenComparing(ScaleResult::spec))
            .forEach(result -> {
                out.append("\n### ").append(result.spec()).append(", ").append(commit(result)).append("\n\n")
                    .append(about(result)).append("\n");
                for (String role : roles(result)) {
                    rows(result, role, out);
                }
                for (Refusal one : result.refused()) {
                    out.append("\n- `").append(one.role()).append("` at ").append(size(one.size()))
                        .append(" was refused: ").append(one.why()).append("\n");
                }
            });
        return out.append("\n").toString();
    }

    private static String commit(ScaleResult result) {
        String commit = String.valueOf(result.build().get("commit"));
        return "commit " + commit.substring(0, Math.min(COMMIT, commit.length()))
            + (Boolean.TRUE.equals(result.build().get("dirty")) ? " with changes" : "");
    }

    private static String about(ScaleResult result) {
        return "Made " + result.when() + ", " + result.machine().get("cores") + " cores, "
            + result.machine().get("memory_mb") + " MiB, Java " + result.machine().get("java")
            + "; load " + result.machine().get("load_before") + " before and "
            + result.machine().get("load_after") + " after; seed " + result.seed() + "; plays "
            + result.figures().stream().mapToInt(Figure::play).max().orElse(0) + "."
            + (result.cutShort() ? " Cut short: larger sizes were not played." : "")
            + (result.note().isEmpty() ? "" : " " + result.note());
    }

    private static Set<String> roles(ScaleResult result) {
        Set<String> roles = new LinkedHashSet<>();
        result.figures().forEach(one -> roles.add(one.role()));
        return roles;
    }

    private static Set<Name> names(ScaleResult result, String role) {
        Set<Name> names = new LinkedHashSet<>();
        result.figures().stream().filter(one -> one.role().equals(role))
            .forEach(one -> names.add(new Name(role, one.name(), one.unit(), one.how())));
        return names;
    }

    private static void rows(ScaleResult result, String role, StringBuilder out) {
        Set<Integer> sizes = sizes(result, role);
        out.append("\n| ").append(role).append(" | unit | how |");
        sizes.forEach(size -> out.append(' ').append(size(size)).append(" |"));
        out.append(" exponent | slope a unit of size | grows |\n| --- | --- | --- |");
        sizes.forEach(size -> out.append(" --- |"));
        out.append(" --- | --- | --- |\n");
        for (Name name : names(result, role)) {
            out.append("| ").append(name.name).append(" | ").append(name.unit).append(" | ").append(name.how)
                .append(" |");
            sizes.forEach(size -> out.append(' ').append(cell(result, name, size)).append(" |"));
            Fit fit = fit(result, name);
            out.append(fit == null ? " | | |" : " " + exponent(fit) + " | " + number(fit.slope()) + " ± "
                + number(fit.slopeError()) + " | " + fit.grows() + " |").append('\n');
        }
    }

    private static Set<Integer> sizes(ScaleResult result, String role) {
        Set<Integer> sizes = new TreeSet<>();
        result.figures().stream().filter(one -> one.role().equals(role))
            .forEach(one -> sizes.add(one.size()));
        return sizes;
    }

    private static Fit fit(ScaleResult result, Name name) {
        return result.slopes().stream().filter(name::of).map(Slope::fit).filter(Objects::nonNull).findFirst()
            .orElse(null);
    }

    private static String exponent(Fit fit) {
        return fit.exponent() == null ? "" : String.format(Locale.ROOT, "%.2f ± %.2f", fit.exponent(),
            fit.exponentError());
    }

    /** The mean over the plays, with minimum and maximum if they differ. */
    private static String cell(ScaleResult result, Name name, int size) {
        double[] values = result.figures().stream().filter(one -> one.size() == size && name.of(one))
            .mapToDouble(Figure::value).sorted().toArray();
        if (values.length == 0) {
            return "";
        }
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        String least = number(values[0]), most = number(values[values.length - 1]);
        return number(sum / values.length) + (least.equals(most) ? "" : " (" + least + " to " + most + ")");
    }

    static String size(int size) {
        return String.format(Locale.ROOT, "%,d", size);
    }

    /** Formats a number with three significant digits. */
    static String number(double value) {
        double size = Math.abs(value);
        if (value == 0) {
            return "0";
        }
        if (size >= 100) {
            return String.format(Locale.ROOT, "%,d", Math.round(value));
        }
        if (size < 0.001) {
            return String.format(Locale.ROOT, "%.2g", value);
        }
        int digits = size >= SMALL ? 1 : size >= 1 ? 2 : size >= 0.1 ? 3 : 4;
        String text = String.format(Locale.ROOT, "%." + digits + "f", value);
        return text.replaceAll("0+$", "").replaceAll("\\.$", "");
    }

    /** Formats the result as plain text for a terminal. */
    static String plain(ScaleResult result) {
        StringBuilder out = new StringBuilder();
        for (String role : roles(result)) {
            for (Name name : names(result, role)) {
                List<String> cells = new ArrayList<>();
                sizes(result, role).forEach(size -> cells.add(size(size) + ": " + cell(result, name, size)));
                Fit fit = fit(result, name);
                out.append(role).append(' ').append(name.name).append(" [").append(name.unit).append(", ")
                    .append(name.how).append("] ").append(String.join("; ", cells)).append(fit == null ? ""
                        : "; " + fit.grows() + " (exponent " + exponent(fit) + ")").append('\n');
            }
        }
        result.refused().forEach(one -> out.append(one.role()).append(" at ").append(size(one.size()))
            .append(" refused: ").append(one.why()).append('\n'));
        return out.toString();
    }
}
