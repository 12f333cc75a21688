package dockrelay.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The resident memory of this process, as Linux tells it. */
final class ResidentMemory {
    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String FIELD = "VmRSS:";
    private static final int KILOBYTES_PER_MEGABYTE = 1024;

    private ResidentMemory() {
    }

    /** The resident memory in megabytes; 0 where the system does not tell it. */
    static long megabytes() {
        try {
            for (String line : Files.readAllLines(STATUS)) {
                if (line.startsWith(FIELD)) {
                    return Long.parseLong(line.replaceAll("\\D", "")) / KILOBYTES_PER_MEGABYTE;
                }
            }
        } catch (IOException e) {
            return 0; // there is no such file on other systems
        }
        return 0;
    }
}
