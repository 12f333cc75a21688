package dockrelay.fleet.budget;

import dockrelay.fleet.wire.WireFormat;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A message of the budget protocol. On the wire: magic, schema, kind, sender, the sender's instance
 * id, the instance id of the addressee, term, number, the fields of the kind, and a checksum.
 * {@code grantedOrExpired} means that the vote is granted, or in a lease request that the lease has
 * expired. docs/budgets.md describes the format.
 */
record BudgetMessage(Kind kind, int senderId, int instanceId, int receiverInstanceId, long term,
                     long requestNumber, long grantVersion, long senderClock, boolean grantedOrExpired,
                     int coordinatorId, VoterSet committedSet, VoterSet pendingSet,
                     List<BudgetEntry> entries) {
    static final byte FIRST_MAGIC_BYTE = (byte) 0xd6;
    static final int MAX_MESSAGE_BYTES = 1400, MAX_BUDGETS = 32, MAX_VOTERS = 128;
    private static final byte SECOND_MAGIC_BYTE = 0x62, SCHEMA_VERSION = 1;

    /**
     * Requests and grants of leases, the name of the coordinator, the messages of the election, and the
     * return of all shares. The ordinals are part of the wire format.
     */
    enum Kind { LEASE_REQUEST, LEASE_GRANT, REDIRECT, VOTE_REQUEST, VOTE_RENEWAL, VOTE, RESIGN, LEAVE }

    /**
     * The figures of one budget. The last one is the number of waiting requests in a lease request, and
     * the tokens to add once in a grant.
     */
    record BudgetEntry(int budgetId, long rate, long burst, long demand, long waitingOrAddedTokens) {
    }

    /** A datagram that could not be decoded; the message is the reason under which it is counted. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Creates a message whose kind has no fields of its own. */
    static BudgetMessage withoutPayload(Kind kind, int senderId, int instanceId, int receiverInstanceId,
                                        long term, long requestNumber) {
        return new BudgetMessage(kind, senderId, instanceId, receiverInstanceId, term, requestNumber, 0, 0,
            false, 0, null, null, List.of());
    }

    ByteBuffer encode() {
        ByteBuffer out = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
        out.put(FIRST_MAGIC_BYTE).put(SECOND_MAGIC_BYTE).put(SCHEMA_VERSION).put((byte) kind.ordinal())
            .putInt(senderId).putInt(instanceId).putInt(receiverInstanceId);
        WireFormat.putVarint(out, term);
        WireFormat.putVarint(out, requestNumber);
        WireFormat.putVarint(out, grantVersion);
        WireFormat.putVarint(out, senderClock);
        out.put((byte) ((grantedOrExpired ? 1 : 0) | (committedSet == null ? 0 : 2) | (pendingSet == null
            ? 0 : 4))).putInt(coordinatorId);
        putVoterSet(out, committedSet);
        putVoterSet(out, pendingSet);
        WireFormat.putVarint(out, entries.size());
        for (BudgetEntry entry : entries) {
            out.putInt(entry.budgetId);
            WireFormat.putVarint(out, entry.rate);
            WireFormat.putVarint(out, entry.burst);
            WireFormat.putVarint(out, entry.demand);
            WireFormat.putVarint(out, entry.waitingOrAddedTokens);
        }
        return WireFormat.appendChecksum(out);
    }

    private static void putVoterSet(ByteBuffer out, VoterSet voterSet) {
        if (voterSet != null) {
            WireFormat.putVarint(out, voterSet.term());
            WireFormat.putVarint(out, voterSet.version());
            WireFormat.putVarint(out, voterSet.memberIds().length);
            for (int id : voterSet.memberIds()) {
                out.putInt(id);
            }
        }
    }

    private static VoterSet readVoterSet(ByteBuffer in) throws MalformedMessageException {
        long term = WireFormat.getVarint(in), version = WireFormat.getVarint(in);
        int[] ids = new int[readCount(in, MAX_VOTERS)];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = in.getInt();
        }
        return new VoterSet(term, version, ids);
    }

    /**
     * Reads a count and rejects large ones, so that a forged datagram cannot make this process allocate
     * much memory.
     */
    private static int readCount(ByteBuffer in, int max) throws MalformedMessageException {
        long count = WireFormat.getVarint(in);
        if (count > max) {
            throw new MalformedMessageException("too-many");
        }
        return (int) count;
    }

    /**
     * Decodes a datagram.
     *
     * @throws MalformedMessageException if it is truncated, corrupt or not of this protocol version
     */
    static BudgetMessage decode(ByteBuffer datagram) throws MalformedMessageException {
        ByteBuffer in = WireFormat.verifyChecksum(datagram);
        if (in == null) {
            throw new MalformedMessageException("checksum");
        }
        try {
            if (in.get() != FIRST_MAGIC_BYTE || in.get() != SECOND_MAGIC_BYTE) {
                throw new MalformedMessageException("foreign");
            }
            if (in.get() != SCHEMA_VERSION) {
                throw new MalformedMessageException("newer");
            }
            int kindIndex = in.get();
            if (kindIndex < 0 || kindIndex >= Kind.values().length) {
                throw new MalformedMessageException("unknown");
            }
            int senderId = in.getInt(), instanceId = in.getInt(), receiverInstanceId = in.getInt();
            long term = WireFormat.getVarint(in), requestNumber = WireFormat.getVarint(in),
                grantVersion = WireFormat.getVarint(in);
            long senderClock = WireFormat.getVarint(in);
            int flags = in.get();
            int coordinatorId = in.getInt();
            VoterSet committedSet = (flags & 2) == 0 ? null : readVoterSet(in);
            VoterSet pendingSet = (flags & 4) == 0 ? null : readVoterSet(in);
            List<BudgetEntry> entries = new ArrayList<>();
            for (int remaining = readCount(in, MAX_BUDGETS); remaining > 0; remaining--) {
                entries.add(new BudgetEntry(in.getInt(), WireFormat.getVarint(in), WireFormat.getVarint(in),
                    WireFormat.getVarint(in), WireFormat.getVarint(in)));
            }
            return new BudgetMessage(Kind.values()[kindIndex], senderId, instanceId, receiverInstanceId,
                term, requestNumber, grantVersion, senderClock, (flags & 1) != 0, coordinatorId,
                committedSet, pendingSet, entries);
        } catch (BufferUnderflowException e) {
            throw new MalformedMessageException("cut");
        }
    }
}
