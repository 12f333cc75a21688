package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.HotSpotDiagnosticMXBean;
import io.netty.buffer.PooledByteBufAllocator;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A proxy that was killed is away until it has started: what each start costs, all pay in a mass restart. */
class StartTest {
    @Test
    void theWarmUpEndsSoonAfterTheCompilerHasTakenWhatEachConnectionRunsThrough() throws IOException {
        HotSpotDiagnosticMXBean runtime = ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class);
        double threshold = Integer.parseInt(runtime.getVMOption("Tier3InvocationThreshold").getValue());
        Matcher scaled = Pattern.compile(" -XX:CompileThresholdScaling=([0-9.]+) ").matcher(run());
        threshold *= scaled.find() ? Double.parseDouble(scaled.group(1)) : 1;
        int connections = WarmUp.REQUESTS / WarmUp.REQUESTS_EACH;
        assertTrue(connections > threshold, "below the threshold nothing is compiled");
        assertTrue(connections <= 2 * threshold, "what comes after it warms nothing up");
    }

    private static String run() throws IOException {
        return Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
    }

    /** Over channels in memory the code of sockets stays cold, and the first seconds of service with it. */
    @Test
    void theWarmUpRunsOverSocketsAndLeavesNoFileBehind(@TempDir Path folder) throws IOException {
        assertTrue(WarmUp.run(Fakes.config(1, 1024), PooledByteBufAllocator.DEFAULT, folder), "over sockets");
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(0, files.count());
        }
    }

    /** Where there can be no such sockets it runs all the same, in memory. */
    @Test
    void aFolderThatTakesNoSocketsDoesNotKeepItFromRunning(@TempDir Path folder) {
        Path missing = folder.resolve("missing");
        assertFalse(WarmUp.run(Fakes.config(1, 1024), PooledByteBufAllocator.DEFAULT, missing));
    }

    /** In the background the compiler gets no turn on a busy core, and all the warm-up is interpreted. */
    @Test
    void runIsOneProcessThatCompilesInTheForeground() throws IOException {
        String run = run();
        assertTrue(run.startsWith("run = \"exec java "), run);
        assertTrue(run.contains(" -Xbatch "), run);
    }
}
