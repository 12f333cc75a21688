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
 * Reads the scheduler statistics of a process, thread by thread, since /proc/PID/schedstat covers the main
 * thread only. Not thread-safe.
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

    /** Whether this system provides scheduler statistics. */
    public static boolean isAvailable() {
        return Files.isReadable(Path.of("/proc/self/schedstat"));
    }

    /**
     * The times since the last call, or since the process's start. A thread's times between the last call and
     * its exit are lost. A wait is counted only once it has ended, when the thread gets a core.
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
                    interval = interval.plus(new ProcessorTime(total.ranMicros() - previous.ranMicros(),
                        waitedMicros, waitedMicros));
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            return interval; // the process has just exited
        }
        lastTimesByThread = timesByThread;
        return interval;
    }

    /** The times of one thread since its start; null if it has just exited. */
    private static ProcessorTime readThread(Path schedstatFile) {
        try {
            String[] columns = Files.readString(schedstatFile, StandardCharsets.US_ASCII).trim().split(" ");
            return columns.length < 2 ? null
                : new ProcessorTime(Long.parseLong(columns[0]) / NANOS_PER_MICRO,
                Long.parseLong(columns[1]) / NANOS_PER_MICRO, 0);
        } catch (IOException e) {
            return null;
        }
    }
}
