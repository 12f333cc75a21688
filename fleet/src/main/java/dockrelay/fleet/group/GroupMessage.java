package dockrelay.fleet.group;

import dockrelay.fleet.MemberState;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import dockrelay.fleet.wire.WireFormat;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;

/** A decoded datagram of the protocol between groups; docs/membership.md has the format. */
final class GroupMessage {
    static final byte FIRST_MAGIC_BYTE = (byte) 0xd7, SECOND_MAGIC_BYTE = 0x52, VERSION = 1;
    /** Section tags; sections with other tags are skipped. */
    static final byte RELAY_REQUESTS_SECTION = 1, SUMMARY_SECTION = 2, UNREACHABLE_SECTION = 3,
        RELAYED_SECTION = 4, SINCE_SECTION = 5, UP_TO_SECTION = 6, AGES_SECTION = 7, ROWS_SECTION = 8,
        UNREACHABLE_SETS_SECTION = 9, NAME_SECTION = 10, MEMBER_SECTION = 11,
        SHARED_UNREACHABLE_SETS_SECTION = 12, OWN_AGES_SECTION = 13;
    /** Flags of a table row beside its agreement: it has a key; its list differs from the sender's. */
    static final int AGREEMENT_MASK = 3, KEYED_FLAG = 4, OTHER_LIST_FLAG = 8;
    /**
     * Flags of counts that a table row leaves out, as they follow from others: no member left, all others not
     * gone are present, all present members are counted, all present members agree.
     */
    static final int NONE_LEFT_FLAG = 16, REST_PRESENT_FLAG = 32, PRESENT_COUNTED_FLAG = 64,
        PRESENT_AGREE_FLAG = 128;
    /** Stands for a count that was left out. */
    static final int OMITTED_COUNT = -1;
    /**
     * Flags of a table query: the requester wants to know which groups are unreachable to whom; it can read
     * the compact formats; it queries all representatives, and wants from each only what that one queried
     * itself.
     */
    static final int WANTS_UNREACHABLE_FLAG = 1, READS_COMPACT_FLAG = 2, OWN_PART_FLAG = 4;
    /** Ages in units of {@link GroupTiming#ageUnit}; the highest values are special. */
    static final int MAX_AGE_UNITS = 252, AGE_UNKNOWN = 253, AGE_TOO_OLD = 254, AGE_EXCLUDED = 255;

    private static final long MAX_AGE_MILLIS = 1L << 40;
    private static final int MAX_GROUPS = 4096;

    /** Queries and replies about a group itself, the table of all groups, and a single member. */
    enum Kind { GROUP_QUERY, GROUP_REPLY, TABLE_QUERY, TABLE_REPLY, MEMBER_QUERY, MEMBER_REPLY }

    /** Why a datagram was refused; the same reasons as within a group. */
    enum RefusalReason { CUT, FOREIGN, CHECKSUM, NEWER, STRANGER, MISNAMED }

    /** Thrown if a datagram cannot be decoded. */
    static final class DecodeException extends Exception {
        private static final long serialVersionUID = 1L;
        final transient RefusalReason reason;

        DecodeException(RefusalReason reason) {
            super(reason.name(), null, false, false);
            this.reason = reason;
        }
    }

    /** A relayed summary of a third group with its maximum age in microseconds. */
    record RelayedSummary(GroupSummary summary, long age) {
    }

    /**
     * A changed row of a table. The key is 0 if sender and receiver have the same list, so that the index
     * identifies the group. Such a row may leave out counts that follow from others and from the group's
     * size.
     */
    record TableRow(int index, int key, boolean otherList, int listHash, int namesHash, int presentMembers,
        int leftMembers, int goneMembers, int countedMembers, Agreement agreement, int agreeingMembers,
        int representative) {
        /** Returns the row with all counts filled in, for a group of this many names. */
        TableRow withAllCounts(int nameCount) {
            int left = leftMembers == OMITTED_COUNT ? 0 : leftMembers;
            int present = presentMembers == OMITTED_COUNT ? Math.max(0, nameCount - left - goneMembers)
                : presentMembers;
            return new TableRow(index, key, otherList, listHash, namesHash, present, left, goneMembers,
                countedMembers == OMITTED_COUNT ? present : countedMembers, agreement,
                agreeingMembers == OMITTED_COUNT ? present : agreeingMembers, representative);
        }
    }

    /**
     * The set of groups that are unreachable to a group, as a bitmap, and the maximum age of that report in
     * units of {@link GroupTiming#ageUnit}. Groups are in the order of the sender's list.
     */
    record UnreachableSet(int group, byte[] unreachable, int ageUnits) {
    }

    Kind kind;
    int senderId, listHash, sequence;
    final List<Integer> relayRequests = new ArrayList<>(); // keys of groups that the requester cannot reach
    GroupSummary summary;
    byte[] unreachable;
    final List<RelayedSummary> relayedSummaries = new ArrayList<>();
    int epoch;
    long version;
    boolean wantsUnreachable, readsCompact, ownPart, hasMore; // flags of a table query or reply
    byte[] ages;
    final List<TableRow> rows = new ArrayList<>();
    final List<UnreachableSet> unreachableSets = new ArrayList<>();
    String memberName;
    MemberStatus memberStatus;

    private GroupMessage() {
    }

    /**
     * Decodes a datagram.
     *
     * @throws DecodeException if it is malformed, or of another protocol or a later version
     */
    static GroupMessage decode(ByteBuffer datagram) throws DecodeException {
        if (datagram.remaining() < 2 || datagram.get(datagram.position()) != FIRST_MAGIC_BYTE
            || datagram.get(datagram.position() + 1) != SECOND_MAGIC_BYTE) {
            throw new DecodeException(RefusalReason.FOREIGN);
        }
        ByteBuffer in = WireFormat.verifyChecksum(datagram);
        if (in == null) {
            throw new DecodeException(RefusalReason.CHECKSUM);
        }
        try {
            in.getShort();
            if (in.get() > VERSION) {
                throw new DecodeException(RefusalReason.NEWER);
            }
            GroupMessage message = new GroupMessage();
            message.kind = Kind.values()[in.get()];
            message.senderId = in.getInt();
            message.listHash = in.getInt();
            message.sequence = in.getInt();
            while (in.hasRemaining()) {
                byte tag = in.get();
                int length = in.getShort() & 0xffff;
                ByteBuffer section = in.slice(in.position(), length);
                in.position(in.position() + length);
                message.readSection(tag, section);
            }
            return message;
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new DecodeException(RefusalReason.CUT);
        }
    }

    private void readSection(byte tag, ByteBuffer section) {
        switch (tag) {
            case RELAY_REQUESTS_SECTION -> {
                while (section.hasRemaining()) {
                    relayRequests.add(section.getInt());
                }
            }
            case SUMMARY_SECTION -> summary = readSummary(section);
            case UNREACHABLE_SECTION -> unreachable = readBytes(section, section.remaining());
            case RELAYED_SECTION -> {
                while (section.hasRemaining()) {
                    long age = Math.min(WireFormat.getVarint(section), MAX_AGE_MILLIS) * 1000;
                    relayedSummaries.add(new RelayedSummary(readSummary(section), age));
                }
            }
            case SINCE_SECTION -> {
                epoch = section.getInt();
                version = WireFormat.getVarint(section);
                int flags = section.get();
                wantsUnreachable = (flags & WANTS_UNREACHABLE_FLAG) != 0;
                readsCompact = (flags & READS_COMPACT_FLAG) != 0;
                ownPart = (flags & OWN_PART_FLAG) != 0;
            }
            case UP_TO_SECTION -> {
                epoch = section.getInt();
                version = WireFormat.getVarint(section);
                hasMore = section.get() != 0;
            }
            case AGES_SECTION -> ages = readBytes(section, section.remaining());
            case OWN_AGES_SECTION -> {
                ages = readOwnAges(section);
                ownPart = true;
            }
            case ROWS_SECTION -> {
                while (section.hasRemaining()) {
                    rows.add(readRow(section));
                }
            }
            case UNREACHABLE_SETS_SECTION -> readUnreachableSets(section);
            case SHARED_UNREACHABLE_SETS_SECTION -> readSharedUnreachableSets(section);
            case NAME_SECTION -> memberName = readText(section);
            case MEMBER_SECTION -> memberStatus = readMemberStatus(section);
            default -> { } // a section of a later version
        }
    }

    private static byte[] readOwnAges(ByteBuffer section) {
        int groupCount = readCount(section);
        if (groupCount > MAX_GROUPS) {
            throw new IllegalArgumentException("table of " + groupCount + " groups is too large");
        }
        byte[] ages = new byte[groupCount];
        Arrays.fill(ages, (byte) AGE_UNKNOWN);
        for (int group = -1; section.hasRemaining();) {
            group += 1 + readCount(section);
            ages[group] = section.get();
        }
        return ages;
    }

    private GroupSummary readSummary(ByteBuffer section) {
        int key = section.getInt(), listHash = section.getInt(), namesHash = section.getInt(),
            viewHash = section.getInt();
        Agreement agreement = Agreement.values()[section.get()];
        int presentMembers = readCount(section), leftMembers = readCount(section),
            goneMembers = readCount(section), countedMembers = readCount(section);
        int agreeingMembers = readCount(section), reporterId = section.getInt();
        int[] representatives = new int[Math.min(section.get(), section.remaining() / 4)];
        for (int i = 0; i < representatives.length; i++) {
            representatives[i] = section.getInt();
        }
        return new GroupSummary(key, listHash, namesHash, viewHash, presentMembers, leftMembers, goneMembers,
            countedMembers, agreement, agreeingMembers, representatives, reporterId);
    }

    private static TableRow readRow(ByteBuffer section) {
        int index = readCount(section), flags = section.get();
        boolean keyed = (flags & KEYED_FLAG) != 0, otherList = (flags & OTHER_LIST_FLAG) != 0;
        int key = keyed ? section.getInt() : 0;
        int listHash = otherList ? section.getInt() : 0;
        int namesHash = keyed || otherList ? section.getInt() : 0;
        int omitted = keyed || otherList ? 0 : flags;
        int presentMembers = (omitted & REST_PRESENT_FLAG) != 0 ? OMITTED_COUNT : readCount(section);
        int leftMembers = (omitted & NONE_LEFT_FLAG) != 0 ? OMITTED_COUNT : readCount(section);
        int goneMembers = readCount(section);
        int countedMembers = (omitted & PRESENT_COUNTED_FLAG) != 0 ? OMITTED_COUNT : readCount(section);
        int agreeingMembers = (omitted & PRESENT_AGREE_FLAG) != 0 ? OMITTED_COUNT : readCount(section);
        return new TableRow(index, key, otherList, listHash, namesHash, presentMembers, leftMembers,
            goneMembers, countedMembers, Agreement.values()[flags & AGREEMENT_MASK], agreeingMembers,
            keyed || otherList ? section.getInt() : readCount(section));
    }

    private void readUnreachableSets(ByteBuffer section) {
        int length = readCount(section);
        byte[][] distinctSets = new byte[section.get() & 0xff][];
        for (int i = 0; i < distinctSets.length; i++) {
            distinctSets[i] = readBytes(section, length);
        }
        while (section.hasRemaining()) {
            int group = readCount(section);
            int ageUnits = section.get() & 0xff;
            unreachableSets.add(new UnreachableSet(group, distinctSets[section.get() & 0xff], ageUnits));
        }
    }

    private void readSharedUnreachableSets(ByteBuffer section) {
        int length = readCount(section);
        while (section.hasRemaining()) {
            int ageUnits = section.get() & 0xff;
            byte[] unreachable = readBytes(section, length);
            BitSet reporters = BitSet.valueOf(readBytes(section, length));
            reporters.stream().forEach(group -> unreachableSets.add(new UnreachableSet(group, unreachable,
                ageUnits)));
        }
    }

    private static MemberStatus readMemberStatus(ByteBuffer section) {
        String name = readText(section);
        MemberState state = MemberState.values()[section.get()];
        long stateAge = Math.min(WireFormat.getVarint(section), MAX_AGE_MILLIS) * 1000;
        String reportedBy = readText(section);
        long incarnation = WireFormat.getVarint(section),
            reportAge = Math.min(WireFormat.getVarint(section), MAX_AGE_MILLIS) - 1;
        boolean sameMemberList = section.get() != 0;
        long disagreementAge = Math.min(WireFormat.getVarint(section), MAX_AGE_MILLIS) - 1;
        List<String> differingMembers = new ArrayList<>();
        while (section.hasRemaining()) {
            differingMembers.add(readText(section));
        }
        return new MemberStatus(name, state, stateAge, reportedBy, incarnation,
            reportAge < 0 ? -1 : reportAge * 1000, sameMemberList, differingMembers,
            disagreementAge < 0 ? -1 : disagreementAge * 1000);
    }

    private static int readCount(ByteBuffer section) {
        long value = WireFormat.getVarint(section);
        if (value < 0 || value > 1 << 20) {
            throw new IllegalArgumentException("count out of range: " + value);
        }
        return (int) value;
    }

    private static String readText(ByteBuffer section) {
        return new String(readBytes(section, section.get() & 0xff), StandardCharsets.UTF_8);
    }

    /** Reads bytes; checks the length before it allocates. */
    private static byte[] readBytes(ByteBuffer section, int length) {
        if (length > section.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] result = new byte[length];
        section.get(result);
        return result;
    }
}
