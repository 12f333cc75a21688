package dockrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against unintended changes of decisions, such as by a refactoring of the data structures: the policy
 * must act exactly as when the recording was made. An intended change needs a new recording, which
 * {@link #main} writes, and must be stated as such.
 */
class RecordedEventsTest {
    private static final Path RECORDING = Path.of("src/test/resources/recorded-events.txt");
    private static final int SEEDS = 72;

    private static List<String> playAllSeeds() {
        List<String> lines = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            lines.add(seed + " " + new EventScript(seed).play());
        }
        return lines;
    }

    @Test
    void sameEventsGiveRecordedActions() throws IOException {
        assertEquals(String.join("\n", Files.readAllLines(RECORDING)), String.join("\n", playAllSeeds()));
    }

    /** Writes the recording: seed, checksum, backends, proxies, number of actions and status lines, sends. */
    public static void main(String[] args) throws IOException {
        Files.write(Path.of(args[0]), playAllSeeds());
    }
}
