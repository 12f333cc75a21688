package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.HotSpotDiagnosticMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** A proxy that was killed is away until it has started: what each start costs, all pay in a mass restart. */
class StartTest {
    @Test
    void theWarmUpEndsSoonAfterTheCompilerHasTakenWhatEachRequestRunsThrough() {
        HotSpotDiagnosticMXBean runtime = ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class);
        int threshold = Integer.parseInt(runtime.getVMOption("Tier3InvocationThreshold").getValue());
        assertTrue(WarmUp.REQUESTS > threshold, "below the threshold nothing is compiled");
        assertTrue(WarmUp.REQUESTS <= 2 * threshold, "what comes after it warms nothing up");
    }

    /** In the background the compiler gets no turn on a busy core, and all the warm-up is interpreted. */
    @Test
    void runIsOneProcessThatCompilesInTheForeground() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        assertTrue(run.startsWith("run = \"exec java "), run);
        assertTrue(run.contains(" -Xbatch "), run);
    }
}
