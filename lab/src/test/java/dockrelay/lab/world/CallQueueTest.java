package dockrelay.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Calls that have failed were dropped from discovery's queue, so that a fleet could not overrun it. */
class CallQueueTest {
    private static final long SECOND = 1_000_000, COST = SECOND / 10, MAX_WAIT = SECOND;

    @Test
    void callsAreServedOneAfterAnother() {
        CallQueue queue = new CallQueue(MAX_WAIT);
        assertEquals(new CallQueue.Turn(COST, true), queue.take(0, COST));
        assertEquals(new CallQueue.Turn(2 * COST, true), queue.take(0, COST));
        assertEquals(new CallQueue.Turn(COST, true), queue.take(SECOND, COST), "it is idle again by then");
    }

    @Test
    void aCallThatHasFailedKeepsItsPlace() {
        CallQueue queue = new CallQueue(MAX_WAIT);
        for (int i = 0; i < 30; i++) {
            assertEquals(i <= 10, queue.take(0, COST).served(), "call " + i);
        }
        CallQueue.Turn behindThem = queue.take(SECOND, COST);
        assertEquals(new CallQueue.Turn(MAX_WAIT, false), behindThem);
        assertTrue(queue.take(3 * SECOND, COST).served());
    }

    @Test
    void callsThatComeFasterThanTheyAreServedAreNotServedAnyMore() {
        CallQueue queue = new CallQueue(MAX_WAIT);
        int served = 0;
        for (int i = 0; i < 1_000; i++) {
            served += queue.take(i * COST / 2, COST).served() ? 1 : 0;
        }
        assertTrue(served < 50, served + " served");
    }
}
