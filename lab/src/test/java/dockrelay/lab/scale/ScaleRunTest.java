package dockrelay.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.scale.ScaleResult.Refusal;
import dockrelay.lab.spec.SpecException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reading a specification, refusing sizes that the machine lacks resources for, and the stored result. */
class ScaleRunTest {
    private static final Path SPEC_FILE = Path.of("x.toml");
    private static final long MEMORY_BYTES = 1L << 30;

    /** Needs 1 MiB per unit of size and the configured number of processes; refuses sizes over 400. */
    private static final class FakeRole implements Role {
        int playCount;

        @Override
        public String name() {
            return "doubling";
        }

        @Override
        public ResourceEstimate estimate(ScaleSpec spec, int size) {
            return new ResourceEstimate((long) size << 20,
                spec.roleSection().readCount("processes", 1, 1, 1000));
        }

        @Override
        public List<Figure> play(ScaleSpec spec, int size, int play, ProgressLog progress)
            throws SizeRefusedException {
            if (size > 400) {
                throw new SizeRefusedException(size + " things; allowed are 1 to 400");
            }
            playCount++;
            return List.of(new Figure(name(), "work", size, "steps", 2.0 * size, "module", play));
        }
    }

    private final FakeRole role = new FakeRole();

    private ScaleSpec parseSpec(String text) {
        return ScaleSpec.parse(SPEC_FILE, text, role, false);
    }

    @Test
    void sizesOverHalfOfTheMemoryAreRefusedBeforeAnyPlay() {
        ScaleRun run = new ScaleRun(parseSpec("sizes = [100, 513]"), MEMORY_BYTES, line -> { });
        SizeRefusedException refused = assertThrows(SizeRefusedException.class,
            () -> run.run(Path.of("."), "", partial -> { }));
        assertEquals("x.toml: doubling at 513 would need 513 MiB; the limit is half of this machine's "
            + "memory, 512 MiB: choose smaller sizes", refused.getMessage());
        assertEquals(0, role.playCount, "no play may run before the estimates are checked");
    }

    @Test
    void tooManyProcessesAreRefused() {
        ScaleRun run = new ScaleRun(parseSpec("sizes = [100]\n[doubling]\nprocesses = 201"), MEMORY_BYTES,
            line -> { });
        SizeRefusedException refused = assertThrows(SizeRefusedException.class,
            () -> run.run(Path.of("."), "", partial -> { }));
        assertEquals(
            "x.toml: doubling at 100 would need 201 processes; the limit is 200: choose smaller sizes",
            refused.getMessage());
    }

    @Test
    void unknownKeysAndUnsortedSizesAreReportedInOneLine() {
        SpecException unknownKey = assertThrows(SpecException.class, () -> new ScaleRun(
            parseSpec("sizes = [100]\n[doubling]\nproceses = 2"), MEMORY_BYTES, line -> { })
            .checkResources());
        assertEquals("x.toml:3: unknown key doubling.proceses = 2; did you mean doubling.processes?",
            unknownKey.getMessage());
        SpecException unsortedSizes = assertThrows(SpecException.class,
            () -> parseSpec("sizes = [400, 100]"));
        assertEquals("x.toml:1: sizes = [ 400, 100 ]: allowed is a rising list of whole numbers "
            + "from 1 to 1000000",
            unsortedSizes.getMessage());
    }

    @Test
    void resultHoldsFiguresFitsAndRefusalsAndSurvivesARoundTrip(@TempDir Path folder) throws Exception {
        List<String> lines = new ArrayList<>();
        List<ScaleResult> partialResults = new ArrayList<>();
        ScaleResult result = new ScaleRun(parseSpec("sizes = [50, 100, 200, 400, 401]\nplays = 2\nseed = 7"),
            MEMORY_BYTES, lines::add).run(Path.of("."), "beside nothing", partialResults::add);
        assertEquals(5, partialResults.size(), "expected a partial result after each of the 5 sizes");
        assertTrue(partialResults.get(1).cutShort() && Tables.markdown(partialResults).contains("Cut short"));
        assertFalse(result.cutShort());
        assertEquals(8, result.figures().size());
        assertEquals(List.of(new Refusal("doubling", 401, "401 things; allowed are 1 to 400")),
            result.refused());
        assertEquals(Fit.LINEAR, result.slopes().get(0).fit().grows());
        assertFalse(lines.isEmpty());
        Path file = folder.resolve("scale.json");
        result.write(file);
        ScaleResult readBack = ScaleResult.read(file);
        assertEquals(result.figures(), readBack.figures());
        assertEquals(result.slopes(), readBack.slopes());
        assertEquals(Tables.markdown(List.of(result)), Tables.markdown(List.of(readBack)));
        String text = Files.readString(file);
        assertFalse(text.contains(System.getProperty("user.dir")) || text.contains(System.getProperty(
            "user.home")), "the stored result must not contain local paths");
    }

    @Test
    void quickRunPlaysTheQuickSizesOnce() {
        ScaleSpec quick = ScaleSpec.parse(SPEC_FILE, "sizes = [1, 2, 3]\nquick_sizes = [5]\nplays = 3",
            role, true);
        assertEquals(List.of(5), quick.sizes());
        assertEquals(1, quick.plays());
        assertTrue(quick.quick());
    }
}
