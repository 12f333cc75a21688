package dockrelay.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Option;

/** The options that all commands share: consoles, timeout and output format. */
final class SharedOptions {
    @Option(names = "--file", paramLabel = "FILE", description = "file of consoles, one HOST:PORT per line")
    Path addressFile;
    @Option(names = "--timeout", paramLabel = "MS", defaultValue = "1000",
        description = "timeout per console in milliseconds (${DEFAULT-VALUE})")
    int timeoutMillis;
    @Option(names = "--json", description = "print JSON")
    boolean json;

    /** Calls the given consoles and those in the address file; the list may be null. */
    Map<String, ConsoleClient.Answer> call(List<String> addresses, String command)
        throws InterruptedException {
        if (timeoutMillis < 1) {
            throw new IllegalArgumentException("--timeout = " + timeoutMillis + " is not at least 1 ms");
        }
        return ConsoleClient.call(ConsoleClient.collectAddresses(
            addresses == null ? new ArrayList<>() : addresses, addressFile), command, timeoutMillis);
    }
}
