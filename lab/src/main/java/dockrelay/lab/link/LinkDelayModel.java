package dockrelay.lab.link;

import java.util.random.RandomGenerator;

/**
 * Computes arrival times on one direction of an impaired link, in microseconds. It reads no clock: the caller
 * passes the time. Streams stay ordered and complete, as with TCP: a lost segment arrives after the sender's
 * retransmission timeout, and everything behind it waits too. Datagrams may be lost, duplicated or reordered.
 * Not thread-safe.
 */
public final class LinkDelayModel {
    /** Initial retransmission timeout of a stream; doubles with each further loss of the same segment. */
    private static final double INITIAL_RETRANSMIT_MICROS = 200_000;
    private static final int MAX_RETRANSMITS = 6;
    /**
     * Mean extra delay of a reordered datagram, unless twice the link's delay is more; also the maximum extra
     * delay of a duplicate.
     */
    private static final double REORDER_DELAY_MICROS = 5_000;
    private static final long[] LOST = {};

    private final RandomGenerator random;
    private long lastStreamArrival;

    public LinkDelayModel(RandomGenerator random) {
        this.random = random;
    }

    /** Returns when stream data sent now arrives; never earlier than data sent before it. */
    public long streamArrival(long now, Passage conditions) {
        double delay = conditions.delay() + randomJitter(conditions),
            retransmitTimeout = INITIAL_RETRANSMIT_MICROS;
        for (int i = 0; i < MAX_RETRANSMITS && random.nextDouble() < conditions.loss(); i++) {
            delay += retransmitTimeout;
            retransmitTimeout *= 2;
        }
        lastStreamArrival = Math.max(lastStreamArrival, now + Math.round(delay));
        return lastStreamArrival;
    }

    /** Returns the arrival times of a datagram sent now: none if it is lost, two if it is duplicated. */
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
