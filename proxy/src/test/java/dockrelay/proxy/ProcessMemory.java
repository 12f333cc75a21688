package dockrelay.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The resident memory of a process, as the system tells it. */
final class ProcessMemory {
    private static final Pattern PEAK_LINE = Pattern.compile("(?m)^VmHWM:\\s+(\\d+) kB$"),
        RESIDENT_LINE = Pattern.compile("(?m)^VmRSS:\\s+(\\d+) kB$");
    private static final long KILOBYTES_PER_MEGABYTE = 1024;

    private ProcessMemory() {
    }

    /** The most memory that a process has held so far, in megabytes; 0 if it has ended. */
    static long peakMegabytes(long processId) throws IOException {
        return megabytes(processId, PEAK_LINE);
    }

    /** The memory that a process holds, in megabytes; 0 if it has ended. */
    static long residentMegabytes(long processId) throws IOException {
        return megabytes(processId, RESIDENT_LINE);
    }

    private static long megabytes(long processId, Pattern line) throws IOException {
        try {
            Matcher matcher = line.matcher(Files.readString(Path.of("/proc/" + processId + "/status")));
            return matcher.find() ? Long.parseLong(matcher.group(1)) / KILOBYTES_PER_MEGABYTE : 0;
        } catch (NoSuchFileException e) {
            return 0;
        }
    }
}
