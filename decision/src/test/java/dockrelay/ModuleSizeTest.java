package dockrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The operators run no longer module than this. */
class ModuleSizeTest {
    private static final Path TOP = Path.of("..");
    private static final Pattern POLICY = Pattern.compile("policy = \\[([^\\]]*)\\]");
    private static final Pattern FILE = Pattern.compile("\"([^\"]+)\"");

    private static Set<String> policy() throws IOException {
        Matcher list = POLICY.matcher(Files.readString(TOP.resolve("deploy/balancer.toml")));
        assertTrue(list.find(), "the deploy file names the policy");
        Set<String> files = new TreeSet<>();
        FILE.matcher(list.group(1)).results().forEach(file -> files.add(file.group(1)));
        return files;
    }

    @Test
    void theModuleStaysWithinItsLimits() throws IOException {
        List<String> lines = new ArrayList<>();
        for (String file : policy()) {
            lines.addAll(Files.readAllLines(TOP.resolve(file)));
        }
        long count = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(count <= 1200, "lines that are not blank: " + count);
        assertTrue(lines.stream().allMatch(line -> line.length() <= 110), "columns");
    }

    /** All that decides is counted: each file but the boundary itself. */
    @Test
    void theDeployFileNamesEachFileOfTheModule() throws IOException {
        Set<String> files = new TreeSet<>();
        try (Stream<Path> found = Files.walk(TOP.resolve("decision/src/main/java"))) {
            found.filter(file -> file.toString().endsWith(".java") && !file.endsWith("Balancer.java"))
                .forEach(file -> files.add(TOP.relativize(file).toString()));
        }
        assertEquals(files, policy());
    }
}
