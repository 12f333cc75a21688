package dockrelay.lab.link;

import java.util.random.RandomGenerator;

/**
 * Decides when what is sent over a passage arrives: a pure machine, told the time. A stream keeps its order
 * and loses
 * nothing: what is lost comes after the sender's wait for a repeat, and all behind it waits too. Datagrams
 * may be lost,
 * come twice, or overtake each other.
 */
public final class LinkDelayModel {
    /** The least wait of a stream before it repeats what was lost, doubled each time it is lost again. */
    private static final double INITIAL_RETRANSMIT_MICROS = 200_000;
    private static final int MAX_RETRANSMITS = 6;
    /**
     * What is out of order comes so much later than it would have, in delays of the passage and at least
     * this.
     */
    private static final double REORDER_DELAY_MICROS = 5_000;
    private static final long[] LOST = {};

    private final RandomGenerator random;
    private long lastStreamArrival;

    public LinkDelayModel(RandomGenerator random) {
        this.random = random;
    }

    /** When a part of a stream that is sent now arrives; never before what was sent earlier. */
    public long streamArrival(long now, Passage conditions) {
        double delay = conditions.delay() + randomJitter(conditions), retransmitTimeout =
            INITIAL_RETRANSMIT_MICROS;
        for (int i = 0; i < MAX_RETRANSMITS && random.nextDouble() < conditions.loss(); i++) {
            delay += retransmitTimeout;
            retransmitTimeout *= 2;
        }
        lastStreamArrival = Math.max(lastStreamArrival, now + Math.round(delay));
        return lastStreamArrival;
    }

    /** When a datagram that is sent now arrives: never, once, or twice. */
    public long[] datagramArrivals(long now, Passage conditions) {
        if (conditions.mode() != Passage.Mode.OPEN || random.nextDouble() < conditions.loss()) {
            return LOST;
        }
        double delay = conditions.delay() + randomJitter(conditions);
        if (random.nextDouble() < conditions.reorder()) {
            delay += Math.max(REORDER_DELAY_MICROS, 2 * conditions.delay()) * (0.5 + random.nextDouble());
        }
        long arrival = now + Math.round(delay);
        return random.nextDouble() < conditions.duplicate()
            ? new long[] {arrival, arrival + Math.round(REORDER_DELAY_MICROS * random.nextDouble())}
            : new long[] {arrival};
    }

    private double randomJitter(Passage conditions) {
        return conditions.jitter() <= 0 ? 0 : conditions.jitter() * random.nextDouble();
    }
}
