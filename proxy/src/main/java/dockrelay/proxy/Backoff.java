package dockrelay.proxy;

import java.util.SplittableRandom;

/**
 * Exponential backoff with full jitter: each wait is uniformly distributed between 0 and a bound that
 * doubles up to a maximum. Without jitter, proxies that were killed together would retry in step.
 */
final class Backoff {
    private final long firstBoundMillis, maxBoundMillis;
    private final SplittableRandom random;
    private long boundMillis;

    Backoff(long firstBoundMillis, long maxBoundMillis, long seed) {
        this.firstBoundMillis = firstBoundMillis;
        this.maxBoundMillis = maxBoundMillis;
        this.random = new SplittableRandom(seed);
        this.boundMillis = firstBoundMillis;
    }

    /** Returns the next wait and doubles the bound. */
    long nextWait() {
        long waitMillis = random.nextLong(boundMillis + 1);
        boundMillis = Math.min(maxBoundMillis, boundMillis * 2);
        return waitMillis;
    }

    /** Resets the bound after a success. */
    void reset() {
        boundMillis = firstBoundMillis;
    }
}
