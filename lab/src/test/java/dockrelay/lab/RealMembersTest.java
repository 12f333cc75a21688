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
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Four proxy processes run the membership protocol while one each is killed, paused, partitioned and
 * upgraded. Deaths must be detected, nobody falsely declared gone, and all must agree again.
 */
class RealMembersTest {
    @TempDir
    Path folder;

    @Test
    void membersDetectDeathsAndAgreeAgain() throws Exception {
        Path file = Files.writeString(folder.resolve("members.toml"), """
            shows = "membership"
            length = "34s"
            [proxies]
            count = 4
            shared_socket = true
            [nodes]
            count = 4
            [clients]
            load = 0.2
            [permissions]
            peers = true
            [[fault]]
            kind = "kill"
            at = "1s"
            lasts = "5s"
            victims = ["n1"]
            [[fault]]
            kind = "pause"
            at = "14s"
            lasts = "500ms"
            victims = ["n2"]
            [[fault]]
            kind = "link"
            at = "18s"
            lasts = "5s"
            from = ["n3"]
            to = ["n0", "n1", "n2"]
            mode = "silent"
            [[fault]]
            kind = "upgrade"
            at = "26s"
            victims = ["n0"]
            """);
        PlayResult result = RepeatedPlay.playUntilJudgeable(() ->
            new LabRun(Plan.generate(ExperimentReader.read(file), 3),
            Build.load(Path.of("..")), folder.resolve("out"), text -> { }).play());
        assertEquals(List.of(), result.violations);
        Map<?, ?> members = (Map<?, ?>) result.values().get("members");
        assertEquals(3, members.get("deaths_seen"), members.toString()); // one per surviving proxy
        assertEquals(List.of(), members.get("falsely_gone_first"),
            "a pause and an upgrade are not taken for deaths");
        assertTrue((Double) members.get("shares_most") < 1 + 1e-4, members.toString());
        for (Object fault : (List<?>) members.get("agreed_after_s")) {
            assertTrue(((Map<?, ?>) fault).get("agreed_after_s") != null, members.toString());
        }
        String logOfN2 = Files.readString(folder.resolve("out/proxies/n2.1/log"));
        assertTrue(logOfN2.contains("n3 is gone") && logOfN2.contains("n3 is present"), logOfN2);
        assertTrue(logOfN2.contains("n0 is present, started anew, was present"),
            "the upgraded proxy is the same member with a new incarnation: " + logOfN2);
    }
}
