package dockrelay.lab.starvation;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** How late one kind of the lab's acts was, in microseconds: told by one thread, asked by another. */
public final class LatenessRecorder {
    private final Recorder recorder = new Recorder(3);
    private final Histogram totalHistogram = new Histogram(3);

    public void record(long latenessMicros) {
        recorder.recordValue(Math.max(0, latenessMicros));
    }

    /** Since the question before. */
    public synchronized Histogram takeInterval() {
        Histogram interval = recorder.getIntervalHistogram();
        totalHistogram.add(interval);
        return interval;
    }

    /** From the start. */
    public synchronized Histogram total() {
        takeInterval();
        return totalHistogram.copy();
    }
}
