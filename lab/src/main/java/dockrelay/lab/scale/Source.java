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
final class Source {
    private static final List<String> MODULES = List.of("decision", "fleet", "settings", "proxy",
        "lab/src/main");
    private static final int PATIENCE_SECONDS = 10;

    private Source() {
    }

    static Map<String, Object> of(Path root) {
        Map<String, Object> result = new LinkedHashMap<>();
        String commit = git(root, "rev-parse", "HEAD");
        result.put("commit", commit == null ? "not known" : commit);
        if (commit != null) {
            List<String> status = new ArrayList<>(List.of("status", "--porcelain", "--"));
            status.addAll(MODULES);
            String changed = git(root, status.toArray(String[]::new));
            result.put("dirty", changed == null || !changed.isEmpty());
            Map<String, Object> trees = new LinkedHashMap<>();
            for (String module : MODULES) {
                trees.put(module, git(root, "rev-parse", "HEAD:" + module));
            }
            result.put("trees", trees);
        }
        return result;
    }

    /** Runs git and returns its output; null if it fails. */
    private static String git(Path root, String... words) {
        List<String> command = new ArrayList<>(List.of("git", "-C", root.toString()));
        command.addAll(List.of(words));
        try {
            Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD).start();
            String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .trim();
            return process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS) && process.exitValue() == 0 ? text
                : null;
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }
}
