package dockrelay.lab.starvation;

/**
 * How cores spent an interval, in microseconds: busy with threads of any process, or stolen, when the
 * hypervisor ran other virtual machines on them (steal time).
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
