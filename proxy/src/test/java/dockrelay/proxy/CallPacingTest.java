package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The calls of a whole fleet on a virtual clock, to a discovery that serves one call after another, also
 * those that have failed by then for having waited too long. Times are in milliseconds.
 */
class CallPacingTest {
    private static final long ASK_WITHIN = 10_000, MAX_WAIT = 2_000, GRACE = 1_500;
    private static final long END = 40_000;
    private static final int MAX_QUEUE = 60; // what comes on top is refused at once
    private static final int SEEDS = 50;

    /** What makes all proxies, or most of them, call at about the same time. */
    private enum Trigger {
        /** Discovery is down for 8 s, and comes back with changes. */
        OUTAGE(DiscoveryTimeouts.TOLD + GRACE),
        /** All start within half a second. */
        START(DiscoveryTimeouts.TOLD + GRACE),
        /** All watches fall silent within a heartbeat; counted from the silence. */
        SILENCE(DiscoveryTimeouts.TOLD + GRACE),
        /** Discovery moves, and all are notified at once. */
        MOVE(DiscoveryTimeouts.TOLD_MOVED + GRACE);

        final long limit;

        Trigger(long limit) {
            this.limit = limit;
        }
    }

    private record Event(long at, long order, Runnable action) {
    }

    /** One proxy's calls, as {@link Discovery} makes them. */
    private final class Caller {
        final CallPacing pacing;
        final List<boolean[]> open = new ArrayList<>(); // calls that wait; set once they have failed
        long beganAt, answeredAt = -1;
        int round;

        Caller(int fleet, long seed) {
            pacing = new CallPacing(fleet, ASK_WITHIN, seed);
        }

        void callIn(long wait) {
            int mine = ++round;
            after(wait, () -> {
                if (mine == round && answeredAt < 0) {
                    call();
                }
            });
        }

        private void call() {
            beganAt = now;
            boolean[] over = new boolean[1];
            open.add(over);
            after(MAX_WAIT, () -> fail(over));
            callIn(pacing.whileUnanswered());
            if (now >= downUntil && queue.size() > MAX_QUEUE) {
                after(1, () -> fail(over));
            } else if (now >= downUntil) {
                queue.add(() -> answer(over));
                serve();
            }
        }

        private void fail(boolean[] call) {
            if (!call[0] && answeredAt < 0) {
                call[0] = true;
                open.remove(call);
                if (open.isEmpty()) {
                    callIn(pacing.afterFailure(now - beganAt));
                }
            }
        }

        private void answer(boolean[] call) {
            if (!call[0] && answeredAt < 0) {
                answeredAt = now;
            }
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(
        Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private long now, order, downUntil, callTime;
    private boolean serving;

    private void after(long wait, Runnable action) {
        events.add(new Event(now + wait, order++, action));
    }

    /** One call at a time, each for as long as any other. */
    private void serve() {
        if (!serving && !queue.isEmpty()) {
            serving = true;
            Runnable answer = queue.poll();
            after(callTime, () -> {
                serving = false;
                answer.run();
                serve();
            });
        }
    }

    /** How long after the trigger, or after discovery's return, the last proxy has its list. */
    private long lastAnswer(int fleet, Trigger trigger, long wholeFleet, long seed) {
        events.clear();
        queue.clear();
        now = order = 0;
        serving = false;
        callTime = wholeFleet / fleet;
        downUntil = trigger == Trigger.OUTAGE ? 8_000 : 0;
        SplittableRandom random = new SplittableRandom(seed);
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < fleet; i++) {
            Caller caller = new Caller(fleet, random.nextLong());
            callers.add(caller);
            caller.callIn(switch (trigger) {
                case OUTAGE -> caller.pacing.afterEnd();
                case START -> random.nextLong(500)
                    + caller.pacing.firstCall();
                case SILENCE -> DiscoveryTimeouts.SILENT - random.nextLong(DiscoveryTimeouts.HEARTBEAT)
                    + caller.pacing.afterSilence();
                case MOVE -> caller.pacing.afterMove();
            });
        }
        while (!events.isEmpty() && events.peek().at < END) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        long last = 0;
        for (Caller caller : callers) {
            last = Math.max(last, caller.answeredAt < 0 ? END : caller.answeredAt);
        }
        return last - downUntil;
    }

    /** With discovery that could serve the whole fleet in this time, if each proxy called once. */
    @ParameterizedTest
    @CsvSource({"OUTAGE,24,4000", "OUTAGE,100,5000", "START,24,4000", "START,100,5000", "SILENCE,24,4000",
        "SILENCE,100,5000", "MOVE,24,4000", "MOVE,100,5000"})
    void allOfAFleetHaveTheListInTime(Trigger trigger, int fleet, long wholeFleet) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            long last = lastAnswer(fleet, trigger, wholeFleet, seed);
            assertTrue(last <= trigger.limit, "seed " + seed + ": the last list after " + last + " ms");
        }
    }

    /** A handful of proxies does not wait for an interval. */
    @Test
    void aSmallFleetBacksOffExponentially() {
        CallPacing pacing = new CallPacing(8, ASK_WITHIN, 3);
        assertEquals(0, pacing.afterSilence());
        assertEquals(0, pacing.afterMove());
        for (int i = 0; i < 100; i++) {
            long wait = pacing.afterFailure(0);
            assertTrue(wait <= Math.min(DiscoveryTimeouts.FIRST_APART << Math.min(i, 10),
                DiscoveryTimeouts.MOST_APART),
                i + ": " + wait);
        }
        assertEquals(0, pacing.afterFailure(DiscoveryTimeouts.MOST_APART), "counted from the call's begin");
    }

    /** A call that is refused by chance now and then is not one of a crowd; many in a row are. */
    @Test
    void aCallThatIsRefusedAtOnceIsRepeatedSoonButNotForEver() {
        CallPacing pacing = new CallPacing(100, ASK_WITHIN, 3);
        for (int i = 0; i < CallPacing.MAX_QUICK_REPEATS; i++) {
            assertTrue(pacing.afterFailure(15) <= DiscoveryTimeouts.FIRST_APART << i);
        }
        assertTrue(pacing.afterFailure(15) >= CallPacing.MAX_INTERVAL / 2);
        pacing.reset();
        assertTrue(pacing.afterFailure(MAX_WAIT) >= CallPacing.MAX_INTERVAL / 2 - MAX_WAIT, "it had waited");
        pacing.reset();
        assertTrue(pacing.afterFailure(15) <= DiscoveryTimeouts.FIRST_APART, "counted anew after an answer");
    }

    /** Settings that want a call sooner than that are kept. */
    @Test
    void noWaitIsMuchLongerThanTheSettingsAllow() {
        CallPacing pacing = new CallPacing(100, 1_000, 3);
        for (int i = 0; i < 100; i++) {
            assertTrue(pacing.afterEnd() <= 1_000 && pacing.afterFailure(0) <= 1_000);
        }
    }
}
