package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import dockrelay.fleet.MemberState;
import dockrelay.fleet.group.Message.Aged;
import dockrelay.fleet.group.Message.Kind;
import dockrelay.fleet.group.Message.Refusal;
import dockrelay.fleet.group.Message.SilentTo;
import dockrelay.fleet.group.Message.Told;
import dockrelay.fleet.group.Message.Unreadable;
import dockrelay.fleet.wire.WireFormat;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;

/** Encoding, rejection and handling of messages between groups, and lookup of a member by name. */
class GroupsMessagesTest {
    private static Summary summary(Random random) {
        int[] speakers = random.ints(random.nextInt(4)).toArray();
        return new Summary(random.nextInt(), random.nextInt(), random.nextInt(), random.nextInt(),
            random.nextInt(128), random.nextInt(128), random.nextInt(128), random.nextInt(128),
            Agreement.values()[random.nextInt(3)], random.nextInt(128), speakers, random.nextInt());
    }

    @Test
    void whatIsWrittenIsReadAgain() throws Unreadable {
        for (int seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            Summary summary = summary(random), relayed = summary(random);
            Message told = Message.read(new Writer(Kind.TELL_GROUP, 7, 8, seed).summary(summary)
                .silent(new byte[] {1, 2}).relayed(List.of(new Aged(relayed, 1_234_567))).done());
            assertEquals(Kind.TELL_GROUP, told.kind);
            assertEquals(List.of(7, 8, seed), List.of(told.sender, told.list, told.sequence));
            assertEquals(summary, told.summary);
            assertEquals(List.of(new Aged(relayed, 1_235_000)), told.relayed); // the age is rounded up
            assertEquals(2, told.silent.length);
            List<Told> rows = new ArrayList<>();
            boolean keyed = random.nextBoolean();
            for (int i = 0; i < 40; i++) {
                boolean other = random.nextInt(5) == 0;
                rows.add(new Told(i, keyed ? 1 + random.nextInt(99) : 0, other, other ? random.nextInt() : 0,
                    keyed || other ? random.nextInt() : 0, random.nextInt(128), random.nextInt(128),
                    random.nextInt(128), random.nextInt(128), Agreement.values()[random.nextInt(3)],
                    random.nextInt(128), random.nextInt(65)));
            }
            byte[] ages = new byte[40];
            random.nextBytes(ages);
            Writer writer = new Writer(Kind.TELL_TABLE, 7, 8, seed);
            int written = writer.rows(rows, keyed, 64, null);
            Message table = Message.read(writer.upTo(5, 6, true).ages(ages).silentTo(List.of(
                new SilentTo(3, new byte[] {1, 0}, 9), new SilentTo(5, new byte[] {1, 0}, 8))).done());
            assertEquals(rows.subList(0, written), table.rows);
            assertTrue(Arrays.equals(ages, table.ages) && table.more && table.version == 6
                && table.epoch == 5);
            assertEquals(List.of(3, 5), table.silentTo.stream().map(SilentTo::group).toList());
            MemberStatus row = new MemberStatus("n1", MemberState.SUSPECT, 5_000, "n2", 77, -1, true, List.of("n3", "n4"), 9_000);
            assertEquals(row, Message.read(new Writer(Kind.TELL_NAME, 7, 8, seed).member(row).done()).member);
        }
    }

    /** Counts that follow from others are left out and restored with the number of names of the group. */
    @Test
    void countsThatFollowAreLeftOutAndComeBack() throws Unreadable {
        for (int seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            List<Told> rows = new ArrayList<>();
            int[] names = random.ints(40, 1, 129).toArray();
            for (int i = 0; i < names.length; i++) {
                int left = random.nextInt(3) / 2, gone = random.nextInt(names[i]);
                int rest = Math.max(0, names[i] - left - gone);
                int present = random.nextInt(4) == 0 ? random.nextInt(128) : rest;
                boolean other = random.nextInt(8) == 0;
                rows.add(new Told(i, 0, other, other ? 7 : 0, other ? 8 : 0, present, left, gone,
                    random.nextBoolean() ? present : random.nextInt(128),
                    Agreement.values()[random.nextInt(3)], random.nextBoolean() ? present
                    : random.nextInt(128), random.nextInt(65)));
            }
            Writer writer = new Writer(Kind.TELL_TABLE, 7, 8, seed);
            assertEquals(rows.size(), writer.rows(rows, false, 64, index -> names[index]));
            List<Told> read = Message.read(writer.done()).rows;
            for (int i = 0; i < rows.size(); i++) {
                Told back = read.get(i);
                assertEquals(rows.get(i), back.otherList() ? back : back.whole(names[i]));
            }
        }
    }

    /**
     * A group whose present members all agree takes 4 bytes; with a key or for an older receiver it takes
     * more.
     */
    @Test
    void aRowInWhichAllFollowsTakesFourBytes() {
        Told settled = new Told(9, 0, false, 0, 0, 41, 0, 7, 41, Agreement.ALL, 41, 3);
        Told keyed = new Told(9, 5, false, 0, 1, 41, 0, 7, 41, Agreement.ALL, 41, 3);
        int nothing = new Writer(Kind.TELL_TABLE, 7, 8, 9).done().remaining() + 3;
        assertEquals(nothing + 4, length(List.of(settled), false, index -> 48));
        assertEquals(nothing + 8, length(List.of(settled), false, null));
        assertEquals(nothing + 19, length(List.of(keyed), true, index -> 48));
    }

    /** Groups with the same unreachable groups and similar ages share an entry of two bitmaps. */
    @Test
    void groupsThatHearNothingOfTheSameOnesAreToldTogether() throws Unreadable {
        Random random = new Random(5);
        byte[] lost = {0, 0, 1, 2, 3}, other = {0, 0, 1, 2, 1};
        List<SilentTo> all = new ArrayList<>();
        for (int group = 0; group < 24; group++) {
            int age = random.nextInt(60) + (group == 9 ? 64 : 0);
            all.add(new SilentTo(group, group == 7 ? other : lost, age));
        }
        ByteBuffer datagram = new Writer(Kind.TELL_TABLE, 7, 8, 9).silentAlike(all).done();
        int nothing = new Writer(Kind.TELL_TABLE, 7, 8, 9).done().remaining();
        assertEquals(nothing + 3 + 1 + 3 * 11, datagram.remaining());
        List<SilentTo> read = Message.read(datagram).silentTo;
        assertEquals(24, read.size());
        for (SilentTo one : read) {
            SilentTo as = all.get(one.group());
            assertTrue(Arrays.equals(as.silent(), one.silent()), "bitmap of group " + one.group());
            assertTrue(one.age() >= as.age() && one.age() - as.age() < 64,
                "age understated or too high: " + one);
        }
        assertTrue(new Writer(Kind.TELL_TABLE, 7, 8, 9).silentTo(all).done().remaining()
            > datagram.remaining() + 30, "the plain format should take more bytes");
    }

    /** If each group has different unreachable groups, the plain format is used, as it is shorter. */
    @Test
    void groupsThatAreNotAlikeAreToldEachByItself() throws Unreadable {
        List<SilentTo> all = new ArrayList<>();
        for (int group = 0; group < 16; group++) {
            all.add(new SilentTo(group, new byte[] {(byte) group, 1}, group));
        }
        Message alike = Message.read(new Writer(Kind.TELL_TABLE, 7, 8, 9).silentAlike(all).done());
        assertEquals(16, alike.silentTo.size());
        all.replaceAll(one -> new SilentTo(one.group(), Arrays.copyOf(one.silent(), 40), one.age()));
        ByteBuffer each = new Writer(Kind.TELL_TABLE, 7, 8, 9).silentAlike(all).done();
        assertEquals(new Writer(Kind.TELL_TABLE, 7, 8, 9).silentTo(all).done(), each);
        assertEquals(16, Message.read(each).silentTo.size());
    }

    private static int length(List<Told> rows, boolean keyed, IntUnaryOperator names) {
        Writer writer = new Writer(Kind.TELL_TABLE, 7, 8, 9);
        writer.rows(rows, keyed, 64, names);
        return writer.done().remaining();
    }

    private static Refusal refusal(byte[] bytes) {
        return assertThrows(Unreadable.class, () -> Message.read(ByteBuffer.wrap(bytes))).refusal;
    }

    @Test
    void whatIsNotAsItWasSentIsRefusedByReason() throws Unreadable {
        ByteBuffer sealed = new Writer(Kind.TELL_GROUP, 7, 8, 9).summary(summary(new Random(1))).done();
        byte[] good = new byte[sealed.remaining()];
        sealed.get(good);
        for (int i = 0; i < good.length; i++) {
            byte[] spoilt = good.clone();
            spoilt[i] ^= 0x40;
            assertEquals(i < 2 ? Refusal.FOREIGN : Refusal.CHECKSUM, refusal(spoilt));
            byte[] cut = Arrays.copyOf(good, i);
            assertEquals(i < 2 ? Refusal.FOREIGN : Refusal.CHECKSUM, refusal(cut));
        }
        assertEquals(Refusal.NEWER, refusal(resealed(good, 2, Message.VERSION + 1)));
        assertEquals(Refusal.CUT, refusal(resealed(good, 3, 99)));
        assertEquals(Refusal.CUT, refusal(resealed(good, 17, 99)));
        assertNull(Message.read(ByteBuffer.wrap(resealed(good, 16, 77))).summary,
            "an unknown section should be skipped");
    }

    private static byte[] resealed(byte[] good, int at, int value) {
        ByteBuffer out = ByteBuffer.allocate(good.length);
        out.put(good, 0, good.length - 4);
        out.put(at, (byte) value);
        ByteBuffer sealed = WireFormat.appendChecksum(out);
        byte[] bytes = new byte[sealed.remaining()];
        sealed.get(bytes);
        return bytes;
    }

    private static FleetWorld world() {
        GroupAssignment grouping = GroupAssignment.ofAnySize(Map.of("a", List.of("a1", "a2", "a3"), "b",
            List.of("b1", "b2", "b3", "b4"), "c", List.of("c1", "c2", "c3")), 4);
        FleetWorld world = new FleetWorld(1, grouping, GroupedMembership::new, false);
        world.startAll(0);
        world.runUntil(8 * SECOND);
        return world;
    }

    /**
     * Random content with a valid checksum is handled or rejected without an error, and does no lasting
     * harm.
     */
    @Test
    void nonsenseBreaksNothing() {
        FleetWorld world = world();
        FleetWorld.Process to = world.processes.get("a1");
        List<byte[]> sent = new ArrayList<>();
        for (String from : List.of("a2", "a3", "b1", "b2")) {
            FleetWorld.Process process = world.processes.get(from);
            process.tapped = (name, bytes) -> {
                if (name.equals("a1") && bytes[0] == Message.MAGIC) {
                    sent.add(bytes);
                }
            };
        }
        world.runUntil(14 * SECOND);
        assertTrue(sent.size() > 10);
        Random random = new Random(5);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = sent.get(random.nextInt(sent.size()));
            for (int times = 1 + random.nextInt(4); times > 0; times--) {
                bytes = resealed(bytes, 12 + random.nextInt(bytes.length - 16), random.nextInt(256));
            }
            String from = List.of("a2", "a3", "b1", "b2").get(random.nextInt(4));
            ByteBuffer out = ByteBuffer.wrap(bytes);
            out.putInt(4, dockrelay.fleet.MemberList.idOf(from));
            to.machine.receive(to.local(), from, ByteBuffer.wrap(resealed(bytes, 3, random.nextInt(6))));
            to.machine.snapshot(to.local());
        }
        to.schedule();
        world.runUntil(40 * SECOND);
        assertNull(world.disagreement());
    }

    @Test
    void whoIsOnNoListOrUnderAnotherNameIsRefused() {
        FleetWorld world = world();
        FleetWorld.Process to = world.processes.get("a1");
        to.machine.takeRefusalCounts();
        ByteBuffer question = new Writer(Kind.ASK_GROUP, dockrelay.fleet.MemberList.idOf("b1"), 1, 1).done();
        to.machine.receive(to.local(), null, question.duplicate());
        to.machine.receive(to.local(), "nobody", question.duplicate());
        to.machine.receive(to.local(), "b2", question.duplicate());
        to.machine.receive(to.local(), "b1", ByteBuffer.wrap(new byte[] {Message.MAGIC, Message.SECOND, 0}));
        assertEquals(Map.of("stranger", 2L, "misnamed", 1L, "checksum", 1L), to.machine.takeRefusalCounts());
        assertTrue(GroupedMembership.isMembershipDatagram(Message.MAGIC) && GroupedMembership.isMembershipDatagram((byte) 0xd5) && !GroupedMembership.isMembershipDatagram((byte) 0xd6));
    }

    @Test
    void aMemberOfAnotherGroupIsFoundByName() {
        FleetWorld world = world();
        world.kill("b4");
        world.runUntil(12 * SECOND);
        FleetWorld.Process asks = world.processes.get("a1");
        for (String name : List.of("b1", "b4", "a2", "nobody")) {
            asks.machine.findMember(asks.local(), name);
        }
        asks.schedule();
        world.runUntil(13 * SECOND);
        assertEquals(MemberState.PRESENT, asks.found.get("b1").state());
        assertEquals(MemberState.GONE, asks.found.get("b4").state());
        assertEquals(MemberState.PRESENT, asks.found.get("a2").state());
        assertTrue(asks.found.containsKey("nobody"));
        assertNull(asks.found.get("nobody"));
        world.current.memberNames(world.current.groupOf("c1")).forEach(world::kill);
        asks.machine.findMember(asks.local(), "c1");
        asks.schedule();
        assertFalse(asks.found.containsKey("c1"));
        world.runUntil(17 * SECOND);
        assertTrue(asks.found.containsKey("c1"), "a lookup without an answer should end without a result");
        assertNull(asks.found.get("c1"));
    }

    @Test
    void anOperatorSeesEachGroup() {
        FleetWorld world = world();
        FleetWorld.Process process = world.processes.get("a1");
        List<GroupStatus> rows = process.machine.groupStatuses(process.local());
        assertEquals(world.current.groupCount(), rows.size());
        for (int group = 0; group < rows.size(); group++) {
            GroupStatus row = rows.get(group);
            assertEquals(world.current.label(group), row.label());
            assertEquals(world.current.memberNames(group).size(), row.presentMembers());
            assertEquals(row.configuredMembers(), row.countedMembers());
            assertTrue(row.fresh() && row.sameMemberList() && row.reportAge() >= 0);
            assertNotNull(row.representative());
            assertTrue(world.processes.get(row.representative()).machine.isRepresentative());
        }
        assertEquals(3, process.machine.memberStatuses(process.local()).size());
    }
}
