package dockrelay.proxy;

import java.util.SplittableRandom;

/**
 * Waits between tries that fail: bounded by a figure that doubles up to a most, and anywhere below it (full
 * jitter), as proxies that were killed together would else call together.
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

    /** How long to wait this time. */
    long next() {
        long wait = random.nextLong(bound + 1);
        bound = Math.min(most, bound * 2);
        return wait;
    }

    /** A try went well. */
    void reset() {
        bound = first;
    }
}
