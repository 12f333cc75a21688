package dockrelay.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.report.Estimate;
import dockrelay.lab.report.Figure;
import dockrelay.lab.report.Result;
import dockrelay.lab.report.TablePage;
import dockrelay.lab.spec.ExperimentReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Series of plays: two builds or configurations on the same seeds, or several values of one key. */
final class Series {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /** What is played: an experiment file, overrides of its values, and a build. */
    record Side(String name, Path file, List<String> settings, Build build) {
    }

    private final Path out;
    private final Progress progress;
    private boolean kept = true;
    private int leftOut;

    Series(Path out, Progress progress) {
        this.out = out;
        this.progress = progress;
    }

    /** Whether no rule was broken in any play. */
    boolean kept() {
        return kept;
    }

    /** How many combinations of side and seed have no result because all their plays were void. */
    int leftOut() {
        return leftOut;
    }

    /** Plays until a play is valid and writes its result; returns null if all plays were void. */
    private Result play(Side side, long seed) throws Exception {
        Path place = out.resolve(side.name.replaceAll("[^A-Za-z0-9._=-]", "_") + "-" + seed);
        Plays<Result> plays = new Plays<>(Plays.MOST, Result::voidBecause, text -> {
            progress.end();
            System.out.println(side.name + ", seed " + seed + ": " + text);
        });
        try {
            Result result = plays.play(() -> new LabRun(
                Plan.generate(ExperimentReader.read(side.file, side.settings), seed), side.build, place,
                text -> progress.say(side.name + ", seed " + seed + ": " + text)).play());
            progress.end();
            System.out.print(side.name + ": " + result.summary());
            result.afterVoid(plays.reasons());
            result.write(place);
            kept &= result.kept();
            return result;
        } catch (NeverValidException e) {
            leftOut++;
            return null;
        }
    }

    /** Compares two sides by plays on the same seeds, alternating which side is played first. */
    TablePage compare(Side a, Side b, List<Long> seeds) throws Exception {
        List<Result> ofA = new ArrayList<>(), ofB = new ArrayList<>();
        for (int i = 0; i < seeds.size(); i++) {
            Side first = i % 2 == 0 ? a : b, second = i % 2 == 0 ? b : a;
            Result one = play(first, seeds.get(i)), two = play(second, seeds.get(i));
            if (one != null && two != null) {
                ofA.add(i % 2 == 0 ? one : two);
                ofB.add(i % 2 == 0 ? two : one);
            }
        }
        TablePage page = new TablePage("compare: " + a.name + " and " + b.name, "Means over " + ofA.size()
            + " seeds. The difference is second minus first, with its 95% confidence interval.",
            List.of("figure", a.name, b.name, "difference", "95%", ""));
        Map<String, Object> values = new LinkedHashMap<>();
        for (Figure figure : Figure.values()) {
            double[] x = ofA.stream().mapToDouble(figure::of).toArray();
            double[] y = ofB.stream().mapToDouble(figure::of).toArray();
            double[] less = new double[x.length];
            for (int i = 0; i < x.length; i++) {
                less[i] = y[i] - x[i];
            }
            Estimate difference = Estimate.of(less);
            page.row(List.of(figure.title, text(Estimate.of(x).mean(), figure),
                text(Estimate.of(y).mean(), figure),
                text(difference.mean(), figure), "±" + text(difference.half(), figure),
                difference.differs() ? "differs" : ""));
            values.put(figure.title, Map.of("a", x, "b", y, "difference", difference));
            if (figure == Figure.G || figure == Figure.WORTH || figure == Figure.WASTE
                || figure == Figure.P99) {
                List<Estimate> each = new ArrayList<>();
                for (double one : less) {
                    each.add(new Estimate(one, 0, 1));
                }
                page.chart(figure.title + ": difference by play", "play", places(less.length), each);
            }
        }
        write("compare", page, values);
        return page;
    }

    private static List<Double> places(int count) {
        List<Double> result = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            result.add((double) i);
        }
        return result;
    }

    /** Plays each value of a key on all seeds. */
    TablePage sweep(Side side, String key, List<String> texts, List<Long> seeds) throws Exception {
        List<String> head = new ArrayList<>(List.of(key));
        for (Figure figure : Figure.values()) {
            head.add(figure.title);
        }
        TablePage page = new TablePage("sweep: " + side.name + " over " + key, "Means over " + seeds.size()
            + " seeds for each value.", head);
        Map<String, Object> values = new LinkedHashMap<>();
        Map<Figure, List<Estimate>> lines = new LinkedHashMap<>();
        List<Double> places = new ArrayList<>();
        for (String text : texts) {
            List<String> settings = new ArrayList<>(side.settings);
            settings.add(key + "=" + text);
            List<Result> results = new ArrayList<>();
            for (long seed : seeds) {
                Result one = play(new Side(key + "=" + text, side.file, settings, side.build), seed);
                if (one != null) {
                    results.add(one);
                }
            }
            if (results.isEmpty()) {
                continue;
            }
            places.add(place(text, places.size()));
            List<String> row = new ArrayList<>(List.of(text));
            Map<String, Object> found = new LinkedHashMap<>();
            for (Figure figure : Figure.values()) {
                Estimate estimate = Estimate.of(results.stream().mapToDouble(figure::of).toArray());
                row.add(text(estimate.mean(), figure));
                found.put(figure.title, estimate);
                lines.computeIfAbsent(figure, none -> new ArrayList<>()).add(estimate);
            }
            page.row(row);
            values.put(text, found);
        }
        lines.forEach((figure, line) -> page.chart(figure.title, key, places, line));
        write("sweep", page, values);
        return page;
    }

    /** The x coordinate of a value: its number without the unit, or its index if it is not a number. */
    private static double place(String text, int index) {
        String number = text.replaceAll("[a-zA-Z]+$", "");
        try {
            return Double.parseDouble(number);
        } catch (NumberFormatException e) {
            return index;
        }
    }

    private static String text(double value, Figure figure) {
        return Double.isNaN(value) ? "?" : String.format(Locale.ROOT, "%." + figure.digits + "f", value);
    }

    private void write(String name, TablePage page, Map<String, Object> values) throws IOException {
        page.write(out.resolve(name + ".html"));
        Files.writeString(out.resolve(name + ".json"), JSON.writeValueAsString(values));
    }
}
