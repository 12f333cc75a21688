package dockrelay.lab.scale;

import dockrelay.lab.spec.SpecException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab scale}: measures one role at several sizes. */
@Command(name = "scale", mixinStandardHelpOptions = true, description =
    "Measures one role at several sizes and writes scale.json.")
public final class ScaleCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "what to measure, experiments/scale/*.toml")
    Path file;
    @Option(names = "--out", required = true, description = "folder for scale.json")
    Path out;
    @Option(names = "--role", description = "overrides the file's role")
    String role;
    @Option(names = "--quick", description = "measure only the file's quick_sizes, once each")
    boolean quick;
    @Option(names = "--note", defaultValue = "",
        description = "a remark stored in scale.json, such as other work on the machine")
    String note;
    @Option(names = "--build", defaultValue = "${sys:stoatreel.root:-.}", description =
        "checkout to measure (${DEFAULT-VALUE})")
    Path root;

    @Override
    public Integer call() throws Exception {
        if (role != null && Roles.findByName(role) == null) {
            throw new SpecException("--role " + role + ": allowed is one of " + Roles.joinedNames());
        }
        System.setProperty("stoatreel.root", root.toString()); // the roles start processes of this checkout
        long startNanos = System.nanoTime();
        ScaleSpec spec = ScaleSpec.read(file, role == null ? null : Roles.findByName(role), quick);
        try {
            Path resultFile = out.resolve("scale.json");
            ScaleResult result = new ScaleRun(spec, text -> System.err.printf("%6.1f s  %s%n",
                (System.nanoTime() - startNanos) / 1e9, text)).run(root, note,
                partialResult -> partialResult.write(resultFile));
            result.write(resultFile);
            System.out.print(Tables.plainText(result));
            System.out.println("figures: " + resultFile);
            return 0;
        } catch (SizeRefusedException e) {
            System.err.println("refused: " + e.getMessage());
            return 1;
        }
    }
}
