package dockrelay.lab.link;

import java.util.random.RandomGenerator;

/**
 * Decides when what is sent over a passage arrives: a pure machine, told the time. A stream keeps its order
 * and loses
 * nothing: what is lost comes after the sender's wait for a repeat, and all behind it waits too. Datagrams
 * may be lost,
 * come twice, or overtake each other.
 */
public final class Courier {
    /** The least wait of a stream before it repeats what was lost, doubled each time it is lost again. */
    private static final double REPEAT = 200_000;
    private static final int MOST_REPEATS = 6;
    /**
     * What is out of order comes so much later than it would have, in delays of the passage and at least
     * this.
     */
    private static final double BEHIND = 5_000;
    private static final long[] NONE = {};

    private final RandomGenerator random;
    private long last;

    public Courier(RandomGenerator random) {
        this.random = random;
    }

    /** When a part of a stream that is sent now arrives; never before what was sent earlier. */
    public long stream(long now, Passage passage) {
        double wait = passage.delay() + jitter(passage), repeat = REPEAT;
        for (int i = 0; i < MOST_REPEATS && random.nextDouble() < passage.loss(); i++) {
            wait += repeat;
            repeat *= 2;
        }
        last = Math.max(last, now + Math.round(wait));
        return last;
    }

    /** When a datagram that is sent now arrives: never, once, or twice. */
    public long[] datagram(long now, Passage passage) {
        if (passage.mode() != Passage.Mode.OPEN || random.nextDouble() < passage.loss()) {
            return NONE;
        }
        double wait = passage.delay() + jitter(passage);
        if (random.nextDouble() < passage.reorder()) {
            wait += Math.max(BEHIND, 2 * passage.delay()) * (0.5 + random.nextDouble());
        }
        long at = now + Math.round(wait);
        return random.nextDouble() < passage.duplicate()
            ? new long[] {at, at + Math.round(BEHIND * random.nextDouble())}
            : new long[] {at};
    }

    private double jitter(Passage passage) {
        return passage.jitter() <= 0 ? 0 : passage.jitter() * random.nextDouble();
    }
}
