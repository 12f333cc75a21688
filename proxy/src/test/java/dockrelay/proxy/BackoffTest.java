package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests the bounds and the jitter of the exponential backoff. */
class BackoffTest {
    @Test
    void waitsStayBelowDoublingBoundUntilReset() {
        Backoff backoff = new Backoff(50, 1_000, 7);
        for (int i = 0; i < 40; i++) {
            long waitMillis = backoff.nextWait();
            assertTrue(waitMillis >= 0 && waitMillis <= Math.min(1_000, 50L << Math.min(i, 10)),
                i + ": wait in ms is " + waitMillis);
        }
        backoff.reset();
        assertTrue(backoff.nextWait() <= 50);
    }

    @Test
    void seedsSpreadFirstWaitOverItsBound() {
        long[] waitsMillis = LongStream.range(0, 200).map(seed -> new Backoff(1_000, 1_000, seed).nextWait())
            .sorted().toArray();
        assertTrue(waitsMillis[0] < 100 && waitsMillis[199] > 900,
            waitsMillis[0] + " ms shortest, longest " + waitsMillis[199]);
        assertEquals(new Backoff(1_000, 1_000, 3).nextWait(), new Backoff(1_000, 1_000, 3).nextWait());
    }
}
