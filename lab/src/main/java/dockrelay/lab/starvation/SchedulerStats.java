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
    private static final long NANOS = 1000;

    private final Path tasks;
    private Map<String, ProcessorTime> last = new HashMap<>();

    public SchedulerStats(long process) {
        this(Path.of("/proc", String.valueOf(process), "task"));
    }

    SchedulerStats(Path tasks) {
        this.tasks = tasks;
    }

    /** Whether this system counts at all. */
    public static boolean isAvailable() {
        return Files.isReadable(Path.of("/proc/self/schedstat"));
    }

    /**
     * Since the question before, or the process's start. What a thread did after that and before its end is
     * lost, and so is a wait that goes on: it is counted when the thread gets its core.
     */
    public ProcessorTime since() {
        Map<String, ProcessorTime> now = new HashMap<>();
        ProcessorTime result = ProcessorTime.NONE;
        try (DirectoryStream<Path> all = Files.newDirectoryStream(tasks)) {
            for (Path task : all) {
                String name = task.getFileName().toString();
                ProcessorTime one = read(task.resolve("schedstat"));
                if (one != null) {
                    ProcessorTime before = last.getOrDefault(name, ProcessorTime.NONE);
                    now.put(name, one);
                    long waited = one.waited() - before.waited();
                    result = result.and(new ProcessorTime(one.ran() - before.ran(), waited, waited));
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            return result; // it has just ended
        }
        last = now;
        return result;
    }

    /** Null where the thread has just ended. */
    private static ProcessorTime read(Path file) {
        try {
            String[] words = Files.readString(file, StandardCharsets.US_ASCII).trim().split(" ");
            return words.length < 2 ? null
                : new ProcessorTime(Long.parseLong(words[0]) / NANOS, Long.parseLong(words[1]) / NANOS, 0);
        } catch (IOException e) {
            return null;
        }
    }
}
