package dockrelay.lab.starvation;

/**
 * The scheduler's times of a process over an interval, summed over its threads, in microseconds: running,
 * and runnable but waiting for a core; and the longest wait of a single thread. A thread that sleeps or is
 * stopped counts as neither.
 */
public record ProcessorTime(long ranMicros, long waitedMicros, long longestWaitMicros) {
    public static final ProcessorTime ZERO = new ProcessorTime(0, 0, 0);

    /**
     * Upper bound of the delay of a single piece of work due to waits for a core: the sum of all threads'
     * waits if the work passed from thread to thread, but no more than the interval, or than the longest
     * wait, which may have begun before the interval.
     */
    long maxSequentialWaitMicros(long intervalMicros) {
        return Math.min(waitedMicros, Math.max(intervalMicros, longestWaitMicros));
    }

    public ProcessorTime plus(ProcessorTime other) {
        return new ProcessorTime(ranMicros + other.ranMicros, waitedMicros + other.waitedMicros,
            Math.max(longestWaitMicros, other.longestWaitMicros));
    }
}
