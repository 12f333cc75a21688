package dockrelay.fleet;

import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A virtual clock and network from one seed. Datagrams may be lost, delayed, duplicated, corrupted, replayed
 * or blocked. Times are in microseconds.
 */
public abstract class VirtualNetwork {
    public static final long MILLISECOND = 1_000, SECOND = 1_000_000;

    private record Event(long time, long order, Runnable action) {
    }

    public final Random random;
    public double lossRate, duplicationRate, corruptionRate, replayRate;
    public long maxJitter = 3 * MILLISECOND, now;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.time != b.time
        ? Long.compare(a.time, b.time) : Long.compare(a.order, b.order));
    private final boolean tracing;
    private long nextOrder;

    protected VirtualNetwork(long seed, boolean tracing) {
        this.random = new Random(seed);
        this.tracing = tracing;
    }

    /** Whether all datagrams in this direction are dropped. */
    protected abstract boolean isBlocked(String from, String to);

    /** Delivers a datagram to its receiver. */
    protected abstract void onDatagram(String from, String to, byte[] bytes);

    /** Prints a line with the virtual time, if tracing is on. */
    public final void trace(String text) {
        if (tracing) {
            System.out.printf("%9.3f %s%n", now / 1e6, text);
        }
    }

    /** Schedules an action after a delay. */
    public final void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, nextOrder++, action));
    }

    /** Runs all events up to a time, and advances the clock to it. */
    public final void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time <= end) {
            Event event = events.poll();
            now = event.time;
            event.action.run();
        }
        now = end;
    }

    /** Sends a datagram through the network, subject to the configured faults. */
    protected final void transmit(String from, String to, byte[] bytes) {
        if (isBlocked(from, to) || random.nextDouble() < lossRate) {
            return;
        }
        byte[] payload = bytes;
        if (corruptionRate > 0 && random.nextDouble() < corruptionRate) {
            payload = random.nextBoolean() ? Arrays.copyOf(bytes, random.nextInt(bytes.length))
                : bytes.clone();
            if (payload.length > 0) {
                payload[random.nextInt(payload.length)] ^= (byte) (1 + random.nextInt(255));
            }
        }
        deliver(from, to, payload, 300 + (long) (random.nextDouble() * maxJitter));
        if (duplicationRate > 0 && random.nextDouble() < duplicationRate) {
            deliver(from, to, payload, 300 + (long) (random.nextDouble() * 20 * maxJitter));
        }
        if (replayRate > 0 && random.nextDouble() < replayRate) {
            deliver(from, to, payload, SECOND + (long) (random.nextDouble() * 30 * SECOND));
        }
    }

    private void deliver(String from, String to, byte[] bytes, long delay) {
        schedule(delay, () -> onDatagram(from, to, bytes));
    }
}
