package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.fleet.MemberState;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import dockrelay.fleet.group.GroupMessage.DecodeException;
import dockrelay.fleet.group.GroupMessage.Kind;
import dockrelay.fleet.group.GroupMessage.RefusalReason;
import dockrelay.fleet.group.GroupMessage.RelayedSummary;
import dockrelay.fleet.group.GroupMessage.TableRow;
import dockrelay.fleet.group.GroupMessage.UnreachableSet;
import dockrelay.fleet.wire.WireFormat;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;

/** Encoding, refusal and handling of messages between groups, and lookup of a member by name. */
class GroupMessageTest {
    private static GroupSummary randomSummary(Random random) {
        int[] representatives = random.ints(random.nextInt(4)).toArray();
        return new GroupSummary(random.nextInt(), random.nextInt(), random.nextInt(), random.nextInt(),
            random.nextInt(128), random.nextInt(128), random.nextInt(128), random.nextInt(128),
            Agreement.values()[random.nextInt(3)], random.nextInt(128), representatives, random.nextInt());
    }

    @Test
    void encodedMessagesDecode() throws DecodeException {
        for (int seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            GroupSummary summary = randomSummary(random), relayedSummary = randomSummary(random);
            GroupMessage decoded = GroupMessage.decode(new MessageWriter(Kind.GROUP_REPLY, 7, 8, seed)
                .summary(summary).unreachable(new byte[] {1, 2})
                .relayedSummaries(List.of(new RelayedSummary(relayedSummary, 1_234_567))).finish());
            assertEquals(Kind.GROUP_REPLY, decoded.kind);
            assertEquals(List.of(7, 8, seed), List.of(decoded.senderId, decoded.listHash, decoded.sequence));
            assertEquals(summary, decoded.summary);
            // The age is rounded up.
            assertEquals(List.of(new RelayedSummary(relayedSummary, 1_235_000)), decoded.relayedSummaries);
            assertEquals(2, decoded.unreachable.length);
            List<TableRow> rows = new ArrayList<>();
            boolean keyed = random.nextBoolean();
            for (int i = 0; i < 40; i++) {
                boolean otherList = random.nextInt(5) == 0;
                rows.add(new TableRow(i, keyed ? 1 + random.nextInt(99) : 0, otherList,
                    otherList ? random.nextInt() : 0, keyed || otherList ? random.nextInt() : 0,
                    random.nextInt(128),
                    random.nextInt(128), random.nextInt(128), random.nextInt(128),
                    Agreement.values()[random.nextInt(3)], random.nextInt(128), random.nextInt(65)));
            }
            byte[] ages = new byte[40];
            random.nextBytes(ages);
            MessageWriter writer = new MessageWriter(Kind.TABLE_REPLY, 7, 8, seed);
            int writtenRows = writer.rows(rows, keyed, 64, null);
            GroupMessage decodedTable = GroupMessage.decode(writer.upTo(5, 6, true).ages(ages)
                .unreachableSets(List.of(new UnreachableSet(3, new byte[] {1, 0}, 9),
                new UnreachableSet(5, new byte[] {1, 0}, 8))).finish());
            assertEquals(rows.subList(0, writtenRows), decodedTable.rows);
            assertTrue(Arrays.equals(ages, decodedTable.ages) && decodedTable.hasMore
                && decodedTable.version == 6 && decodedTable.epoch == 5);
            assertEquals(List.of(3, 5), decodedTable.unreachableSets.stream().map(UnreachableSet::group)
                .toList());
            MemberStatus status = new MemberStatus("n1", MemberState.SUSPECT, 5_000, "n2", 77, -1, true,
                List.of("n3", "n4"), 9_000);
            assertEquals(status, GroupMessage.decode(new MessageWriter(Kind.MEMBER_REPLY, 7, 8, seed)
                .memberStatus(status).finish()).memberStatus);
        }
    }

    /** Counts that follow from others are left out and restored with the number of names of the group. */
    @Test
    void omittedCountsAreRestored() throws DecodeException {
        for (int seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            List<TableRow> rows = new ArrayList<>();
            int[] nameCounts = random.ints(40, 1, 129).toArray();
            for (int i = 0; i < nameCounts.length; i++) {
                int left = random.nextInt(3) / 2, gone = random.nextInt(nameCounts[i]);
                int rest = Math.max(0, nameCounts[i] - left - gone);
                int present = random.nextInt(4) == 0 ? random.nextInt(128) : rest;
                boolean otherList = random.nextInt(8) == 0;
                rows.add(new TableRow(i, 0, otherList, otherList ? 7 : 0, otherList ? 8 : 0, present, left,
                    gone, random.nextBoolean() ? present : random.nextInt(128),
                    Agreement.values()[random.nextInt(3)], random.nextBoolean() ? present
                    : random.nextInt(128), random.nextInt(65)));
            }
            MessageWriter writer = new MessageWriter(Kind.TABLE_REPLY, 7, 8, seed);
            assertEquals(rows.size(), writer.rows(rows, false, 64, index -> nameCounts[index]));
            List<TableRow> decodedRows = GroupMessage.decode(writer.finish()).rows;
            for (int i = 0; i < rows.size(); i++) {
                TableRow decodedRow = decodedRows.get(i);
                assertEquals(rows.get(i), decodedRow.otherList() ? decodedRow
                    : decodedRow.withAllCounts(nameCounts[i]));
            }
        }
    }

    /**
     * A group whose present members all agree takes 4 bytes; with a key or for an older receiver it takes
     * more.
     */
    @Test
    void rowWithOmittedCountsTakesFourBytes() {
        TableRow row = new TableRow(9, 0, false, 0, 0, 41, 0, 7, 41, Agreement.ALL, 41, 3);
        TableRow keyedRow = new TableRow(9, 5, false, 0, 1, 41, 0, 7, 41, Agreement.ALL, 41, 3);
        int bytesWithoutRow = new MessageWriter(Kind.TABLE_REPLY, 7, 8, 9).finish().remaining() + 3;
        assertEquals(bytesWithoutRow + 4, encodedBytes(List.of(row), false, index -> 48));
        assertEquals(bytesWithoutRow + 8, encodedBytes(List.of(row), false, null));
        assertEquals(bytesWithoutRow + 19, encodedBytes(List.of(keyedRow), true, index -> 48));
    }

    /** Groups with the same unreachable groups and similar ages share an entry of two bitmaps. */
    @Test
    void equalUnreachableSetsShareOneEntry() throws DecodeException {
        Random random = new Random(5);
        byte[] commonBitmap = {0, 0, 1, 2, 3}, differentBitmap = {0, 0, 1, 2, 1};
        List<UnreachableSet> sets = new ArrayList<>();
        for (int group = 0; group < 24; group++) {
            int ageUnits = random.nextInt(60) + (group == 9 ? 64 : 0);
            sets.add(new UnreachableSet(group, group == 7 ? differentBitmap : commonBitmap, ageUnits));
        }
        ByteBuffer datagram = new MessageWriter(Kind.TABLE_REPLY, 7, 8, 9).sharedUnreachableSets(sets)
            .finish();
        int emptyMessageBytes = new MessageWriter(Kind.TABLE_REPLY, 7, 8, 9).finish().remaining();
        assertEquals(emptyMessageBytes + 3 + 1 + 3 * 11, datagram.remaining());
        List<UnreachableSet> decodedSets = GroupMessage.decode(datagram).unreachableSets;
        assertEquals(24, decodedSets.size());
        for (UnreachableSet decodedSet : decodedSets) {
            UnreachableSet originalSet = sets.get(decodedSet.group());
            assertTrue(Arrays.equals(originalSet.unreachable(), decodedSet.unreachable()),
                "bitmap of group " + decodedSet.group());
            assertTrue(decodedSet.ageUnits() >= originalSet.ageUnits()
                && decodedSet.ageUnits() - originalSet.ageUnits() < 64,
                "age understated or too high: " + decodedSet);
        }
        assertTrue(new MessageWriter(Kind.TABLE_REPLY, 7, 8, 9).unreachableSets(sets).finish().remaining()
            > datagram.remaining() + 30, "the plain format should take more bytes");
    }

    /** If each group has different unreachable groups, the plain format is used, as it is shorter. */
    @Test
    void differentUnreachableSetsUseThePlainFormat() throws DecodeException {
        List<UnreachableSet> sets = new ArrayList<>();
        for (int group = 0; group < 16; group++) {
            sets.add(new UnreachableSet(group, new byte[] {(byte) group, 1}, group));
        }
        GroupMessage message = GroupMessage.decode(new MessageWriter(Kind.TABLE_REPLY, 7, 8, 9)
            .sharedUnreachableSets(sets).finish());
        assertEquals(16, message.unreachableSets.size());
        sets.replaceAll(set -> new UnreachableSet(set.group(), Arrays.copyOf(set.unreachable(), 40),
            set.ageUnits()));
        ByteBuffer datagram = new MessageWriter(Kind.TABLE_REPLY, 7, 8, 9).sharedUnreachableSets(sets)
            .finish();
        assertEquals(new MessageWriter(Kind.TABLE_REPLY, 7, 8, 9).unreachableSets(sets).finish(), datagram);
        assertEquals(16, GroupMessage.decode(datagram).unreachableSets.size());
    }

    private static int encodedBytes(List<TableRow> rows, boolean keyed, IntUnaryOperator nameCounts) {
        MessageWriter writer = new MessageWriter(Kind.TABLE_REPLY, 7, 8, 9);
        writer.rows(rows, keyed, 64, nameCounts);
        return writer.finish().remaining();
    }

    private static RefusalReason refusalReason(byte[] bytes) {
        return assertThrows(DecodeException.class, () -> GroupMessage.decode(ByteBuffer.wrap(bytes))).reason;
    }

    @Test
    void malformedMessagesAreRefusedWithTheirReason() throws DecodeException {
        ByteBuffer datagram = new MessageWriter(Kind.GROUP_REPLY, 7, 8, 9)
            .summary(randomSummary(new Random(1))).finish();
        byte[] validMessage = new byte[datagram.remaining()];
        datagram.get(validMessage);
        for (int i = 0; i < validMessage.length; i++) {
            byte[] corruptedMessage = validMessage.clone();
            corruptedMessage[i] ^= 0x40;
            assertEquals(i < 2 ? RefusalReason.FOREIGN : RefusalReason.CHECKSUM,
                refusalReason(corruptedMessage));
            byte[] truncatedMessage = Arrays.copyOf(validMessage, i);
            assertEquals(i < 2 ? RefusalReason.FOREIGN : RefusalReason.CHECKSUM,
                refusalReason(truncatedMessage));
        }
        assertEquals(RefusalReason.NEWER,
            refusalReason(withByteAndChecksum(validMessage, 2, GroupMessage.VERSION + 1)));
        assertEquals(RefusalReason.CUT, refusalReason(withByteAndChecksum(validMessage, 3, 99)));
        assertEquals(RefusalReason.CUT, refusalReason(withByteAndChecksum(validMessage, 17, 99)));
        assertNull(GroupMessage.decode(ByteBuffer.wrap(withByteAndChecksum(validMessage, 16, 77))).summary,
            "an unknown section should be skipped");
    }

    private static byte[] withByteAndChecksum(byte[] message, int index, int value) {
        ByteBuffer buffer = ByteBuffer.allocate(message.length);
        buffer.put(message, 0, message.length - 4);
        buffer.put(index, (byte) value);
        ByteBuffer datagram = WireFormat.appendChecksum(buffer);
        byte[] bytes = new byte[datagram.remaining()];
        datagram.get(bytes);
        return bytes;
    }

    private static FleetSimulation startedSimulation() {
        GroupAssignment assignment = GroupAssignment.ofAnySize(Map.of("a", List.of("a1", "a2", "a3"), "b",
            List.of("b1", "b2", "b3", "b4"), "c", List.of("c1", "c2", "c3")), 4);
        FleetSimulation simulation = new FleetSimulation(1, assignment, GroupedMembership::new, false);
        simulation.startAll(0);
        simulation.runUntil(8 * SECOND);
        return simulation;
    }

    /**
     * Random content with a valid checksum is handled or refused without an error, and does no lasting harm.
     */
    @Test
    void randomContentDoesNoLastingHarm() {
        FleetSimulation simulation = startedSimulation();
        FleetSimulation.Process receiver = simulation.processes.get("a1");
        List<byte[]> datagrams = new ArrayList<>();
        for (String sender : List.of("a2", "a3", "b1", "b2")) {
            FleetSimulation.Process process = simulation.processes.get(sender);
            process.sendListener = (receiverName, bytes) -> {
                if (receiverName.equals("a1") && bytes[0] == GroupMessage.FIRST_MAGIC_BYTE) {
                    datagrams.add(bytes);
                }
            };
        }
        simulation.runUntil(14 * SECOND);
        assertTrue(datagrams.size() > 10);
        Random random = new Random(5);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = datagrams.get(random.nextInt(datagrams.size()));
            for (int changes = 1 + random.nextInt(4); changes > 0; changes--) {
                bytes = withByteAndChecksum(bytes, 12 + random.nextInt(bytes.length - 16),
                    random.nextInt(256));
            }
            String sender = List.of("a2", "a3", "b1", "b2").get(random.nextInt(4));
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            buffer.putInt(4, dockrelay.fleet.MemberList.idOf(sender));
            receiver.membership.receive(receiver.localTime(), sender,
                ByteBuffer.wrap(withByteAndChecksum(bytes, 3, random.nextInt(6))));
            receiver.membership.snapshot(receiver.localTime());
        }
        receiver.scheduleTick();
        simulation.runUntil(40 * SECOND);
        assertNull(simulation.disagreement());
    }

    @Test
    void unknownAndMisnamedSendersAreRefused() {
        FleetSimulation simulation = startedSimulation();
        FleetSimulation.Process receiver = simulation.processes.get("a1");
        receiver.membership.takeRefusalCounts();
        ByteBuffer query = new MessageWriter(Kind.GROUP_QUERY, dockrelay.fleet.MemberList.idOf("b1"), 1, 1)
            .finish();
        receiver.membership.receive(receiver.localTime(), null, query.duplicate());
        receiver.membership.receive(receiver.localTime(), "nobody", query.duplicate());
        receiver.membership.receive(receiver.localTime(), "b2", query.duplicate());
        receiver.membership.receive(receiver.localTime(), "b1",
            ByteBuffer.wrap(new byte[] {GroupMessage.FIRST_MAGIC_BYTE, GroupMessage.SECOND_MAGIC_BYTE, 0}));
        assertEquals(Map.of("stranger", 2L, "misnamed", 1L, "checksum", 1L),
            receiver.membership.takeRefusalCounts());
        assertTrue(GroupedMembership.isMembershipDatagram(GroupMessage.FIRST_MAGIC_BYTE)
            && GroupedMembership.isMembershipDatagram((byte) 0xd5)
            && !GroupedMembership.isMembershipDatagram((byte) 0xd6));
    }

    @Test
    void membersOfOtherGroupsAreFoundByName() {
        FleetSimulation simulation = startedSimulation();
        simulation.kill("b4");
        simulation.runUntil(12 * SECOND);
        FleetSimulation.Process requester = simulation.processes.get("a1");
        for (String name : List.of("b1", "b4", "a2", "nobody")) {
            requester.membership.findMember(requester.localTime(), name);
        }
        requester.scheduleTick();
        simulation.runUntil(13 * SECOND);
        assertEquals(MemberState.PRESENT, requester.lookupResults.get("b1").state());
        assertEquals(MemberState.GONE, requester.lookupResults.get("b4").state());
        assertEquals(MemberState.PRESENT, requester.lookupResults.get("a2").state());
        assertTrue(requester.lookupResults.containsKey("nobody"));
        assertNull(requester.lookupResults.get("nobody"));
        simulation.currentAssignment.memberNames(simulation.currentAssignment.groupOf("c1"))
            .forEach(simulation::kill);
        requester.membership.findMember(requester.localTime(), "c1");
        requester.scheduleTick();
        assertFalse(requester.lookupResults.containsKey("c1"));
        simulation.runUntil(17 * SECOND);
        assertTrue(requester.lookupResults.containsKey("c1"),
            "a lookup without an answer should end without a result");
        assertNull(requester.lookupResults.get("c1"));
    }

    @Test
    void groupStatusesCoverAllGroups() {
        FleetSimulation simulation = startedSimulation();
        FleetSimulation.Process process = simulation.processes.get("a1");
        List<GroupStatus> statuses = process.membership.groupStatuses(process.localTime());
        assertEquals(simulation.currentAssignment.groupCount(), statuses.size());
        for (int group = 0; group < statuses.size(); group++) {
            GroupStatus status = statuses.get(group);
            assertEquals(simulation.currentAssignment.label(group), status.label());
            assertEquals(simulation.currentAssignment.memberNames(group).size(), status.presentMembers());
            assertEquals(status.configuredMembers(), status.countedMembers());
            assertTrue(status.fresh() && status.sameMemberList() && status.reportAge() >= 0);
            assertNotNull(status.representative());
            assertTrue(simulation.processes.get(status.representative()).membership.isRepresentative());
        }
        assertEquals(3, process.membership.memberStatuses(process.localTime()).size());
    }
}
