package dockrelay.fleet.group;

import java.util.BitSet;

/**
 * Determines which groups are unreachable to this representative, and which of those are unreachable to a
 * majority of the fleet; only the latter are excluded from the counts. A group is unreachable only after
 * failed queries of this member, and only for the time in which this process was running and was a
 * representative.
 */
final class UnreachableGroups {
    private final InterGroupProtocol protocol;
    private final BitSet unreachableToMajority = new BitSet();
    private long observingSince, computedAt = Long.MIN_VALUE / 2;
    private boolean representative;

    UnreachableGroups(InterGroupProtocol protocol, long now) {
        this.protocol = protocol;
        this.observingSince = now;
    }

    /** Restarts the observation after a pause of this process. */
    void restartObservation(long now) {
        observingSince = now;
        computedAt = Long.MIN_VALUE / 2;
    }

    /** Records whether this member is a representative; the observation starts when it becomes one. */
    void setRepresentative(long now, boolean isRepresentative) {
        if (isRepresentative && !representative) {
            observingSince = now;
        }
        representative = isRepresentative;
    }

    /** Whether a group has been unreachable to this representative for long enough. */
    boolean isUnreachable(long now, int group) {
        return representative && group != protocol.ownGroup && protocol.groupPoller.isUnresponsive(group)
            && Math.min(protocol.table.timeSinceContact(now, group), now - observingSince)
            > protocol.timing.unreachableAge();
    }

    /**
     * Whether this member has no recent data about a group, but cannot tell from its own queries that the
     * group is unreachable: it is not a representative, or has just become one, as when another
     * representative was suspect for a moment.
     */
    boolean isUndecided(long now, int group) {
        return group != protocol.ownGroup
            && protocol.table.timeSinceContact(now, group) > protocol.timing.unreachableAge()
            && !isUnreachable(now, group);
    }

    /**
     * Returns the bitmap of the groups that are unreachable to this representative; null if there are none.
     */
    byte[] unreachableBitmap(long now) {
        BitSet unreachable = new BitSet();
        for (int group = 0; group < protocol.assignment.groupCount(); group++) {
            unreachable.set(group, isUnreachable(now, group));
        }
        return unreachable.isEmpty() ? null : unreachable.toByteArray();
    }

    /** Whether groups with a majority of the members that have not left report a group unreachable. */
    boolean isUnreachableToMajority(long now, int group) {
        if (now - computedAt >= protocol.timing.queryTimeout() / 4) {
            computedAt = now;
            computeMajority(now);
        }
        return unreachableToMajority.get(group);
    }

    private void computeMajority(long now) {
        unreachableToMajority.clear();
        int groupCount = protocol.assignment.groupCount(), ownPresentMembers = -1, eligibleMembers = 0;
        for (int group = 0; group < groupCount; group++) {
            if (!isUnreachable(now, group)) {
                continue;
            }
            if (ownPresentMembers < 0) {
                ownPresentMembers = protocol.presentMembers(now);
                eligibleMembers = protocol.assignment.memberCount() - protocol.totals.leftMembers(now);
            }
            int reportingMembers = ownPresentMembers;
            for (int reportingGroup = 0; reportingGroup < groupCount; reportingGroup++) {
                byte[] bitmap = reportingGroup == protocol.ownGroup
                    || !protocol.totals.isFresh(now, reportingGroup)
                    ? null : protocol.table.unreachable(now, reportingGroup);
                if (bitmap != null && group / 8 < bitmap.length
                    && (bitmap[group / 8] >> group % 8 & 1) != 0) {
                    reportingMembers += protocol.table.summary(reportingGroup).presentMembers();
                }
            }
            unreachableToMajority.set(group, 2 * reportingMembers > eligibleMembers);
        }
    }
}
