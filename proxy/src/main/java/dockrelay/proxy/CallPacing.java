package dockrelay.proxy;

import java.util.SplittableRandom;

/**
 * Decides when a proxy calls a discovery service that its whole fleet shares, from the outcome of its own
 * calls. A pure state machine: each event returns the wait until the next call. All times are in
 * milliseconds.
 *
 * <p>Discovery serves one call at a time, including calls whose caller has already given up. If a fleet
 * calls faster than discovery serves, every call waits in the queue until it times out, its caller calls
 * again, and no call is answered as long as the callers keep that up (congestion collapse). Waiting longer
 * than necessary is as harmful, because the content of a truncated answer counts as known to the proxy as
 * soon as it was written. Therefore:
 * <ul>
 * <li>a truncated answer shows that discovery has capacity: the next call follows at once;
 * <li>a call that was refused at once cost discovery nothing: exponential backoff with full jitter;
 * <li>a call that failed after a wait has met a queue: the next call starts one interval after it, and the
 * interval grows while that continues;
 * <li>where many proxies may call for the same reason, their calls are spread over the time that discovery
 * needs to serve all of them, estimated from the fastest answer so far.
 * </ul>
 * In a small fleet no interval is longer than the maximum wait of the backoff.
 */
final class CallPacing {
    /**
     * Share of each proxy of the fleet in the first interval, which is capped at the maximum first
     * interval.
     */
    static final long INTERVAL_PER_PROXY_MILLIS = 250;
    /**
     * Shorter than the delivery deadline, because a call and its wait in the queue have to fit in as well.
     */
    static final long MAX_FIRST_INTERVAL_MILLIS = DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS - 1_250;
    /** Maximum interval, as a multiple of the first interval. */
    private static final int MAX_INTERVAL_FACTOR = 8;
    /** Factor from one interval to the next while calls fail after a wait. */
    private static final double INTERVAL_GROWTH_FACTOR = 2;
    /**
     * Calls also wait during an outage, which must not delay the first call after its end: this many
     * failures do not lengthen the interval.
     */
    static final int FAILURES_BEFORE_GROWTH = 4;
    /**
     * Maximum window over which calls are spread, as a fraction of the first interval, by reason for the
     * call.
     */
    private static final double START_SPREAD_FRACTION = 0.88, RESET_SPREAD_FRACTION = 0.7,
        CLOSED_SPREAD_FRACTION = 0.25, SILENCE_SPREAD_FRACTION = 0.75, MOVE_SPREAD_FRACTION = 0.7;
    /**
     * This fraction of starting proxies calls almost at once: the queue has room for some, and a few
     * proxies do not overload discovery.
     */
    private static final double IMMEDIATE_START_FRACTION = 0.25;
    private static final long IMMEDIATE_START_WINDOW_MILLIS = 250;
    /** Repeated calls are at least and at most this fraction of an interval apart. */
    private static final double MIN_REPEAT_FRACTION = 0.7, MAX_REPEAT_FRACTION = 1.2;
    /**
     * Multiples of these irrational steps, modulo 1, spread any range of proxy numbers evenly and
     * independently of each other.
     */
    private static final double FIRST_CALL_STEP = (Math.sqrt(5) - 1) / 2, REPEAT_CALL_STEP = Math.sqrt(2) - 1;
    /** A call that ends sooner than this was refused and did not occupy discovery. */
    static final long IMMEDIATE_REFUSAL_MILLIS = 300;
    /**
     * This many refusals in a row are retried soon; after that, calls are an interval apart like all
     * others.
     */
    static final int MAX_QUICK_RETRIES = 2;
    /**
     * Discovery lets no call wait longer than about 2 s: a call that was cut off sooner was being answered.
     */
    static final long MIN_QUEUE_TIMEOUT_MILLIS = 1_800;
    /**
     * If discovery can serve the calls of all proxies within the time that a call may wait, they need not
     * be spread.
     */
    private static final long QUEUE_CAPACITY_MILLIS = 500;
    /** Keeps proxies whose watches were cut by the same fault from calling in the same millisecond. */
    static final long JITTER_MILLIS = 100;

    private final SplittableRandom random;
    private final Backoff refusalBackoff;
    private final Backoff truncationBackoff;
    private final int proxyCount;
    // this proxy's positions in the windows over which the fleet's calls are spread
    private final double firstCallSlot, repeatCallSlot;
    private final long firstIntervalMillis;
    // whether the fleet is so large that its calls are spread over an interval
    private final boolean largeFleet;
    private long fastestAnswerMillis = Long.MAX_VALUE;
    private int failuresAfterWait; // consecutive calls that failed after a wait
    private int immediateRefusals; // consecutive calls refused at once
    private boolean previousAnswerLost; // whether the previous call failed because its connection ended

    /**
     * Creates the pacing for one proxy of a fleet, given the size of the fleet, the number of this proxy in
     * it, and the time within which the settings require a call, which caps the first interval (0 or less:
     * no cap).
     */
    CallPacing(int proxyCount, int proxyNumber, long subscribeWithinMillis, long seed) {
        this.proxyCount = proxyCount;
        this.firstCallSlot = proxyNumber * FIRST_CALL_STEP % 1;
        this.repeatCallSlot = proxyNumber * REPEAT_CALL_STEP % 1;
        long maxIntervalMillis = subscribeWithinMillis <= 0 ? MAX_FIRST_INTERVAL_MILLIS
            : Math.min(subscribeWithinMillis, MAX_FIRST_INTERVAL_MILLIS);
        firstIntervalMillis = Math.min(maxIntervalMillis, proxyCount * INTERVAL_PER_PROXY_MILLIS);
        largeFleet = firstIntervalMillis > DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS;
        long maxBackoffMillis = Math.min(maxIntervalMillis, DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS);
        refusalBackoff = new Backoff(Math.min(maxBackoffMillis, DiscoveryTimeouts.FIRST_BACKOFF_MILLIS),
            maxBackoffMillis, seed);
        truncationBackoff = new Backoff(Math.min(maxBackoffMillis, JITTER_MILLIS), maxBackoffMillis, seed);
        random = new SplittableRandom(seed);
    }

    /**
     * Whether this class also schedules the first call, instead of the balancer, which knows of this proxy
     * alone.
     */
    boolean schedulesFirstCall() {
        return largeFleet;
    }

    /**
     * Wait after the start of a process. In a small fleet: the latest time of the first call if the
     * balancer has not requested one by then.
     */
    long waitBeforeFirstCall() {
        if (!largeFleet) {
            return DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS;
        }
        double position = slotPosition(firstCallSlot);
        return position < IMMEDIATE_START_FRACTION
            ? (long) (IMMEDIATE_START_WINDOW_MILLIS * position / IMMEDIATE_START_FRACTION)
            : (long) (firstIntervalMillis * START_SPREAD_FRACTION * (position - IMMEDIATE_START_FRACTION)
                / (1 - IMMEDIATE_START_FRACTION));
    }

    /**
     * Wait before the first call of a process that takes over from one that still runs. It has to know the
     * current list at once, so the calls are spread over a short time only.
     */
    long waitBeforeFirstCallOfSuccessor() {
        return randomWait(DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS);
    }

    /**
     * Wait after an answer or a watch that ended in the middle of an object: discovery is answering and has
     * sent more than was received.
     */
    long waitAfterTruncatedAnswer() {
        return truncationBackoff.nextWait();
    }

    /**
     * Wait after a watch has ended between two objects. If discovery closed it in good order, discovery is
     * up and may have had more to send; if it was reset, discovery may be down, and all other watches with
     * it.
     */
    long waitAfterWatchEnd(boolean closedInOrder) {
        return largeFleet ? spreadOverFleet(closedInOrder ? CLOSED_SPREAD_FRACTION : RESET_SPREAD_FRACTION)
            : truncationBackoff.nextWait();
    }

    /**
     * Wait after a watch has fallen silent. Part of the time after which the changes it misses count as
     * known has already passed.
     */
    long waitAfterSilence() {
        return largeFleet ? spreadOverFleet(SILENCE_SPREAD_FRACTION) : 0;
    }

    /**
     * Wait while discovery returns an older version than before. All proxies may have noticed that at once.
     */
    long waitWhileOutdated() {
        return DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS
            - (largeFleet ? spreadOverFleet(SILENCE_SPREAD_FRACTION) : 0);
    }

    /**
     * Wait after discovery has moved to another address. All proxies are notified at once, and the new
     * instance may be slower.
     */
    long waitAfterMove() {
        fastestAnswerMillis = Long.MAX_VALUE;
        return largeFleet ? spreadOverFleet(MOVE_SPREAD_FRACTION) : 0;
    }

    /**
     * How long a call may remain unanswered before it is considered dead and another one starts beside it.
     * In a large fleet the second call also waits for its slot, because the first one may still be queued.
     */
    long answerTimeout() {
        return largeFleet ? Math.max(DiscoveryTimeouts.ANSWER_TIMEOUT_MILLIS, nextInterval())
            : DiscoveryTimeouts.ANSWER_TIMEOUT_MILLIS;
    }

    /**
     * Wait after a failed call, counted from the start of that call, {@code sinceStartMillis} ago. {@code
     * refused} tells whether discovery refused the call; otherwise its connection ended.
     */
    long waitAfterFailure(long sinceStartMillis, boolean refused) {
        boolean immediate = sinceStartMillis < IMMEDIATE_REFUSAL_MILLIS;
        if (!refused && !immediate && sinceStartMillis < MIN_QUEUE_TIMEOUT_MILLIS && !previousAnswerLost) {
            previousAnswerLost = true; // the next failure tells whether discovery drops queued calls this way
            return waitAfterTruncatedAnswer();
        }
        failuresAfterWait += immediate && failuresAfterWait == 0 ? 0 : 1;
        boolean retriesSoon = !largeFleet
            || failuresAfterWait == 0 && immediateRefusals++ < MAX_QUICK_RETRIES;
        long intervalMillis = retriesSoon
            ? Math.min(refusalBackoff.nextWait(), DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS)
            : nextInterval();
        return Math.max(0, intervalMillis - sinceStartMillis);
    }

    /** Interval between the starts of two consecutive calls. */
    private long nextInterval() {
        int growthSteps = Math.max(0, failuresAfterWait - FAILURES_BEFORE_GROWTH);
        double grownMillis = firstIntervalMillis * Math.min(MAX_INTERVAL_FACTOR,
            Math.pow(INTERVAL_GROWTH_FACTOR, growthSteps));
        long intervalMillis = fleetServiceMillis() <= DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS
            ? firstIntervalMillis : (long) grownMillis;
        double fraction = MIN_REPEAT_FRACTION + (MAX_REPEAT_FRACTION - MIN_REPEAT_FRACTION)
            * slotPosition(repeatCallSlot);
        return (long) (intervalMillis * fraction);
    }

    /** The answer to a call has begun, this many milliseconds after the call. */
    void recordAnswer(long latencyMillis) {
        fastestAnswerMillis = Math.min(fastestAnswerMillis, Math.max(1, latencyMillis));
        failuresAfterWait = 0;
        previousAnswerLost = false;
    }

    /** Resets all backoff, after a complete object or a change of discovery's address. */
    void reset() {
        failuresAfterWait = immediateRefusals = 0;
        refusalBackoff.reset();
        truncationBackoff.reset();
    }

    /**
     * Spreads the calls over the time that discovery needs for all proxies beyond what fits into its queue.
     */
    private long spreadOverFleet(double maxFraction) {
        long maxMillis = (long) (firstIntervalMillis * maxFraction);
        long neededMillis = fleetServiceMillis() - QUEUE_CAPACITY_MILLIS;
        return (long) (Math.min(maxMillis, Math.max(JITTER_MILLIS, neededMillis))
            * slotPosition(firstCallSlot));
    }

    /** Upper bound of the time that discovery needs to serve each proxy once. */
    private long fleetServiceMillis() {
        return fastestAnswerMillis > Long.MAX_VALUE / proxyCount ? Long.MAX_VALUE
            : proxyCount * fastestAnswerMillis;
    }

    /**
     * This proxy's position in an interval, from 0 to 1. Positions are evenly spread over any subset of the
     * fleet.
     */
    private double slotPosition(double slot) {
        return (slot + random.nextDouble() / proxyCount) % 1;
    }

    private long randomWait(long maxMillis) {
        return random.nextLong(maxMillis + 1);
    }
}
