package dockrelay.fleet;

/** How fast members watch each other. All follows from the period, in microseconds. */
public record ProtocolTiming(long period) {
    public static final ProtocolTiming DEFAULT = new ProtocolTiming(200_000);

    public ProtocolTiming {
        if (period < 10_000) {
            throw new IllegalArgumentException("a period of " + period + " us is under 10 ms");
        }
    }

    /** An answer that comes later than this is asked for through helpers. */
    long direct() {
        return period * 2 / 5;
    }

    /** The least and the most that a suspicion lasts among so many. */
    long suspicionLeast(int members) {
        return Math.round(2.2 * period * Math.max(1, Math.log10(members)));
    }

    long suspicionMost(int members) {
        return 3 * suspicionLeast(members);
    }

    /** One that was never heard of counts as gone after this. */
    long joining() {
        return 50 * period;
    }

    /** Past this age a member's word says nothing any more. */
    public long wordStale() {
        return 20 * period;
    }

    /** What a member holds counts as steady once it has not changed for this long: well over the age of a
     * word. */
    public long steady() {
        return 30 * period;
    }

    /** What was computed from words may be acted on for this long: the rest is for clocks that differ. */
    public long standingStale() {
        return (steady() - wordStale()) * 4 / 5;
    }
}
