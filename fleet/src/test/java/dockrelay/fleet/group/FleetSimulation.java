package dockrelay.fleet.group;

import dockrelay.fleet.MemberState;
import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.MemberStatus;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import dockrelay.fleet.ProtocolTiming;
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
final class FleetSimulation extends VirtualNetwork {
    private static final int MAX_QUEUED_ACTIONS = 256;
    private static final long SNAPSHOT_INTERVAL = SECOND / 2, CHECK_INTERVAL = 100 * MILLISECOND;
    /** Time within which a change in a group is counted, and known to all members. */
    static final long PROPAGATION_TIME = 9 * SECOND;
    private static final double MAX_CLOCK_RATIO = 1.03;

    /** Creates a member; lets tests substitute a faulty variant. */
    interface Factory {
        GroupedMembership create(String self, GroupAssignment assignment, long incarnation, int instanceId,
            ProtocolTiming timing, Random random, GroupedMembership.Callbacks callbacks, long now);
    }

    /** Thrown if an invariant does not hold. */
    static final class InvariantViolation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvariantViolation(String message) {
            super(message);
        }
    }

    /** A process of a member, with its own clock. */
    final class Process implements GroupedMembership.Callbacks {
        final String name;
        final double clockRate = 1 + (random.nextDouble() - 0.5) * 0.02;
        final long clockOffset = random.nextInt(1_000_000_000);
        final List<Runnable> queuedActions = new ArrayList<>();
        final GroupedMembership membership;
        final long firstIncarnation, startedAt = now;
        GroupAssignment assignment;
        boolean dead, paused;
        MembershipSnapshot snapshot;
        long snapshotAt, tickGeneration, lastTroubleAt = now;
        long sentDatagrams, sentBytes, receivedDatagrams, receivedBytes;
        final Map<String, MemberStatus> lookupResults = new HashMap<>();
        BiConsumer<String, byte[]> sendListener = (to, bytes) -> { };

        Process(String name, GroupAssignment assignment, long incarnation) {
            this.name = name;
            this.assignment = assignment;
            // Lower incarnations belong to earlier processes.
            this.firstIncarnation = incarnations.getOrDefault(name, 0L) + 1;
            this.membership = factory.create(name, assignment, incarnation, random.nextInt() | 1,
                ProtocolTiming.DEFAULT, new Random(random.nextLong()), this, localTime());
            scheduleTick();
            refreshSnapshot();
        }

        long localTime() {
            return clockOffset + (long) (now * clockRate);
        }

        void scheduleTick() {
            long generation = ++tickGeneration;
            long time = now + Math.max(0,
                (long) Math.ceil((membership.nextTickAt() - localTime()) / clockRate));
            schedule(time - now, () -> runOrQueue(() -> {
                if (generation == tickGeneration) {
                    membership.tick(localTime());
                    scheduleTick();
                }
            }));
        }

        /** Runs an action, or queues it while the process is paused. */
        void runOrQueue(Runnable action) {
            if (dead) {
                return;
            } else if (!paused) {
                action.run();
            } else if (queuedActions.size() < MAX_QUEUED_ACTIONS) {
                queuedActions.add(action);
            }
        }

        private void refreshSnapshot() {
            runOrQueue(() -> {
                snapshot = membership.snapshot(localTime());
                snapshotAt = localTime();
                schedule(SNAPSHOT_INTERVAL, this::refreshSnapshot);
            });
        }

        double budgetShare() {
            return localTime() - snapshotAt <= ProtocolTiming.DEFAULT.snapshotExpiry()
                ? snapshot.budgetShare() : snapshot.minBudgetShare();
        }

        boolean isRunning() {
            return !dead && !paused;
        }

        @Override
        public void send(String receiver, ByteBuffer datagram) {
            byte[] bytes = new byte[datagram.remaining()];
            datagram.get(bytes);
            sentDatagrams++;
            sentBytes += bytes.length;
            if (bytes.length > MessageWriter.MAX_MESSAGE_BYTES) {
                throw new InvariantViolation("datagram too long: " + bytes.length + " bytes");
            }
            if (bytes[0] == GroupMessage.FIRST_MAGIC_BYTE) {
                interGroupDatagrams++;
                if (bytes[3] == GroupMessage.Kind.GROUP_REPLY.ordinal()
                    || bytes[3] == GroupMessage.Kind.TABLE_REPLY.ordinal()) {
                    lastReplyAt.put(assignment.keyOf(assignment.groupOf(name)), now);
                    if (checksInvariants) {
                        recordReportedCount(this);
                    }
                }
            }
            sendListener.accept(receiver, bytes);
            transmit(name, receiver, bytes);
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            trace(name + " sees: " + change);
            Process subject = processes.get(change.member());
            boolean running = subject != null && subject.isRunning();
            // A report about an earlier process of the name is not false.
            if (change.newState() == MemberState.GONE && running
                && change.incarnation() >= subject.firstIncarnation && now - subject.startedAt > 3 * SECOND) {
                falseDeclarations++;
                lastFalseDeclaration = name + " sees " + change;
            }
        }

        @Override
        public void incarnationChanged(long incarnation) {
            incarnations.merge(name, incarnation, Math::max);
        }

        @Override
        public void nameConflict(String conflictingName, String reason) {
            trace(name + " reports a name conflict of " + conflictingName + ": " + reason);
        }

        @Override
        public void memberLookupCompleted(String memberName, MemberStatus status) {
            lookupResults.put(memberName, status);
        }
    }

    final Map<String, Process> processes = new TreeMap<>();
    final Map<String, Long> incarnations = new HashMap<>();
    /** The number of blocks per direction, by "sender receiver". */
    final Map<String, Integer> blockCounts = new HashMap<>();
    /** The side of each member in a partition; null if there is none. */
    Map<String, Integer> sides;
    final Factory factory;
    private final boolean checksInvariants;
    private final Map<Integer, Long> lastReplyAt = new HashMap<>();
    private final Map<Integer, List<long[]>> reportedCounts = new HashMap<>();
    private final Map<Integer, Integer> minReportedCounts = new HashMap<>();
    GroupAssignment currentAssignment;
    /** Until this time, members may have different lists or the effects of that. */
    long listsDifferUntil = -1;
    int falseDeclarations, exclusions;
    long interGroupDatagrams;
    String lastFalseDeclaration, lastExclusion;
    double maxShareSum;

    FleetSimulation(long seed, GroupAssignment assignment, Factory factory, boolean tracing) {
        this(seed, assignment, factory, tracing, true);
    }

    /** {@code checksInvariants} is false for fleets that are too large for the checks. */
    FleetSimulation(long seed, GroupAssignment assignment, Factory factory, boolean tracing,
        boolean checksInvariants) {
        super(seed, tracing);
        this.currentAssignment = assignment;
        this.factory = factory;
        this.checksInvariants = checksInvariants;
        if (checksInvariants) {
            schedule(CHECK_INTERVAL, this::checkInvariants);
        }
    }

    void start(String name, GroupAssignment assignment, long incarnation) {
        trace(name + " starts with incarnation " + incarnation);
        processes.put(name, new Process(name, assignment, incarnation));
    }

    void startAll(long duration) {
        for (int group = 0; group < currentAssignment.groupCount(); group++) {
            for (String name : currentAssignment.memberNames(group)) {
                schedule(duration == 0 ? 0 : (long) (random.nextDouble() * duration),
                    () -> start(name, currentAssignment, 1));
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

    void resume(Process process) {
        process.paused = false;
        trace(process.name + " resumes");
        List<Runnable> actions = new ArrayList<>(process.queuedActions);
        process.queuedActions.clear();
        Collections.shuffle(actions, random);
        actions.forEach(process::runOrQueue);
    }

    void configure(String name, GroupAssignment newAssignment) {
        Process process = processes.get(name);
        if (process != null && !process.dead && newAssignment.groupOf(name) >= 0) {
            process.runOrQueue(() -> {
                trace(name + " receives another list");
                process.assignment = newAssignment;
                process.membership.configure(process.localTime(), newAssignment);
                process.scheduleTick();
            });
        }
    }

    /**
     * Blocks one direction ({@code change} is 1) or unblocks it (-1); it may be blocked several times.
     */
    void changeBlockCount(String from, String to, int change) {
        blockCounts.merge(from + " " + to, change, (a, b) -> a + b == 0 ? null : a + b);
    }

    @Override
    protected boolean isBlocked(String from, String to) {
        return sides != null && !sides.get(from).equals(sides.get(to))
            || !blockCounts.isEmpty() && blockCounts.containsKey(from + " " + to);
    }

    @Override
    protected void onDatagram(String from, String to, byte[] bytes) {
        Process process = processes.get(to);
        if (process != null) {
            process.runOrQueue(() -> {
                process.receivedDatagrams++;
                process.receivedBytes += bytes.length;
                process.membership.receive(process.localTime(), from, ByteBuffer.wrap(bytes));
                process.scheduleTick();
            });
        }
    }

    // --- invariants

    private void checkInvariants() {
        Map<Integer, Double> shareSums = new HashMap<>();
        recordTrouble();
        updateMinReportedCounts();
        for (Process process : processes.values()) {
            if (!process.dead) {
                shareSums.merge(process.assignment.hash(), process.budgetShare(), Double::sum);
                if (!process.paused) {
                    checkInvariants(process);
                }
            }
        }
        shareSums.values().forEach(total -> {
            maxShareSum = Math.max(maxShareSum, total);
            if (total > 1 + 1e-9) {
                throw new InvariantViolation(String.format(
                    "at %.3f s the budget shares of the members with one list add up to %.4f", now / 1e6,
                    total));
            }
        });
        schedule(CHECK_INTERVAL, this::checkInvariants);
    }

    /** Records which members are cut off from most others just now: their groups may be excluded. */
    private void recordTrouble() {
        int liveCount = 0;
        Map<String, Integer> blocksByMember = new HashMap<>();
        blockCounts.keySet().forEach(pair -> {
            blocksByMember.merge(pair.substring(0, pair.indexOf(' ')), 1, Integer::sum);
            blocksByMember.merge(pair.substring(pair.indexOf(' ') + 1), 1, Integer::sum);
        });
        for (Process process : processes.values()) {
            liveCount += process.dead ? 0 : 1;
        }
        for (Process process : processes.values()) {
            if (!process.isRunning() || lossRate > 0
                || blocksByMember.getOrDefault(process.name, 0) >= liveCount / 2) {
                process.lastTroubleAt = now;
            }
        }
    }

    /** Records how many members of its group a member counts at the time of a reply to others. */
    private void recordReportedCount(Process process) {
        int key = process.assignment.keyOf(process.assignment.groupOf(process.name));
        int countedMembers = process.membership.ownMembership().snapshot(process.localTime())
            .countedMembers();
        reportedCounts.computeIfAbsent(key, unused -> new ArrayList<>())
            .add(new long[] {now, countedMembers});
    }

    /** Updates the lowest count that each group's members reported lately. */
    private void updateMinReportedCounts() {
        minReportedCounts.clear();
        reportedCounts.forEach((key, reports) -> {
            reports.removeIf(report -> now - report[0] > PROPAGATION_TIME);
            reports.forEach(report -> minReportedCounts.merge(key, (int) report[1], Math::min));
        });
    }

    /** Checks the counts of a member: limits, its own rank, ages, and the sum over its groups. */
    private void checkInvariants(Process process) {
        long localTime = process.localTime();
        GroupAssignment assignment = process.assignment;
        MembershipSnapshot snapshot = process.membership.snapshot(localTime);
        if (snapshot.countedMembers() > assignment.memberCount()
            || snapshot.configuredMembers() != assignment.memberCount()) {
            throw new InvariantViolation(process.name + " has counts " + snapshot + " of "
                + assignment.memberCount() + " names");
        }
        // A member that has left does not count itself.
        boolean hasLeft = process.membership.stateOf(process.name) == MemberState.LEFT;
        if (!hasLeft && (snapshot.ownRank() < 0 || snapshot.ownRank() >= snapshot.countedMembers())) {
            throw new InvariantViolation(process.name + " has a rank outside of its counted members: "
                + snapshot);
        }
        if (assignment.isSingleGroup()) {
            return;
        }
        int total = 0;
        List<GroupStatus> statuses = process.membership.groupStatuses(localTime);
        for (int group = 0; group < statuses.size(); group++) {
            GroupStatus status = statuses.get(group);
            total += status.countedMembers();
            if (group != assignment.groupOf(process.name)) {
                checkInvariants(process, group, status);
                boolean outdated = status.countedMembers() > 0
                    && (!status.fresh() || snapshot.oldestReportAge() < status.reportAge());
                if (outdated && (snapshot.agreement() == Agreement.ALL
                    || snapshot.oldestReportAge() < status.reportAge())) {
                    throw new InvariantViolation(process.name + " has " + snapshot + " with " + status);
                }
            }
        }
        if (Math.max(1, total) != snapshot.countedMembers()) {
            throw new InvariantViolation(process.name + " counts " + total + " members over its groups, but "
                + snapshot.countedMembers() + " in total");
        }
    }

    /** Checks what a member knows of another group against what that group reported and who is reachable. */
    private void checkInvariants(Process process, int group, GroupStatus status) {
        GroupAssignment assignment = process.assignment;
        int key = assignment.keyOf(group), nameCount = assignment.memberNames(group).size();
        long timeSinceReply = now - lastReplyAt.getOrDefault(key, -1_000 * SECOND);
        if (status.countedMembers() > nameCount) {
            throw new InvariantViolation(process.name + " counts more members in " + status
                + " than it has names");
        }
        if (status.reportAge() >= 0
            && status.reportAge() * MAX_CLOCK_RATIO + 5 * MILLISECOND < timeSinceReply) {
            throw new InvariantViolation(String.format(
                "%s has data of %s with age %.3f s; the last reply was %.3f s ago", process.name,
                status.label(), status.reportAge() / 1e6, timeSinceReply / 1e6));
        }
        boolean excluded = status.countedMembers() == 0;
        if (timeSinceReply > ProtocolTiming.DEFAULT.reportExpiry() * MAX_CLOCK_RATIO && !excluded
            && status.countedMembers() < nameCount) {
            throw new InvariantViolation(String.format("%s counts %d of %s, whose last reply was %.3f s ago",
                process.name, status.countedMembers(), status.label(), timeSinceReply / 1e6));
        }
        boolean listsDiffer = now < listsDifferUntil || assignment != currentAssignment;
        if (!excluded && !listsDiffer && status.countedMembers() < minReportedCounts.getOrDefault(key, 0)) {
            throw new InvariantViolation(process.name + " counts fewer members of " + status
                + " than that group itself: " + minReportedCounts.get(key));
        }
        if (excluded && now - process.startedAt > PROPAGATION_TIME) {
            exclusions++;
            for (String name : assignment.memberNames(group)) {
                Process other = processes.get(name);
                if (other != null && other.isRunning() && other.assignment.groupOf(name) == group
                    && other.assignment == assignment && now - other.lastTroubleAt > PROPAGATION_TIME
                    && now - process.lastTroubleAt > PROPAGATION_TIME && !listsDiffer
                    && now - other.startedAt > PROPAGATION_TIME) {
                    throw new InvariantViolation(process.name + " excludes " + status + ", although " + name
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
        String error = groupViewError();
        Set<Integer> ranks = new HashSet<>();
        int liveCount = 0;
        for (Process process : processes.values()) {
            liveCount += process.dead ? 0 : 1;
        }
        for (Process process : processes.values()) {
            if (process.dead || error != null) {
                continue;
            }
            MembershipSnapshot snapshot = process.membership.snapshot(process.localTime());
            boolean listsDiffer = hasMemberWithDifferentList();
            if (process.assignment != currentAssignment) {
                boolean countsTooFew = snapshot.countedMembers()
                    < Math.min(liveCount, snapshot.configuredMembers() - 1);
                error = countsTooFew || snapshot.agreement() == Agreement.ALL
                    ? process.name + " with a different list has " + snapshot + " of " + liveCount : null;
            } else if (listsDiffer) {
                error = snapshot.countedMembers() < liveCount
                    ? process.name + " counts too few members: " + snapshot + " of " + liveCount : null;
            } else {
                error = countError(process, snapshot);
                if (error == null && snapshot.agreement() != Agreement.MINORITY
                    && !ranks.add(snapshot.ownRank())) {
                    error = process.name + " has the same rank as another member: " + snapshot;
                }
            }
        }
        return error;
    }

    /** Whether a live member has a different list. */
    private boolean hasMemberWithDifferentList() {
        return processes.values().stream().anyMatch(process -> !process.dead
            && process.assignment != currentAssignment);
    }

    /** Returns null if a member's counts follow from the views within the groups, else what is wrong. */
    private String countError(Process process, MembershipSnapshot snapshot) {
        List<GroupStatus> statuses = process.membership.groupStatuses(process.localTime());
        int expectedMembers = 0, expectedPresent = 0, leftMembers = 0;
        boolean allAgree = true;
        for (int group = 0; group < statuses.size(); group++) {
            MembershipSnapshot groupSnapshot = null;
            for (String name : currentAssignment.memberNames(group)) {
                Process member = processes.get(name);
                if (member != null && !member.dead) {
                    groupSnapshot = member.membership.ownMembership().snapshot(member.localTime());
                }
            }
            int nameCount = currentAssignment.memberNames(group).size();
            int expected = groupSnapshot != null ? groupSnapshot.countedMembers()
                : snapshot.agreement() == Agreement.MINORITY ? nameCount : 0;
            if (statuses.get(group).countedMembers() != expected) {
                return process.name + " counts " + statuses.get(group) + ", expected " + expected;
            }
            expectedMembers += expected;
            expectedPresent += groupSnapshot == null ? 0 : groupSnapshot.presentMembers();
            allAgree &= groupSnapshot == null || groupSnapshot.agreement() == Agreement.ALL;
            leftMembers += statuses.get(group).leftMembers();
        }
        Agreement expected = 2 * expectedPresent <= currentAssignment.memberCount() - leftMembers
            ? Agreement.MINORITY : allAgree ? Agreement.ALL : Agreement.MAJORITY;
        return snapshot.agreement() != expected || snapshot.countedMembers() != Math.max(1, expectedMembers)
            || snapshot.presentMembers() != expectedPresent
            ? process.name + " has " + snapshot + ", expected " + expected + " " + expectedMembers + " "
                + expectedPresent + "; views within the groups: " + describeGroupViews() : null;
    }

    private String describeGroupViews() {
        StringBuilder text = new StringBuilder();
        for (Process member : processes.values()) {
            if (!member.dead) {
                MembershipSnapshot snapshot = member.membership.ownMembership().snapshot(member.localTime());
                text.append(' ').append(member.name).append(':').append(snapshot.agreement()).append('/')
                    .append(snapshot.agreeingMembers()).append('/').append(snapshot.presentMembers())
                    .append('/').append(snapshot.countedMembers());
            }
        }
        return text.toString();
    }

    /**
     * Returns null if all live members see the right state of each member of their group, else what is
     * wrong.
     */
    private String groupViewError() {
        for (Process process : processes.values()) {
            if (process.dead || process.assignment != currentAssignment) {
                continue;
            }
            for (String name : currentAssignment.memberNames(currentAssignment.groupOf(process.name))) {
                Process subject = processes.get(name);
                boolean running = subject != null && !subject.dead;
                MemberState state = process.membership.stateOf(name);
                if (running != (state == MemberState.PRESENT)) {
                    return process.name + " sees " + name + " " + state + ", which " + (running ? "is alive"
                        : "is dead");
                }
            }
        }
        return null;
    }
}
