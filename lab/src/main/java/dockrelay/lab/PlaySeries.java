package dockrelay.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.report.Estimate;
import dockrelay.lab.report.PlayMetric;
import dockrelay.lab.report.PlayResult;
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
final class PlaySeries {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /** What is played: an experiment file, overrides of its values, and a build. */
    record Variant(String name, Path file, List<String> settings, Build build) {
    }

    private final Path outputFolder;
    private final ProgressLine progress;
    private boolean keptAllRules = true;
    private int missingResults;

    PlaySeries(Path outputFolder, ProgressLine progress) {
        this.outputFolder = outputFolder;
        this.progress = progress;
    }

    /** Whether no rule was broken in any play. */
    boolean keptAllRules() {
        return keptAllRules;
    }

    /** How many combinations of variant and seed have no result because all their plays were void. */
    int missingResults() {
        return missingResults;
    }

    /** Plays until a play is valid and writes its result; returns null if all plays were void. */
    private PlayResult play(Variant variant, long seed) throws Exception {
        Path playFolder = outputFolder.resolve(variant.name.replaceAll("[^A-Za-z0-9._=-]", "_") + "-" + seed);
        PlayRepeater<PlayResult> repeater = new PlayRepeater<>(PlayRepeater.DEFAULT_MAX_PLAYS,
            PlayResult::voidReason,
            message -> {
            progress.clear();
            System.out.println(variant.name + ", seed " + seed + ": " + message);
        });
        try {
            PlayResult result = repeater.playUntilValid(() -> new LabRun(
                Plan.generate(ExperimentReader.read(variant.file, variant.settings), seed), variant.build,
                playFolder,
                message -> progress.show(variant.name + ", seed " + seed + ": " + message)).play());
            progress.clear();
            System.out.print(variant.name + ": " + result.summary());
            result.recordVoidPlays(repeater.voidReasons());
            result.write(playFolder);
            keptAllRules &= result.keptAllRules();
            return result;
        } catch (NoValidPlayException e) {
            missingResults++;
            return null;
        }
    }

    /** Compares two variants by plays on the same seeds, alternating which one is played first. */
    TablePage compare(Variant a, Variant b, List<Long> seeds) throws Exception {
        List<PlayResult> resultsA = new ArrayList<>(), resultsB = new ArrayList<>();
        for (int i = 0; i < seeds.size(); i++) {
            Variant first = i % 2 == 0 ? a : b, second = i % 2 == 0 ? b : a;
            PlayResult firstResult = play(first, seeds.get(i)), secondResult = play(second, seeds.get(i));
            if (firstResult != null && secondResult != null) {
                resultsA.add(i % 2 == 0 ? firstResult : secondResult);
                resultsB.add(i % 2 == 0 ? secondResult : firstResult);
            }
        }
        TablePage page = new TablePage("compare: " + a.name + " and " + b.name, "Means over "
            + resultsA.size()
            + " seeds. The difference is second minus first, with its 95% confidence interval.",
            List.of("figure", a.name, b.name, "difference", "95%", ""));
        Map<String, Object> values = new LinkedHashMap<>();
        for (PlayMetric metric : PlayMetric.values()) {
            double[] valuesA = resultsA.stream().mapToDouble(metric::extract).toArray();
            double[] valuesB = resultsB.stream().mapToDouble(metric::extract).toArray();
            double[] differences = new double[valuesA.length];
            for (int i = 0; i < valuesA.length; i++) {
                differences[i] = valuesB[i] - valuesA[i];
            }
            Estimate difference = Estimate.of(differences);
            page.addRow(List.of(metric.title, format(Estimate.of(valuesA).mean(), metric),
                format(Estimate.of(valuesB).mean(), metric),
                format(difference.mean(), metric), "±" + format(difference.half(), metric),
                difference.excludesZero() ? "differs" : ""));
            values.put(metric.title, Map.of("a", valuesA, "b", valuesB, "difference", difference));
            if (metric == PlayMetric.G || metric == PlayMetric.WORTH || metric == PlayMetric.WASTE
                || metric == PlayMetric.P99) {
                List<Estimate> pointEstimates = new ArrayList<>();
                for (double singleDifference : differences) {
                    pointEstimates.add(new Estimate(singleDifference, 0, 1));
                }
                page.addChart(metric.title + ": difference by play", "play",
                    playNumbers(differences.length), pointEstimates);
            }
        }
        write("compare", page, values);
        return page;
    }

    private static List<Double> playNumbers(int count) {
        List<Double> result = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            result.add((double) i);
        }
        return result;
    }

    /** Plays each value of a key on all seeds. */
    TablePage sweep(Variant variant, String key, List<String> keyValues, List<Long> seeds) throws Exception {
        List<String> columnTitles = new ArrayList<>(List.of(key));
        for (PlayMetric metric : PlayMetric.values()) {
            columnTitles.add(metric.title);
        }
        TablePage page = new TablePage("sweep: " + variant.name + " over " + key, "Means over " + seeds.size()
            + " seeds for each value.", columnTitles);
        Map<String, Object> values = new LinkedHashMap<>();
        Map<PlayMetric, List<Estimate>> estimatesByMetric = new LinkedHashMap<>();
        List<Double> xValues = new ArrayList<>();
        for (String keyValue : keyValues) {
            List<String> settings = new ArrayList<>(variant.settings);
            settings.add(key + "=" + keyValue);
            List<PlayResult> results = new ArrayList<>();
            for (long seed : seeds) {
                PlayResult result = play(new Variant(key + "=" + keyValue, variant.file, settings,
                    variant.build), seed);
                if (result != null) {
                    results.add(result);
                }
            }
            if (results.isEmpty()) {
                continue;
            }
            xValues.add(xCoordinate(keyValue, xValues.size()));
            List<String> row = new ArrayList<>(List.of(keyValue));
            Map<String, Object> metricEstimates = new LinkedHashMap<>();
            for (PlayMetric metric : PlayMetric.values()) {
                Estimate estimate = Estimate.of(results.stream().mapToDouble(metric::extract).toArray());
                row.add(format(estimate.mean(), metric));
                metricEstimates.put(metric.title, estimate);
                estimatesByMetric.computeIfAbsent(metric, metricKey -> new ArrayList<>()).add(estimate);
            }
            page.addRow(row);
            values.put(keyValue, metricEstimates);
        }
        estimatesByMetric.forEach((metric, estimates) -> page.addChart(metric.title, key, xValues,
            estimates));
        write("sweep", page, values);
        return page;
    }

    /** The x coordinate of a value: its number without the unit, or its index if it is not a number. */
    private static double xCoordinate(String keyValue, int index) {
        String number = keyValue.replaceAll("[a-zA-Z]+$", "");
        try {
            return Double.parseDouble(number);
        } catch (NumberFormatException e) {
            return index;
        }
    }

    private static String format(double value, PlayMetric metric) {
        return Double.isNaN(value) ? "?" : String.format(Locale.ROOT, "%." + metric.decimals + "f", value);
    }

    private void write(String name, TablePage page, Map<String, Object> values) throws IOException {
        page.write(outputFolder.resolve(name + ".html"));
        Files.writeString(outputFolder.resolve(name + ".json"), JSON.writeValueAsString(values));
    }
}
