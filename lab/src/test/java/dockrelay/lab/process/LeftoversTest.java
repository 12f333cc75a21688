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

/** What a lab that was killed has left is ended by the next one, and only once. */
class LeftoversTest {
    private static final String NOBODY = "lab-1-1-";

    @TempDir
    Path folder;

    private Process sleeper() throws Exception {
        return new ProcessBuilder("sleep", "600").start();
    }

    private Path left(String name, Process process) throws Exception {
        return Files.writeString(folder.resolve(NOBODY + name), process.pid() + " "
            + process.info().startInstant().orElseThrow().toEpochMilli() + "\n");
    }

    @Test
    void whatADeadLabLeftIsEnded() throws Exception {
        Process process = sleeper();
        try {
            Path file = left("a", process);
            ChildProcessRegistry next = new ChildProcessRegistry(folder);
            assertEquals(List.of(process.pid()), next.killOrphans());
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertFalse(Files.exists(file));
            assertEquals(List.of(), next.killOrphans());
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void whatALivingLabHasStartedStays() throws Exception {
        Process process = sleeper();
        try {
            ChildProcessRegistry own = new ChildProcessRegistry(folder);
            own.started(process.toHandle());
            assertEquals(List.of(), new ChildProcessRegistry(folder).killOrphans());
            assertTrue(process.isAlive());
            own.deleteOwnList();
        } finally {
            process.destroyForcibly();
        }
    }

    /** Two labs start at a time: both have seen the list, and the other one was first. */
    @Test
    void whatAnotherLabHasEndedMeanwhileIsNoError() throws Exception {
        Process process = sleeper();
        try {
            left("a", process);
            ChildProcessRegistry one = new ChildProcessRegistry(folder), other = new ChildProcessRegistry(folder);
            List<Path> seen = one.left();
            assertEquals(1, seen.size());
            assertEquals(List.of(process.pid()), other.killOrphans());
            assertEquals(List.of(), one.killOrphans(seen.get(0)));
        } finally {
            process.destroyForcibly();
        }
    }
}
