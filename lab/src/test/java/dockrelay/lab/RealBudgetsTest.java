package dockrelay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.report.PlayResult;
import dockrelay.lab.spec.ExperimentReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Four proxy processes share a budget of extra attempts while nodes are slow, and one proxy each is killed,
 * paused, partitioned and upgraded. The extra attempts that reach the nodes must stay within the fleet-wide
 * budget, which the referee verifies.
 */
class RealBudgetsTest {
    private static final double EXTRA_ATTEMPTS_PER_SECOND = 12;

    @TempDir
    Path folder;

    @Test
    void extraAttemptsStayWithinTheFleetBudget() throws Exception {
        Path file = Files.writeString(folder.resolve("budgets.toml"), """
            shows = "budgets"
            length = "34s"
            [proxies]
            count = 4
            shared_socket = true
            [nodes]
            count = 6
            [clients]
            load = 0.6
            [permissions]
            peers = true
            extra = %s
            [[fault]]
            kind = "slow"
            at = "9s"
            lasts = "20s"
            part = 0.5
            size = 6
            [[fault]]
            kind = "kill"
            at = "11s"
            lasts = "2s"
            victims = ["n1"]
            [[fault]]
            kind = "pause"
            at = "15s"
            lasts = "6s"
            victims = ["n2"]
            [[fault]]
            kind = "link"
            at = "17s"
            lasts = "6s"
            from = ["n3"]
            to = ["n0", "n1", "n2"]
            mode = "silent"
            [[fault]]
            kind = "upgrade"
            at = "25s"
            victims = ["n0"]
            """.formatted(EXTRA_ATTEMPTS_PER_SECOND));
        PlayResult result = RepeatedPlay.playUntilJudgeable(() ->
            new LabRun(Plan.generate(ExperimentReader.read(file), 3),
            Build.load(Path.of("..")), folder.resolve("out"), text -> { }).play());
        assertEquals(List.of(), result.violations);
        int coordinators = 0;
        for (String name : List.of("n0.1", "n1.1", "n2.1", "n3.1")) {
            coordinators += Files.readString(folder.resolve("out/proxies/" + name + "/log"))
                .contains("budgets: the keeper of term") ? 1 : 0;
        }
        assertTrue(coordinators > 0, "no proxy became the lease coordinator");
        long extraAttempts = (Long) result.values().get("extra_attempts");
        System.out.println("extra attempts that reached nodes: " + extraAttempts + " of at most "
            + EXTRA_ATTEMPTS_PER_SECOND * 34);
        assertTrue(extraAttempts > 20, extraAttempts + " extra attempts are too few to exercise the budget");
    }
}
