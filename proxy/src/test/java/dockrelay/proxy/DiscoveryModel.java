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
    static final long MAX_QUEUE_MILLIS = 2_000;
    private static final long SUBSCRIBE_WITHIN_MILLIS = 10_000;
    private static final long START_SPREAD_MILLIS = 500;
    private static final long NETWORK_DELAY_MILLIS = 1;

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
    enum OutageMode { REFUSES, TIMES_OUT }

    /**
     * A fleet and its discovery service. {@code fleetServiceMillis} is the time to serve each proxy once;
     * calls beyond {@code maxQueuedCalls} are refused; {@code outageMillis} only applies to the outage
     * triggers; {@code truncatedAnswers} answers to each proxy are truncated before a complete one.
     */
    record Scenario(Trigger trigger, int fleetSize, long fleetServiceMillis, long outageMillis,
                    OutageMode outageMode, int maxQueuedCalls, int truncatedAnswers) {
        private static final long DEFAULT_OUTAGE_MILLIS = 8_000;
        private static final int DEFAULT_MAX_QUEUED_CALLS = 60;

        Scenario(Trigger trigger, int fleetSize, long fleetServiceMillis) {
            this(trigger, fleetSize, fleetServiceMillis, DEFAULT_OUTAGE_MILLIS, OutageMode.TIMES_OUT,
                DEFAULT_MAX_QUEUED_CALLS, 0);
        }

        Scenario withOutage(long millis, OutageMode mode) {
            return new Scenario(trigger, fleetSize, fleetServiceMillis, millis, mode, maxQueuedCalls,
                truncatedAnswers);
        }

        Scenario withMaxQueuedCalls(int calls) {
            return new Scenario(trigger, fleetSize, fleetServiceMillis, outageMillis, outageMode, calls,
                truncatedAnswers);
        }

        Scenario withTruncatedAnswers(int answers) {
            return new Scenario(trigger, fleetSize, fleetServiceMillis, outageMillis, outageMode,
                maxQueuedCalls, answers);
        }

        long callMillis() {
            return Math.max(1, fleetServiceMillis / fleetSize);
        }
    }

    /** An action that is due at a time of the virtual clock; events of the same time run in order. */
    private record Event(long timeMillis, long sequence, Runnable action) {
    }

    /** One call of a proxy. */
    private static final class Call {
        final long startMillis;
        boolean finished;

        Call(long startMillis) {
            this.startMillis = startMillis;
        }
    }

    /** The calls of one proxy, scheduled as in {@link DiscoveryClient}. */
    private final class Caller {
        final CallPacing pacing;
        final List<Call> pendingCalls = new ArrayList<>(); // unanswered calls
        long lastCallMillis, answeredAtMillis = -1;
        int timerGeneration, answersToTruncate;

        Caller(int proxyNumber, long seed) {
            pacing = new CallPacing(scenario.fleetSize, proxyNumber, SUBSCRIBE_WITHIN_MILLIS, seed);
            answersToTruncate = scenario.truncatedAnswers;
        }

        void scheduleCall(long delayMillis) {
            int generation = ++timerGeneration;
            schedule(delayMillis, () -> {
                if (generation == timerGeneration && answeredAtMillis < 0) {
                    startCall();
                }
            });
        }

        private void startCall() {
            lastCallMillis = nowMillis;
            callTimes.add(nowMillis);
            Call call = new Call(nowMillis);
            pendingCalls.add(call);
            schedule(MAX_QUEUE_MILLIS, () -> failCall(call, true));
            scheduleCall(pacing.answerTimeout());
            boolean down = nowMillis < downUntilMillis;
            if (down ? scenario.outageMode == OutageMode.REFUSES
                : queuedCalls.size() > scenario.maxQueuedCalls) {
                schedule(NETWORK_DELAY_MILLIS, this::failPendingCalls);
            } else if (!down) {
                queuedCalls.add(() -> answerCall(call));
                serveNext();
            }
        }

        /** A refusal applies to the caller: all its queued calls fail. */
        private void failPendingCalls() {
            List.copyOf(pendingCalls).forEach(pending -> failCall(pending, true));
        }

        private void failCall(Call call, boolean refused) {
            if (!call.finished && answeredAtMillis < 0) {
                call.finished = true;
                pendingCalls.remove(call);
                if (pendingCalls.isEmpty()) {
                    scheduleCall(pacing.waitAfterFailure(nowMillis - lastCallMillis, refused));
                }
            }
        }

        private void answerCall(Call call) {
            if (call.finished || answeredAtMillis >= 0) {
                return;
            }
            pacing.recordAnswer(nowMillis - call.startMillis);
            if (answersToTruncate-- > 0) {
                call.finished = true;
                pendingCalls.remove(call);
                scheduleCall(pacing.waitAfterTruncatedAnswer());
            } else {
                pacing.reset();
                answeredAtMillis = nowMillis;
            }
        }
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
        Comparator.comparingLong(Event::timeMillis).thenComparingLong(Event::sequence));
    private final Deque<Runnable> queuedCalls = new ArrayDeque<>();
    private final List<Caller> callers = new ArrayList<>();
    private final List<Long> callTimes = new ArrayList<>();
    private long nowMillis, nextSequence, downUntilMillis;
    private boolean serving;

    DiscoveryModel(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, nextSequence++, action));
    }

    /** Serves one call at a time, each for the same time. */
    private void serveNext() {
        if (!serving && !queuedCalls.isEmpty()) {
            serving = true;
            Runnable answer = queuedCalls.poll();
            schedule(scenario.callMillis(), () -> {
                serving = false;
                answer.run();
                serveNext();
            });
        }
    }

    /** Runs the simulation until this time after the trigger. */
    DiscoveryModel play(long durationMillis) {
        boolean isOutage = scenario.trigger == Trigger.OUTAGE || scenario.trigger == Trigger.OUTAGE_CLOSED;
        downUntilMillis = isOutage ? scenario.outageMillis : 0;
        int callerCount = switch (scenario.trigger) {
            case CLOSED_ONE, CUT_ONE -> 1;
            case START_MOST -> Math.max(1, scenario.fleetSize * 7 / 10);
            default -> scenario.fleetSize;
        };
        // A single proxy may be any of them, also the one with the last slot.
        int firstProxy = callerCount == 1 ? random.nextInt(scenario.fleetSize) : 0;
        for (int i = 0; i < callerCount; i++) {
            Caller caller = new Caller(firstProxy + i, random.nextLong());
            callers.add(caller);
            caller.scheduleCall(waitAfterTrigger(caller.pacing));
        }
        while (!events.isEmpty() && events.peek().timeMillis < downUntilMillis + durationMillis) {
            Event event = events.poll();
            nowMillis = event.timeMillis;
            event.action.run();
        }
        return this;
    }

    private long waitAfterTrigger(CallPacing pacing) {
        if (scenario.trigger != Trigger.MOVE && !scenario.trigger.name().startsWith("START")) {
            pacing.recordAnswer(scenario.callMillis()); // from the watch that it had before
        }
        return switch (scenario.trigger) {
            case OUTAGE, RESET -> pacing.waitAfterWatchEnd(false);
            case OUTAGE_CLOSED, CLOSED, CLOSED_ONE -> pacing.waitAfterWatchEnd(true);
            case START, START_MOST -> random.nextLong(START_SPREAD_MILLIS) + waitBeforeFirstCall(pacing);
            case SILENCE -> DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS
                - random.nextLong(DiscoveryTimeouts.HEARTBEAT_INTERVAL_MILLIS)
                + pacing.waitAfterSilence();
            case MOVE -> pacing.waitAfterMove();
            case CUT, CUT_ONE -> pacing.waitAfterTruncatedAnswer();
        };
    }

    /**
     * In a small fleet the balancer requests the first call, within a fifth of the time allowed for calls.
     */
    private long waitBeforeFirstCall(CallPacing pacing) {
        return pacing.schedulesFirstCall() ? pacing.waitBeforeFirstCall()
            : Math.min(pacing.waitBeforeFirstCall(), random.nextLong(SUBSCRIBE_WITHIN_MILLIS / 5));
    }

    /** Time from the trigger, or from the end of the outage, until the last proxy has its list. */
    long lastAnswerMillis() {
        long lastMillis = 0;
        for (Caller caller : callers) {
            lastMillis = Math.max(lastMillis, caller.answeredAtMillis < 0 ? Long.MAX_VALUE / 2
                : caller.answeredAtMillis);
        }
        return lastMillis - downUntilMillis;
    }

    /** Number of calls started between two times after the trigger. */
    long offered(long fromMillis, long toMillis) {
        return callTimes.stream().filter(callMillis -> callMillis >= downUntilMillis + fromMillis
            && callMillis < downUntilMillis + toMillis).count();
    }
}
