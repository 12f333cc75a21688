package dockrelay.lab.starvation;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What was counted since the look before, in microseconds: how late the lab's own acts were, what the cores
 * did that the lab may use, and what each process under test had.
 */
public record LoadSample(long atMicros, long lengthMicros, Histogram generatorLateness, Histogram emulatorLateness, Histogram clientsLateness,
                   CoreTime cores, List<ProcessSample> processes) {

    /**
     * One process. It serves once it has said that it can; the cores are those that it may run on.
     */
    public record ProcessSample(String proxy, long pid, boolean ready, ProcessorTime processorTime, CoreTime cores) {
    }

    /**
     * The worst lateness of the lab's loops, on which all else that it does waits. The generator's is not
     * among them: a client's time counts from when its request left.
     */
    long maxLoopLatenessMicros() {
        return Math.max(emulatorLateness.getMaxValue(), clientsLateness.getMaxValue());
    }
}
