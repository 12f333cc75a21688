package dockrelay.lab.world;

/**
 * The lab's clock: microseconds since its creation on the monotonic clock, and the matching wall-clock time.
 */
public final class Clock {
    private final long startNanos = System.nanoTime();
    private final long startUnixMillis = System.currentTimeMillis();

    public long nowMicros() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    /** Converts a time of this clock in microseconds to Unix time in milliseconds. */
    public long unixMillis(long micros) {
        return startUnixMillis + micros / 1000;
    }
}
