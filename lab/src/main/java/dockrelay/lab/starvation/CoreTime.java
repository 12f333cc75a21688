package dockrelay.lab.starvation;

/**
 * What cores did over a time, in microseconds: how long they were busy with anybody's threads, and how long
 * they were not there at all, as the host had given them to others (steal).
 */
public record CoreTime(long busy, long stolen) {
    public static final CoreTime NONE = new CoreTime(0, 0);

    public CoreTime and(CoreTime other) {
        return new CoreTime(busy + other.busy, stolen + other.stolen);
    }

    CoreTime less(CoreTime other) {
        return new CoreTime(busy - other.busy, stolen - other.stolen);
    }
}
