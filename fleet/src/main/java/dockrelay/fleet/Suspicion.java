package dockrelay.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * A suspicion that a member has failed. Its time-out shrinks with the number of members that report the same
 * independently (Lifeguard). Times are in microseconds.
 */
final class Suspicion {
    private final Set<Integer> accusers = new HashSet<>();
    private final long minDuration, maxDuration;
    private final int maxConfirmations;
    private long startedAt;

    Suspicion(long now, int accuser, int maxConfirmations, long minDuration, long maxDuration) {
        this.startedAt = now;
        this.maxConfirmations = maxConfirmations;
        this.minDuration = minDuration;
        this.maxDuration = maxDuration;
        accusers.add(accuser);
    }

    /** Records an accuser; returns whether it is a new one that still shortens the time-out. */
    boolean addAccuser(int accuser) {
        return accusers.size() <= maxConfirmations && accusers.add(accuser);
    }

    /** Returns when the suspicion times out; {@code multiplier} is from the local health. */
    long timeoutAt(int multiplier) {
        double progress = maxConfirmations == 0 ? 0.75
            : Math.log(Math.min(accusers.size(), maxConfirmations + 1)) / Math.log(maxConfirmations + 1.0);
        return startedAt + multiplier * Math.max(minDuration,
            Math.round(maxDuration - (maxDuration - minDuration) * progress));
    }

    /** Whether it is so recent that the suspect has hardly had the time to refute it. */
    boolean isRecent(long now) {
        return now - startedAt < minDuration;
    }

    /** Extends the suspicion by a time in which no refutation could have arrived. */
    void extend(long duration) {
        startedAt += duration;
    }
}
