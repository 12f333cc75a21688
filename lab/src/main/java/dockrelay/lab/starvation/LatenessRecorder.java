package dockrelay.lab.starvation;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** How late one kind of the lab's acts was, in microseconds: told by one thread, asked by another. */
public final class LatenessRecorder {
    private final Recorder recorder = new Recorder(3);
    private final Histogram all = new Histogram(3);

    public void record(long micros) {
        recorder.recordValue(Math.max(0, micros));
    }

    /** Since the question before. */
    public synchronized Histogram since() {
        Histogram result = recorder.getIntervalHistogram();
        all.add(result);
        return result;
    }

    /** From the start. */
    public synchronized Histogram total() {
        since();
        return all.copy();
    }
}
