package dockrelay.lab.starvation;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * One sample of the machine's load, in microseconds since the previous sample: how late the lab's own actions
 * were, the times of the cores that the lab may use, and the CPU time of each process under test.
 */
public record LoadSample(long atMicros, long lengthMicros, Histogram generatorLateness,
                         Histogram emulatorLateness, Histogram clientsLateness, CoreTime cores,
                         List<ProcessSample> processes) {

    /**
     * The sample of one process: whether it has reported ready to serve, its CPU time, and the times of the
     * cores that it may run on.
     */
    public record ProcessSample(String proxy, long pid, boolean ready, ProcessorTime processorTime,
        CoreTime cores) {
    }

    /**
     * The maximum lateness of the lab's event loops, which delays everything else that the lab does. Lateness
     * of the load generator is excluded: a client's timeout starts when its request is actually sent.
     */
    long maxLoopLatenessMicros() {
        return Math.max(emulatorLateness.getMaxValue(), clientsLateness.getMaxValue());
    }
}
