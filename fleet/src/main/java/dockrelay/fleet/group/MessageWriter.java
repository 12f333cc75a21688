package dockrelay.fleet.group;

import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.wire.WireFormat;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;

/** Encodes a datagram of the protocol between groups, section by section, within the maximum size. */
final class MessageWriter {
    static final int MAX_MESSAGE_BYTES = 1400;
    private static final int CHECKSUM_BYTES = 4, SECTION_HEADER_BYTES = 3, MAX_DIFFERING_MEMBERS = 8,
        MAX_DISTINCT_SETS = 255;
    /**
     * Bitmaps whose ages lie in the same range of this many units are sent together with the highest age; and
     * the maximum size in bytes of an entry for a single group.
     */
    private static final int AGE_RANGE_UNITS = 64, MAX_SET_ENTRY_BYTES = 5;
    /** The maximum encoded size of a table row and of a summary in bytes. */
    private static final int MAX_ROW_BYTES = 3 + 1 + 12 + 5 * 3 + 4,
        MAX_SUMMARY_BYTES = 17 + 5 * 3 + 4 + 1 + 4 * Representatives.MAX_COUNT;

    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
    private int sectionStart = -1;

    MessageWriter(GroupMessage.Kind kind, int senderId, int listHash, int sequence) {
        buffer.put(GroupMessage.FIRST_MAGIC_BYTE).put(GroupMessage.SECOND_MAGIC_BYTE)
            .put(GroupMessage.VERSION).put((byte) kind.ordinal()).putInt(senderId).putInt(listHash)
            .putInt(sequence);
    }

    private int remainingBytes() {
        return buffer.remaining() - CHECKSUM_BYTES - (sectionStart < 0 ? SECTION_HEADER_BYTES : 0);
    }

    private void beginSection(byte tag) {
        sectionStart = buffer.position();
        buffer.put(tag).putShort((short) 0);
    }

    private void endSection() {
        int length = buffer.position() - sectionStart - SECTION_HEADER_BYTES;
        if (length == 0) {
            buffer.position(sectionStart);
        } else {
            buffer.putShort(sectionStart + 1, (short) length);
        }
        sectionStart = -1;
    }

    /** Writes the keys of groups of which the receiver shall relay its summaries. */
    MessageWriter relayRequests(List<Integer> keys) {
        beginSection(GroupMessage.RELAY_REQUESTS_SECTION);
        keys.forEach(buffer::putInt);
        endSection();
        return this;
    }

    MessageWriter summary(GroupSummary summary) {
        beginSection(GroupMessage.SUMMARY_SECTION);
        putSummary(summary);
        endSection();
        return this;
    }

    /** Writes the bitmap of the groups that are unreachable to the sender's group, if it fits. */
    MessageWriter unreachable(byte[] bitmap) {
        if (bitmap != null && bitmap.length <= remainingBytes()) {
            beginSection(GroupMessage.UNREACHABLE_SECTION);
            buffer.put(bitmap);
            endSection();
        }
        return this;
    }

    /** Writes as many summaries of other groups as fit. */
    MessageWriter relayedSummaries(List<GroupMessage.RelayedSummary> summaries) {
        beginSection(GroupMessage.RELAYED_SECTION);
        for (GroupMessage.RelayedSummary relayedSummary : summaries) {
            if (remainingBytes() < MAX_SUMMARY_BYTES + 6) {
                break;
            }
            WireFormat.putVarint(buffer, ceilToMillis(relayedSummary.age()));
            putSummary(relayedSummary.summary());
        }
        endSection();
        return this;
    }

    /** Writes which version of the table the requester has, and the flags of its query. */
    MessageWriter since(int epoch, long version, boolean wantsUnreachable, boolean ownPart) {
        beginSection(GroupMessage.SINCE_SECTION);
        buffer.putInt(epoch);
        WireFormat.putVarint(buffer, version);
        buffer.put((byte) ((wantsUnreachable ? GroupMessage.WANTS_UNREACHABLE_FLAG : 0)
            + GroupMessage.READS_COMPACT_FLAG + (ownPart ? GroupMessage.OWN_PART_FLAG : 0)));
        endSection();
        return this;
    }

    /** Writes up to which version of the table a reply goes, and whether there is more. */
    MessageWriter upTo(int epoch, long version, boolean hasMore) {
        beginSection(GroupMessage.UP_TO_SECTION);
        buffer.putInt(epoch);
        WireFormat.putVarint(buffer, version);
        buffer.put((byte) (hasMore ? 1 : 0));
        endSection();
        return this;
    }

    /** Writes the encoded age of the data of each group. */
    MessageWriter ages(byte[] ages) {
        beginSection(GroupMessage.AGES_SECTION);
        buffer.put(ages);
        endSection();
        return this;
    }

    /** Writes the number of groups, then each known age with the distance from the group before. */
    MessageWriter ownAges(byte[] ages) {
        beginSection(GroupMessage.OWN_AGES_SECTION);
        WireFormat.putVarint(buffer, ages.length);
        int previousGroup = -1;
        for (int group = 0; group < ages.length; group++) {
            if ((ages[group] & 0xff) != GroupMessage.AGE_UNKNOWN) {
                WireFormat.putVarint(buffer, group - previousGroup - 1);
                buffer.put(ages[group]);
                previousGroup = group;
            }
        }
        endSection();
        return this;
    }

    /**
     * Writes rows in order and returns how many fit, with {@code reservedBytes} left for other sections.
     * Counts that follow from others are left out if {@code nameCounts} gives the number of names per group;
     * it is null for a receiver that cannot read such rows.
     */
    int rows(List<GroupMessage.TableRow> rows, boolean keyed, int reservedBytes,
        IntUnaryOperator nameCounts) {
        beginSection(GroupMessage.ROWS_SECTION);
        int writtenRows = 0;
        for (GroupMessage.TableRow row : rows) {
            if (remainingBytes() - reservedBytes < MAX_ROW_BYTES) {
                break;
            }
            writtenRows++;
            putRow(row, keyed, keyed || row.otherList() || nameCounts == null ? 0
                : omittedFlags(row, nameCounts.applyAsInt(row.index())));
        }
        endSection();
        return writtenRows;
    }

    private static int omittedFlags(GroupMessage.TableRow row, int nameCount) {
        return (row.leftMembers() == 0 ? GroupMessage.NONE_LEFT_FLAG : 0)
            + (row.presentMembers() == nameCount - row.leftMembers() - row.goneMembers()
                ? GroupMessage.REST_PRESENT_FLAG : 0)
            + (row.countedMembers() == row.presentMembers() ? GroupMessage.PRESENT_COUNTED_FLAG : 0)
            + (row.agreeingMembers() == row.presentMembers() ? GroupMessage.PRESENT_AGREE_FLAG : 0);
    }

    private void putRow(GroupMessage.TableRow row, boolean keyed, int omitted) {
        WireFormat.putVarint(buffer, row.index());
        buffer.put((byte) (row.agreement().ordinal() + (keyed ? GroupMessage.KEYED_FLAG : 0)
            + (row.otherList() ? GroupMessage.OTHER_LIST_FLAG : 0) + omitted));
        if (keyed) {
            buffer.putInt(row.key());
        }
        if (row.otherList()) {
            buffer.putInt(row.listHash());
        }
        if (keyed || row.otherList()) {
            buffer.putInt(row.namesHash());
        }
        putCount(row.presentMembers(), omitted & GroupMessage.REST_PRESENT_FLAG);
        putCount(row.leftMembers(), omitted & GroupMessage.NONE_LEFT_FLAG);
        WireFormat.putVarint(buffer, row.goneMembers());
        putCount(row.countedMembers(), omitted & GroupMessage.PRESENT_COUNTED_FLAG);
        putCount(row.agreeingMembers(), omitted & GroupMessage.PRESENT_AGREE_FLAG);
        if (keyed || row.otherList()) {
            buffer.putInt(row.representative());
        } else {
            WireFormat.putVarint(buffer, row.representative());
        }
    }

    private void putCount(int count, int omitted) {
        if (omitted == 0) {
            WireFormat.putVarint(buffer, count);
        }
    }

    /**
     * Writes bitmaps of unreachable groups in the compact format: groups with the same bitmap and similar
     * ages share one entry with the highest age. If few are equal, uses the format of {@link
     * #unreachableSets}.
     */
    MessageWriter sharedUnreachableSets(List<GroupMessage.UnreachableSet> sets) {
        Map<String, List<GroupMessage.UnreachableSet>> setsByContent = new LinkedHashMap<>();
        for (GroupMessage.UnreachableSet set : sets) {
            setsByContent.computeIfAbsent(Arrays.toString(set.unreachable())
                + set.ageUnits() / AGE_RANGE_UNITS, equalSets -> new ArrayList<>()).add(set);
        }
        int length = sets.isEmpty() ? 0 : sets.get(0).unreachable().length;
        if (setsByContent.size() * (1 + 2 * length) > sets.size() * MAX_SET_ENTRY_BYTES) {
            return unreachableSets(sets);
        }
        beginSection(GroupMessage.SHARED_UNREACHABLE_SETS_SECTION);
        for (List<GroupMessage.UnreachableSet> equalSets : setsByContent.values()) {
            if (remainingBytes() < 3 + 2 * length || equalSets.get(0).unreachable().length != length) {
                continue;
            }
            if (buffer.position() == sectionStart + SECTION_HEADER_BYTES) {
                WireFormat.putVarint(buffer, length);
            }
            byte[] reporters = new byte[length];
            int maxAge = 0;
            for (GroupMessage.UnreachableSet set : equalSets) {
                reporters[set.group() / 8] |= (byte) (1 << set.group() % 8);
                maxAge = Math.max(maxAge, set.ageUnits());
            }
            buffer.put((byte) maxAge).put(equalSets.get(0).unreachable()).put(reporters);
        }
        endSection();
        return this;
    }

    /** Writes as many bitmaps of unreachable groups as fit; each distinct bitmap is written once. */
    MessageWriter unreachableSets(List<GroupMessage.UnreachableSet> sets) {
        if (sets.isEmpty()) {
            return this;
        }
        List<byte[]> distinctBitmaps = new ArrayList<>();
        List<GroupMessage.UnreachableSet> writtenSets = new ArrayList<>();
        List<Integer> bitmapIndexes = new ArrayList<>();
        int length = sets.get(0).unreachable().length, bytesLeft = remainingBytes() - 4;
        for (GroupMessage.UnreachableSet set : sets) {
            int bitmapIndex = 0;
            while (bitmapIndex < distinctBitmaps.size()
                && !Arrays.equals(distinctBitmaps.get(bitmapIndex), set.unreachable())) {
                bitmapIndex++;
            }
            int bytesNeeded = MAX_SET_ENTRY_BYTES + (bitmapIndex == distinctBitmaps.size() ? length : 0);
            if (bytesNeeded > bytesLeft || bitmapIndex == MAX_DISTINCT_SETS
                || set.unreachable().length != length) {
                continue;
            }
            bytesLeft -= bytesNeeded;
            if (bitmapIndex == distinctBitmaps.size()) {
                distinctBitmaps.add(set.unreachable());
            }
            writtenSets.add(set);
            bitmapIndexes.add(bitmapIndex);
        }
        if (writtenSets.isEmpty()) {
            return this;
        }
        beginSection(GroupMessage.UNREACHABLE_SETS_SECTION);
        WireFormat.putVarint(buffer, length);
        buffer.put((byte) distinctBitmaps.size());
        distinctBitmaps.forEach(buffer::put);
        for (int i = 0; i < writtenSets.size(); i++) {
            WireFormat.putVarint(buffer, writtenSets.get(i).group());
            buffer.put((byte) writtenSets.get(i).ageUnits()).put((byte) (int) bitmapIndexes.get(i));
        }
        endSection();
        return this;
    }

    MessageWriter memberName(String name) {
        beginSection(GroupMessage.NAME_SECTION);
        putText(name);
        endSection();
        return this;
    }

    MessageWriter memberStatus(MemberStatus status) {
        beginSection(GroupMessage.MEMBER_SECTION);
        putText(status.name());
        buffer.put((byte) status.state().ordinal());
        WireFormat.putVarint(buffer, Math.max(0, status.stateAge()) / 1000);
        putText(status.reportedBy());
        WireFormat.putVarint(buffer, status.incarnation());
        WireFormat.putVarint(buffer, status.reportAge() < 0 ? 0 : ceilToMillis(status.reportAge()) + 1);
        buffer.put((byte) (status.sameMemberList() ? 1 : 0));
        WireFormat.putVarint(buffer, status.disagreementAge() < 0 ? 0 : status.disagreementAge() / 1000 + 1);
        status.differingMembers().stream().limit(MAX_DIFFERING_MEMBERS).forEach(this::putText);
        endSection();
        return this;
    }

    private void putSummary(GroupSummary summary) {
        buffer.putInt(summary.key()).putInt(summary.listHash()).putInt(summary.namesHash())
            .putInt(summary.viewHash()).put((byte) summary.agreement().ordinal());
        WireFormat.putVarint(buffer, summary.presentMembers());
        WireFormat.putVarint(buffer, summary.leftMembers());
        WireFormat.putVarint(buffer, summary.goneMembers());
        WireFormat.putVarint(buffer, summary.countedMembers());
        WireFormat.putVarint(buffer, summary.agreeingMembers());
        buffer.putInt(summary.reporterId()).put((byte) summary.representatives().length);
        for (int representativeId : summary.representatives()) {
            buffer.putInt(representativeId);
        }
    }

    private void putText(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        buffer.put((byte) bytes.length).put(bytes);
    }

    /** Rounds up: an age must never be understated. */
    private static long ceilToMillis(long micros) {
        return (micros + 999) / 1000;
    }

    /** Appends the checksum and returns the datagram, ready to be sent. */
    ByteBuffer finish() {
        return WireFormat.appendChecksum(buffer);
    }
}
