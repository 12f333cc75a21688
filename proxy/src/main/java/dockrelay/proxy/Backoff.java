package dockrelay.proxy;

import java.util.SplittableRandom;

/**
 * Exponential backoff with full jitter: each wait is uniformly distributed between 0 and a bound that
 * doubles up to a maximum. Without jitter, proxies that were killed together would retry in step.
 */
final class Backoff {
    private final long first, most;
    private final SplittableRandom random;
    private long bound;

    Backoff(long first, long most, long seed) {
        this.first = first;
        this.most = most;
        this.random = new SplittableRandom(seed);
        this.bound = first;
    }

    /** Returns the next wait and doubles the bound. */
    long next() {
        long wait = random.nextLong(bound + 1);
        bound = Math.min(most, bound * 2);
        return wait;
    }

    /** Resets the bound after a success. */
    void reset() {
        bound = first;
    }
}
