package dockrelay.lab.starvation;

/**
 * What cores did over a time, in microseconds: how long they were busy with anybody's threads, and how long
 * they were not there at all, as the host had given them to others (steal).
 */
public record CoreTime(long busyMicros, long stolenMicros) {
    public static final CoreTime ZERO = new CoreTime(0, 0);

    public CoreTime plus(CoreTime other) {
        return new CoreTime(busyMicros + other.busyMicros, stolenMicros + other.stolenMicros);
    }

    CoreTime minus(CoreTime other) {
        return new CoreTime(busyMicros - other.busyMicros, stolenMicros - other.stolenMicros);
    }
}
