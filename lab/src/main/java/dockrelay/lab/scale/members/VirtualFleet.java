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
    static final long MILLI = 1_000, SECOND = 1_000_000;
    /** One way within a zone, to another zone of the region, to another region; and what is drawn on top. */
    private static final long BESIDE = 300, ZONE = 800, REGION = 12 * MILLI, JITTER = 2 * MILLI;
    /** Who has just started is not told dead by others falsely: they may speak of the process before. */
    private static final long NEW = 3 * SECOND;
    private static final double RATES = 0.02;
    private static final long OFFSETS = 1_000_000_000L;
    private static final long STEP_OF_INCARNATION = 1_000;

    /** Told of a member that another one holds gone. */
    interface Deaths {
        void gone(int observer, int member, long now);
    }

    private enum Sort { WAKE, DATAGRAM, ACTION }

    private static final class Event {
        final long at, order;
        final Sort sort;
        final Process process;
        final int from;
        final byte[] bytes;
        final Runnable action;

        Event(long at, long order, Sort sort, Process process, int from, byte[] bytes, Runnable action) {
            this.at = at;
            this.order = order;
            this.sort = sort;
            this.process = process;
            this.from = from;
            this.bytes = bytes;
            this.action = action;
        }
    }

    /** One process of a name, with a clock of its own. */
    private final class Process implements HollowMachine.Actions {
        final int index;
        final double rate = 1 + (random.nextDouble() - 0.5) * RATES;
        final long offset = (long) (random.nextDouble() * OFFSETS), startedAt = now, first;
        final HollowMachine machine;
        long wakeAt = Long.MAX_VALUE;

        Process(int index, Layout layout) {
            this.index = index;
            this.first = incarnations[index] += STEP_OF_INCARNATION;
            this.machine = maker.make(name(index), layout, first, new Random(random.nextLong()), this,
                local());
        }

        long local() {
            return offset + (long) (now * rate);
        }

        /** Sees to it that it wakes when it wants to; an earlier wake that is due already does for it. */
        void schedule() {
            // One on: rounded down, its own clock must not stand just before the time that it waits for.
            long at = Math.max(now, (long) Math.ceil((machine.nextAt() - offset) / rate) + 1);
            if (at < wakeAt) {
                wakeAt = at;
                events.add(new Event(at, order++, Sort.WAKE, this, 0, null, null));
            }
        }

        void wake(long at) {
            if (at != wakeAt) {
                return;
            }
            wakeAt = Long.MAX_VALUE;
            if (machine.nextAt() <= local()) { // else a datagram has moved it meanwhile
                machine.tick(local());
            }
            schedule();
        }

        @Override
        public void send(String to, ByteBuffer datagram) {
            byte[] bytes = new byte[datagram.remaining()];
            datagram.get(bytes);
            out.add(index, bytes.length);
            longest = Math.max(longest, bytes.length);
            Integer target = indexes.get(to);
            if (target != null) {
                pass(index, target, bytes);
            }
        }

        @Override
        public void changed(MemberStateChange change) {
            Integer of = change.newState() == MemberState.GONE ? indexes.get(change.member()) : null;
            if (of == null) {
                return;
            }
            Process process = processes[of];
            if (process != null && change.incarnation() >= process.first && now - process.startedAt > NEW
                && side[of] == side[index]) {
                falseDeaths++;
            }
            if (deaths != null) {
                deaths.gone(index, of, now);
            }
        }
    }

    final Random random;
    private final HollowMachine.Maker maker;
    private final Map<String, Integer> indexes = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at
        ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Process[] processes;
    private final long[] incarnations;
    private final int[] side, zone, region;
    final Traffic out, in;
    private Deaths deaths;
    private double loss;
    private long now, order, falseDeaths, steps;
    private int longest;

    /** Room is left for names that come later. */
    VirtualFleet(HollowMachine.Maker maker, Layout layout, int room, long seed) {
        this.maker = maker;
        this.random = new Random(seed);
        int most = layout.size() + room;
        processes = new Process[most];
        incarnations = new long[most];
        side = new int[most];
        zone = new int[most];
        region = new int[most];
        out = new Traffic(most);
        in = new Traffic(most);
        layout.names().forEach(this::add);
        tellSeconds();
    }

    private void tellSeconds() {
        out.roll();
        in.roll();
        later(SECOND, this::tellSeconds);
    }

    /** A name has an address from here on. */
    int add(String name) {
        int index = names.size();
        names.add(name);
        indexes.put(name, index);
        zone[index] = Layout.zone(name).hashCode();
        region[index] = Layout.region(name).hashCode();
        return index;
    }

    int index(String name) {
        return indexes.get(name);
    }

    String name(int index) {
        return names.get(index);
    }

    int count() {
        return names.size();
    }

    long now() {
        return now;
    }

    long falseDeaths() {
        return falseDeaths;
    }

    int longest() {
        return longest;
    }

    /** Ticks and datagrams that were handled. */
    long steps() {
        return steps;
    }

    void lose(double share) {
        loss = share;
    }

    void tellDeaths(Deaths to) {
        deaths = to;
    }

    void later(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, Sort.ACTION, null, 0, null, action));
    }

    /** Starts a process, or the next one, of this name. */
    void start(int index, Layout layout) {
        processes[index] = new Process(index, layout);
        processes[index].schedule();
    }

    void startAll(Layout layout) {
        for (int i = 0; i < names.size(); i++) {
            start(i, layout);
        }
    }

    void kill(int index) {
        processes[index] = null;
    }

    boolean lives(int index) {
        return processes[index] != null;
    }

    void leave(int index) {
        Process process = processes[index];
        process.machine.leave(process.local());
        process.schedule();
    }

    void configure(int index, Layout layout) {
        Process process = processes[index];
        process.machine.configure(process.local(), layout);
        process.schedule();
    }

    MembershipSnapshot standing(int index) {
        Process process = processes[index];
        return ((HollowMember) process.machine).standing(process.local());
    }

    /** What a process of this name plays; null where none lives. */
    HollowMachine machine(int index) {
        return processes[index] == null ? null : processes[index].machine;
    }

    /** What this process's own clock says. */
    long local(int index) {
        return processes[index].local();
    }

    /** Datagrams pass between members of the same side only. */
    void side(int index, int number) {
        side[index] = number;
    }

    private void pass(int from, int to, byte[] bytes) {
        if (side[from] != side[to] || loss > 0 && random.nextDouble() < loss) {
            return;
        }
        long delay = (zone[from] == zone[to] ? BESIDE : region[from] == region[to] ? ZONE : REGION)
            + (long) (random.nextDouble() * JITTER);
        events.add(new Event(now + delay, order++, Sort.DATAGRAM, processes[to], from, bytes, null));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            if (event.sort == Sort.ACTION) {
                event.action.run();
            } else if (event.process != null && processes[event.process.index] == event.process) {
                steps++;
                if (event.sort == Sort.WAKE) {
                    event.process.wake(event.at);
                } else {
                    in.add(event.process.index, event.bytes.length);
                    event.process.machine.receive(event.process.local(), names.get(event.from),
                        ByteBuffer.wrap(event.bytes));
                    event.process.schedule();
                }
            }
        }
        now = end;
    }
}
