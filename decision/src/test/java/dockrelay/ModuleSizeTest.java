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

/** Checks the operators' limits on the size of the policy that they run. */
class ModuleSizeTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern POLICY_LIST = Pattern.compile("policy = \\[([^\\]]*)\\]");
    private static final Pattern QUOTED_PATH = Pattern.compile("\"([^\"]+)\"");

    private static Set<String> policyFiles() throws IOException {
        Matcher list = POLICY_LIST.matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(list.find(), "deploy/balancer.toml has no policy list");
        Set<String> files = new TreeSet<>();
        QUOTED_PATH.matcher(list.group(1)).results().forEach(file -> files.add(file.group(1)));
        return files;
    }

    @Test
    void policyStaysWithinSizeLimits() throws IOException {
        List<String> lines = new ArrayList<>();
        for (String file : policyFiles()) {
            lines.addAll(Files.readAllLines(ROOT.resolve(file)));
        }
        long count = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(count <= 1200, "too many non-blank lines: " + count);
        assertTrue(lines.stream().allMatch(line -> line.length() <= 110),
            "a line is longer than 110 columns");
    }

    /** Every file of the module except the interface must count towards the limits. */
    @Test
    void deployFileNamesEachPolicyFile() throws IOException {
        Set<String> files = new TreeSet<>();
        try (Stream<Path> paths = Files.walk(ROOT.resolve("decision/src/main/java"))) {
            paths.filter(file -> file.toString().endsWith(".java") && !file.endsWith("Balancer.java"))
                .forEach(file -> files.add(ROOT.relativize(file).toString()));
        }
        assertEquals(files, policyFiles());
    }
}
