package dockrelay.proxy;

import java.util.SplittableRandom;

/**
 * Decides when a proxy calls a discovery that it shares with its whole fleet. Discovery serves one call after
 * another, and also those whose caller has given up by then. Where a fleet calls more often than that, each
 * call waits until it has failed, its caller calls again, and none is answered any more, for as long as they
 * all go on so (congestion collapse). So each proxy of a fleet calls once in an interval that grows with the
 * fleet, from its first call on, at a moment of its own. In a small fleet, where the interval would be no
 * longer than a backoff's longest wait, each backs off exponentially. Times are in milliseconds.
 */
final class CallPacing {
    /**
     * Of the interval, for each proxy of the fleet: four calls a second of all, up to the longest interval.
     */
    static final long INTERVAL_PER_PROXY = 250;
    /** Shorter than {@link DiscoveryTimeouts#TOLD}: a call and its wait have to fit in as well. */
    static final long MAX_INTERVAL = DiscoveryTimeouts.TOLD - 1_000;
    /** Parts of an interval over which calls spread that are due sooner than others. */
    private static final double SILENT_PART = 0.7, MOVED_PART = 0.75;
    /** Repeats come after this part of an interval at the least, and as much later than one at the most. */
    private static final double MIN_REPEAT_PART = 0.75;
    /** A call that ends sooner than that was refused, and has cost discovery no turn. */
    static final long REFUSED_WITHIN = 300;
    /** So many refused in a row are repeated after a backoff: one that fails by chance must not cost 5 s. */
    static final int MAX_QUICK_REPEATS = 2;

    private final SplittableRandom random;
    private final Backoff backoff;
    private final long interval;
    private final boolean shared; // a fleet so large that its calls are spread over an interval
    private int failures; // in a row

    /** For a fleet of so many; no wait is longer than the time within which the settings want a call. */
    CallPacing(int proxies, long askWithin, long seed) {
        long longest = askWithin <= 0 ? MAX_INTERVAL : Math.min(askWithin, MAX_INTERVAL);
        interval = Math.min(longest, proxies * INTERVAL_PER_PROXY);
        shared = interval > DiscoveryTimeouts.MOST_APART;
        long longestBackoff = Math.min(longest, DiscoveryTimeouts.MOST_APART);
        backoff = new Backoff(Math.min(longestBackoff, DiscoveryTimeouts.FIRST_APART), longestBackoff, seed);
        random = new SplittableRandom(seed);
    }

    /** Whether this decides on the first call too, and not the module, which knows one proxy alone. */
    boolean decidesFirstCall() {
        return shared;
    }

    /** After the start of a process: in a small fleet by when the module has to have made the first call. */
    long firstCall() {
        return shared ? spread(interval) : DiscoveryTimeouts.MOST_APART;
    }

    /** The first call of a process that takes over from one that still runs: what holds is due at once. */
    long firstCallOfSuccessor() {
        return spread(DiscoveryTimeouts.MOST_APART);
    }

    /** After a watch has ended: those of all proxies may have ended with it. */
    long afterEnd() {
        return shared ? spread(interval) : backoff.next();
    }

    /** After a watch has fallen silent: some of the time in which what it misses counts as known is over. */
    long afterSilence() {
        return shared ? spread((long) (interval * SILENT_PART)) : 0;
    }

    /** After discovery has moved, of which all proxies are notified at once. */
    long afterMove() {
        return shared ? spread((long) (interval * MOVED_PART)) : 0;
    }

    /**
     * After a call has begun, as long as it has no answer: then it is taken for dead, and another one begins
     * beside it. In a large fleet that one waits for its turn too, as the first may be waiting for its own.
     */
    long whileUnanswered() {
        return shared ? Math.max(DiscoveryTimeouts.ANSWER, nextInterval()) : DiscoveryTimeouts.ANSWER;
    }

    /** After a call has failed that began so long ago: the wait is counted from its begin. */
    long afterFailure(long sinceStart) {
        failures++;
        if (!shared || sinceStart < REFUSED_WITHIN && failures <= MAX_QUICK_REPEATS) {
            return DiscoveryTimeouts.after(sinceStart, backoff.next());
        }
        return Math.max(0, nextInterval() - sinceStart);
    }

    /** From the begin of one call to that of the next. */
    private long nextInterval() {
        long least = (long) (interval * MIN_REPEAT_PART);
        return least + spread(2 * (interval - least));
    }

    /** A call was answered. */
    void reset() {
        failures = 0;
        backoff.reset();
    }

    private long spread(long over) {
        return random.nextLong(over + 1);
    }
}
