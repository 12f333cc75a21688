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
 * Verifies with real processes on one core that a process waiting for the core is told from a stopped one. At
 * least these two share the core, so other load can only make the waiting process wait longer.
 */
class SchedulerStatsOfProcessesTest {
    private static final int CORE = 0;
    private static final long MIN_TIME_MICROS = 200_000;

    private final List<Process> startedProcesses = new ArrayList<>();

    private Process startSpinningProcess() throws Exception {
        Process process = new ProcessBuilder("/bin/sh", "-c", "while :; do :; done").start();
        startedProcesses.add(process);
        SystemCalls.pin(process.pid(), CORE);
        return process;
    }

    @AfterEach
    void killProcesses() throws Exception {
        for (Process process : startedProcesses) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Sums up the times of a process until the condition holds. */
    private static ProcessorTime accumulateUntil(SchedulerStats stats, Predicate<ProcessorTime> condition)
        throws Exception {
        ProcessorTime sum = ProcessorTime.ZERO;
        while (!condition.test(sum)) {
            TimeUnit.MILLISECONDS.sleep(5);
            sum = sum.plus(stats.takeInterval());
        }
        return sum;
    }

    private static String processState(Process process) throws Exception {
        String stat = Files.readString(Path.of("/proc", String.valueOf(process.pid()), "stat"));
        return stat.substring(stat.lastIndexOf(')') + 2, stat.lastIndexOf(')') + 3);
    }

    @Test
    void countsWaitsOfRunnableButNotOfStoppedProcesses() throws Exception {
        Process stoppedProcess = startSpinningProcess(), runningProcess = startSpinningProcess();
        SchedulerStats stoppedStats = new SchedulerStats(stoppedProcess.pid()),
            runningStats = new SchedulerStats(runningProcess.pid());
        stoppedStats.takeInterval();
        runningStats.takeInterval();
        ProcessorTime timesBeforeStop = accumulateUntil(stoppedStats,
            sum -> sum.waitedMicros() >= MIN_TIME_MICROS);
        assertTrue(timesBeforeStop.ranMicros() > 0, timesBeforeStop.toString());

        SystemCalls.signal(stoppedProcess.pid(), "STOP");
        while (!processState(stoppedProcess).equals("T")) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        stoppedStats.takeInterval();
        runningStats.takeInterval();
        // the core is busy in the meantime
        accumulateUntil(runningStats, sum -> sum.ranMicros() >= MIN_TIME_MICROS);
        assertEquals(ProcessorTime.ZERO, stoppedStats.takeInterval());

        SystemCalls.signal(stoppedProcess.pid(), "CONT");
        accumulateUntil(stoppedStats, sum -> sum.waitedMicros() >= MIN_TIME_MICROS);
    }
}
