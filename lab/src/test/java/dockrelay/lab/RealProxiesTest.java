package dockrelay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.report.PlayResult;
import dockrelay.lab.report.OutcomeStatistics.Outcome;
import dockrelay.lab.spec.ExperimentReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real proxy processes keep all rules under many concurrent faults; latency is not checked. */
class RealProxiesTest {
    @TempDir
    Path folder;

    @Test
    void rulesAreKeptUnderConcurrentFaults() throws Exception {
        Path file = Files.writeString(folder.resolve("much.toml"), """
            shows = "many concurrent faults"
            length = "10s"
            [proxies]
            count = 3
            [nodes]
            count = 6
            [clients]
            load = 0.4
            retries = 1
            [[fault]]
            kind = "crash"
            at = "1s"
            lasts = "2s"
            victims = ["s-1"]
            [[fault]]
            kind = "drain"
            at = "2s"
            lasts = "4s"
            victims = ["s-2"]
            [[fault]]
            kind = "fast_errors"
            at = "3s"
            lasts = "2s"
            victims = ["s-3"]
            [[fault]]
            kind = "outage"
            at = "4s"
            lasts = "2s"
            [[fault]]
            kind = "kill"
            at = "2500ms"
            lasts = "500ms"
            victims = ["n0"]
            [[fault]]
            kind = "pause"
            at = "5s"
            lasts = "700ms"
            victims = ["n1"]
            [[fault]]
            kind = "hangup"
            at = "3s"
            victims = ["n2"]
            """);
        PlayResult result = RepeatedPlay.playUntilJudgeable(() ->
            new LabRun(Plan.generate(ExperimentReader.read(file), 3),
            Build.load(Path.of("..")), folder.resolve("out"), text -> { }).play());
        result.write(folder.resolve("out"));
        assertEquals(List.of(), result.violations);
        assertTrue(result.outcomes.total().count(Outcome.IN_TIME) > result.outcomes.total().requests / 2,
            result.summary());
        assertTrue(Files.readString(folder.resolve("out/report.html")).contains("<title>Lab report</title>"));
        assertEquals(List.of(2, 1, 1), ((List<?>) result.values().get("proxies")).stream()
            .map(proxy -> ((Map<?, ?>) proxy).get("starts")).toList());
    }
}
