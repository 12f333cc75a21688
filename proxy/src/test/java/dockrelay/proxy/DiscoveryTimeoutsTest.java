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
    private enum OutageMode {
        REFUSED(1), ERROR_STATUS(1_000), NO_CONNECTION(DiscoveryTimeouts.CONNECT_TIMEOUT_MILLIS),
        NO_ANSWER(Integer.MAX_VALUE);

        final int failureMillis;

        OutageMode(int failureMillis) {
            this.failureMillis = failureMillis;
        }
    }

    /**
     * Simulates the calls of {@link DiscoveryClient}: the next one starts one answer timeout after a call
     * without an answer, or after a random wait if the call failed. Returns the start of the first call at
     * or after the given time.
     */
    private static long firstCallFrom(long returnMillis, OutageMode outageMode, SplittableRandom random) {
        Backoff backoff = new Backoff(DiscoveryTimeouts.FIRST_BACKOFF_MILLIS,
            DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS, random.nextLong());
        long startMillis = 0;
        while (startMillis < returnMillis) {
            long nextStartMillis = startMillis + DiscoveryTimeouts.ANSWER_TIMEOUT_MILLIS;
            if (outageMode.failureMillis < DiscoveryTimeouts.ANSWER_TIMEOUT_MILLIS) {
                nextStartMillis = startMillis + outageMode.failureMillis
                    + DiscoveryTimeouts.remainingWait(outageMode.failureMillis, backoff.nextWait());
            }
            startMillis = Math.max(startMillis + 1, nextStartMillis);
        }
        return startMillis;
    }

    @Test
    void listArrivesInTimeAfterOutageOfAnyKind() {
        SplittableRandom random = new SplittableRandom(5);
        for (OutageMode outageMode : OutageMode.values()) {
            for (int i = 0; i < 20_000; i++) {
                long returnMillis = 1 + random.nextLong(30_000);
                long startMillis = firstCallFrom(returnMillis, outageMode, random);
                // This call has no answer, and the connection beside it comes up late.
                long callMillis = startMillis + DiscoveryTimeouts.STANDBY_DELAY_MILLIS
                    + DiscoveryTimeouts.MAX_CONNECT_DELAY_MILLIS;
                assertTrue(callMillis + DiscoveryTimeouts.minCallMillis() - returnMillis
                    <= DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS,
                    outageMode + ": called " + (callMillis - returnMillis) + " ms after discovery came back");
            }
        }
    }

    @Test
    void delaysLeaveTimeForCall() {
        assertTrue(DiscoveryTimeouts.minCallMillis() >= 900, DiscoveryTimeouts.minCallMillis()
            + " ms left for the call");
        assertTrue(DiscoveryTimeouts.MAX_CALL_INTERVAL_MILLIS >= DiscoveryTimeouts.STANDBY_DELAY_MILLIS,
            "a slow call must not be abandoned because of a shorter maximum wait");
    }
}
