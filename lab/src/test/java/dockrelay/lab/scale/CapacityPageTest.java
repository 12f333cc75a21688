package dockrelay.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.spec.SpecException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The capacity page shows exactly the tables of the committed figures. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("../docs/CAPACITY.md"), RESULTS_FOLDER = Path.of(
        "../experiments/scale/results");

    /** A result with one figure that grows linearly with the size, from two plays. */
    private static ScaleResult newResult(String measuredAt, double valuePerUnit) {
        List<Figure> figures = new ArrayList<>();
        for (int size : new int[] {100, 400, 1600, 5700}) {
            figures.add(new Figure("members", "heap", size, "B", valuePerUnit * size, "virtual", 1));
            figures.add(new Figure("members", "heap", size, "B", valuePerUnit * size, "virtual", 2));
        }
        return new ScaleResult(Map.of("commit", "0123456789", "dirty", false), Map.of("cores", 8,
            "memory_mb", 100, "java", "17", "load_before", 0.5, "load_after", 1.5), measuredAt,
            "members.toml", "", 1, false, figures, List.of(), ScaleResult.slopes(figures));
    }

    @Test
    void tablesReplaceTheTextBetweenTheMarkersIdempotently() {
        String page = "# Capacity\n\n" + Tables.BEGIN_MARKER + "\nold\n" + Tables.END_MARKER + "\nafter\n";
        List<ScaleResult> results = List.of(newResult("2026-01-02T00:00:00Z", 3),
            newResult("2026-01-01T00:00:00Z", 2));
        String updated = Tables.replaceTables(PAGE, page, results);
        assertTrue(updated.startsWith("# Capacity\n\n" + Tables.BEGIN_MARKER
            + "\n\n### members.toml, commit 0123456" + "\n\nMade 2026-01-01"), updated);
        assertTrue(updated.endsWith(Tables.END_MARKER + "\nafter\n"), updated);
        assertTrue(
            updated.contains("| heap | B | virtual | 200 | 800 | 3,200 | 11,400 | 1.00 ± 0.00 | 2 ± "),
            updated);
        assertEquals(updated, Tables.replaceTables(PAGE, updated, List.of(results.get(1), results.get(0))));
        assertThrows(SpecException.class, () -> Tables.replaceTables(PAGE, "no markers", results));
    }

    @Test
    void capacityPageMatchesTheCommittedFigures() throws IOException {
        List<ScaleResult> results = new ArrayList<>();
        if (Files.isDirectory(RESULTS_FOLDER)) {
            try (Stream<Path> files = Files.walk(RESULTS_FOLDER)) {
                for (Path file : files.filter(path -> path.toString().endsWith(".json")).sorted().toList()) {
                    results.add(ScaleResult.read(file));
                }
            }
        }
        if (results.isEmpty() && !Files.exists(PAGE)) {
            return; // neither figures nor a page: nothing to compare
        }
        String page = Files.readString(PAGE);
        assertEquals(Tables.replaceTables(PAGE, page, results), page,
            "run ./stoatreel lab capacity --page docs/CAPACITY.md "
                + "$(find experiments/scale/results -name '*.json')");
    }

    @Test
    void numbersHaveThreeSignificantDigits() {
        assertEquals("12,346", Tables.formatNumber(12345.6));
        assertEquals("12.3", Tables.formatNumber(12.34));
        assertEquals("1.23", Tables.formatNumber(1.234));
        assertEquals("0.0123", Tables.formatNumber(0.01234));
        assertEquals("0.00045", Tables.formatNumber(0.00045));
        assertEquals("0", Tables.formatNumber(0));
    }
}
