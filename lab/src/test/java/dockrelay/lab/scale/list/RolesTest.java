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
    private static final String ROOT = "stoatreel.root";
    private final String before = System.getProperty(ROOT);

    @BeforeEach
    void root() {
        System.setProperty(ROOT, "..");
    }

    @AfterEach
    void back() {
        if (before == null) {
            System.clearProperty(ROOT);
        } else {
            System.setProperty(ROOT, before);
        }
    }

    private static Set<String> play(String name, int size, String keys) throws Exception {
        Role role = Roles.of(name);
        ScaleSpec spec = ScaleSpec.of(Path.of("x.toml"), "role = \"" + name + "\"\nsizes = [" + size + "]\n["
            + name + "]\n" + keys, role, false);
        assertTrue(role.estimate(spec, size).bytes() > 0);
        List<Figure> figures = role.play(spec, size, 1, line -> { });
        figures.forEach(figure -> assertEquals(size, figure.size()));
        return figures.stream().map(Figure::name).collect(Collectors.toSet());
    }

    @Test
    void aListIsTakenInAndChanged() throws Exception {
        Set<String> names = play("list", 140, """
            manners = ["ask"]
            quiet = "1s"
            restart_every = "5s"
            restarts = 1
            fast = "1s"
            after_loss = "1s"
            counters = false
            """);
        for (String wanted : List.of("start, list known: ready after", "start, nothing known: ready after",
            "start, nothing known: list's last byte to its line in the log",
            "restarts at the day's rate: in force after, most",
            "changes without requests: processor time a change", "zone lost, one change: in force after",
            "zone back, one change: in force after", "whole list again: in force after",
            "zone lost, one by one: all in force after", "resident after all")) {
            assertTrue(names.contains(wanted + " (ask)"), wanted + " of " + names);
        }
    }

    @Test
    void settingsOfManyTenantsAreStartedWith() throws Exception {
        Set<String> names = play("tenants", 200, "length = \"1s\"");
        for (String quotas : List.of("with", "without")) {
            for (String wanted : List.of("start: ready after", "start: resident", "load: tenants that asked",
                "changes of the list: processor time a change")) {
                assertTrue(names.contains(wanted + " (" + quotas + " quotas)"), wanted + " of " + names);
            }
        }
    }

    @Test
    void whatAProxyAddsIsToldOrWhyNot() throws Exception {
        Set<String> names = play("load", 50, "again = 0\nwarm = \"1s\"\nlength = \"1s\"\nlate_most = \"1s\"");
        for (String wanted : List.of("added p50", "added p99", "added p99.9", "direct p99", "resident",
            "generator late p99")) {
            assertTrue(names.contains(wanted), wanted + " of " + names);
        }
    }
}
