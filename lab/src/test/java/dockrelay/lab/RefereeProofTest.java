package dockrelay.lab;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.referee.Rule;
import dockrelay.lab.report.PlayResult;
import dockrelay.lab.spec.ExperimentReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.api.io.TempDir;

/**
 * Verifies the referee: for each rule, a stand-in proxy breaks it and no other, and the referee must report
 * exactly that rule. A violation missed here would be missed in every play.
 */
class RefereeProofTest {
    private static final Map<String, Set<Rule>> EXPECTED_VIOLATIONS = new LinkedHashMap<>();

    static {
        EXPECTED_VIOLATIONS.put("none", Set.of());
        EXPECTED_VIOLATIONS.put("answered", Set.of(Rule.ANSWERED));
        EXPECTED_VIOLATIONS.put("body", Set.of(Rule.BODY));
        EXPECTED_VIOLATIONS.put("foreign", Set.of(Rule.FOREIGN));
        EXPECTED_VIOLATIONS.put("changed", Set.of(Rule.FOREIGN));
        EXPECTED_VIOLATIONS.put("repeat", Set.of(Rule.REPEAT));
        EXPECTED_VIOLATIONS.put("refusal", Set.of(Rule.REFUSAL));
        EXPECTED_VIOLATIONS.put("attempts", Set.of(Rule.ATTEMPTS));
        EXPECTED_VIOLATIONS.put("drain", Set.of(Rule.DRAIN));
        EXPECTED_VIOLATIONS.put("unasked", Set.of(Rule.DRAIN));
        EXPECTED_VIOLATIONS.put("cold", Set.of(Rule.COLD));
        EXPECTED_VIOLATIONS.put("budget", Set.of(Rule.BUDGET));
        EXPECTED_VIOLATIONS.put("memory", Set.of(Rule.MEMORY));
        EXPECTED_VIOLATIONS.put("descriptors", Set.of(Rule.DESCRIPTORS));
        EXPECTED_VIOLATIONS.put("crash", Set.of(Rule.CRASH,
            Rule.ANSWERED)); // its in-flight requests are lost
        EXPECTED_VIOLATIONS.put("deaf", Set.of(Rule.CRASH));
    }

    @TempDir
    Path folder;

    private Set<Rule> violatedRules(String fault) throws Exception {
        boolean waitsForKnown = fault.equals("unasked"); // a change counts as known only after 6 s
        Path file = Files.writeString(folder.resolve(fault + ".toml"), """
            shows = "a proxy that breaks one rule"
            length = "%s"
            [proxies]
            count = 1
            memory = "%s"
            descriptors = 350
            [nodes]
            count = 4
            cell_size = 2
            [[nodes.kind]]
            name = "node"
            cold_from = %s
            cold_time = "8s"
            warm_by = "time"
            [discovery]
            notice_start = "100ms"
            notice_death = "100ms"
            [clients]
            load = %s
            retries = 0
            [rules]
            drain_grace = "500ms"
            [permissions]
            extra = %s
            [[fault]]
            kind = "drain"
            at = "1s"
            lasts = "%s"
            victims = ["s-2"]
            [[fault]]
            kind = "crash"
            at = "600ms"
            lasts = "600ms"
            victims = ["s-1"]
            """.formatted(waitsForKnown ? "9s" : "5s", fault.equals("memory") ? "300MiB" : "1GiB",
            fault.equals("cold") ? 0.3 : 1,
            fault.equals("cold") ? 0.8 : 0.45, fault.equals("budget") ? 2 : 0, waitsForKnown ? "8s" : "3s"));
        Path root = Files.createDirectories(folder.resolve("build-" + fault));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        // C1 only: the process lives for seconds, and with C2 compilation took most of its CPU time.
        Build build = new Build(root, "FAULT=" + fault + " exec " + java
            + " -Xmx600m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp '"
            + System.getProperty("java.class.path") + "' dockrelay.lab.StandIn");
        PlayResult result = RepeatedPlay.playUntilJudgeable(() ->
            new LabRun(Plan.generate(ExperimentReader.read(file), 7),
            build,
            folder.resolve("out-" + fault), text -> { }).play());
        System.out.println(fault + ": " + ((Map<?, ?>) result.values().get("lab")).get("starvation"));
        return result.violations.stream().map(violation -> violation.rule())
            .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void refereeReportsExactlyTheRuleEachStandInBreaks() {
        // Sequential: with two plays at a time, competition for CPU made 8 of 23 plays void.
        List<Executable> checks = new ArrayList<>();
        for (Map.Entry<String, Set<Rule>> expected : EXPECTED_VIOLATIONS.entrySet()) {
            checks.add(() -> assertEquals(expected.getValue(), violatedRules(expected.getKey()),
                expected.getKey()));
        }
        Set<Rule> coveredRules = EXPECTED_VIOLATIONS.values().stream().flatMap(Set::stream)
            .collect(Collectors.toSet());
        checks.add(() -> assertEquals(Set.of(Rule.values()), coveredRules,
            "every rule has a stand-in that breaks it"));
        assertAll(checks);
    }
}
