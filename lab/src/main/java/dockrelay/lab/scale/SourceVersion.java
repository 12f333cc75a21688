package dockrelay.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Identifies the measured code: the commit, whether files differ from it, and each module's tree hash. */
final class SourceVersion {
    private static final List<String> MODULE_PATHS = List.of("decision", "fleet", "settings", "proxy",
        "lab/src/main");
    private static final int GIT_TIMEOUT_SECONDS = 10;

    private SourceVersion() {
    }

    /** Properties of the checkout as {@code scale.json} stores them. */
    static Map<String, Object> describe(Path root) {
        Map<String, Object> properties = new LinkedHashMap<>();
        String commit = git(root, "rev-parse", "HEAD");
        properties.put("commit", commit == null ? "not known" : commit);
        if (commit != null) {
            List<String> status = new ArrayList<>(List.of("status", "--porcelain", "--"));
            status.addAll(MODULE_PATHS);
            String changed = git(root, status.toArray(String[]::new));
            properties.put("dirty", changed == null || !changed.isEmpty());
            Map<String, Object> trees = new LinkedHashMap<>();
            for (String module : MODULE_PATHS) {
                trees.put(module, git(root, "rev-parse", "HEAD:" + module));
            }
            properties.put("trees", trees);
        }
        return properties;
    }

    /** Runs git and returns its output; null if it fails. */
    private static String git(Path root, String... arguments) {
        List<String> command = new ArrayList<>(List.of("git", "-C", root.toString()));
        command.addAll(List.of(arguments));
        try {
            Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD).start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .trim();
            return process.waitFor(GIT_TIMEOUT_SECONDS, TimeUnit.SECONDS) && process.exitValue() == 0 ? output
                : null;
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }
}
