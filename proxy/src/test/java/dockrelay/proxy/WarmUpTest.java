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

/**
 * Checks the cost of a start: a killed proxy is unavailable until it has started, and in a mass restart
 * this applies to all proxies.
 */
class WarmUpTest {
    @Test
    void warmUpSlightlyExceedsCompileThreshold() throws IOException {
        HotSpotDiagnosticMXBean runtime = ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class);
        double threshold = Integer.parseInt(runtime.getVMOption("Tier3InvocationThreshold").getValue());
        Matcher scalingMatcher = Pattern.compile(" -XX:CompileThresholdScaling=([0-9.]+) ")
            .matcher(runCommand());
        threshold *= scalingMatcher.find() ? Double.parseDouble(scalingMatcher.group(1)) : 1;
        int connections = WarmUp.TOTAL_REQUESTS / WarmUp.REQUESTS_PER_CONNECTION;
        assertTrue(connections > threshold, "code below the threshold is not compiled");
        assertTrue(connections <= 2 * threshold, "connections far beyond the threshold have no effect");
    }

    private static String runCommand() throws IOException {
        return Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
    }

    /**
     * Over in-memory channels the socket code would remain cold, and so would the first seconds of service.
     */
    @Test
    void warmUpUsesSocketsAndRemovesItsFiles(@TempDir Path folder) throws IOException {
        assertTrue(WarmUp.run(Fakes.config(1, 1024), PooledByteBufAllocator.DEFAULT, folder),
            "the warm-up must run over sockets");
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(0, files.count());
        }
    }

    /** Where Unix domain sockets are not possible, the warm-up runs in memory. */
    @Test
    void warmUpFallsBackToMemory(@TempDir Path folder) {
        Path missingFolder = folder.resolve("missing");
        assertFalse(WarmUp.run(Fakes.config(1, 1024), PooledByteBufAllocator.DEFAULT, missingFolder));
    }

    /**
     * With background compilation, the compiler gets no CPU time on a busy core and the whole warm-up runs
     * interpreted.
     */
    @Test
    void runCommandCompilesInForeground() throws IOException {
        String command = runCommand();
        assertTrue(command.startsWith("run = \"exec java "), command);
        assertTrue(command.contains(" -Xbatch "), command);
    }
}
