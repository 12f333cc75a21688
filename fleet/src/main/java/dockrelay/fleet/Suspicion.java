package dockrelay.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * A suspicion that a member has failed. Its time-out shrinks with the number of members that report the same
 * independently (Lifeguard). Times are in microseconds.
 */
final class Suspicion {
    private final Set<Integer> accusers = new HashSet<>();
    private final long least, most;
    private final int wanted;
    private long began;

    Suspicion(long now, int accuser, int wanted, long least, long most) {
        this.began = now;
        this.wanted = wanted;
        this.least = least;
        this.most = most;
        accusers.add(accuser);
    }

    /** Records an accuser; returns whether it is a new one that still shortens the time-out. */
    boolean confirm(int accuser) {
        return accusers.size() <= wanted && accusers.add(accuser);
    }

    /** Returns when the suspicion times out; {@code stretch} multiplies the duration (local health). */
    long until(int stretch) {
        double share = wanted == 0 ? 0.75 : Math.log(Math.min(accusers.size(), wanted + 1)) / Math.log(wanted
            + 1.0);
        return began + stretch * Math.max(least, Math.round(most - (most - least) * share));
    }

    /** Whether it is so recent that the suspect has hardly had the time to refute it. */
    boolean young(long now) {
        return now - began < least;
    }

    /** Extends the suspicion by a time in which no refutation could have arrived. */
    void delay(long by) {
        began += by;
    }
}
