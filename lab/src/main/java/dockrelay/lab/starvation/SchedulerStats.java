package dockrelay.lab.starvation;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Reads what the scheduler counts of a process, thread by thread: /proc/PID/schedstat alone would be its
 * first thread's. Not for several threads of the lab at a time.
 */
public final class SchedulerStats {
    private static final long NANOS_PER_MICRO = 1000;

    private final Path taskFolder;
    private Map<String, ProcessorTime> lastTimesByThread = new HashMap<>();

    public SchedulerStats(long pid) {
        this(Path.of("/proc", String.valueOf(pid), "task"));
    }

    SchedulerStats(Path taskFolder) {
        this.taskFolder = taskFolder;
    }

    /** Whether this system counts at all. */
    public static boolean isAvailable() {
        return Files.isReadable(Path.of("/proc/self/schedstat"));
    }

    /**
     * Since the question before, or the process's start. What a thread did after that and before its end is
     * lost, and so is a wait that goes on: it is counted when the thread gets its core.
     */
    public ProcessorTime takeInterval() {
        Map<String, ProcessorTime> timesByThread = new HashMap<>();
        ProcessorTime interval = ProcessorTime.ZERO;
        try (DirectoryStream<Path> threadFolders = Files.newDirectoryStream(taskFolder)) {
            for (Path threadFolder : threadFolders) {
                String threadId = threadFolder.getFileName().toString();
                ProcessorTime total = readThread(threadFolder.resolve("schedstat"));
                if (total != null) {
                    ProcessorTime previous = lastTimesByThread.getOrDefault(threadId, ProcessorTime.ZERO);
                    timesByThread.put(threadId, total);
                    long waitedMicros = total.waitedMicros() - previous.waitedMicros();
                    interval = interval.plus(new ProcessorTime(total.ranMicros() - previous.ranMicros(), waitedMicros, waitedMicros));
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            return interval; // it has just ended
        }
        lastTimesByThread = timesByThread;
        return interval;
    }

    /** Null where the thread has just ended. */
    private static ProcessorTime readThread(Path schedstatFile) {
        try {
            String[] columns = Files.readString(schedstatFile, StandardCharsets.US_ASCII).trim().split(" ");
            return columns.length < 2 ? null
                : new ProcessorTime(Long.parseLong(columns[0]) / NANOS_PER_MICRO, Long.parseLong(columns[1]) / NANOS_PER_MICRO, 0);
        } catch (IOException e) {
            return null;
        }
    }
}
