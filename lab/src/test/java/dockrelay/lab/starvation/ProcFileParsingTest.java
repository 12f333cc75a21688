package dockrelay.lab.starvation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.BitSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Verifies parsing of the CPU statistics in /proc. */
class ProcFileParsingTest {
    @TempDir
    Path folder;

    private void writeSchedstat(int threadId, String content) throws Exception {
        Path threadFolder = Files.createDirectories(folder.resolve("task/" + threadId));
        Files.writeString(threadFolder.resolve("schedstat"), content);
    }

    @Test
    void sumsThreadsAndToleratesExitedThreads() throws Exception {
        SchedulerStats stats = new SchedulerStats(folder.resolve("task"));
        writeSchedstat(1, "4000000 1000000 12\n");
        writeSchedstat(2, "2000000 500000 3\n");
        assertEquals(new ProcessorTime(6_000, 1_500, 1_000), stats.takeInterval());
        writeSchedstat(1, "5000000 1000000 14\n");
        Files.delete(folder.resolve("task/2/schedstat"));
        writeSchedstat(3, "700000 250000 1\n");
        assertEquals(new ProcessorTime(1_700, 250, 250), stats.takeInterval());
        assertEquals(ProcessorTime.ZERO, stats.takeInterval());
    }

    @Test
    void exitedProcessHasNoTimes() {
        assertEquals(ProcessorTime.ZERO, new SchedulerStats(folder.resolve("none")).takeInterval());
    }

    @Test
    void sumsTimesOfAllowedCoresOnly() throws Exception {
        Path statFile = folder.resolve("stat");
        Files.writeString(statFile, """
            cpu  0 0 0 0 0 0 0 0 0 0
            cpu0 10 1 5 100 7 1 2 0 0 0
            cpu1 10 0 0 100 0 0 0 3 0 0
            cpu2 0 0 0 100 0 0 0 0 0 0
            intr 5 5
            """);
        BitSet allowedCores = new BitSet();
        allowedCores.set(0, 2);
        CoreStats stats = new CoreStats(statFile, allowedCores);
        assertEquals(CoreTime.ZERO, stats.timeOf(CoreStats.ALL_CORES));
        Files.writeString(statFile, """
            cpu0 12 2 6 103 9 2 3 0 0 0
            cpu1 15 0 0 104 0 0 0 4 0 0
            cpu2 9 0 0 100 0 0 0 0 0 0
            """);
        stats.sample();
        assertEquals(new CoreTime(60_000, 0), stats.timeOf(0));
        assertEquals(new CoreTime(50_000, 10_000), stats.timeOf(1));
        assertEquals(new CoreTime(110_000, 10_000), stats.timeOf(CoreStats.ALL_CORES));
    }

    @Test
    void parsesListOfAllowedCores() throws Exception {
        Path statusFile = Files.writeString(folder.resolve("status"),
            "Name:\tx\nCpus_allowed_list:\t0-2,5\n");
        assertEquals("{0, 1, 2, 5}", CoreStats.parseAllowedCores(statusFile).toString());
    }
}
