package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.MILLISECOND;
import static dockrelay.fleet.VirtualNetwork.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * One simulated run of a fleet in groups from a seed: the fleet starts, random faults overlap for a while,
 * and then it has time to converge.
 */
final class FleetFaultSchedule {
    /** Time after the last fault within which all members have to arrive at the same counts. */
    static final long CONVERGENCE_TIME = 26 * SECOND;
    private static final long STARTUP_TIME = 6 * SECOND, FAULT_WINDOW = 12 * SECOND;
    private static final int FAULT_KINDS = 19;

    /** The result of a run. */
    record Outcome(int memberCount, int groupCount, boolean lossless, int falseDeclarations, int exclusions,
        double maxShareSum, long convergenceTime) {
    }

    private final FleetSimulation simulation;
    private final Random random;
    private final Map<String, List<String>> zones = new TreeMap<>();
    private final Map<String, Integer> regionByZone = new TreeMap<>();
    private final int groupSize;
    private boolean lossless = true;
    private long lastFaultAt;

    private FleetFaultSchedule(long seed, FleetSimulation.Factory factory, boolean tracing) {
        random = new Random(seed * 31 + 11);
        groupSize = 3 + random.nextInt(4);
        int zoneCount = 2 + random.nextInt(3);
        for (int zone = 0; zone < zoneCount; zone++) {
            List<String> names = new ArrayList<>();
            int nameCount = 1 + random.nextInt(random.nextInt(8) == 0 ? 24 : 10);
            for (int i = 0; i < nameCount; i++) {
                names.add("z" + zone + "n" + i);
            }
            zones.put("z" + zone, names);
            regionByZone.put("z" + zone, zone == zoneCount - 1 ? 1 : zone % 2);
        }
        simulation = new FleetSimulation(seed, GroupAssignment.ofAnySize(zones, groupSize), factory, tracing);
    }

    static Outcome run(long seed, FleetSimulation.Factory factory, boolean tracing) {
        return new FleetFaultSchedule(seed, factory, tracing).run();
    }

    private Outcome run() {
        simulation.trace(zones + " in groups of " + groupSize);
        for (int group = 0; group < simulation.currentAssignment.groupCount(); group++) {
            simulation.trace(simulation.currentAssignment.label(group) + ": "
                + simulation.currentAssignment.memberNames(group));
        }
        simulation.startAll(random.nextBoolean() ? 0 : SECOND);
        simulation.runUntil(STARTUP_TIME);
        int faultCount = 1 + random.nextInt(3);
        for (int i = 0; i < faultCount; i++) {
            addRandomFault(STARTUP_TIME + (long) (random.nextDouble() * FAULT_WINDOW));
        }
        lastFaultAt = Math.max(lastFaultAt, STARTUP_TIME);
        while (simulation.now < lastFaultAt) { // a fault may schedule further ones
            simulation.runUntil(lastFaultAt);
        }
        // Replayed datagrams still arrive.
        simulation.lossRate = simulation.duplicationRate = simulation.corruptionRate = 0;
        String error = awaitAgreement(lastFaultAt + CONVERGENCE_TIME);
        long convergenceTime = simulation.now - lastFaultAt;
        if (error == null) { // the views stay equal, except that members never heard of become gone over time
            simulation.runUntil(simulation.now + (random.nextInt(10) == 0 ? CONVERGENCE_TIME : SECOND));
            error = awaitAgreement(simulation.now + 5 * SECOND);
        }
        if (error != null) {
            throw new FleetSimulation.InvariantViolation(String.format("%.1f s after the last fault: %s",
                CONVERGENCE_TIME / 1e6, error));
        }
        if (lossless && simulation.falseDeclarations > 0) {
            throw new FleetSimulation.InvariantViolation("false declaration although no datagram was lost: "
                + simulation.lastFalseDeclaration);
        }
        return new Outcome(simulation.currentAssignment.memberCount(),
            simulation.currentAssignment.groupCount(), lossless, simulation.falseDeclarations,
            simulation.exclusions, simulation.maxShareSum, convergenceTime);
    }

    private String awaitAgreement(long deadline) {
        String error = simulation.disagreement();
        while (error != null && simulation.now < deadline) {
            simulation.runUntil(simulation.now + SECOND / 2);
            error = simulation.disagreement();
        }
        return error;
    }

    private void scheduleAt(long time, Runnable action) {
        lastFaultAt = Math.max(lastFaultAt, time);
        simulation.schedule(Math.max(0, time - simulation.now), action);
    }

    // --- choice of members

    private List<String> allNames() {
        List<String> result = new ArrayList<>();
        zones.values().forEach(result::addAll);
        return result;
    }

    private String randomMember() {
        List<String> names = allNames();
        return names.get(random.nextInt(names.size()));
    }

    private List<String> randomGroup() {
        return simulation.currentAssignment.memberNames(
            random.nextInt(simulation.currentAssignment.groupCount()));
    }

    /** Returns a current representative of a group, or any member if there is none. */
    private String randomRepresentative(List<String> group) {
        List<String> representatives = group.stream().filter(name -> isRunning(name)
            && simulation.processes.get(name).membership.isRepresentative()).toList();
        return representatives.isEmpty() ? group.get(0)
            : representatives.get(random.nextInt(representatives.size()));
    }

    private boolean isRunning(String name) {
        FleetSimulation.Process process = simulation.processes.get(name);
        return process != null && process.isRunning();
    }

    // --- faults

    private void addRandomFault(long time) {
        int kind = random.nextInt(FAULT_KINDS);
        simulation.trace("fault " + kind + " at " + time / 1e6);
        switch (kind) {
            case 0 -> kill(time, randomMember());
            case 1 -> scheduleAt(time, () -> kill(simulation.now, randomRepresentative(randomGroup())));
            case 2 -> scheduleAt(time, () -> pause(simulation.now, randomRepresentative(randomGroup())));
            case 3 -> scheduleAt(time, () -> isolateInOneDirection(randomRepresentative(randomGroup())));
            // The group loses its quorum.
            case 4 -> scheduleAt(time, () -> killRandomSubset(randomGroup(), 0.7));
            case 5 -> scheduleAt(time, () -> killRandomSubset(randomGroup(), 1));
            case 6 -> {
                lossless = false;
                List<String> group = randomGroup();
                boolean wholeFleet = random.nextBoolean(); // partitions the fleet, or only one group
                List<String> members = wholeFleet ? allNames() : group;
                partition(time, members, randomSubset(members, 0.5));
            }
            case 7 -> partition(time, allNames(), zones.get(new ArrayList<>(zones.keySet())
                .get(random.nextInt(zones.size()))));
            case 8 -> {
                List<String> region = new ArrayList<>();
                zones.forEach((zone, names) -> region.addAll(regionByZone.get(zone) == 1 ? names
                    : List.of()));
                partition(time, allNames(), region);
            }
            case 9 -> partition(time, allNames(), randomGroup());
            case 10 -> blockBetweenGroups(time);
            case 11 -> scheduleAt(time, () -> changeList(true));
            case 12 -> scheduleAt(time, () -> changeList(false));
            case 13 -> scheduleAt(time, this::giveMemberDifferentList);
            case 14 -> degradeNetwork(time);
            case 15 -> leave(time, randomMember());
            case 16 -> randomGroup().forEach(name -> leave(time + random.nextInt((int) SECOND), name));
            case 17 -> { // a series of restarts, each too quick to be detected as a death
                for (int i = 0; i < 12; i++) {
                    String name = randomMember();
                    scheduleAt(time + i * 700 * MILLISECOND, () -> simulation.kill(name));
                    restart(time + i * 700 * MILLISECOND + 300 * MILLISECOND, name, true);
                }
            }
            default -> { // a flapping link, and a process that runs for short moments only
                lossless = false;
                String a = randomMember(), b = randomMember(), intermittentMember = randomMember();
                for (int i = 0; i < 10; i++) {
                    blockDirection(time + i * 600 * MILLISECOND, time + i * 600 * MILLISECOND
                        + 300 * MILLISECOND, a, b);
                    blockDirection(time + i * 600 * MILLISECOND, time + i * 600 * MILLISECOND
                        + 300 * MILLISECOND, b, a);
                    pause(time + i * 350 * MILLISECOND, 250 * MILLISECOND, intermittentMember);
                }
            }
        }
        simulation.replayRate = random.nextInt(3) == 0 ? 0.01 : 0;
    }

    private void pause(long time, String name) {
        pause(time, List.of(500 * MILLISECOND, 3 * SECOND, 9 * SECOND).get(random.nextInt(3)), name);
    }

    private void pause(long time, long duration, String name) {
        lossless &= duration < SECOND;
        scheduleAt(time, () -> {
            if (isRunning(name)) {
                FleetSimulation.Process process = simulation.processes.get(name);
                simulation.trace(name + " is paused");
                process.paused = true;
                scheduleAt(simulation.now + duration, () -> {
                    if (!process.dead) {
                        simulation.resume(process);
                    }
                });
            }
        });
    }

    private void kill(long time, String name) {
        scheduleAt(time, () -> simulation.kill(name));
        if (random.nextInt(4) > 0) {
            restart(time + 20 * MILLISECOND + random.nextInt((int) (8 * SECOND)), name);
        }
    }

    private void killRandomSubset(List<String> group, double probability) {
        randomSubset(group, probability).forEach(name -> kill(simulation.now, name));
    }

    private List<String> randomSubset(List<String> names, double probability) {
        return names.stream().filter(name -> random.nextDouble() < probability).toList();
    }

    /**
     * Restarts a member with its stored incarnation, or with the lowest one, so that peers have to correct
     * it.
     */
    private void restart(long time, String name) {
        restart(time, name, random.nextBoolean());
    }

    private void restart(long time, String name, boolean keepsIncarnation) {
        scheduleAt(time, () -> {
            FleetSimulation.Process process = simulation.processes.get(name);
            if ((process == null || process.dead) && simulation.currentAssignment.groupOf(name) >= 0) {
                simulation.start(name, simulation.currentAssignment, keepsIncarnation
                    ? simulation.incarnations.getOrDefault(name, 0L) + 1 : 1);
            }
        });
    }

    private void leave(long time, String name) {
        scheduleAt(time, () -> {
            if (isRunning(name)) {
                FleetSimulation.Process process = simulation.processes.get(name);
                simulation.trace(name + " leaves");
                process.membership.leave(process.localTime());
                scheduleAt(simulation.now + SECOND, () -> simulation.kill(name));
                if (random.nextInt(4) > 0) {
                    restart(simulation.now + 2 * SECOND + random.nextInt((int) (5 * SECOND)), name);
                }
            }
        });
        lastFaultAt = Math.max(lastFaultAt, time + 8 * SECOND);
    }

    private void blockDirection(long start, long end, String from, String to) {
        if (!from.equals(to)) {
            scheduleAt(start, () -> simulation.changeBlockCount(from, to, 1));
            scheduleAt(end, () -> simulation.changeBlockCount(from, to, -1));
        }
    }

    /** Blocks one direction between a member and all others, or all others outside its group. */
    private void isolateInOneDirection(String name) {
        lossless = false;
        List<String> group = simulation.currentAssignment.memberNames(
            simulation.currentAssignment.groupOf(name));
        boolean inbound = random.nextBoolean(), outsideOnly = random.nextBoolean();
        long end = simulation.now + 3 * SECOND + random.nextInt((int) (6 * SECOND));
        for (String other : allNames()) {
            if (!outsideOnly || !group.contains(other)) {
                blockDirection(simulation.now, end, inbound ? other : name, inbound ? name : other);
            }
        }
    }

    /** Blocks one or both directions between two groups; the other groups still reach both. */
    private void blockBetweenGroups(long start) {
        List<String> firstGroup = randomGroup(), secondGroup = randomGroup();
        long end = start + 3 * SECOND + random.nextInt((int) (9 * SECOND));
        boolean bothDirections = random.nextBoolean();
        for (String from : firstGroup == secondGroup ? List.<String>of() : firstGroup) {
            for (String to : secondGroup) {
                blockDirection(start, end, from, to);
                if (bothDirections) {
                    blockDirection(start, end, to, from);
                }
            }
        }
    }

    private void partition(long start, List<String> members, List<String> firstSide) {
        lossless = false;
        long end = start + 2 * SECOND + random.nextInt((int) (14 * SECOND));
        for (String a : members) {
            for (String b : members) {
                if (firstSide.contains(a) != firstSide.contains(b)) {
                    blockDirection(start, end, a, b);
                }
            }
        }
    }

    /** Adds, removes or moves a name; the members receive the new list at different times within seconds. */
    private void changeList(boolean move) {
        List<String> sourceZones = zones.keySet().stream().filter(zone -> zones.get(zone).size() > 1)
            .toList();
        if (sourceZones.isEmpty()) {
            return;
        }
        lossless = false;
        String sourceZone = sourceZones.get(random.nextInt(sourceZones.size()));
        String targetZone = new ArrayList<>(zones.keySet()).get(random.nextInt(zones.size()));
        String name = zones.get(sourceZone).get(random.nextInt(zones.get(sourceZone).size()));
        if (move) {
            zones.get(sourceZone).remove(name);
            zones.get(targetZone).add(name);
        } else if (random.nextBoolean()) {
            name = "new" + random.nextInt(1_000_000);
            zones.get(targetZone).add(name);
        } else { // a name is removed only after its process has ended
            simulation.kill(name);
            zones.get(sourceZone).remove(name);
        }
        GroupAssignment newAssignment = GroupAssignment.ofAnySize(zones, groupSize);
        simulation.trace("new list " + zones);
        long rolloutTime = 3 * SECOND;
        simulation.currentAssignment = newAssignment;
        simulation.listsDifferUntil = simulation.now + rolloutTime + FleetSimulation.PROPAGATION_TIME;
        for (String member : new ArrayList<>(simulation.processes.keySet())) {
            scheduleAt(simulation.now + (long) (random.nextDouble() * rolloutTime),
                () -> simulation.configure(member, simulation.currentAssignment));
        }
        if (!move && newAssignment.groupOf(name) >= 0) {
            restart(simulation.now + random.nextInt((int) rolloutTime), name);
        }
        lastFaultAt = Math.max(lastFaultAt, simulation.now + rolloutTime);
    }

    /**
     * Gives one member a different list until the end: with an additional name, or a name in another zone.
     */
    private void giveMemberDifferentList() {
        String name = randomMember();
        if (!isRunning(name)) {
            return;
        }
        lossless = false;
        Map<String, List<String>> ownZones = new TreeMap<>();
        zones.forEach((zone, names) -> ownZones.put(zone, new ArrayList<>(names)));
        List<String> zoneNames = ownZones.get(new ArrayList<>(ownZones.keySet())
            .get(random.nextInt(ownZones.size())));
        String movedName = zoneNames.get(random.nextInt(zoneNames.size()));
        if (random.nextBoolean() && zoneNames.size() > 1) {
            zoneNames.remove(movedName);
            ownZones.get(new ArrayList<>(ownZones.keySet()).get(random.nextInt(ownZones.size())))
                .add(movedName);
        } else {
            zoneNames.add("nobody" + random.nextInt(1_000));
        }
        GroupAssignment differentAssignment = GroupAssignment.ofAnySize(ownZones, groupSize);
        if (differentAssignment.hash() != simulation.currentAssignment.hash()) {
            simulation.trace(name + " permanently has the list " + ownZones);
            simulation.configure(name, differentAssignment);
        }
    }

    private void degradeNetwork(long time) {
        lossless = false;
        double lossRate = random.nextDouble() * 0.3;
        scheduleAt(time, () -> {
            simulation.lossRate = lossRate;
            simulation.duplicationRate = 0.1;
            simulation.corruptionRate = 0.02;
            simulation.maxJitter = 30 * MILLISECOND;
        });
        scheduleAt(time + 6 * SECOND, () -> {
            simulation.lossRate = simulation.duplicationRate = simulation.corruptionRate = 0;
            simulation.maxJitter = 3 * MILLISECOND;
        });
    }
}
