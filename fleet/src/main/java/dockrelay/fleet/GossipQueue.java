package dockrelay.fleet;

import dockrelay.fleet.Datagram.MemberUpdate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** State updates to be piggybacked on outgoing datagrams, each a bounded number of times. */
final class GossipQueue {
    private static final int RETRANSMIT_MULTIPLIER = 3;

    /** An update with the number of datagrams that it was sent in. */
    private static final class QueuedUpdate {
        final MemberUpdate update;
        int transmissions;

        QueuedUpdate(MemberUpdate update) {
            this.update = update;
        }
    }

    private final List<QueuedUpdate> queue = new ArrayList<>();

    /**
     * Queues an update. It replaces older updates of the same member, except that suspicions of the same
     * incarnation by different accusers are kept side by side.
     */
    void add(MemberUpdate update) {
        queue.removeIf(queuedUpdate -> queuedUpdate.update.memberId() == update.memberId()
            && !(update.state() == MemberState.SUSPECT && queuedUpdate.update.state() == MemberState.SUSPECT
            && queuedUpdate.update.incarnation() == update.incarnation()
            && queuedUpdate.update.reporterId() != update.reporterId()));
        queue.add(new QueuedUpdate(update));
    }

    /** Drops all queued updates of a member. */
    void removeMember(int memberId) {
        queue.removeIf(queuedUpdate -> queuedUpdate.update.memberId() == memberId);
    }

    /**
     * Returns the least often sent updates for one datagram. An update is dropped after a number of
     * transmissions that grows with the logarithm of the number of members.
     */
    List<MemberUpdate> nextUpdates(int maxCount, int memberCount) {
        if (queue.isEmpty()) {
            return List.of();
        }
        int maxTransmissions = RETRANSMIT_MULTIPLIER * (32 - Integer.numberOfLeadingZeros(memberCount));
        queue.sort(Comparator.comparingInt(queuedUpdate -> queuedUpdate.transmissions));
        List<MemberUpdate> result = new ArrayList<>();
        for (QueuedUpdate queuedUpdate : queue.subList(0, Math.min(maxCount, queue.size()))) {
            queuedUpdate.transmissions++;
            result.add(queuedUpdate.update);
        }
        queue.removeIf(queuedUpdate -> queuedUpdate.transmissions >= maxTransmissions);
        return result;
    }
}
