package dockrelay.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Option;

/** The options that all commands share: consoles, timeout and output format. */
final class Targets {
    @Option(names = "--file", paramLabel = "FILE", description = "consoles, one HOST:PORT a line")
    Path file;
    @Option(names = "--timeout", paramLabel = "MS", defaultValue = "1000",
        description = "to wait for each, in milliseconds (${DEFAULT-VALUE})")
    int timeout;
    @Option(names = "--json", description = "for machines")
    boolean json;

    Map<String, Consoles.Answer> call(List<String> given, String line) throws InterruptedException {
        if (timeout < 1) {
            throw new IllegalArgumentException("--timeout = " + timeout + " is not at least 1 ms");
        }
        return Consoles.call(Consoles.named(given == null ? new ArrayList<>() : given, file), line, timeout);
    }
}
