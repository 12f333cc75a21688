package dockrelay.lab.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab capacity}: writes the tables of the capacity page from measured figures. */
@Command(name = "capacity", mixinStandardHelpOptions = true, description =
    "Writes the tables of a page between its two markers, " + Tables.BEGIN_MARKER + " and "
        + Tables.END_MARKER + ".")
public final class CapacityCommand implements Callable<Integer> {
    @Option(names = "--page", required = true, description = "page to update, such as docs/CAPACITY.md")
    Path page;
    @Parameters(paramLabel = "SCALE.JSON", arity = "1..*", description =
        "figures written by lab scale; the page shows them in order of measurement")
    List<Path> files;

    @Override
    public Integer call() throws Exception {
        List<ScaleResult> results = new ArrayList<>();
        for (Path file : files) {
            results.add(ScaleResult.read(file));
        }
        String text = Files.readString(page);
        Files.writeString(page, Tables.replaceTables(page, text, results));
        System.out.println(page + ": " + results.size() + " runs");
        return 0;
    }
}
