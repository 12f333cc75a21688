package dockrelay.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates the calls of a whole fleet on a virtual clock, to a discovery service that serves one call at a
 * time, including those that have timed out in its queue. Times are in milliseconds.
 */
final class DiscoveryModel {
    static final long MAX_WAIT = 2_000;
    private static final long ASK_WITHIN = 10_000;
    private static final long START_SPREAD = 500;
    private static final long NETWORK = 1;

    /** The event that makes proxies call. */
    enum Trigger {
        /**
         * Discovery was down and comes back with changes; all watches were reset, or closed in good order.
         */
        OUTAGE, OUTAGE_CLOSED,
        /** All proxies, or seven in ten, start within half a second. */
        START, START_MOST,
        /** All watches fall silent within one heartbeat interval; times count from the silence. */
        SILENCE,
        /** Discovery moves, and all proxies are notified at once. */
        MOVE,
        /** All watches are reset between two objects. */
        RESET,
        /** All watches, or that of a single proxy, are closed between two objects. */
        CLOSED, CLOSED_ONE,
        /** All watches, or that of a single proxy, break in the middle of an object. */
        CUT, CUT_ONE
    }

    /** How calls fail while discovery is down: refused at once, or timed out. */
    enum Away { REFUSES, LETS_WAIT }

    /**
     * A fleet and its discovery service. {@code wholeFleet} is the time to serve each proxy once; calls
     * beyond {@code maxQueue} pending ones are refused; {@code outage} only applies to the outage triggers;
     * {@code cutAnswers} answers to each proxy are truncated before a complete one.
     */
    record Scenario(Trigger trigger, int fleet, long wholeFleet, long outage, Away away, int maxQueue,
                    int cutAnswers) {
        private static final long USUAL_OUTAGE = 8_000;
        private static final int USUAL_QUEUE = 60;

        Scenario(Trigger trigger, int fleet, long wholeFleet) {
            this(trigger, fleet, wholeFleet, USUAL_OUTAGE, Away.LETS_WAIT, USUAL_QUEUE, 0);
        }

        Scenario withOutage(long millis, Away how) {
            return new Scenario(trigger, fleet, wholeFleet, millis, how, maxQueue, cutAnswers);
        }

        Scenario withQueue(int calls) {
            return new Scenario(trigger, fleet, wholeFleet, outage, away, calls, cutAnswers);
        }

        Scenario withCutAnswers(int answers) {
            return new Scenario(trigger, fleet, wholeFleet, outage, away, maxQueue, answers);
        }

        long callTime() {
            return Math.max(1, wholeFleet / fleet);
        }
    }

    private record Event(long at, long order, Runnable action) {
    }

    private static final class Call {
        final long beganAt;
        boolean over;

        Call(long beganAt) {
            this.beganAt = beganAt;
        }
    }

    /** The calls of one proxy, scheduled as in {@link Discovery}. */
    private final class Caller {
        final CallPacing pacing;
        final List<Call> open = new ArrayList<>(); // unanswered calls
        long beganAt, answeredAt = -1;
        int round, answersToCut;

        Caller(int number, long seed) {
            pacing = new CallPacing(scenario.fleet, number, ASK_WITHIN, seed);
            answersToCut = scenario.cutAnswers;
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
            offered.add(now);
            Call call = new Call(now);
            open.add(call);
            after(MAX_WAIT, () -> fail(call, true));
            callIn(pacing.whileUnanswered());
            boolean down = now < downUntil;
            if (down ? scenario.away == Away.REFUSES : queue.size() > scenario.maxQueue) {
                after(NETWORK, this::refuse);
            } else if (!down) {
                queue.add(() -> answer(call));
                serve();
            }
        }

        /** A refusal applies to the caller: all its queued calls fail. */
        private void refuse() {
            List.copyOf(open).forEach(each -> fail(each, true));
        }

        private void fail(Call call, boolean refusal) {
            if (!call.over && answeredAt < 0) {
                call.over = true;
                open.remove(call);
                if (open.isEmpty()) {
                    callIn(pacing.afterFailure(now - beganAt, refusal));
                }
            }
        }

        private void answer(Call call) {
            if (call.over || answeredAt >= 0) {
                return;
            }
            pacing.answered(now - call.beganAt);
            if (answersToCut-- > 0) {
                call.over = true;
                open.remove(call);
                callIn(pacing.afterBrokenAnswer());
            } else {
                pacing.reset();
                answeredAt = now;
            }
        }
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
        Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final List<Caller> callers = new ArrayList<>();
    private final List<Long> offered = new ArrayList<>();
    private long now, order, downUntil;
    private boolean serving;

    DiscoveryModel(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    private void after(long wait, Runnable action) {
        events.add(new Event(now + wait, order++, action));
    }

    /** Serves one call at a time, each for the same time. */
    private void serve() {
        if (!serving && !queue.isEmpty()) {
            serving = true;
            Runnable answer = queue.poll();
            after(scenario.callTime(), () -> {
                serving = false;
                answer.run();
                serve();
            });
        }
    }

    /** Runs the simulation until this time after the trigger. */
    DiscoveryModel play(long until) {
        boolean outage = scenario.trigger == Trigger.OUTAGE || scenario.trigger == Trigger.OUTAGE_CLOSED;
        downUntil = outage ? scenario.outage : 0;
        int affected = switch (scenario.trigger) {
            case CLOSED_ONE, CUT_ONE -> 1;
            case START_MOST -> Math.max(1, scenario.fleet * 7 / 10);
            default -> scenario.fleet;
        };
        // A single proxy may be any of them, also the one with the last slot.
        int first = affected == 1 ? random.nextInt(scenario.fleet) : 0;
        for (int i = 0; i < affected; i++) {
            Caller caller = new Caller(first + i, random.nextLong());
            callers.add(caller);
            caller.callIn(firstWait(caller.pacing));
        }
        while (!events.isEmpty() && events.peek().at < downUntil + until) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        return this;
    }

    private long firstWait(CallPacing pacing) {
        if (scenario.trigger != Trigger.MOVE && !scenario.trigger.name().startsWith("START")) {
            pacing.answered(scenario.callTime()); // from the watch that it had before
        }
        return switch (scenario.trigger) {
            case OUTAGE, RESET -> pacing.afterEnd(false);
            case OUTAGE_CLOSED, CLOSED, CLOSED_ONE -> pacing.afterEnd(true);
            case START, START_MOST -> random.nextLong(START_SPREAD) + firstCall(pacing);
            case SILENCE -> DiscoveryTimeouts.SILENT - random.nextLong(DiscoveryTimeouts.HEARTBEAT)
                + pacing.afterSilence();
            case MOVE -> pacing.afterMove();
            case CUT, CUT_ONE -> pacing.afterBrokenAnswer();
        };
    }

    /**
     * In a small fleet the balancer requests the first call, within a fifth of the time allowed for calls.
     */
    private long firstCall(CallPacing pacing) {
        return pacing.decidesFirstCall() ? pacing.firstCall()
            : Math.min(pacing.firstCall(), random.nextLong(ASK_WITHIN / 5));
    }

    /** Time from the trigger, or from the end of the outage, until the last proxy has its list. */
    long lastAnswer() {
        long last = 0;
        for (Caller caller : callers) {
            last = Math.max(last, caller.answeredAt < 0 ? Long.MAX_VALUE / 2 : caller.answeredAt);
        }
        return last - downUntil;
    }

    /** Number of calls started between two times after the trigger. */
    long offered(long from, long to) {
        return offered.stream().filter(at -> at >= downUntil + from && at < downUntil + to).count();
    }
}
