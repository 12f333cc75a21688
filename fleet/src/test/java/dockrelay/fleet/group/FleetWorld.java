package dockrelay.fleet.group;

import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.ProtocolTiming;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import dockrelay.fleet.MemberState;
import dockrelay.fleet.VirtualNetwork;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** A fleet in groups on a virtual clock and network, from one seed, and what must hold of it always. */
final class FleetWorld extends VirtualNetwork {
    private static final int INBOX = 256;
    private static final long STANDING = SECOND / 2, LOOK = 100 * MILLI;
    /** What is told of a group is no longer counted, and known to all, within this. */
    static final long DELAY = 9 * SECOND;
    private static final double CLOCKS = 1.03;

    /** Makes a machine, so that a broken one can take its place. */
    interface Maker {
        GroupedMembership make(String self, GroupAssignment grouping, long incarnation, int life, ProtocolTiming pace, Random random,
            GroupedMembership.Callbacks actions, long now);
    }

    /** Something that must hold did not. */
    static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Broken(String what) {
            super(what);
        }
    }

    /** One process of a name, with a clock of its own. */
    final class Process implements GroupedMembership.Callbacks {
        final String name;
        final double rate = 1 + (random.nextDouble() - 0.5) * 0.02;
        final long offset = random.nextInt(1_000_000_000);
        final List<Runnable> inbox = new ArrayList<>();
        final GroupedMembership machine;
        final long first, startedAt = now;
        GroupAssignment grouping;
        boolean dead, stopped;
        MembershipSnapshot standing;
        long standingAt, wakeOrder, troubledAt = now;
        long sent, sentBytes, got, gotBytes;
        final Map<String, MemberStatus> found = new HashMap<>();
        BiConsumer<String, byte[]> tapped = (to, bytes) -> { };

        Process(String name, GroupAssignment grouping, long incarnation) {
            this.name = name;
            this.grouping = grouping;
            this.first = incarnations.getOrDefault(name, 0L) + 1; // what is said of lower ones is of the dead
            this.machine = maker.make(name, grouping, incarnation, random.nextInt() | 1, ProtocolTiming.DEFAULT,
                new Random(random.nextLong()), this, local());
            schedule();
            judge();
        }

        long local() {
            return offset + (long) (now * rate);
        }

        void schedule() {
            long mine = ++wakeOrder;
            long at = now + Math.max(0, (long) Math.ceil((machine.nextTickAt() - local()) / rate));
            later(at - now, () -> run(() -> {
                if (mine == wakeOrder) {
                    machine.tick(local());
                    schedule();
                }
            }));
        }

        /** What a stopped process would do waits until it goes on. */
        void run(Runnable action) {
            if (dead) {
                return;
            } else if (!stopped) {
                action.run();
            } else if (inbox.size() < INBOX) {
                inbox.add(action);
            }
        }

        private void judge() {
            run(() -> {
                standing = machine.snapshot(local());
                standingAt = local();
                later(STANDING, this::judge);
            });
        }

        double share() {
            return local() - standingAt <= ProtocolTiming.DEFAULT.standingStale() ? standing.budgetShare()
                : standing.minBudgetShare();
        }

        boolean lives() {
            return !dead && !stopped;
        }

        @Override
        public void send(String to, ByteBuffer datagram) {
            byte[] bytes = new byte[datagram.remaining()];
            datagram.get(bytes);
            sent++;
            sentBytes += bytes.length;
            if (bytes.length > Writer.LONGEST) {
                throw new Broken("a datagram of " + bytes.length + " bytes");
            }
            if (bytes[0] == Message.MAGIC) {
                between++;
                if (bytes[3] == Message.Kind.TELL_GROUP.ordinal()
                    || bytes[3] == Message.Kind.TELL_TABLE.ordinal()) {
                    toldAt.put(grouping.key(grouping.groupOf(name)), now);
                    if (watched) {
                        said(this);
                    }
                }
            }
            tapped.accept(to, bytes);
            pass(name, to, bytes);
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            trace(name + " holds: " + change);
            Process of = processes.get(change.member());
            boolean lives = of != null && of.lives();
            // That an earlier process of the name is dead is true.
            if (change.newState() == MemberState.GONE && lives && change.incarnation() >= of.first
                && now - of.startedAt > 3 * SECOND) {
                falselyGone++;
                lastFalse = name + " holds " + change;
            }
        }

        @Override
        public void incarnationChanged(long own) {
            incarnations.merge(name, own, Math::max);
        }

        @Override
        public void nameConflict(String whose, String why) {
            trace(name + " says: two go by " + whose + ": " + why);
        }

        @Override
        public void memberLookupCompleted(String whose, MemberStatus row) {
            found.put(whose, row);
        }
    }

    final Map<String, Process> processes = new TreeMap<>();
    final Map<String, Long> incarnations = new HashMap<>();
    /** Who cannot reach whom, counted; of sides by name. */
    final Map<String, Integer> cut = new HashMap<>();
    /** Null where nothing comes between them. */
    Map<String, Integer> sides;
    final Maker maker;
    private final boolean watched;
    private final Map<Integer, Long> toldAt = new HashMap<>();
    private final Map<Integer, List<long[]>> saidOf = new HashMap<>();
    private final Map<Integer, Integer> leastSaid = new HashMap<>();
    GroupAssignment current;
    /** While it is so, lists differ or have just done. */
    long listsDifferUntil = -1;
    int falselyGone, outs;
    long between;
    String lastFalse, lastOut;
    double mostShare;

    FleetWorld(long seed, GroupAssignment grouping, Maker maker, boolean traced) {
        this(seed, grouping, maker, traced, true);
    }

    /** Unwatched where there are too many to look at each of them all the time. */
    FleetWorld(long seed, GroupAssignment grouping, Maker maker, boolean traced, boolean watched) {
        super(seed, traced);
        this.current = grouping;
        this.maker = maker;
        this.watched = watched;
        if (watched) {
            later(LOOK, this::look);
        }
    }

    void start(String name, GroupAssignment by, long incarnation) {
        trace(name + " starts with incarnation " + incarnation);
        processes.put(name, new Process(name, by, incarnation));
    }

    void startAll(long within) {
        for (int group = 0; group < current.groupCount(); group++) {
            for (String name : current.memberNames(group)) {
                later(within == 0 ? 0 : (long) (random.nextDouble() * within),
                    () -> start(name, current, 1));
            }
        }
    }

    void kill(String name) {
        Process process = processes.get(name);
        if (process != null && !process.dead) {
            trace(name + " is killed");
            process.dead = true;
        }
    }

    void goOn(Process process) {
        process.stopped = false;
        trace(process.name + " goes on");
        List<Runnable> waiting = new ArrayList<>(process.inbox);
        process.inbox.clear();
        Collections.shuffle(waiting, random);
        waiting.forEach(process::run);
    }

    void configure(String name, GroupAssignment next) {
        Process process = processes.get(name);
        if (process != null && !process.dead && next.groupOf(name) >= 0) {
            process.run(() -> {
                trace(name + " goes by another list");
                process.grouping = next;
                process.machine.configure(process.local(), next);
                process.schedule();
            });
        }
    }

    /** Blocks one way, or gives it free again; cuts add up. */
    void cut(String from, String to, int by) {
        cut.merge(from + " " + to, by, (a, b) -> a + b == 0 ? null : a + b);
    }

    @Override
    protected boolean blocked(String from, String to) {
        return sides != null && !sides.get(from).equals(sides.get(to))
            || !cut.isEmpty() && cut.containsKey(from + " " + to);
    }

    @Override
    protected void arrive(String from, String to, byte[] bytes) {
        Process process = processes.get(to);
        if (process != null) {
            process.run(() -> {
                process.got++;
                process.gotBytes += bytes.length;
                process.machine.receive(process.local(), from, ByteBuffer.wrap(bytes));
                process.schedule();
            });
        }
    }

    // --- what must hold at every moment

    private void look() {
        Map<Integer, Double> sums = new HashMap<>();
        trouble();
        leastSaid();
        for (Process process : processes.values()) {
            if (!process.dead) {
                sums.merge(process.grouping.hash(), process.share(), Double::sum);
                if (!process.stopped) {
                    look(process);
                }
            }
        }
        sums.values().forEach(sum -> {
            mostShare = Math.max(mostShare, sum);
            if (sum > 1 + 1e-9) {
                throw new Broken(String.format("at %.3f s the parts of those with one list add up to %.4f",
                    now / 1e6, sum));
            }
        });
        later(LOOK, this::look);
    }

    /** Who is not heard by most, or has not been for a while, may be counted out. */
    private void trouble() {
        int live = 0;
        Map<String, Integer> cuts = new HashMap<>();
        cut.keySet().forEach(pair -> {
            cuts.merge(pair.substring(0, pair.indexOf(' ')), 1, Integer::sum);
            cuts.merge(pair.substring(pair.indexOf(' ') + 1), 1, Integer::sum);
        });
        for (Process process : processes.values()) {
            live += process.dead ? 0 : 1;
        }
        for (Process process : processes.values()) {
            if (!process.lives() || loss > 0 || cuts.getOrDefault(process.name, 0) >= live / 2) {
                process.troubledAt = now;
            }
        }
    }

    /** What a group's member counts of it as it tells others. */
    private void said(Process process) {
        int key = process.grouping.key(process.grouping.groupOf(process.name));
        int counted = process.machine.members().snapshot(process.local()).countedMembers();
        saidOf.computeIfAbsent(key, of -> new ArrayList<>()).add(new long[] {now, counted});
    }

    private void leastSaid() {
        leastSaid.clear();
        saidOf.forEach((key, said) -> {
            said.removeIf(one -> now - one[0] > DELAY);
            said.forEach(one -> leastSaid.merge(key, (int) one[1], Math::min));
        });
    }

    private void look(Process process) {
        long local = process.local();
        GroupAssignment grouping = process.grouping;
        MembershipSnapshot standing = process.machine.snapshot(local);
        if (standing.countedMembers() > grouping.memberCount() || standing.configuredMembers() != grouping.memberCount()) {
            throw new Broken(process.name + " counts " + standing + " of " + grouping.memberCount() + " names");
        }
        boolean left = process.machine.state(process.name) == MemberState.LEFT; // it no longer counts itself
        if (!left && (standing.ownRank() < 0 || standing.ownRank() >= standing.countedMembers())) {
            throw new Broken(process.name + " is none of those it counts: " + standing);
        }
        if (grouping.isSingleGroup()) {
            return;
        }
        int sum = 0;
        List<GroupStatus> rows = process.machine.groupStatuses(local);
        for (int group = 0; group < rows.size(); group++) {
            GroupStatus row = rows.get(group);
            sum += row.countedMembers();
            if (group != grouping.groupOf(process.name)) {
                look(process, group, row);
                boolean old = row.countedMembers() > 0 && (!row.fresh() || standing.oldestReportAge() < row.reportAge());
                if (old && (standing.agreement() == Agreement.ALL || standing.oldestReportAge() < row.reportAge())) {
                    throw new Broken(process.name + " has " + standing + " with " + row);
                }
            }
        }
        if (Math.max(1, sum) != standing.countedMembers()) {
            throw new Broken(process.name + " counts " + sum + " by groups, " + standing.countedMembers()
                + " in all");
        }
    }

    private void look(Process process, int group, GroupStatus row) {
        GroupAssignment grouping = process.grouping;
        int key = grouping.key(group), names = grouping.memberNames(group).size();
        long quiet = now - toldAt.getOrDefault(key, -1_000 * SECOND);
        if (row.countedMembers() > names) {
            throw new Broken(process.name + " counts more of " + row + " than there are names");
        }
        if (row.reportAge() >= 0 && row.reportAge() * CLOCKS + 5 * MILLI < quiet) {
            throw new Broken(String.format("%s calls what %s said %.3f s old, which said nothing for %.3f s",
                process.name, row.label(), row.reportAge() / 1e6, quiet / 1e6));
        }
        boolean out = row.countedMembers() == 0;
        if (quiet > ProtocolTiming.DEFAULT.wordStale() * CLOCKS && !out && row.countedMembers() < names) {
            throw new Broken(String.format("%s counts %d of %s, which said nothing for %.3f s", process.name,
                row.countedMembers(), row.label(), quiet / 1e6));
        }
        boolean differ = now < listsDifferUntil || grouping != current;
        if (!out && !differ && row.countedMembers() < leastSaid.getOrDefault(key, 0)) {
            throw new Broken(process.name + " counts fewer of " + row + " than it says itself: "
                + leastSaid.get(key));
        }
        if (out && now - process.startedAt > DELAY) {
            outs++;
            for (String name : grouping.memberNames(group)) {
                Process of = processes.get(name);
                if (of != null && of.lives() && of.grouping.groupOf(name) == group && of.grouping == grouping
                    && now - of.troubledAt > DELAY && now - process.troubledAt > DELAY && !differ
                    && now - of.startedAt > DELAY) {
                    throw new Broken(process.name + " counts out " + row + ", where " + name
                        + " lives and is heard by most");
                }
            }
        }
    }

    // --- what holds once all is over

    /** Null where all that live see the same of their groups and count alike, and know that all agree. */
    String disagreement() {
        String wrong = inGroups();
        Set<Integer> numbers = new HashSet<>();
        int live = 0;
        for (Process process : processes.values()) {
            live += process.dead ? 0 : 1;
        }
        for (Process process : processes.values()) {
            if (process.dead || wrong != null) {
                continue;
            }
            MembershipSnapshot standing = process.machine.snapshot(process.local());
            boolean odd = odd();
            if (process.grouping != current) {
                boolean late = standing.countedMembers() < Math.min(live, standing.configuredMembers() - 1);
                wrong = late || standing.agreement() == Agreement.ALL ? process.name
                    + " with a list of its own has " + standing + " of " + live : null;
            } else if (odd) {
                wrong = standing.countedMembers() < live ? process.name + " counts too few: " + standing + " of "
                    + live : null;
            } else {
                wrong = counts(process, standing);
                if (wrong == null && standing.agreement() != Agreement.MINORITY
                    && !numbers.add(standing.ownRank())) {
                    wrong = process.name + " has another one's number: " + standing;
                }
            }
        }
        return wrong;
    }

    /** Whether one that lives goes by a list of its own. */
    private boolean odd() {
        return processes.values().stream().anyMatch(process -> !process.dead && process.grouping != current);
    }

    private String counts(Process process, MembershipSnapshot standing) {
        List<GroupStatus> rows = process.machine.groupStatuses(process.local());
        int sum = 0, present = 0, left = 0;
        boolean all = true;
        for (int group = 0; group < rows.size(); group++) {
            MembershipSnapshot in = null;
            for (String name : current.memberNames(group)) {
                Process of = processes.get(name);
                if (of != null && !of.dead) {
                    in = of.machine.members().snapshot(of.local());
                }
            }
            int names = current.memberNames(group).size();
            int expected = in != null ? in.countedMembers() : standing.agreement() == Agreement.MINORITY ? names : 0;
            if (rows.get(group).countedMembers() != expected) {
                return process.name + " counts " + rows.get(group) + ", which should be " + expected;
            }
            sum += expected;
            present += in == null ? 0 : in.presentMembers();
            all &= in == null || in.agreement() == Agreement.ALL;
            left += rows.get(group).leftMembers();
        }
        Agreement expected = 2 * present <= current.memberCount() - left ? Agreement.MINORITY
            : all ? Agreement.ALL : Agreement.MAJORITY;
        return standing.agreement() != expected || standing.countedMembers() != Math.max(1, sum)
            || standing.presentMembers() != present
            ? process.name + " has " + standing + ", which should be " + expected + " " + sum + " " + present
            + "; of groups themselves: " + saidNow() : null;
    }

    private String saidNow() {
        StringBuilder said = new StringBuilder();
        for (Process of : processes.values()) {
            if (!of.dead) {
                MembershipSnapshot in = of.machine.members().snapshot(of.local());
                said.append(' ').append(of.name).append(':').append(in.agreement()).append('/')
                    .append(in.agreeingMembers()).append('/').append(in.presentMembers()).append('/').append(in.countedMembers());
            }
        }
        return said.toString();
    }

    private String inGroups() {
        for (Process process : processes.values()) {
            if (process.dead || process.grouping != current) {
                continue;
            }
            for (String name : current.memberNames(current.groupOf(process.name))) {
                Process of = processes.get(name);
                boolean lives = of != null && !of.dead;
                MemberState held = process.machine.state(name);
                if (lives != (held == MemberState.PRESENT)) {
                    return process.name + " holds " + name + " " + held + ", which " + (lives ? "lives"
                        : "is dead");
                }
            }
        }
        return null;
    }
}
