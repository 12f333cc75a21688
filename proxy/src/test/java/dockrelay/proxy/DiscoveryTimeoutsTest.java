package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Checks that all delays between the return of discovery and the list add up to less than the time after
 * which changes count as known.
 */
class DiscoveryTimeoutsTest {
    /** How a call ends while discovery is down, and after how many milliseconds. */
    private enum Away {
        REFUSED(1), TURNED_AWAY(1_000), NO_CONNECTION(DiscoveryTimeouts.CONNECT),
        NOTHING_SAID(Integer.MAX_VALUE);

        final int millis;

        Away(int millis) {
            this.millis = millis;
        }
    }

    /**
     * Simulates the calls of Discovery: the next one starts ANSWER ms after a call without an answer, or
     * after a random wait if the call failed. Returns the start of the first call at or after the given
     * time.
     */
    private static long firstTryFrom(long back, Away away, SplittableRandom random) {
        Backoff backoff = new Backoff(DiscoveryTimeouts.FIRST_APART, DiscoveryTimeouts.MOST_APART,
            random.nextLong());
        long begins = 0;
        while (begins < back) {
            long next = begins + DiscoveryTimeouts.ANSWER;
            if (away.millis < DiscoveryTimeouts.ANSWER) {
                next = begins + away.millis + DiscoveryTimeouts.after(away.millis, backoff.next());
            }
            begins = Math.max(begins + 1, next);
        }
        return begins;
    }

    @Test
    void afterAnOutageTheListIsReadInTimeHoweverTheCallsBeforeHaveEnded() {
        SplittableRandom random = new SplittableRandom(5);
        for (Away away : Away.values()) {
            for (int i = 0; i < 20_000; i++) {
                long back = 1 + random.nextLong(30_000);
                long begins = firstTryFrom(back, away, random);
                // This call has no answer, and the connection beside it comes up late.
                long asked = begins + DiscoveryTimeouts.BESIDE + DiscoveryTimeouts.LATE_CONNECTION;
                assertTrue(asked + DiscoveryTimeouts.call() - back <= DiscoveryTimeouts.TOLD,
                    away + ": called " + (asked - back) + " ms after discovery came back");
            }
        }
    }

    @Test
    void eachOfTheSumsLeavesTimeForTheCall() {
        assertTrue(DiscoveryTimeouts.call() >= 900, DiscoveryTimeouts.call() + " ms left for the call");
        assertTrue(DiscoveryTimeouts.MOST_APART >= DiscoveryTimeouts.BESIDE,
            "a slow call must not be abandoned because of a shorter maximum wait");
    }
}
