package dockrelay.fleet.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.Membership;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot;
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
class OneGroupTest {
    /** The operations that both implementations have in common. */
    private record Machine(Supplier<Long> nextAt, java.util.function.LongConsumer tick,
                           Receiver receive, Function<Long, MembershipSnapshot> standing,
                           java.util.function.LongConsumer leave, BiConsumer<Long, List<String>> configure) {
    }

    private interface Receiver {
        void receive(long now, String from, ByteBuffer datagram);
    }

    private interface Maker {
        Machine make(String self, List<String> names, long incarnation, int life, Random random,
            GroupedMembership.Callbacks actions, long now);
    }

    private static Machine members(String self, List<String> names, long incarnation, int life,
                                   Random random, GroupedMembership.Callbacks actions, long now) {
        Membership made = new Membership(self, names, incarnation, life, ProtocolTiming.DEFAULT, random, actions, now);
        return new Machine(made::nextTickAt, made::tick, made::receive, made::snapshot, made::leave,
            made::configure);
    }

    private static GroupAssignment grouping(List<String> names, int size) {
        return GroupAssignment.ofAnySize(Map.of("", names), size);
    }

    private static Machine groups(String self, List<String> names, long incarnation, int life,
                                  Random random, GroupedMembership.Callbacks actions, long now, int size) {
        GroupedMembership made = new GroupedMembership(self, grouping(names, size), incarnation, life, ProtocolTiming.DEFAULT, random, actions,
            now);
        return new Machine(made::nextTickAt, made::tick, made::receive, made::snapshot, made::leave,
            (when, next) -> made.configure(when, grouping(next, size)));
    }

    /** A run in which members start, die, are cut off, lose datagrams, leave and receive another list. */
    private static final class Play extends VirtualNetwork {
        private final Map<String, Machine> machines = new java.util.TreeMap<>();
        private final Map<String, Long> wakes = new java.util.HashMap<>();
        private final CRC32C sum = new CRC32C();
        private final Maker maker;
        private List<String> names = new ArrayList<>();
        private String cutOff;
        private long datagrams;

        Play(long seed, Maker maker) {
            super(seed, false);
            this.maker = maker;
            int n = 1 + random.nextInt(12);
            for (int i = 0; i < n; i++) {
                names.add("n" + i);
            }
            names.forEach(name -> later(random.nextInt((int) SECOND), () -> start(name, 1)));
            String killed = any(), left = any(), late = any();
            later(6 * SECOND, () -> machines.remove(killed));
            later(9 * SECOND, () -> start(killed, 2));
            later(10 * SECOND, () -> cutOff = late);
            later(13 * SECOND, () -> cutOff = null);
            later(14 * SECOND, () -> loss = 0.2);
            later(16 * SECOND, () -> loss = 0);
            later(17 * SECOND, () -> {
                names = new ArrayList<>(names);
                names.add("one-more");
                machines.values().forEach(machine -> machine.configure.accept(now, names));
                start("one-more", 1);
            });
            later(20 * SECOND, () -> {
                machines.get(left).leave.accept(now);
                schedule(left);
            });
            later(25 * SECOND, () -> machines.remove(left));
            for (int at = 1; at < 60; at++) {
                later(at * SECOND / 2, () -> machines.forEach((name, machine) ->
                    add((name + machine.standing.apply(now)).getBytes())));
            }
            runUntil(30 * SECOND);
        }

        private String any() {
            return names.get(random.nextInt(names.size()));
        }

        private void add(byte[] bytes) {
            sum.update(bytes, 0, bytes.length);
        }

        private void start(String name, long incarnation) {
            machines.put(name, maker.make(name, names, incarnation, random.nextInt() | 1,
                new Random(random.nextLong()), new GroupedMembership.Callbacks() {
                    @Override
                    public void send(String to, ByteBuffer datagram) {
                        byte[] bytes = new byte[datagram.remaining()];
                        datagram.get(bytes);
                        add((now + name + to).getBytes());
                        add(bytes);
                        datagrams++;
                        pass(name, to, bytes);
                    }

                    @Override
                    public void memberChanged(MemberStateChange change) {
                        add(change.toString().getBytes());
                    }

                    @Override
                    public void incarnationChanged(long own) {
                        add((name + own).getBytes());
                    }

                    @Override
                    public void nameConflict(String whose, String why) {
                        add(why.getBytes());
                    }

                    @Override
                    public void memberLookupCompleted(String whose, MemberStatus row) {
                    }
                }, now));
            schedule(name);
        }

        private void schedule(String name) {
            Machine machine = machines.get(name);
            long mine = wakes.merge(name, 1L, Long::sum);
            later(Math.max(0, machine.nextAt.get() - now), () -> {
                if (machines.get(name) == machine && wakes.get(name) == mine) {
                    machine.tick.accept(now);
                    schedule(name);
                }
            });
        }

        @Override
        protected boolean blocked(String from, String to) {
            return from.equals(cutOff) || to.equals(cutOff);
        }

        @Override
        protected void arrive(String from, String to, byte[] bytes) {
            Machine machine = machines.get(to);
            if (machine != null) {
                machine.receive.receive(now, from, ByteBuffer.wrap(bytes));
                schedule(to);
            }
        }
    }

    @Test
    void oneGroupSendsWhatMembersAloneSendAndStandsAsTheyDo() {
        long datagrams = 0;
        for (int seed = 1; seed <= 60; seed++) {
            Play alone = new Play(seed, OneGroupTest::members);
            Play grouped = new Play(seed, (s, n, i, l, r, a, t) -> groups(s, n, i, l, r, a, t,
                GroupAssignment.DEFAULT_GROUP_SIZE));
            assertEquals(alone.datagrams, grouped.datagrams, "seed " + seed);
            assertEquals(alone.sum.getValue(), grouped.sum.getValue(), "seed " + seed);
            datagrams += alone.datagrams;
        }
        System.out.println(datagrams + " datagrams, equal with one group and without groups");
    }

    /** Guards the comparison itself: with several groups the checksums differ. */
    @Test
    void moreGroupsSendSomethingElse() {
        Play alone = new Play(3, OneGroupTest::members);
        Play grouped = new Play(3, (s, n, i, l, r, a, t) -> groups(s, n, i, l, r, a, t, 2));
        assertNotEquals(alone.sum.getValue(), grouped.sum.getValue());
    }
}
