package dockrelay.fleet;

import dockrelay.fleet.Datagram.MemberUpdate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** State updates to be piggybacked on outgoing datagrams, each a bounded number of times. */
final class GossipQueue {
    private static final int RETRANSMIT_MULTIPLIER = 3;

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
        queue.removeIf(queued -> queued.update.memberId() == update.memberId()
            && !(update.state() == MemberState.SUSPECT && queued.update.state() == MemberState.SUSPECT
            && queued.update.incarnation() == update.incarnation()
            && queued.update.reporterId() != update.reporterId()));
        queue.add(new QueuedUpdate(update));
    }

    void removeMember(int memberId) {
        queue.removeIf(queued -> queued.update.memberId() == memberId);
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
        queue.sort(Comparator.comparingInt(queued -> queued.transmissions));
        List<MemberUpdate> result = new ArrayList<>();
        for (QueuedUpdate queued : queue.subList(0, Math.min(maxCount, queue.size()))) {
            queued.transmissions++;
            result.add(queued.update);
        }
        queue.removeIf(queued -> queued.transmissions >= maxTransmissions);
        return result;
    }
}
