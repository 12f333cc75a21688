package dockrelay.lab.starvation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.BitSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the system writes, read. */
class CountsTest {
    @TempDir
    Path folder;

    private void task(int thread, String counts) throws Exception {
        Path task = Files.createDirectories(folder.resolve("task/" + thread));
        Files.writeString(task.resolve("schedstat"), counts);
    }

    @Test
    void threadsAddUpAndThoseThatEndedTakeNothingBack() throws Exception {
        SchedulerStats counts = new SchedulerStats(folder.resolve("task"));
        task(1, "4000000 1000000 12\n");
        task(2, "2000000 500000 3\n");
        assertEquals(new ProcessorTime(6_000, 1_500, 1_000), counts.since());
        task(1, "5000000 1000000 14\n");
        Files.delete(folder.resolve("task/2/schedstat"));
        task(3, "700000 250000 1\n");
        assertEquals(new ProcessorTime(1_700, 250, 250), counts.since());
        assertEquals(ProcessorTime.NONE, counts.since());
    }

    @Test
    void processThatIsGoneHasNothing() {
        assertEquals(ProcessorTime.NONE, new SchedulerStats(folder.resolve("none")).since());
    }

    @Test
    void coresAreCountedAloneAndTogetherWithoutThoseThatTheLabMayNotUse() throws Exception {
        Path stat = folder.resolve("stat");
        Files.writeString(stat, """
            cpu  0 0 0 0 0 0 0 0 0 0
            cpu0 10 1 5 100 7 1 2 0 0 0
            cpu1 10 0 0 100 0 0 0 3 0 0
            cpu2 0 0 0 100 0 0 0 0 0 0
            intr 5 5
            """);
        BitSet allowed = new BitSet();
        allowed.set(0, 2);
        CoreCounts counts = new CoreCounts(stat, allowed);
        assertEquals(CoreTime.NONE, counts.of(CoreCounts.ALL));
        Files.writeString(stat, """
            cpu0 12 2 6 103 9 2 3 0 0 0
            cpu1 15 0 0 104 0 0 0 4 0 0
            cpu2 9 0 0 100 0 0 0 0 0 0
            """);
        counts.look();
        assertEquals(new CoreTime(60_000, 0), counts.of(0));
        assertEquals(new CoreTime(50_000, 10_000), counts.of(1));
        assertEquals(new CoreTime(110_000, 10_000), counts.of(CoreCounts.ALL));
    }

    @Test
    void listOfCoresIsRead() throws Exception {
        Path status = Files.writeString(folder.resolve("status"), "Name:\tx\nCpus_allowed_list:\t0-2,5\n");
        assertEquals("{0, 1, 2, 5}", CoreCounts.allowed(status).toString());
    }
}
