package dockrelay.fleet;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Encoder and decoder of the datagrams between members of a group; docs/membership.md has the format. */
final class Datagram {
    static final int MAX_DATAGRAM_BYTES = 1400;
    static final byte FIRST_MAGIC_BYTE = (byte) 0xd5;
    private static final short MAGIC = (short) 0xd552;
    private static final byte VERSION = 1;
    private static final byte UPDATES_SECTION = 1, REPORTS_SECTION = 2;
    private static final int CHECKSUM_BYTES = 4, SECTION_HEADER_BYTES = 3;
    /** The maximum encoded size of a member update. */
    static final int MAX_UPDATE_BYTES = 4 + 1 + 8 + 4;
    private static final int MAX_DISTINCT_VIEWS = 64;
    private static final long MAX_AGE_MILLIS = 1L << 40;

    /**
     * Kinds by their code on the wire. PING_REQUEST asks for an indirect ping, INDIRECT_ACK reports its
     * success, and SYNC carries the full state. NAME_MISMATCH tells the receiver that its address belongs to
     * another member.
     */
    enum Kind { PING, ACK, PING_REQUEST, INDIRECT_ACK, SYNC, NAME_MISMATCH }

    /**
     * Why a datagram was refused: truncated or malformed, another protocol, wrong checksum, later version,
     * unknown sender, or a sender id that does not match the address.
     */
    enum RefusalReason { CUT, FOREIGN, CHECKSUM, NEWER, STRANGER, MISNAMED }

    /** A gossiped state of a member, with the id of the member that first reported it. */
    record MemberUpdate(int memberId, MemberState state, long incarnation, int reporterId) {
    }

    /**
     * A member's report of its view, with the maximum age in microseconds and the hash of its member list.
     */
    record ViewReport(int reporterId, long incarnation, long heartbeat, long age, int listHash,
        byte[] memberFlags) {
    }

    /**
     * The header of each datagram. Instance ids identify processes; that of the receiver is 0 if the sender
     * does not know it.
     */
    record Header(Kind kind, int senderId, long incarnation, int senderInstanceId, int receiverInstanceId,
        boolean leaving, int viewHash, int sequence, int targetId) {
    }

    /** A decoded datagram. */
    record Decoded(Header header, List<MemberUpdate> updates, List<ViewReport> reports) {
    }

    /** Thrown if a datagram cannot be decoded. */
    static final class DecodeException extends Exception {
        private static final long serialVersionUID = 1L;
        final transient RefusalReason reason;

        DecodeException(RefusalReason reason) {
            super(reason.name(), null, false, false);
            this.reason = reason;
        }
    }

    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

    Datagram(Header header) {
        buffer.putShort(MAGIC).put(VERSION).put((byte) header.kind.ordinal()).putInt(header.senderId);
        putVarint(buffer, header.incarnation);
        buffer.putInt(header.senderInstanceId).putInt(header.receiverInstanceId)
            .put((byte) (header.leaving ? 1 : 0)).putInt(header.viewHash).putInt(header.sequence)
            .putInt(header.targetId);
    }

    private int remainingBytes() {
        return buffer.remaining() - CHECKSUM_BYTES - SECTION_HEADER_BYTES;
    }

    /** Appends updates from an index on as far as they fit; returns the index of the first one left out. */
    int appendUpdates(List<MemberUpdate> updates, int fromIndex, int maxCount) {
        int index = fromIndex;
        int sectionStart = buffer.position();
        if (index < updates.size() && remainingBytes() >= MAX_UPDATE_BYTES) {
            buffer.put(UPDATES_SECTION).putShort((short) 0);
            while (index < updates.size() && index - fromIndex < maxCount
                && buffer.remaining() - CHECKSUM_BYTES >= MAX_UPDATE_BYTES) {
                MemberUpdate update = updates.get(index++);
                buffer.putInt(update.memberId).put((byte) update.state.ordinal());
                putVarint(buffer, update.incarnation);
                buffer.putInt(update.reporterId);
            }
            buffer.putShort(sectionStart + 1,
                (short) (buffer.position() - sectionStart - SECTION_HEADER_BYTES));
        }
        return index;
    }

    /** Appends as many reports as fit. Many report the same view: each distinct view is written once. */
    void appendReports(List<ViewReport> reports) {
        List<ViewReport> appendedReports = new ArrayList<>(), distinctViews = new ArrayList<>();
        List<Integer> viewIndexes = new ArrayList<>();
        int bytesLeft = remainingBytes() - 1;
        for (ViewReport report : reports) {
            int viewIndex = 0;
            while (viewIndex < distinctViews.size()
                && !(distinctViews.get(viewIndex).listHash == report.listHash
                && java.util.Arrays.equals(distinctViews.get(viewIndex).memberFlags, report.memberFlags))) {
                viewIndex++;
            }
            int bytesNeeded = 4 + varintBytes(report.incarnation) + varintBytes(report.heartbeat)
                + varintBytes(ceilToMillis(report.age)) + 1 + (viewIndex < distinctViews.size() ? 0 : 4 + 2
                + report.memberFlags.length);
            if (bytesNeeded > bytesLeft || viewIndex == MAX_DISTINCT_VIEWS) {
                break;
            }
            bytesLeft -= bytesNeeded;
            if (viewIndex == distinctViews.size()) {
                distinctViews.add(report);
            }
            appendedReports.add(report);
            viewIndexes.add(viewIndex);
        }
        if (appendedReports.isEmpty()) {
            return;
        }
        int sectionStart = buffer.position();
        buffer.put(REPORTS_SECTION).putShort((short) 0).put((byte) distinctViews.size());
        for (ViewReport report : distinctViews) {
            buffer.putInt(report.listHash).putShort((short) report.memberFlags.length)
                .put(report.memberFlags);
        }
        for (int i = 0; i < appendedReports.size(); i++) {
            ViewReport report = appendedReports.get(i);
            buffer.putInt(report.reporterId);
            putVarint(buffer, report.incarnation);
            putVarint(buffer, report.heartbeat);
            putVarint(buffer, ceilToMillis(report.age));
            buffer.put((byte) viewIndexes.get(i).intValue());
        }
        buffer.putShort(sectionStart + 1, (short) (buffer.position() - sectionStart - SECTION_HEADER_BYTES));
    }

    /** Appends the checksum and returns the datagram, ready to be sent. */
    ByteBuffer finish() {
        buffer.putInt(checksum(buffer.array(), buffer.position()));
        return buffer.flip();
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /**
     * Decodes a datagram.
     *
     * @throws DecodeException if it is malformed, or of another protocol or a later version
     */
    static Decoded decode(ByteBuffer datagram) throws DecodeException {
        byte[] bytes = new byte[datagram.remaining()];
        datagram.get(bytes);
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            if (in.getShort() != MAGIC) {
                throw new DecodeException(RefusalReason.FOREIGN);
            }
            if (bytes.length < 8 || checksum(bytes, bytes.length - CHECKSUM_BYTES)
                != ByteBuffer.wrap(bytes).getInt(bytes.length - CHECKSUM_BYTES)) {
                throw new DecodeException(RefusalReason.CHECKSUM);
            }
            in.limit(bytes.length - CHECKSUM_BYTES);
            if (in.get() > VERSION) {
                throw new DecodeException(RefusalReason.NEWER);
            }
            Kind kind = Kind.values()[in.get()];
            int senderId = in.getInt();
            Header header = new Header(kind, senderId, getVarint(in), in.getInt(), in.getInt(), in.get() != 0,
                in.getInt(), in.getInt(), in.getInt());
            List<MemberUpdate> updates = new ArrayList<>();
            List<ViewReport> reports = new ArrayList<>();
            while (in.hasRemaining()) {
                byte tag = in.get();
                ByteBuffer section = in.slice(in.position() + 2, in.getShort() & 0xffff);
                in.position(in.position() + section.limit());
                if (tag == UPDATES_SECTION) {
                    while (section.hasRemaining()) {
                        updates.add(new MemberUpdate(section.getInt(), MemberState.values()[section.get()],
                            getVarint(section), section.getInt()));
                    }
                } else if (tag == REPORTS_SECTION) {
                    readReports(section, reports);
                } // sections of later versions are skipped
            }
            return new Decoded(header, updates, reports);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new DecodeException(RefusalReason.CUT);
        }
    }

    private static void readReports(ByteBuffer section, List<ViewReport> reports) {
        int[] listHashes = new int[section.get()];
        byte[][] memberFlags = new byte[listHashes.length][];
        for (int i = 0; i < listHashes.length; i++) {
            listHashes[i] = section.getInt();
            int length = section.getShort() & 0xffff;
            if (length > section.remaining()) {
                throw new BufferUnderflowException(); // checked before the allocation
            }
            memberFlags[i] = new byte[length];
            section.get(memberFlags[i]);
        }
        while (section.hasRemaining()) {
            int reporterId = section.getInt();
            long incarnation = getVarint(section), heartbeat = getVarint(section),
                age = Math.min(getVarint(section), MAX_AGE_MILLIS) * 1000;
            int viewIndex = section.get();
            reports.add(new ViewReport(reporterId, incarnation, heartbeat, age, listHashes[viewIndex],
                memberFlags[viewIndex]));
        }
    }

    /** Rounds up: an age must never be understated. */
    private static long ceilToMillis(long micros) {
        return (micros + 999) / 1000;
    }

    private static int varintBytes(long value) {
        return Math.max(1, (64 - Long.numberOfLeadingZeros(value) + 6) / 7);
    }

    /** Writes a variable-length integer: seven bits per byte, low bits first. */
    private static void putVarint(ByteBuffer buffer, long value) {
        long remainingBits = value;
        while (remainingBits > 0x7f) {
            buffer.put((byte) (remainingBits | 0x80));
            remainingBits >>>= 7;
        }
        buffer.put((byte) remainingBits);
    }

    private static long getVarint(ByteBuffer buffer) {
        long value = 0;
        for (int shift = 0; shift < 56; shift += 7) {
            byte nextByte = buffer.get();
            value |= (long) (nextByte & 0x7f) << shift;
            if (nextByte >= 0) {
                return value;
            }
        }
        throw new BufferUnderflowException();
    }
}
