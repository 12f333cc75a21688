package dockrelay.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against failed calls being dropped from the queue: they would cost nothing, and a fleet of proxies
 * could not overload the emulated discovery service.
 */
class CallQueueTest {
    private static final long SECOND_MICROS = 1_000_000, SERVICE_MICROS = SECOND_MICROS / 10,
        MAX_WAIT_MICROS = SECOND_MICROS;

    @Test
    void callsAreServedOneAtATime() {
        CallQueue queue = new CallQueue(MAX_WAIT_MICROS);
        assertEquals(new CallQueue.CallOutcome(SERVICE_MICROS, true), queue.enqueue(0, SERVICE_MICROS));
        assertEquals(new CallQueue.CallOutcome(2 * SERVICE_MICROS, true), queue.enqueue(0, SERVICE_MICROS));
        assertEquals(new CallQueue.CallOutcome(SERVICE_MICROS, true),
            queue.enqueue(SECOND_MICROS, SERVICE_MICROS),
            "the queue is empty again, so the call does not wait");
    }

    @Test
    void failedCallStaysInTheQueue() {
        CallQueue queue = new CallQueue(MAX_WAIT_MICROS);
        for (int i = 0; i < 30; i++) {
            assertEquals(i <= 10, queue.enqueue(0, SERVICE_MICROS).served(), "call " + i);
        }
        CallQueue.CallOutcome laterCall = queue.enqueue(SECOND_MICROS, SERVICE_MICROS);
        assertEquals(new CallQueue.CallOutcome(MAX_WAIT_MICROS, false), laterCall);
        assertTrue(queue.enqueue(3 * SECOND_MICROS, SERVICE_MICROS).served());
    }

    @Test
    void mostCallsFailUnderSustainedOverload() {
        CallQueue queue = new CallQueue(MAX_WAIT_MICROS);
        int served = 0;
        for (int i = 0; i < 1_000; i++) {
            served += queue.enqueue(i * SERVICE_MICROS / 2, SERVICE_MICROS).served() ? 1 : 0;
        }
        assertTrue(served < 50, served + " calls served under overload, expected fewer than 50");
    }
}
