package dockrelay.lab.spec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.plan.Plan;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Validation messages of experiment files, overrides, reproducible plans and traces. */
class ExperimentReaderTest {
    @TempDir
    Path folder;

    private String errorFor(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("one.toml"), "shows = \"x\"\n" + text);
        String message = assertThrows(SpecException.class, () -> Plan.generate(ExperimentReader.read(file),
            1))
            .getMessage();
        assertEquals(1, message.lines().count(), message);
        return message.replace(folder + "/", "");
    }

    @Test
    void errorNamesFileLineKeyValueAndAllowedValues() throws IOException {
        assertEquals("one.toml:3: unknown key nodes.cuont = 5; did you mean nodes.count?",
            errorFor("[nodes]\ncuont = 5\n"));
        assertEquals("one.toml:2: length = \"20\": allowed is a time such as \"250ms\", or two as [low, "
            + "high], from 1s to 3600s", errorFor("length = \"20\"\n"));
        assertEquals("one.toml:3: nodes.count = 0: allowed is a whole number from 1 to 1000",
            errorFor("[nodes]\ncount = 0\n"));
        assertEquals("one.toml:3: fault[0].kind = \"fire\": allowed is one of crash, slow, fast_errors, "
            + "neighbour, drain, detach, kill, term, pause, hangup, upgrade, outage, move, link",
            errorFor("[[fault]]\nkind = \"fire\"\n"));
        assertEquals("one.toml:4: class[0].aim = [ \"2s\", \"1s\" ]: allowed is a time such as \"250ms\", "
            + "or two as [low, high], from 1ms to 3600s",
            errorFor("[[class]]\nname = \"a\"\naim = [\"2s\", \"1s\"]\n"));
        assertEquals("one.toml:4: proxies.zones = [ \"a\", \"b\", \"c\" ]: allowed is at most as many zones "
            + "as proxies", errorFor("[proxies]\ncount = 2\nzones = [\"a\", \"b\", \"c\"]\n"));
        assertTrue(errorFor("length = \n").startsWith("one.toml:2: not TOML: "));
        assertTrue(errorFor("[[fault]]\nkind = \"crash\"\nvictims = [\"s-99\"]\n")
            .contains("no victim is named s-99"));
    }

    @Test
    void overridesReplaceValuesAndAreValidated() {
        Path file = Path.of("../experiments/crash.toml");
        assertEquals(0.7, ExperimentReader.read(file, List.of("clients.load=0.7")).clients().load());
        assertEquals(9_000_000, ExperimentReader.read(file, List.of("fault[0].lasts=9s")).faults().get(0)
            .duration());
        assertEquals("--set: clients.load = 11: allowed is a number from 0 to 10",
            assertThrows(SpecException.class, () -> ExperimentReader.read(file, List.of("clients.load=11")))
                .getMessage());
        assertThrows(SpecException.class, () -> ExperimentReader.read(file, List.of("clients.laod=1")));
    }

    @Test
    void planDependsOnlyOnExperimentAndSeed() {
        Experiment experiment = ExperimentReader.read(Path.of("../experiments/steady.toml"));
        assertEquals(Plan.generate(experiment, 1).sha256(), Plan.generate(experiment, 1).sha256());
        assertNotEquals(Plan.generate(experiment, 1).sha256(), Plan.generate(experiment, 2).sha256());
    }

    @Test
    void traceFixesGivenValuesAndTheRestIsDrawn() throws IOException {
        Files.writeString(folder.resolve("day.csv"), "# recorded\n0.5,slot-booking,70,port,k1\n1.25\n");
        Path file = Files.writeString(folder.resolve("trace.toml"),
            "shows = \"x\"\n[clients]\narrivals = \"trace\"\ntrace = \"day.csv\"\n");
        List<Plan.Arrival> arrivals = Plan.generate(ExperimentReader.read(file), 1).arrivals();
        assertEquals(2, arrivals.size());
        assertEquals(List.of(500_000L, 1, 70_000.0, "port", "k1"), List.of(arrivals.get(0).at(),
            arrivals.get(0).serviceClass(), arrivals.get(0).work(), arrivals.get(0).tenant(),
            arrivals.get(0).route()));
        assertTrue(arrivals.get(1).at() == 1_250_000 && arrivals.get(1).work() > 0);
        assertTrue(errorFor("[clients]\narrivals = \"trace\"\ntrace = \"none.csv\"\n")
            .contains("clients.trace"));
    }

    @Test
    void committedExperimentsAreValid() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("../experiments"))) {
            // The subfolder holds scale runs, which have another format.
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Plan plan = Plan.generate(ExperimentReader.read(file), 1);
                assertTrue(plan.arrivals().size() > 100, file.toString());
            }
        }
    }
}
