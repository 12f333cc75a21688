package dockrelay.lab.scale.members;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A busy day of a fleet: members restart continuously, a rack fails at once, a changed member list is rolled
 * out to one member after the other, and the rack comes back.
 */
final class BusyDay {
    /** Number of names that the list change removes, and number of names that it adds. */
    static final int CHANGED_NAMES = 8;
    private static final int MAX_RACK_SIZE = 40;
    private static final long MICROS_PER_SECOND = VirtualFleet.MICROS_PER_SECOND;
    /**
     * One restart every 7.6 s among 5,700 members. Small fleets restart a member at least every 15 s, so that
     * some restarts happen during the run.
     */
    private static final double MEMBER_SECONDS_PER_RESTART = 7.6 * 5_700, MAX_RESTART_INTERVAL_SECONDS = 15;
    private static final long LEAVE_MICROS = MICROS_PER_SECOND, DOWNTIME_MICROS = 2 * MICROS_PER_SECOND;
    private static final long RACK_LOSS_AT_MICROS = 20 * MICROS_PER_SECOND,
        LIST_CHANGE_AT_MICROS = 30 * MICROS_PER_SECOND, ROLLOUT_MICROS = 6 * MICROS_PER_SECOND,
        RACK_RETURN_AT_MICROS = 60 * MICROS_PER_SECOND, END_MICROS = 90 * MICROS_PER_SECOND;
    /** Tolerated difference of member counts, as a restart or two may be in progress. */
    private static final int COUNT_TOLERANCE = 2;

    private final VirtualFleet fleet;
    private final Figures figures;
    private final Set<Integer> lostRack = new HashSet<>(), removedMembers = new HashSet<>(),
        restartingMembers = new HashSet<>();
    private final Layout[] layoutByMember;
    private final long startedAt, restartIntervalMicros;
    private Layout layout;
    private int restartCount, runningCount;
    private long runningCountAt = -1;

    BusyDay(ScenarioPlay play, VirtualFleet fleet, Figures figures) {
        this.fleet = fleet;
        this.figures = figures;
        this.layout = play.layout();
        this.startedAt = fleet.now();
        this.layoutByMember = new Layout[fleet.memberCount() + CHANGED_NAMES];
        java.util.Arrays.fill(layoutByMember, layout);
        this.restartIntervalMicros = (long) (Math.min(MAX_RESTART_INTERVAL_SECONDS,
            MEMBER_SECONDS_PER_RESTART / layout.size()) * MICROS_PER_SECOND);
    }

    /** Plays the whole scenario and records its figures. */
    void run() {
        fleet.runAfter(restartIntervalMicros, this::restart);
        fleet.runUntil(startedAt + RACK_LOSS_AT_MICROS);
        List<Integer> shuffled = Scenario.shuffledRunning(fleet);
        shuffled.removeAll(restartingMembers);
        lostRack.addAll(shuffled.subList(0, Math.min(MAX_RACK_SIZE, layout.size() / 4)));
        lostRack.forEach(fleet::kill);
        ConvergenceSampler rackLossSampler = new ConvergenceSampler(fleet,
            LIST_CHANGE_AT_MICROS - RACK_LOSS_AT_MICROS - MICROS_PER_SECOND, false,
            i -> !restartingMembers.contains(i), this::countsNearlyAll);
        fleet.runUntil(startedAt + LIST_CHANGE_AT_MICROS - MICROS_PER_SECOND / 2);
        figures.addTimes("a rack lost among restarts, counted by all", rackLossSampler.convergenceSeconds(),
            rackLossSampler.unconvergedCount());
        changeList(shuffled.subList(lostRack.size(), lostRack.size() + CHANGED_NAMES));
        fleet.runUntil(fleet.now() + ROLLOUT_MICROS);
        ConvergenceSampler rolloutSampler = new ConvergenceSampler(fleet,
            startedAt + RACK_RETURN_AT_MICROS - 2 * MICROS_PER_SECOND - fleet.now(), false,
            i -> !restartingMembers.contains(i), this::countsNearlyAll);
        fleet.runUntil(startedAt + RACK_RETURN_AT_MICROS);
        figures.addTimes("a list told among restarts, counted by all after the last was told",
            rolloutSampler.convergenceSeconds(), rolloutSampler.unconvergedCount());
        figures.add("members that count wrongly after a list was told, among restarts", "share of looks",
            rolloutSampler.divergedShare());
        lostRack.forEach(i -> fleet.start(i, layoutByMember[i]));
        lostRack.clear();
        int expectedCount = Scenario.runningCount(fleet);
        ConvergenceSampler returnSampler = new ConvergenceSampler(fleet, END_MICROS - RACK_RETURN_AT_MICROS,
            true, i -> !removedMembers.contains(i), i -> Scenario.agreesOnCount(fleet, i, expectedCount));
        fleet.runUntil(startedAt + END_MICROS);
        figures.addTimes("a rack back, all agree", returnSampler.convergenceSeconds(),
            returnSampler.unconvergedCount());
        figures.add("restarts on the busy day", "restarts", restartCount);
        figures.add("false deaths on the busy day", "deaths", fleet.falseDeaths());
        Scenario.addPeakTraffic(fleet, figures, "busy day");
    }

    /** Whether the member counts about as many members as are running. */
    private boolean countsNearlyAll(int member) {
        if (runningCountAt != fleet.now()) {
            runningCountAt = fleet.now();
            runningCount = Scenario.runningCount(fleet);
        }
        return Math.abs(fleet.snapshot(member).countedMembers() - runningCount) <= COUNT_TOLERANCE;
    }

    /** Restarts one random member and schedules the next restart. */
    private void restart() {
        if (fleet.now() > startedAt + RACK_RETURN_AT_MICROS - LEAVE_MICROS - DOWNTIME_MICROS
            - 2 * MICROS_PER_SECOND) {
            return;
        }
        fleet.runAfter(restartIntervalMicros, this::restart);
        List<Integer> candidates = Scenario.shuffledRunning(fleet);
        candidates.removeAll(restartingMembers);
        candidates.removeAll(removedMembers);
        int member = candidates.get(0);
        restartingMembers.add(member);
        restartCount++;
        fleet.leave(member);
        fleet.runAfter(LEAVE_MICROS, () -> {
            fleet.kill(member);
            fleet.runAfter(DOWNTIME_MICROS, () -> {
                restartingMembers.remove(member);
                if (!lostRack.contains(member)) {
                    fleet.start(member, layoutByMember[member]);
                }
            });
        });
    }

    /**
     * Removes some members, which leave first, adds new ones, and configures the rest within some seconds.
     */
    private void changeList(List<Integer> leaving) {
        List<String> removedNames = new ArrayList<>();
        for (int i : leaving) {
            if (!restartingMembers.contains(i) && fleet.isRunning(i)) {
                removedNames.add(fleet.nameOf(i));
                removedMembers.add(i);
                fleet.leave(i);
                fleet.runAfter(LEAVE_MICROS, () -> fleet.kill(i));
            }
        }
        layout = layout.withChanges(removedNames, CHANGED_NAMES);
        for (int i = 0; i < fleet.memberCount(); i++) {
            int member = i;
            if (!removedMembers.contains(i)) {
                fleet.runAfter((long) (fleet.random.nextDouble() * ROLLOUT_MICROS), () -> {
                    layoutByMember[member] = layout;
                    if (fleet.isRunning(member)) {
                        fleet.configure(member, layout);
                    }
                });
            }
        }
        List<String> allNames = layout.names();
        for (String name : allNames.stream().filter(candidate -> candidate.contains("-new")).toList()) {
            int index = fleet.addName(name);
            layoutByMember[index] = layout;
            fleet.runAfter((long) (fleet.random.nextDouble() * ROLLOUT_MICROS),
                () -> fleet.start(index, layout));
        }
    }
}
