package dockrelay.fleet;

import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A virtual clock and network from one seed. Datagrams may be lost, delayed, duplicated, corrupted, replayed
 * or blocked. Times are in microseconds.
 */
public abstract class VirtualNetwork {
    public static final long MILLI = 1_000, SECOND = 1_000_000;

    private record Event(long at, long order, Runnable action) {
    }

    public final Random random;
    public double loss, repeats, spoilt, replays;
    public long jitter = 3 * MILLI, now;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at
        ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final boolean traced;
    private long order;

    protected VirtualNetwork(long seed, boolean traced) {
        this.random = new Random(seed);
        this.traced = traced;
    }

    /** Whether all datagrams in this direction are dropped. */
    protected abstract boolean blocked(String from, String to);

    /** Delivers a datagram to its receiver. */
    protected abstract void arrive(String from, String to, byte[] bytes);

    /** Prints a line with the virtual time, if tracing is on. */
    public final void trace(String text) {
        if (traced) {
            System.out.printf("%9.3f %s%n", now / 1e6, text);
        }
    }

    /** Schedules an action after a delay. */
    public final void later(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, action));
    }

    /** Runs all events up to a time, and advances the clock to it. */
    public final void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }

    /** Sends a datagram through the network, subject to the configured faults. */
    protected final void pass(String from, String to, byte[] bytes) {
        if (blocked(from, to) || random.nextDouble() < loss) {
            return;
        }
        byte[] carried = bytes;
        if (spoilt > 0 && random.nextDouble() < spoilt) {
            carried = random.nextBoolean() ? Arrays.copyOf(bytes, random.nextInt(bytes.length))
                : bytes.clone();
            if (carried.length > 0) {
                carried[random.nextInt(carried.length)] ^= (byte) (1 + random.nextInt(255));
            }
        }
        deliver(from, to, carried, 300 + (long) (random.nextDouble() * jitter));
        if (repeats > 0 && random.nextDouble() < repeats) {
            deliver(from, to, carried, 300 + (long) (random.nextDouble() * 20 * jitter));
        }
        if (replays > 0 && random.nextDouble() < replays) {
            deliver(from, to, carried, SECOND + (long) (random.nextDouble() * 30 * SECOND));
        }
    }

    private void deliver(String from, String to, byte[] bytes, long delay) {
        later(delay, () -> arrive(from, to, bytes));
    }
}
