package dockrelay.fleet.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.Membership;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.VirtualNetwork;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** A fleet in a single group behaves exactly as a plain {@link Membership}, byte for byte. */
class SingleGroupTest {
    /** The operations that both implementations have in common. */
    private record Operations(Supplier<Long> nextTickAt, java.util.function.LongConsumer tick,
        Receiver receive, Function<Long, MembershipSnapshot> snapshot,
        java.util.function.LongConsumer leave, BiConsumer<Long, List<String>> configure) {
    }

    private interface Receiver {
        void receive(long now, String from, ByteBuffer datagram);
    }

    private interface Factory {
        Operations create(String self, List<String> names, long incarnation, int instanceId, Random random,
            GroupedMembership.Callbacks callbacks, long now);
    }

    private static Operations plainMembership(String self, List<String> names, long incarnation,
        int instanceId, Random random, GroupedMembership.Callbacks callbacks, long now) {
        Membership membership = new Membership(self, names, incarnation, instanceId, ProtocolTiming.DEFAULT,
            random, callbacks, now);
        return new Operations(membership::nextTickAt, membership::tick, membership::receive,
            membership::snapshot, membership::leave, membership::configure);
    }

    private static GroupAssignment assignment(List<String> names, int groupSize) {
        return GroupAssignment.ofAnySize(Map.of("", names), groupSize);
    }

    private static Operations groupedMembership(String self, List<String> names, long incarnation,
        int instanceId, Random random, GroupedMembership.Callbacks callbacks, long now, int groupSize) {
        GroupedMembership membership = new GroupedMembership(self, assignment(names, groupSize), incarnation,
            instanceId, ProtocolTiming.DEFAULT, random, callbacks, now);
        return new Operations(membership::nextTickAt, membership::tick, membership::receive,
            membership::snapshot, membership::leave,
            (time, newNames) -> membership.configure(time, assignment(newNames, groupSize)));
    }

    /** A run in which members start, die, are cut off, lose datagrams, leave and receive another list. */
    private static final class SimulatedRun extends VirtualNetwork {
        private final Map<String, Operations> members = new java.util.TreeMap<>();
        private final Map<String, Long> tickGenerations = new java.util.HashMap<>();
        private final CRC32C checksum = new CRC32C();
        private final Factory factory;
        private List<String> names = new ArrayList<>();
        private String isolatedMember;
        private long sentDatagrams;

        SimulatedRun(long seed, Factory factory) {
            super(seed, false);
            this.factory = factory;
            int memberCount = 1 + random.nextInt(12);
            for (int i = 0; i < memberCount; i++) {
                names.add("n" + i);
            }
            names.forEach(name -> schedule(random.nextInt((int) SECOND), () -> start(name, 1)));
            String restartingMember = randomMember(), leavingMember = randomMember(),
                nextIsolatedMember = randomMember();
            schedule(6 * SECOND, () -> members.remove(restartingMember));
            schedule(9 * SECOND, () -> start(restartingMember, 2));
            schedule(10 * SECOND, () -> isolatedMember = nextIsolatedMember);
            schedule(13 * SECOND, () -> isolatedMember = null);
            schedule(14 * SECOND, () -> lossRate = 0.2);
            schedule(16 * SECOND, () -> lossRate = 0);
            schedule(17 * SECOND, () -> {
                names = new ArrayList<>(names);
                names.add("one-more");
                members.values().forEach(member -> member.configure.accept(now, names));
                start("one-more", 1);
            });
            schedule(20 * SECOND, () -> {
                members.get(leavingMember).leave.accept(now);
                scheduleTick(leavingMember);
            });
            schedule(25 * SECOND, () -> members.remove(leavingMember));
            for (int step = 1; step < 60; step++) {
                schedule(step * SECOND / 2, () -> members.forEach((name, member) ->
                    addToChecksum((name + member.snapshot.apply(now)).getBytes())));
            }
            runUntil(30 * SECOND);
        }

        private String randomMember() {
            return names.get(random.nextInt(names.size()));
        }

        private void addToChecksum(byte[] bytes) {
            checksum.update(bytes, 0, bytes.length);
        }

        private void start(String name, long incarnation) {
            members.put(name, factory.create(name, names, incarnation, random.nextInt() | 1,
                new Random(random.nextLong()), new GroupedMembership.Callbacks() {
                    @Override
                    public void send(String receiver, ByteBuffer datagram) {
                        byte[] bytes = new byte[datagram.remaining()];
                        datagram.get(bytes);
                        addToChecksum((now + name + receiver).getBytes());
                        addToChecksum(bytes);
                        sentDatagrams++;
                        transmit(name, receiver, bytes);
                    }

                    @Override
                    public void memberChanged(MemberStateChange change) {
                        addToChecksum(change.toString().getBytes());
                    }

                    @Override
                    public void incarnationChanged(long ownIncarnation) {
                        addToChecksum((name + ownIncarnation).getBytes());
                    }

                    @Override
                    public void nameConflict(String memberName, String reason) {
                        addToChecksum(reason.getBytes());
                    }

                    @Override
                    public void memberLookupCompleted(String memberName, MemberStatus status) {
                    }
                }, now));
            scheduleTick(name);
        }

        private void scheduleTick(String name) {
            Operations member = members.get(name);
            long generation = tickGenerations.merge(name, 1L, Long::sum);
            schedule(Math.max(0, member.nextTickAt.get() - now), () -> {
                if (members.get(name) == member && tickGenerations.get(name) == generation) {
                    member.tick.accept(now);
                    scheduleTick(name);
                }
            });
        }

        @Override
        protected boolean isBlocked(String from, String to) {
            return from.equals(isolatedMember) || to.equals(isolatedMember);
        }

        @Override
        protected void onDatagram(String from, String to, byte[] bytes) {
            Operations member = members.get(to);
            if (member != null) {
                member.receive.receive(now, from, ByteBuffer.wrap(bytes));
                scheduleTick(to);
            }
        }
    }

    @Test
    void singleGroupBehavesLikePlainMembership() {
        long datagrams = 0;
        for (int seed = 1; seed <= 60; seed++) {
            SimulatedRun plainRun = new SimulatedRun(seed, SingleGroupTest::plainMembership);
            SimulatedRun groupedRun = new SimulatedRun(seed,
                (self, names, incarnation, instanceId, random, callbacks, startTime) ->
                groupedMembership(self, names, incarnation, instanceId, random, callbacks, startTime,
                    GroupAssignment.DEFAULT_GROUP_SIZE));
            assertEquals(plainRun.sentDatagrams, groupedRun.sentDatagrams, "seed " + seed);
            assertEquals(plainRun.checksum.getValue(), groupedRun.checksum.getValue(), "seed " + seed);
            datagrams += plainRun.sentDatagrams;
        }
        System.out.println(datagrams + " datagrams, equal with one group and without groups");
    }

    /** Guards the comparison itself: with several groups the checksums differ. */
    @Test
    void severalGroupsBehaveDifferently() {
        SimulatedRun plainRun = new SimulatedRun(3, SingleGroupTest::plainMembership);
        SimulatedRun groupedRun = new SimulatedRun(3,
            (self, names, incarnation, instanceId, random, callbacks, startTime) ->
            groupedMembership(self, names, incarnation, instanceId, random, callbacks, startTime, 2));
        assertNotEquals(plainRun.checksum.getValue(), groupedRun.checksum.getValue());
    }
}
