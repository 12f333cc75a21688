package dockrelay.proxy;

import java.util.SplittableRandom;

/**
 * Decides when a proxy calls a discovery that it shares with its whole fleet, by how its own calls end. It is
 * a pure state machine: each event returns the wait until the next call.
 *
 * <p>Discovery serves one call after another, and also those whose caller has given up by then. Where a fleet
 * calls more often than that, each call waits until it has failed, its caller calls again, and none is
 * answered any more, for as long as they all go on so (congestion collapse). Waiting longer than needed is as
 * bad: what a broken answer had to say counts as known. So
 * <ul>
 * <li>an answer that broke off shows that discovery has room: the next call follows at once;
 * <li>a call that was refused at once has cost discovery nothing: exponential backoff with full jitter;
 * <li>a call that failed after a wait has met a queue: the next one comes an interval after it, and the
 * interval grows while that goes on;
 * <li>where many proxies may call for one reason, their calls are spread over the time that discovery needs
 * for all of them, estimated from the fastest answer so far.
 * </ul>
 * In a small fleet no interval is longer than a backoff's longest wait. Times are in milliseconds.
 */
final class CallPacing {
    /** Of the first interval, for each proxy of the fleet, up to the longest first interval. */
    static final long INTERVAL_PER_PROXY = 250;
    /** Shorter than {@link DiscoveryTimeouts#TOLD}: a call and its wait have to fit in as well. */
    static final long MAX_FIRST_INTERVAL = DiscoveryTimeouts.TOLD - 1_250;
    /** The longest interval, in first ones. */
    private static final int MAX_GROWTH = 8;
    /** Of an interval after the other while calls fail after a wait. */
    private static final double GROWTH = 2;
    /** An outage lets calls wait as well, and must not make its end late: so many failures do not count. */
    static final int FAILURES_BEFORE_GROWTH = 4;
    /** Parts of the first interval over which calls spread at the most, by why they are made. */
    private static final double START_PART = 0.88, RESET_PART = 0.7, CLOSED_PART = 0.25, SILENT_PART = 0.75,
        MOVED_PART = 0.7;
    /** This share of starting proxies calls at once: the queue has room for some, and a few are no crowd. */
    private static final double PROMPT_SHARE = 0.25;
    private static final long PROMPT = 250;
    /** Repeats come after one part of an interval at the least, and after the other at the most. */
    private static final double MIN_REPEAT_PART = 0.7, MAX_REPEAT_PART = 1.2;
    /** Multiples of them spread any run of numbers evenly, and independently of each other. */
    private static final double FIRST_STEP = (Math.sqrt(5) - 1) / 2, REPEAT_STEP = Math.sqrt(2) - 1;
    /** A call that ends sooner than that was refused, and has cost discovery no turn. */
    static final long REFUSED_WITHIN = 300;
    /** So many refused in a row are repeated soon; then they come an interval apart, as all others do. */
    static final int MAX_QUICK_REPEATS = 2;
    /** Discovery lets no call wait longer than some 2 s: one that broke off sooner was being answered. */
    static final long WAITED_OUT = 1_800;
    /** Where all calls together need no longer than a call may wait, they need not be spread. */
    private static final long QUEUE_TIME = 500;
    /** Proxies whose watches were cut by one fault do not call in the same millisecond. */
    static final long JITTER = 100;

    private final SplittableRandom random;
    private final Backoff refused;
    private final Backoff broken;
    private final int proxies;
    private final double firstSlot, repeatSlot; // this proxy's places where the calls of all are spread
    private final long firstInterval;
    private final boolean shared; // a fleet so large that its calls are spread over an interval
    private long fastestAnswer = Long.MAX_VALUE;
    private int waitedInVain; // calls in a row
    private int refusals; // at once, in a row
    private boolean answerLost; // of the call before, by the end of its connection

    /**
     * For the so manieth of a fleet of so many; no first interval is longer than the time within which the
     * settings want a call.
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

    /** Whether this decides on the first call too, and not the module, which knows one proxy alone. */
    boolean decidesFirstCall() {
        return shared;
    }

    /** After the start of a process: in a small fleet by when the module has to have made the first call. */
    long firstCall() {
        if (!shared) {
            return DiscoveryTimeouts.MOST_APART;
        }
        double place = place(firstSlot);
        return place < PROMPT_SHARE ? (long) (PROMPT * place / PROMPT_SHARE)
            : (long) (firstInterval * START_PART * (place - PROMPT_SHARE) / (1 - PROMPT_SHARE));
    }

    /** The first call of a process that takes over from one that still runs: what holds is due at once. */
    long firstCallOfSuccessor() {
        return spread(DiscoveryTimeouts.MOST_APART);
    }

    /** After an answer, or a watch, that ended in the middle: discovery answers, and has said more. */
    long afterBrokenAnswer() {
        return broken.next();
    }

    /**
     * After a watch has ended between two objects. Where discovery closed it in good order it is there, and
     * may have had more to say; where it was reset discovery may be away, and all other watches with it.
     */
    long afterEnd(boolean closed) {
        return shared ? spreadOverFleet(closed ? CLOSED_PART : RESET_PART) : broken.next();
    }

    /** After a watch has fallen silent: some of the time in which what it misses counts as known is over. */
    long afterSilence() {
        return shared ? spreadOverFleet(SILENT_PART) : 0;
    }

    /** As long as discovery is behind what it told before; all proxies may have noticed at once. */
    long whileBehind() {
        return DiscoveryTimeouts.TOLD - (shared ? spreadOverFleet(SILENT_PART) : 0);
    }

    /** After discovery has moved, of which all proxies are notified at once; the new one may be slower. */
    long afterMove() {
        fastestAnswer = Long.MAX_VALUE;
        return shared ? spreadOverFleet(MOVED_PART) : 0;
    }

    /**
     * After a call has begun, as long as it has no answer: then it is taken for dead, and another one begins
     * beside it. In a large fleet that one waits for its turn too, as the first may be waiting for its own.
     */
    long whileUnanswered() {
        return shared ? Math.max(DiscoveryTimeouts.ANSWER, nextInterval()) : DiscoveryTimeouts.ANSWER;
    }

    /**
     * After a call has failed that began so long ago, from which the wait is counted; by a refusal or by the
     * end of its connection.
     */
    long afterFailure(long sinceStart, boolean refusal) {
        boolean atOnce = sinceStart < REFUSED_WITHIN;
        if (!refusal && !atOnce && sinceStart < WAITED_OUT && !answerLost) {
            answerLost = true; // the next one says whether that is how discovery fails those that wait
            return afterBrokenAnswer();
        }
        waitedInVain += atOnce && waitedInVain == 0 ? 0 : 1;
        boolean quick = !shared || waitedInVain == 0 && refusals++ < MAX_QUICK_REPEATS;
        long apart = quick ? Math.min(refused.next(), DiscoveryTimeouts.MOST_APART) : nextInterval();
        return Math.max(0, apart - sinceStart);
    }

    /** From the begin of one call to that of the next. */
    private long nextInterval() {
        int growing = Math.max(0, waitedInVain - FAILURES_BEFORE_GROWTH);
        double grown = firstInterval * Math.min(MAX_GROWTH, Math.pow(GROWTH, growing));
        long interval = neededByFleet() <= DiscoveryTimeouts.TOLD ? firstInterval : (long) grown;
        double part = MIN_REPEAT_PART + (MAX_REPEAT_PART - MIN_REPEAT_PART) * place(repeatSlot);
        return (long) (interval * part);
    }

    /** The answer to a call has begun, so long after it. */
    void answered(long afterMillis) {
        fastestAnswer = Math.min(fastestAnswer, Math.max(1, afterMillis));
        waitedInVain = 0;
        answerLost = false;
    }

    /** An object has come whole. */
    void reset() {
        waitedInVain = refusals = 0;
        refused.reset();
        broken.reset();
    }

    /** Over the time that discovery needs for all proxies beyond what fits into its queue. */
    private long spreadOverFleet(double maxPart) {
        long longest = (long) (firstInterval * maxPart);
        long needed = neededByFleet() - QUEUE_TIME;
        return (long) (Math.min(longest, Math.max(JITTER, needed)) * place(firstSlot));
    }

    /** How long discovery needs to serve each proxy once, at the most. */
    private long neededByFleet() {
        return fastestAnswer > Long.MAX_VALUE / proxies ? Long.MAX_VALUE : proxies * fastestAnswer;
    }

    /** Where in an interval this proxy's calls are, from 0 to 1: evenly spread over any part of the fleet. */
    private double place(double slot) {
        return (slot + random.nextDouble() / proxies) % 1;
    }

    private long spread(long over) {
        return random.nextLong(over + 1);
    }
}
