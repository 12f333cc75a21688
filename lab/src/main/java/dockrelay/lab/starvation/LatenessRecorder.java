package dockrelay.lab.starvation;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Records how late one kind of the lab's actions was, in microseconds. One thread records while another one
 * reads.
 */
public final class LatenessRecorder {
    private final Recorder recorder = new Recorder(3);
    private final Histogram totalHistogram = new Histogram(3);

    /** Records a lateness in microseconds; negative values count as 0. */
    public void record(long latenessMicros) {
        recorder.recordValue(Math.max(0, latenessMicros));
    }

    /** The values recorded since the last call. */
    public synchronized Histogram takeInterval() {
        Histogram interval = recorder.getIntervalHistogram();
        totalHistogram.add(interval);
        return interval;
    }

    /** All values recorded so far. */
    public synchronized Histogram total() {
        takeInterval();
        return totalHistogram.copy();
    }
}
