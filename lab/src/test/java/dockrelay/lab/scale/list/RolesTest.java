package dockrelay.lab.scale.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.scale.Figure;
import dockrelay.lab.scale.Role;
import dockrelay.lab.scale.Roles;
import dockrelay.lab.scale.ScaleSpec;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs each role with a real proxy at a small size, and checks that its figures exist, not their values. */
class RolesTest {
    private static final String ROOT_PROPERTY = "stoatreel.root";
    private final String previousRoot = System.getProperty(ROOT_PROPERTY);

    @BeforeEach
    void setRoot() {
        System.setProperty(ROOT_PROPERTY, "..");
    }

    @AfterEach
    void restoreRoot() {
        if (previousRoot == null) {
            System.clearProperty(ROOT_PROPERTY);
        } else {
            System.setProperty(ROOT_PROPERTY, previousRoot);
        }
    }

    /** Plays a role once; returns the names of its figures. */
    private static Set<String> playRole(String name, int size, String keys) throws Exception {
        Role role = Roles.findByName(name);
        ScaleSpec spec = ScaleSpec.parse(Path.of("x.toml"), "role = \"" + name + "\"\nsizes = [" + size
            + "]\n[" + name + "]\n" + keys, role, false);
        assertTrue(role.estimate(spec, size).maxMemoryBytes() > 0);
        List<Figure> figures = role.play(spec, size, 1, line -> { });
        figures.forEach(figure -> assertEquals(size, figure.size()));
        return figures.stream().map(Figure::name).collect(Collectors.toSet());
    }

    @Test
    void listRoleMeasuresStartsAndChanges() throws Exception {
        Set<String> names = playRole("list", 140, """
            manners = ["ask"]
            quiet = "1s"
            restart_every = "5s"
            restarts = 1
            fast = "1s"
            after_loss = "1s"
            counters = false
            """);
        for (String expected : List.of("start, list known: ready after", "start, nothing known: ready after",
            "start, nothing known: list's last byte to its line in the log",
            "restarts at the day's rate: in force after, most",
            "changes without requests: processor time a change", "zone lost, one change: in force after",
            "zone back, one change: in force after", "whole list again: in force after",
            "zone lost, one by one: all in force after", "resident after all")) {
            assertTrue(names.contains(expected + " (ask)"), expected + " of " + names);
        }
    }

    @Test
    void tenantsRoleMeasuresStartsWithAndWithoutQuotas() throws Exception {
        Set<String> names = playRole("tenants", 200, "length = \"1s\"");
        for (String quotas : List.of("with", "without")) {
            for (String expected : List.of("start: ready after", "start: resident",
                "load: tenants that asked", "changes of the list: processor time a change")) {
                assertTrue(names.contains(expected + " (" + quotas + " quotas)"), expected + " of " + names);
            }
        }
    }

    @Test
    void loadRoleMeasuresAddedLatency() throws Exception {
        Set<String> names = playRole("load", 50,
            "again = 0\nwarm = \"1s\"\nlength = \"1s\"\nlate_most = \"1s\"");
        for (String expected : List.of("added p50", "added p99", "added p99.9", "direct p99", "resident",
            "generator late p99")) {
            assertTrue(names.contains(expected), expected + " of " + names);
        }
    }
}
