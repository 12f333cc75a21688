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
    static final long INTERVAL_PER_PROXY = 250;
    /**
     * Shorter than {@link DiscoveryTimeouts#TOLD}, because a call and its wait in the queue have to fit in
     * as well.
     */
    static final long MAX_FIRST_INTERVAL = DiscoveryTimeouts.TOLD - 1_250;
    /** Maximum interval, as a multiple of the first interval. */
    private static final int MAX_GROWTH = 8;
    /** Factor from one interval to the next while calls fail after a wait. */
    private static final double GROWTH = 2;
    /**
     * Calls also wait during an outage, which must not delay the first call after its end: this many
     * failures do not lengthen the interval.
     */
    static final int FAILURES_BEFORE_GROWTH = 4;
    /**
     * Maximum window over which calls are spread, as a fraction of the first interval, by reason for the
     * call.
     */
    private static final double START_PART = 0.88, RESET_PART = 0.7, CLOSED_PART = 0.25, SILENT_PART = 0.75,
        MOVED_PART = 0.7;
    /**
     * This fraction of starting proxies calls almost at once: the queue has room for some, and a few
     * proxies do not overload discovery.
     */
    private static final double PROMPT_SHARE = 0.25;
    private static final long PROMPT = 250;
    /** Repeated calls are at least and at most this fraction of an interval apart. */
    private static final double MIN_REPEAT_PART = 0.7, MAX_REPEAT_PART = 1.2;
    /**
     * Multiples of these irrational steps, modulo 1, spread any range of proxy numbers evenly and
     * independently of each other.
     */
    private static final double FIRST_STEP = (Math.sqrt(5) - 1) / 2, REPEAT_STEP = Math.sqrt(2) - 1;
    /** A call that ends sooner than this was refused and did not occupy discovery. */
    static final long REFUSED_WITHIN = 300;
    /**
     * This many refusals in a row are retried soon; after that, calls are an interval apart like all
     * others.
     */
    static final int MAX_QUICK_REPEATS = 2;
    /**
     * Discovery lets no call wait longer than about 2 s: a call that was cut off sooner was being answered.
     */
    static final long WAITED_OUT = 1_800;
    /**
     * If discovery can serve the calls of all proxies within the time that a call may wait, they need not
     * be spread.
     */
    private static final long QUEUE_TIME = 500;
    /** Keeps proxies whose watches were cut by the same fault from calling in the same millisecond. */
    static final long JITTER = 100;

    private final SplittableRandom random;
    private final Backoff refused;
    private final Backoff broken;
    private final int proxies;
    // this proxy's positions in the windows over which the fleet's calls are spread
    private final double firstSlot, repeatSlot;
    private final long firstInterval;
    // whether the fleet is so large that its calls are spread over an interval
    private final boolean shared;
    private long fastestAnswer = Long.MAX_VALUE;
    private int waitedInVain; // consecutive calls that failed after a wait
    private int refusals; // consecutive calls refused at once
    private boolean answerLost; // whether the previous call failed because its connection ended

    /**
     * Creates the pacing for one proxy of a fleet, given the size of the fleet, the number of this proxy in
     * it, and the time within which the settings require a call, which caps the first interval (0 or less:
     * no cap).
     */
    CallPacing(int proxies, int number, long askWithin, long seed) {
        this.proxies = proxies;
        this.firstSlot = number * FIRST_STEP % 1;
        this.repeatSlot = number * REPEAT_STEP % 1;
        long longest = askWithin <= 0 ? MAX_FIRST_INTERVAL : Math.min(askWithin, MAX_FIRST_INTERVAL);
        firstInterval = Math.min(longest, proxies * INTERVAL_PER_PROXY);
        shared = firstInterval > DiscoveryTimeouts.MOST_APART;
        long maxBackoff = Math.min(longest, DiscoveryTimeouts.MOST_APART);
        refused = new Backoff(Math.min(maxBackoff, DiscoveryTimeouts.FIRST_APART), maxBackoff, seed);
        broken = new Backoff(Math.min(maxBackoff, JITTER), maxBackoff, seed);
        random = new SplittableRandom(seed);
    }

    /**
     * Whether this class also schedules the first call, instead of the balancer, which knows of this proxy
     * alone.
     */
    boolean decidesFirstCall() {
        return shared;
    }

    /**
     * Wait after the start of a process. In a small fleet: the latest time of the first call if the
     * balancer has not requested one by then.
     */
    long firstCall() {
        if (!shared) {
            return DiscoveryTimeouts.MOST_APART;
        }
        double place = place(firstSlot);
        return place < PROMPT_SHARE ? (long) (PROMPT * place / PROMPT_SHARE)
            : (long) (firstInterval * START_PART * (place - PROMPT_SHARE) / (1 - PROMPT_SHARE));
    }

    /**
     * Wait of a process that takes over from one that still runs. The list it starts with stays valid
     * meanwhile, so a short spread is enough.
     */
    long firstCallOfSuccessor() {
        return spread(DiscoveryTimeouts.MOST_APART);
    }

    /**
     * Wait after an answer or a watch that ended in the middle of an object: discovery is answering and has
     * sent more than was received.
     */
    long afterBrokenAnswer() {
        return broken.next();
    }

    /**
     * Wait after a watch has ended between two objects. If discovery closed it in good order, discovery is
     * up and may have had more to send; if it was reset, discovery may be down, and all other watches with
     * it.
     */
    long afterEnd(boolean closed) {
        return shared ? spreadOverFleet(closed ? CLOSED_PART : RESET_PART) : broken.next();
    }

    /**
     * Wait after a watch has fallen silent. Part of the time after which the changes it misses count as
     * known has already passed.
     */
    long afterSilence() {
        return shared ? spreadOverFleet(SILENT_PART) : 0;
    }

    /**
     * Wait while discovery returns an older version than before. All proxies may have noticed that at once.
     */
    long whileBehind() {
        return DiscoveryTimeouts.TOLD - (shared ? spreadOverFleet(SILENT_PART) : 0);
    }

    /**
     * Wait after discovery has moved to another address. All proxies are notified at once, and the new
     * instance may be slower.
     */
    long afterMove() {
        fastestAnswer = Long.MAX_VALUE;
        return shared ? spreadOverFleet(MOVED_PART) : 0;
    }

    /**
     * How long a call may remain unanswered before it is taken for dead and another one starts beside it.
     * In a large fleet the second call also waits for its slot, because the first one may still be queued.
     */
    long whileUnanswered() {
        return shared ? Math.max(DiscoveryTimeouts.ANSWER, nextInterval()) : DiscoveryTimeouts.ANSWER;
    }

    /**
     * Wait after a failed call, counted from the start of that call, {@code sinceStart} ms ago. {@code
     * refusal} tells whether discovery refused the call or its connection ended.
     */
    long afterFailure(long sinceStart, boolean refusal) {
        boolean atOnce = sinceStart < REFUSED_WITHIN;
        if (!refusal && !atOnce && sinceStart < WAITED_OUT && !answerLost) {
            answerLost = true; // the next failure tells whether discovery drops queued calls this way
            return afterBrokenAnswer();
        }
        waitedInVain += atOnce && waitedInVain == 0 ? 0 : 1;
        boolean quick = !shared || waitedInVain == 0 && refusals++ < MAX_QUICK_REPEATS;
        long apart = quick ? Math.min(refused.next(), DiscoveryTimeouts.MOST_APART) : nextInterval();
        return Math.max(0, apart - sinceStart);
    }

    /** Interval between the starts of two consecutive calls. */
    private long nextInterval() {
        int growing = Math.max(0, waitedInVain - FAILURES_BEFORE_GROWTH);
        double grown = firstInterval * Math.min(MAX_GROWTH, Math.pow(GROWTH, growing));
        long interval = neededByFleet() <= DiscoveryTimeouts.TOLD ? firstInterval : (long) grown;
        double part = MIN_REPEAT_PART + (MAX_REPEAT_PART - MIN_REPEAT_PART) * place(repeatSlot);
        return (long) (interval * part);
    }

    /** The answer to a call has begun, this many milliseconds after the call. */
    void answered(long afterMillis) {
        fastestAnswer = Math.min(fastestAnswer, Math.max(1, afterMillis));
        waitedInVain = 0;
        answerLost = false;
    }

    /** A complete object has been received. */
    void reset() {
        waitedInVain = refusals = 0;
        refused.reset();
        broken.reset();
    }

    /**
     * Spreads the calls over the time that discovery needs for all proxies beyond what fits into its queue.
     */
    private long spreadOverFleet(double maxPart) {
        long longest = (long) (firstInterval * maxPart);
        long needed = neededByFleet() - QUEUE_TIME;
        return (long) (Math.min(longest, Math.max(JITTER, needed)) * place(firstSlot));
    }

    /** Upper bound of the time that discovery needs to serve each proxy once. */
    private long neededByFleet() {
        return fastestAnswer > Long.MAX_VALUE / proxies ? Long.MAX_VALUE : proxies * fastestAnswer;
    }

    /**
     * This proxy's position in an interval, from 0 to 1. Positions are evenly spread over any subset of the
     * fleet.
     */
    private double place(double slot) {
        return (slot + random.nextDouble() / proxies) % 1;
    }

    private long spread(long over) {
        return random.nextLong(over + 1);
    }
}
