package dockrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The module does to the last bit what it did when the recording was made: how the backends are kept may
 * change, what is decided by them may not. Who means to change a decision makes the recording anew, with
 * {@link #main}, and says so.
 */
class RecordedEventsTest {
    private static final Path RECORDING = Path.of("src/test/resources/recorded-events.txt");
    private static final int SEEDS = 72;

    private static List<String> played() {
        List<String> lines = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            lines.add(seed + " " + new EventScript(seed).play());
        }
        return lines;
    }

    @Test
    void theSameEventsGiveTheRecordedActions() throws IOException {
        assertEquals(String.join("\n", Files.readAllLines(RECORDING)), String.join("\n", played()));
    }

    /** Writes the recording: seed, checksum, backends, proxies, actions and status lines, sends. */
    public static void main(String[] args) throws IOException {
        Files.write(Path.of(args[0]), played());
    }
}
