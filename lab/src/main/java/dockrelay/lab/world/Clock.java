package dockrelay.lab.world;

/** The world's time: microseconds from its making, on the steady clock, and what the wall clock says then. */
public final class Clock {
    private final long startNanos = System.nanoTime();
    private final long startUnixMillis = System.currentTimeMillis();

    public long nowMicros() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    /** Unix time in milliseconds at that moment. */
    public long unixMillis(long micros) {
        return startUnixMillis + micros / 1000;
    }
}
