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

/**
 * A deterministic simulation of a fleet in groups on a virtual clock and network, from one seed. The
 * invariants are checked periodically.
 */
final class FleetWorld extends VirtualNetwork {
    private static final int INBOX = 256;
    private static final long STANDING = SECOND / 2, LOOK = 100 * MILLI;
    /** Time within which a change in a group is counted, and known to all members. */
    static final long DELAY = 9 * SECOND;
    private static final double CLOCKS = 1.03;

    /** Creates a member; lets tests substitute a faulty variant. */
    interface Maker {
        GroupedMembership make(String self, GroupAssignment grouping, long incarnation, int life, ProtocolTiming pace, Random random,
            GroupedMembership.Callbacks actions, long now);
    }

    /** Thrown if an invariant does not hold. */
    static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Broken(String what) {
            super(what);
        }
    }

    /** A process of a member, with its own clock. */
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
            this.first = incarnations.getOrDefault(name, 0L) + 1; // lower ones belong to earlier processes
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

        /** Runs an action, or queues it while the process is paused. */
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
                throw new Broken("datagram too long: " + bytes.length + " bytes");
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
            trace(name + " sees: " + change);
            Process of = processes.get(change.member());
            boolean lives = of != null && of.lives();
            // A report about an earlier process of the name is not false.
            if (change.newState() == MemberState.GONE && lives && change.incarnation() >= of.first
                && now - of.startedAt > 3 * SECOND) {
                falselyGone++;
                lastFalse = name + " sees " + change;
            }
        }

        @Override
        public void incarnationChanged(long own) {
            incarnations.merge(name, own, Math::max);
        }

        @Override
        public void nameConflict(String whose, String why) {
            trace(name + " reports a name conflict of " + whose + ": " + why);
        }

        @Override
        public void memberLookupCompleted(String whose, MemberStatus row) {
            found.put(whose, row);
        }
    }

    final Map<String, Process> processes = new TreeMap<>();
    final Map<String, Long> incarnations = new HashMap<>();
    /** The number of blocks per direction, by "sender receiver". */
    final Map<String, Integer> cut = new HashMap<>();
    /** The side of each member in a partition; null if there is none. */
    Map<String, Integer> sides;
    final Maker maker;
    private final boolean watched;
    private final Map<Integer, Long> toldAt = new HashMap<>();
    private final Map<Integer, List<long[]>> saidOf = new HashMap<>();
    private final Map<Integer, Integer> leastSaid = new HashMap<>();
    GroupAssignment current;
    /** Until this time, members may have different lists or the effects of that. */
    long listsDifferUntil = -1;
    int falselyGone, outs;
    long between;
    String lastFalse, lastOut;
    double mostShare;

    FleetWorld(long seed, GroupAssignment grouping, Maker maker, boolean traced) {
        this(seed, grouping, maker, traced, true);
    }

    /** {@code watched} enables the checks of the invariants, which are too expensive for large fleets. */
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
        trace(process.name + " resumes");
        List<Runnable> waiting = new ArrayList<>(process.inbox);
        process.inbox.clear();
        Collections.shuffle(waiting, random);
        waiting.forEach(process::run);
    }

    void configure(String name, GroupAssignment next) {
        Process process = processes.get(name);
        if (process != null && !process.dead && next.groupOf(name) >= 0) {
            process.run(() -> {
                trace(name + " receives another list");
                process.grouping = next;
                process.machine.configure(process.local(), next);
                process.schedule();
            });
        }
    }

    /**
     * Blocks one direction ({@code by} is 1) or unblocks it (-1); a direction may be blocked several times.
     */
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

    // --- invariants

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
                throw new Broken(String.format(
                    "at %.3f s the budget shares of the members with one list add up to %.4f", now / 1e6,
                    sum));
            }
        });
        later(LOOK, this::look);
    }

    /** Records which members are cut off from most others just now: their groups may be excluded. */
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

    /** Records how many members of its group a member counts at the time of a reply to others. */
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
            throw new Broken(process.name + " has counts " + standing + " of " + grouping.memberCount() + " names");
        }
        boolean left = process.machine.state(process.name) == MemberState.LEFT; // does not count itself any more
        if (!left && (standing.ownRank() < 0 || standing.ownRank() >= standing.countedMembers())) {
            throw new Broken(process.name + " has a rank outside of its counted members: " + standing);
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
            throw new Broken(process.name + " counts " + sum + " members over its groups, but "
                + standing.countedMembers() + " in total");
        }
    }

    private void look(Process process, int group, GroupStatus row) {
        GroupAssignment grouping = process.grouping;
        int key = grouping.key(group), names = grouping.memberNames(group).size();
        long quiet = now - toldAt.getOrDefault(key, -1_000 * SECOND);
        if (row.countedMembers() > names) {
            throw new Broken(process.name + " counts more members in " + row + " than it has names");
        }
        if (row.reportAge() >= 0 && row.reportAge() * CLOCKS + 5 * MILLI < quiet) {
            throw new Broken(String.format("%s has data of %s with age %.3f s; the last reply was %.3f s ago",
                process.name, row.label(), row.reportAge() / 1e6, quiet / 1e6));
        }
        boolean out = row.countedMembers() == 0;
        if (quiet > ProtocolTiming.DEFAULT.wordStale() * CLOCKS && !out && row.countedMembers() < names) {
            throw new Broken(String.format("%s counts %d of %s, whose last reply was %.3f s ago",
                process.name, row.countedMembers(), row.label(), quiet / 1e6));
        }
        boolean differ = now < listsDifferUntil || grouping != current;
        if (!out && !differ && row.countedMembers() < leastSaid.getOrDefault(key, 0)) {
            throw new Broken(process.name + " counts fewer members of " + row + " than that group itself: "
                + leastSaid.get(key));
        }
        if (out && now - process.startedAt > DELAY) {
            outs++;
            for (String name : grouping.memberNames(group)) {
                Process of = processes.get(name);
                if (of != null && of.lives() && of.grouping.groupOf(name) == group && of.grouping == grouping
                    && now - of.troubledAt > DELAY && now - process.troubledAt > DELAY && !differ
                    && now - of.startedAt > DELAY) {
                    throw new Broken(process.name + " excludes " + row + ", although " + name
                        + " is alive and reachable by most members");
                }
            }
        }
    }

    // --- convergence after the last fault

    /**
     * Returns null if the views and counts of all live members are right and the members know whether they
     * agree, else what is wrong.
     */
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
                    + " with a different list has " + standing + " of " + live : null;
            } else if (odd) {
                wrong = standing.countedMembers() < live ? process.name + " counts too few members: " + standing
                    + " of " + live : null;
            } else {
                wrong = counts(process, standing);
                if (wrong == null && standing.agreement() != Agreement.MINORITY
                    && !numbers.add(standing.ownRank())) {
                    wrong = process.name + " has the same rank as another member: " + standing;
                }
            }
        }
        return wrong;
    }

    /** Whether a live member has a different list. */
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
                return process.name + " counts " + rows.get(group) + ", expected " + expected;
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
            ? process.name + " has " + standing + ", expected " + expected + " " + sum + " " + present
            + "; views within the groups: " + saidNow() : null;
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
                    return process.name + " sees " + name + " " + held + ", which " + (lives ? "is alive"
                        : "is dead");
                }
            }
        }
        return null;
    }
}
