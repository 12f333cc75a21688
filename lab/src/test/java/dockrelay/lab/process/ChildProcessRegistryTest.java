package dockrelay.lab.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Verifies that the next lab kills the orphaned processes of a killed lab, exactly once. */
class ChildProcessRegistryTest {
    private static final String DEAD_LAB_PREFIX = "lab-1-1-";

    @TempDir
    Path folder;

    private Process startSleepProcess() throws Exception {
        return new ProcessBuilder("sleep", "600").start();
    }

    private Path writeListOfDeadLab(String name, Process process) throws Exception {
        return Files.writeString(folder.resolve(DEAD_LAB_PREFIX + name), process.pid() + " "
            + process.info().startInstant().orElseThrow().toEpochMilli() + "\n");
    }

    @Test
    void killsOrphansOfADeadLab() throws Exception {
        Process process = startSleepProcess();
        try {
            Path list = writeListOfDeadLab("a", process);
            ChildProcessRegistry registry = new ChildProcessRegistry(folder);
            assertEquals(List.of(process.pid()), registry.killOrphans());
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertFalse(Files.exists(list));
            assertEquals(List.of(), registry.killOrphans());
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void keepsProcessesOfARunningLab() throws Exception {
        Process process = startSleepProcess();
        try {
            ChildProcessRegistry registry = new ChildProcessRegistry(folder);
            registry.register(process.toHandle());
            assertEquals(List.of(), new ChildProcessRegistry(folder).killOrphans());
            assertTrue(process.isAlive());
            registry.deleteOwnList();
        } finally {
            process.destroyForcibly();
        }
    }

    /** Two labs start concurrently: both find the list of orphans, and one kills the orphans first. */
    @Test
    void toleratesListDeletedByAnotherLab() throws Exception {
        Process process = startSleepProcess();
        try {
            writeListOfDeadLab("a", process);
            ChildProcessRegistry first = new ChildProcessRegistry(folder),
                second = new ChildProcessRegistry(folder);
            List<Path> listsSeenByFirst = first.listsOfDeadLabs();
            assertEquals(1, listsSeenByFirst.size());
            assertEquals(List.of(process.pid()), second.killOrphans());
            assertEquals(List.of(), first.killOrphans(listsSeenByFirst.get(0)));
        } finally {
            process.destroyForcibly();
        }
    }
}
