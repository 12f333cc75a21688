package dockrelay.lab.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.starvation.ProcessorTime;
import dockrelay.lab.starvation.SchedulerStats;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Real processes on one core: one that has to wait for the other one is told from one that is stopped. The
 * core is shared by these two at the least, so that no other load can make the one that waits not wait.
 */
class ProcessorTimeOfProcessesTest {
    private static final int CORE = 0;
    private static final long ENOUGH = 200_000;

    private final List<Process> started = new ArrayList<>();

    private Process spinning() throws Exception {
        Process process = new ProcessBuilder("/bin/sh", "-c", "while :; do :; done").start();
        started.add(process);
        Native.pin(process.pid(), CORE);
        return process;
    }

    @AfterEach
    void endAll() throws Exception {
        for (Process process : started) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Adds up what it counts until that is so. */
    private static ProcessorTime until(SchedulerStats counts, Predicate<ProcessorTime> enough) throws Exception {
        ProcessorTime sum = ProcessorTime.NONE;
        while (!enough.test(sum)) {
            TimeUnit.MILLISECONDS.sleep(5);
            sum = sum.and(counts.since());
        }
        return sum;
    }

    private static String state(Process process) throws Exception {
        String stat = Files.readString(Path.of("/proc", String.valueOf(process.pid()), "stat"));
        return stat.substring(stat.lastIndexOf(')') + 2, stat.lastIndexOf(')') + 3);
    }

    @Test
    void whoSharesACoreWaitsAndWhoIsStoppedDoesNot() throws Exception {
        Process one = spinning(), other = spinning();
        SchedulerStats ofOne = new SchedulerStats(one.pid()), ofOther = new SchedulerStats(other.pid());
        ofOne.since();
        ofOther.since();
        ProcessorTime shared = until(ofOne, sum -> sum.waited() >= ENOUGH);
        assertTrue(shared.ran() > 0, shared.toString());

        Native.signal(one.pid(), "STOP");
        while (!state(one).equals("T")) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        ofOne.since();
        ofOther.since();
        until(ofOther, sum -> sum.ran() >= ENOUGH); // the core is in use all that time
        assertEquals(ProcessorTime.NONE, ofOne.since());

        Native.signal(one.pid(), "CONT");
        until(ofOne, sum -> sum.waited() >= ENOUGH);
    }
}
