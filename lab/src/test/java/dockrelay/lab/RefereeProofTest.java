package dockrelay.lab;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.process.Build;
import dockrelay.lab.referee.Rule;
import dockrelay.lab.report.Result;
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
    private static final Map<String, Set<Rule>> PROOFS = new LinkedHashMap<>();

    static {
        PROOFS.put("none", Set.of());
        PROOFS.put("answered", Set.of(Rule.ANSWERED));
        PROOFS.put("body", Set.of(Rule.BODY));
        PROOFS.put("foreign", Set.of(Rule.FOREIGN));
        PROOFS.put("changed", Set.of(Rule.FOREIGN));
        PROOFS.put("repeat", Set.of(Rule.REPEAT));
        PROOFS.put("refusal", Set.of(Rule.REFUSAL));
        PROOFS.put("attempts", Set.of(Rule.ATTEMPTS));
        PROOFS.put("drain", Set.of(Rule.DRAIN));
        PROOFS.put("unasked", Set.of(Rule.DRAIN));
        PROOFS.put("cold", Set.of(Rule.COLD));
        PROOFS.put("budget", Set.of(Rule.BUDGET));
        PROOFS.put("memory", Set.of(Rule.MEMORY));
        PROOFS.put("descriptors", Set.of(Rule.DESCRIPTORS));
        PROOFS.put("crash", Set.of(Rule.CRASH, Rule.ANSWERED)); // its in-flight requests are lost
        PROOFS.put("deaf", Set.of(Rule.CRASH));
    }

    @TempDir
    Path folder;

    private Set<Rule> broken(String fault) throws Exception {
        boolean known = fault.equals("unasked"); // a change counts as known only after 6 s
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
            """.formatted(known ? "9s" : "5s", fault.equals("memory") ? "300MiB" : "1GiB",
            fault.equals("cold") ? 0.3 : 1,
            fault.equals("cold") ? 0.8 : 0.45, fault.equals("budget") ? 2 : 0, known ? "8s" : "3s"));
        Path root = Files.createDirectories(folder.resolve("build-" + fault));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        // C1 only: the process lives for seconds, and with C2 compilation took most of its CPU time.
        Build build = new Build(root, "FAULT=" + fault + " exec " + java
            + " -Xmx600m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp '"
            + System.getProperty("java.class.path") + "' dockrelay.lab.StandIn");
        Result result = JudgedPlay.of(() -> new LabRun(Plan.generate(ExperimentReader.read(file), 7), build,
            folder.resolve("out-" + fault), text -> { }).play());
        System.out.println(fault + ": " + ((Map<?, ?>) result.values().get("lab")).get("starvation"));
        return result.broken.stream().map(one -> one.rule()).collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void eachRuleIsSeenToBeBrokenByTheProxyThatBreaksItAndByNoOther() {
        // Sequential: with two plays at a time, competition for CPU made 8 of 23 plays void.
        List<Executable> checks = new ArrayList<>();
        for (Map.Entry<String, Set<Rule>> proof : PROOFS.entrySet()) {
            checks.add(() -> assertEquals(proof.getValue(), broken(proof.getKey()), proof.getKey()));
        }
        Set<Rule> proven = PROOFS.values().stream().flatMap(Set::stream).collect(Collectors.toSet());
        checks.add(() -> assertEquals(Set.of(Rule.values()), proven,
            "every rule has a stand-in that breaks it"));
        assertAll(checks);
    }
}
