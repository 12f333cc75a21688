package dockrelay.lab.world;

/** The world's time: microseconds from its making, on the steady clock, and what the wall clock says then. */
public final class Clock {
    private final long start = System.nanoTime();
    private final long wallMillis = System.currentTimeMillis();

    public long nowMicros() {
        return (System.nanoTime() - start) / 1000;
    }

    /** Unix time in milliseconds at that moment. */
    public long unixMillis(long at) {
        return wallMillis + at / 1000;
    }
}
