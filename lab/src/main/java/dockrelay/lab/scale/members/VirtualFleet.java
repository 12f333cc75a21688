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
 * Many members on a virtual clock and network, from one seed. Nothing that it does for a datagram or a tick
 * takes longer the more members there are, so what a run takes is what the machines take.
 */
final class VirtualFleet {
    static final long MICROS_PER_MILLI = 1_000, MICROS_PER_SECOND = 1_000_000;
    /** One way within a zone, to another zone of the region, to another region; and what is drawn on top. */
    private static final long SAME_ZONE_LATENCY_MICROS = 300, SAME_REGION_LATENCY_MICROS = 800,
        CROSS_REGION_LATENCY_MICROS = 12 * MICROS_PER_MILLI, MAX_JITTER_MICROS = 2 * MICROS_PER_MILLI;
    /** Who has just started is not told dead by others falsely: they may speak of the process before. */
    private static final long RESTART_GRACE_MICROS = 3 * MICROS_PER_SECOND;
    private static final double CLOCK_RATE_SPREAD = 0.02;
    private static final long MAX_CLOCK_OFFSET_MICROS = 1_000_000_000L;
    private static final long INCARNATION_STEP = 1_000;

    /** Told of a member that another one holds gone. */
    interface DeathListener {
        void memberGone(int observer, int member, long now);
    }

    private enum EventType { WAKE_UP, DATAGRAM, ACTION }

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

    /** One process of a name, with a clock of its own. */
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
                new Random(random.nextLong()), this,
                localTime());
        }

        long localTime() {
            return clockOffsetMicros + (long) (now * clockRate);
        }

        /** Sees to it that it wakes when it wants to; an earlier wake that is due already does for it. */
        void scheduleWakeUp() {
            // One on: rounded down, its own clock must not stand just before the time that it waits for.
            long scheduledAt = Math.max(now,
                (long) Math.ceil((stateMachine.nextTickAt() - clockOffsetMicros) / clockRate) + 1);
            if (scheduledAt < wakeUpAt) {
                wakeUpAt = scheduledAt;
                events.add(new Event(scheduledAt, nextSequence++, EventType.WAKE_UP, this, 0, null, null));
            }
        }

        void wakeUp(long scheduledAt) {
            if (scheduledAt != wakeUpAt) {
                return;
            }
            wakeUpAt = Long.MAX_VALUE;
            if (stateMachine.nextTickAt() <= localTime()) { // else a datagram has moved it meanwhile
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

    /** Room is left for names that come later. */
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

    private void endTrafficSeconds() {
        sentTraffic.endSecond();
        receivedTraffic.endSecond();
        runAfter(MICROS_PER_SECOND, this::endTrafficSeconds);
    }

    /** A name has an address from here on. */
    int addName(String name) {
        int index = names.size();
        names.add(name);
        indexByName.put(name, index);
        zoneIds[index] = Layout.zoneOf(name).hashCode();
        regionIds[index] = Layout.regionOf(name).hashCode();
        return index;
    }

    int indexOf(String name) {
        return indexByName.get(name);
    }

    String nameOf(int index) {
        return names.get(index);
    }

    int memberCount() {
        return names.size();
    }

    long now() {
        return now;
    }

    long falseDeaths() {
        return falseDeaths;
    }

    int longestDatagramBytes() {
        return longestDatagramBytes;
    }

    /** Ticks and datagrams that were handled. */
    long handledEvents() {
        return handledEvents;
    }

    void setLossProbability(double probability) {
        lossProbability = probability;
    }

    void setDeathListener(DeathListener listener) {
        deathListener = listener;
    }

    void runAfter(long delayMicros, Runnable action) {
        events.add(new Event(now + delayMicros, nextSequence++, EventType.ACTION, null, 0, null, action));
    }

    /** Starts a process, or the next one, of this name. */
    void start(int index, Layout layout) {
        processes[index] = new Process(index, layout);
        processes[index].scheduleWakeUp();
    }

    void startAll(Layout layout) {
        for (int i = 0; i < names.size(); i++) {
            start(i, layout);
        }
    }

    void kill(int index) {
        processes[index] = null;
    }

    boolean isRunning(int index) {
        return processes[index] != null;
    }

    void leave(int index) {
        Process process = processes[index];
        process.stateMachine.leave(process.localTime());
        process.scheduleWakeUp();
    }

    void configure(int index, Layout layout) {
        Process process = processes[index];
        process.stateMachine.configure(process.localTime(), layout);
        process.scheduleWakeUp();
    }

    MembershipSnapshot snapshot(int index) {
        Process process = processes[index];
        return ((HollowMember) process.stateMachine).snapshot(process.localTime());
    }

    /** What a process of this name plays; null where none lives. */
    HollowStateMachine stateMachine(int index) {
        return processes[index] == null ? null : processes[index].stateMachine;
    }

    /** What this process's own clock says. */
    long localTime(int index) {
        return processes[index].localTime();
    }

    /** Datagrams pass between members of the same side only. */
    void setPartition(int index, int partitionId) {
        partitionIds[index] = partitionId;
    }

    private void deliver(int sender, int receiver, byte[] payload) {
        if (partitionIds[sender] != partitionIds[receiver] || lossProbability > 0
            && random.nextDouble() < lossProbability) {
            return;
        }
        long delayMicros = (zoneIds[sender] == zoneIds[receiver] ? SAME_ZONE_LATENCY_MICROS
            : regionIds[sender] == regionIds[receiver] ? SAME_REGION_LATENCY_MICROS
            : CROSS_REGION_LATENCY_MICROS)
            + (long) (random.nextDouble() * MAX_JITTER_MICROS);
        events.add(new Event(now + delayMicros, nextSequence++, EventType.DATAGRAM, processes[receiver],
            sender, payload, null));
    }

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
