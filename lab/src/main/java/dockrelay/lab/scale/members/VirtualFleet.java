package dockrelay.lab.scale.members;

import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MemberState;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Discrete-event simulation of hollow members on a virtual clock and network; one seed determines the whole
 * run. The cost of an event here does not depend on the number of members beyond the event queue's logarithm,
 * so the run time is that of the simulated state machines. Times are in microseconds. Not thread-safe.
 */
final class VirtualFleet {
    static final long MICROS_PER_MILLI = 1_000, MICROS_PER_SECOND = 1_000_000;
    /** One-way latency within a zone, between zones of a region and between regions, and the jitter added. */
    private static final long SAME_ZONE_LATENCY_MICROS = 300, SAME_REGION_LATENCY_MICROS = 800,
        CROSS_REGION_LATENCY_MICROS = 12 * MICROS_PER_MILLI, MAX_JITTER_MICROS = 2 * MICROS_PER_MILLI;
    /** A death reported this soon after a restart may concern the previous process, so it is not false. */
    private static final long RESTART_GRACE_MICROS = 3 * MICROS_PER_SECOND;
    /** Width of the range of clock rates around 1. */
    private static final double CLOCK_RATE_SPREAD = 0.02;
    /** Upper bound of the random offset of a process's clock. */
    private static final long MAX_CLOCK_OFFSET_MICROS = 1_000_000_000L;
    /** Raise at each start: well above any incarnation that the previous process reached by itself. */
    private static final long INCARNATION_STEP = 1_000;

    /** Called when a member declares another one gone. */
    interface DeathListener {
        void memberGone(int observer, int member, long now);
    }

    /** What an event does: wakes a process, delivers a datagram or runs a scheduled action. */
    private enum EventType { WAKE_UP, DATAGRAM, ACTION }

    /** An entry of the event queue, ordered by time and then by order of creation. */
    private static final class Event {
        final long timeMicros, sequence;
        final EventType type;
        final Process process;
        final int sender;
        final byte[] payload;
        final Runnable action;

        Event(long timeMicros, long sequence, EventType type, Process process, int sender, byte[] payload,
            Runnable action) {
            this.timeMicros = timeMicros;
            this.sequence = sequence;
            this.type = type;
            this.process = process;
            this.sender = sender;
            this.payload = payload;
            this.action = action;
        }
    }

    /** One process running under a member name; its clock has its own rate and offset. */
    private final class Process implements HollowStateMachine.Callbacks {
        final int index;
        final double clockRate = 1 + (random.nextDouble() - 0.5) * CLOCK_RATE_SPREAD;
        final long clockOffsetMicros = (long) (random.nextDouble() * MAX_CLOCK_OFFSET_MICROS),
            startedAt = now, firstIncarnation;
        final HollowStateMachine stateMachine;
        long wakeUpAt = Long.MAX_VALUE;

        Process(int index, Layout layout) {
            this.index = index;
            this.firstIncarnation = firstIncarnations[index] += INCARNATION_STEP;
            this.stateMachine = factory.create(nameOf(index), layout, firstIncarnation,
                new Random(random.nextLong()), this, localTime());
        }

        /** Current reading of this process's own clock. */
        long localTime() {
            return clockOffsetMicros + (long) (now * clockRate);
        }

        /** Schedules the next wake-up, unless an earlier one is already queued. */
        void scheduleWakeUp() {
            // Plus 1: after rounding down, the local clock must not read just before the requested time.
            long scheduledAt = Math.max(now,
                (long) Math.ceil((stateMachine.nextTickAt() - clockOffsetMicros) / clockRate) + 1);
            if (scheduledAt < wakeUpAt) {
                wakeUpAt = scheduledAt;
                events.add(new Event(scheduledAt, nextSequence++, EventType.WAKE_UP, this, 0, null, null));
            }
        }

        /** Ticks the state machine if its time has come; ignores a wake-up that was superseded. */
        void wakeUp(long scheduledAt) {
            if (scheduledAt != wakeUpAt) {
                return;
            }
            wakeUpAt = Long.MAX_VALUE;
            if (stateMachine.nextTickAt() <= localTime()) { // otherwise a datagram has postponed it
                stateMachine.tick(localTime());
            }
            scheduleWakeUp();
        }

        @Override
        public void send(String receiver, ByteBuffer datagram) {
            byte[] payload = new byte[datagram.remaining()];
            datagram.get(payload);
            sentTraffic.record(index, payload.length);
            longestDatagramBytes = Math.max(longestDatagramBytes, payload.length);
            Integer receiverIndex = indexByName.get(receiver);
            if (receiverIndex != null) {
                deliver(index, receiverIndex, payload);
            }
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            Integer goneIndex = change.newState() == MemberState.GONE ? indexByName.get(change.member())
                : null;
            if (goneIndex == null) {
                return;
            }
            Process process = processes[goneIndex];
            if (process != null && change.incarnation() >= process.firstIncarnation
                && now - process.startedAt > RESTART_GRACE_MICROS
                && partitionIds[goneIndex] == partitionIds[index]) {
                falseDeaths++;
            }
            if (deathListener != null) {
                deathListener.memberGone(index, goneIndex, now);
            }
        }
    }

    final Random random;
    private final HollowStateMachine.Factory factory;
    private final Map<String, Integer> indexByName = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.timeMicros != b.timeMicros
        ? Long.compare(a.timeMicros, b.timeMicros) : Long.compare(a.sequence, b.sequence));
    private final Process[] processes;
    private final long[] firstIncarnations;
    private final int[] partitionIds, zoneIds, regionIds;
    final Traffic sentTraffic, receivedTraffic;
    private DeathListener deathListener;
    private double lossProbability;
    private long now, nextSequence, falseDeaths, handledEvents;
    private int longestDatagramBytes;

    /**
     * Creates a fleet whose members have not been started yet.
     *
     * @param spareNames number of names that can be added later
     */
    VirtualFleet(HollowStateMachine.Factory factory, Layout layout, int spareNames, long seed) {
        this.factory = factory;
        this.random = new Random(seed);
        int capacity = layout.size() + spareNames;
        processes = new Process[capacity];
        firstIncarnations = new long[capacity];
        partitionIds = new int[capacity];
        zoneIds = new int[capacity];
        regionIds = new int[capacity];
        sentTraffic = new Traffic(capacity);
        receivedTraffic = new Traffic(capacity);
        layout.names().forEach(this::addName);
        endTrafficSeconds();
    }

    /** Ends the traffic counters' current second, every second. */
    private void endTrafficSeconds() {
        sentTraffic.endSecond();
        receivedTraffic.endSecond();
        runAfter(MICROS_PER_SECOND, this::endTrafficSeconds);
    }

    /** Registers a name, so that datagrams can be sent to it; returns its index. */
    int addName(String name) {
        int index = names.size();
        names.add(name);
        indexByName.put(name, index);
        zoneIds[index] = Layout.zoneOf(name).hashCode();
        regionIds[index] = Layout.regionOf(name).hashCode();
        return index;
    }

    /** Index of a registered name. */
    int indexOf(String name) {
        return indexByName.get(name);
    }

    String nameOf(int index) {
        return names.get(index);
    }

    /** Number of registered names, running or not. */
    int memberCount() {
        return names.size();
    }

    long now() {
        return now;
    }

    /** Number of times a member declared a reachable, running process gone. */
    long falseDeaths() {
        return falseDeaths;
    }

    /** Length of the longest datagram that was sent, in bytes. */
    int longestDatagramBytes() {
        return longestDatagramBytes;
    }

    /** Number of wake-ups and datagrams that were handled. */
    long handledEvents() {
        return handledEvents;
    }

    /** Sets the probability, from 0 to 1, that a datagram is lost. */
    void setLossProbability(double probability) {
        lossProbability = probability;
    }

    /** Replaces the listener for members that are declared gone. */
    void setDeathListener(DeathListener listener) {
        deathListener = listener;
    }

    /** Runs the action after a delay of virtual time. */
    void runAfter(long delayMicros, Runnable action) {
        events.add(new Event(now + delayMicros, nextSequence++, EventType.ACTION, null, 0, null, action));
    }

    /** Starts a process for this member, replacing the previous one with a higher incarnation. */
    void start(int index, Layout layout) {
        processes[index] = new Process(index, layout);
        processes[index].scheduleWakeUp();
    }

    void startAll(Layout layout) {
        for (int i = 0; i < names.size(); i++) {
            start(i, layout);
        }
    }

    /** Ends the process without notice to its peers. */
    void kill(int index) {
        processes[index] = null;
    }

    boolean isRunning(int index) {
        return processes[index] != null;
    }

    /** Makes the member announce that it leaves; the process keeps running. */
    void leave(int index) {
        Process process = processes[index];
        process.stateMachine.leave(process.localTime());
        process.scheduleWakeUp();
    }

    /** Gives the member a new list of names. */
    void configure(int index, Layout layout) {
        Process process = processes[index];
        process.stateMachine.configure(process.localTime(), layout);
        process.scheduleWakeUp();
    }

    /**
     * This member's current view of the membership; its state machine has to be a {@link HollowMember}.
     */
    MembershipSnapshot snapshot(int index) {
        Process process = processes[index];
        return ((HollowMember) process.stateMachine).snapshot(process.localTime());
    }

    /** The state machine of this member's process; null if none is running. */
    HollowStateMachine stateMachine(int index) {
        return processes[index] == null ? null : processes[index].stateMachine;
    }

    /** Current reading of the clock of this member's process. */
    long localTime(int index) {
        return processes[index].localTime();
    }

    /** Puts the member into a network partition; datagrams are delivered within a partition only. */
    void setPartition(int index, int partitionId) {
        partitionIds[index] = partitionId;
    }

    /** Queues a datagram for delivery, unless it is lost or the receiver is in another partition. */
    private void deliver(int sender, int receiver, byte[] payload) {
        if (partitionIds[sender] != partitionIds[receiver]
            || lossProbability > 0 && random.nextDouble() < lossProbability) {
            return;
        }
        long delayMicros = (zoneIds[sender] == zoneIds[receiver] ? SAME_ZONE_LATENCY_MICROS
            : regionIds[sender] == regionIds[receiver] ? SAME_REGION_LATENCY_MICROS
            : CROSS_REGION_LATENCY_MICROS) + (long) (random.nextDouble() * MAX_JITTER_MICROS);
        events.add(new Event(now + delayMicros, nextSequence++, EventType.DATAGRAM, processes[receiver],
            sender, payload, null));
    }

    /** Handles all events up to this virtual time, then sets the clock to it. */
    void runUntil(long endMicros) {
        while (!events.isEmpty() && events.peek().timeMicros <= endMicros) {
            Event event = events.poll();
            now = event.timeMicros;
            if (event.type == EventType.ACTION) {
                event.action.run();
            } else if (event.process != null && processes[event.process.index] == event.process) {
                handledEvents++;
                if (event.type == EventType.WAKE_UP) {
                    event.process.wakeUp(event.timeMicros);
                } else {
                    receivedTraffic.record(event.process.index, event.payload.length);
                    event.process.stateMachine.receive(event.process.localTime(), names.get(event.sender),
                        ByteBuffer.wrap(event.payload));
                    event.process.scheduleWakeUp();
                }
            }
        }
        now = endMicros;
    }
}
