package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.MILLISECOND;
import static dockrelay.fleet.VirtualNetwork.SECOND;

import dockrelay.fleet.MemberState;
import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Measures traffic, heap and detection times of a fleet on the virtual network: 7 zones of different sizes
 * in 3 regions. This is a program, not a test: its arguments are the number of members and the scenarios to
 * run: quiet, heap, restarts, death, zone, random, region, loss.
 */
final class FleetBenchmark {
    private static final double[] ZONE_WEIGHTS = {0.24, 0.19, 0.16, 0.14, 0.12, 0.09, 0.06};
    private static final int[] ZONE_REGIONS = {0, 0, 0, 1, 1, 2, 2};
    private static final long POLL_INTERVAL = 100 * MILLISECOND, TRAFFIC_WINDOW = 10 * SECOND;

    private final FleetSimulation simulation;
    private final Map<String, List<String>> zones = new TreeMap<>();
    private final Random random = new Random(7);
    private final int memberCount;

    private FleetBenchmark(int memberCount, int groupSize) {
        this.memberCount = memberCount;
        int assignedNames = 0;
        for (int zone = 0; zone < ZONE_WEIGHTS.length; zone++) {
            int zoneSize = zone == ZONE_WEIGHTS.length - 1 ? memberCount - assignedNames
                : (int) Math.round(memberCount * ZONE_WEIGHTS[zone]);
            List<String> names = new ArrayList<>();
            for (int i = 0; i < zoneSize; i++) {
                names.add("p" + (assignedNames + i));
            }
            assignedNames += zoneSize;
            zones.put("zone" + zone, names);
        }
        GroupAssignment assignment = GroupAssignment.of(zones, groupSize);
        simulation = new FleetSimulation(1, assignment, GroupedMembership::new, false, false);
        print("groups", assignment.groupCount());
    }

    public static void main(String[] args) {
        int memberCount = Integer.parseInt(args[0]);
        FleetBenchmark benchmark = new FleetBenchmark(memberCount,
            Integer.getInteger("groups.size", GroupAssignment.DEFAULT_GROUP_SIZE));
        benchmark.start();
        for (int i = 1; i < args.length; i++) {
            benchmark.runScenario(args[i]);
        }
    }

    private void print(String label, Object value) {
        System.out.printf("%d: %s %s%n", memberCount, label, value);
    }

    private void start() {
        simulation.startAll(SECOND);
        long startNanos = System.nanoTime();
        simulation.runUntil(9 * SECOND);
        print(runningWithout(process -> seesFullAgreement(process, memberCount)).size()
            + " members do not agree 9 s after start; wall-clock s per simulated s",
            (System.nanoTime() - startNanos) / 9e9);
    }

    private void runScenario(String scenario) {
        long startNanos = System.nanoTime(), startTime = simulation.now;
        switch (scenario) {
            case "quiet" -> measureTraffic("quiet", 11 * SECOND, () -> { });
            case "heap" -> measureHeap();
            case "restarts" -> {
                for (int i = 0; i < 30; i++) {
                    String name = randomLiveMember();
                    simulation.schedule(i * SECOND, () -> simulation.kill(name));
                    simulation.schedule((i + 5) * SECOND, () -> restart(name));
                }
                measureTraffic("one restart per second", 40 * SECOND, () -> { });
            }
            case "death" -> measureDeaths();
            case "zone" -> measureLoss("one zone", zones.get("zone3"));
            case "random" -> {
                List<String> victims = new ArrayList<>(simulation.processes.keySet());
                victims.removeIf(name -> random.nextInt(7) > 0);
                measureLoss("a random seventh of all members", victims);
            }
            case "region" -> measureRegionPartition();
            default -> {
                simulation.lossRate = 0.01;
                int falseDeclarationsBefore = simulation.falseDeclarations;
                measureTraffic("1% loss", 600 * SECOND, () -> { });
                print("false declarations in ten minutes with 1% loss",
                    simulation.falseDeclarations - falseDeclarationsBefore);
                simulation.lossRate = 0;
                simulation.runUntil(simulation.now + 10 * SECOND);
            }
        }
        print(scenario + ": wall-clock s", (System.nanoTime() - startNanos) / 1e9 + " for simulated s "
            + (simulation.now - startTime) / 1e6);
    }

    private String randomLiveMember() {
        List<String> names = new ArrayList<>(simulation.processes.keySet());
        String name = names.get(random.nextInt(names.size()));
        return simulation.processes.get(name).dead ? randomLiveMember() : name;
    }

    private void restart(String name) {
        simulation.start(name, simulation.currentAssignment, simulation.incarnations.getOrDefault(name, 0L)
            + 1);
    }

    private static long[] trafficCounters(FleetSimulation.Process process) {
        return new long[] {process.sentBytes, process.receivedBytes, process.sentDatagrams,
            process.receivedDatagrams};
    }

    /** Prints the mean traffic per member, and the highest traffic of any member over ten seconds. */
    private void measureTraffic(String label, long duration, Runnable trigger) {
        Map<FleetSimulation.Process, List<long[]>> history = new HashMap<>();
        long end = simulation.now + duration;
        trigger.run();
        double sentBytes = 0, receivedBytes = 0, sentDatagrams = 0, liveMembers = 0, maxSentRate = 0,
            maxReceivedRate = 0;
        Map<FleetSimulation.Process, long[]> startCounters = new HashMap<>();
        simulation.processes.values()
            .forEach(process -> startCounters.put(process, trafficCounters(process)));
        while (simulation.now < end) {
            simulation.runUntil(Math.min(end, simulation.now + SECOND));
            for (FleetSimulation.Process process : simulation.processes.values()) {
                List<long[]> window = history.computeIfAbsent(process, p -> new ArrayList<>());
                window.add(trafficCounters(process));
                if (window.size() > 10) {
                    long[] earlierCounters = window.remove(0),
                        currentCounters = window.get(window.size() - 1);
                    maxSentRate = Math.max(maxSentRate, (currentCounters[0] - earlierCounters[0]) * 1e6
                        / TRAFFIC_WINDOW);
                    maxReceivedRate = Math.max(maxReceivedRate,
                        (currentCounters[1] - earlierCounters[1]) * 1e6 / TRAFFIC_WINDOW);
                }
            }
        }
        for (FleetSimulation.Process process : simulation.processes.values()) {
            long[] earlierCounters = startCounters.getOrDefault(process, new long[4]),
                currentCounters = trafficCounters(process);
            if (!process.dead) {
                liveMembers++;
                sentBytes += currentCounters[0] - earlierCounters[0];
                receivedBytes += currentCounters[1] - earlierCounters[1];
                sentDatagrams += currentCounters[2] - earlierCounters[2];
            }
        }
        double memberSeconds = liveMembers * duration / 1e6;
        print(label, String.format(
            "mean %.2f kB/s out, %.2f kB/s in, %.1f datagrams/s out; maximum over 10 s "
            + "%.2f kB/s out, %.2f kB/s in", sentBytes / memberSeconds / 1e3,
            receivedBytes / memberSeconds / 1e3, sentDatagrams / memberSeconds, maxSentRate / 1e3,
            maxReceivedRate / 1e3));
    }

    private List<FleetSimulation.Process> runningWithout(Predicate<FleetSimulation.Process> condition) {
        List<FleetSimulation.Process> result = new ArrayList<>();
        for (FleetSimulation.Process process : simulation.processes.values()) {
            if (process.isRunning() && !condition.test(process)) {
                result.add(process);
            }
        }
        return result;
    }

    private boolean seesFullAgreement(FleetSimulation.Process process, int expectedMembers) {
        MembershipSnapshot snapshot = process.membership.snapshot(process.localTime());
        return snapshot.countedMembers() == expectedMembers && snapshot.agreement() == Agreement.ALL;
    }

    private int countedMembers(FleetSimulation.Process process) {
        return process.membership.snapshot(process.localTime()).countedMembers();
    }

    /** Returns after how many seconds the condition became true for each live member, sorted. */
    private double[] secondsUntil(Predicate<FleetSimulation.Process> condition, long maxTime) {
        List<Double> result = new ArrayList<>();
        List<FleetSimulation.Process> waiting = runningWithout(process -> false);
        long startTime = simulation.now;
        while (!waiting.isEmpty() && simulation.now - startTime < maxTime) {
            simulation.runUntil(simulation.now + POLL_INTERVAL);
            waiting.removeIf(process -> {
                boolean satisfied = !process.isRunning() || condition.test(process);
                if (satisfied && process.isRunning()) {
                    result.add((simulation.now - startTime) / 1e6);
                }
                return satisfied;
            });
        }
        waiting.forEach(process -> result.add(Double.POSITIVE_INFINITY));
        result.sort(null);
        return result.stream().mapToDouble(Double::doubleValue).toArray();
    }

    private static String quantiles(double[] sorted) {
        return sorted.length == 0 ? "none" : String.format("p50 %.1f p99 %.1f max %.1f (%d members)",
            sorted[sorted.length / 2], sorted[sorted.length * 99 / 100], sorted[sorted.length - 1],
            sorted.length);
    }

    private static double[] mergeSorted(List<double[]> arrays) {
        return arrays.stream().flatMapToDouble(java.util.Arrays::stream).sorted().toArray();
    }

    private void measureDeaths() {
        List<double[]> groupTimes = new ArrayList<>(), fleetTimes = new ArrayList<>();
        int repetitions = memberCount > 1_000 ? 4 : 20;
        for (int i = 0; i < repetitions; i++) {
            String name = randomLiveMember();
            int group = simulation.currentAssignment.groupOf(name);
            simulation.kill(name);
            Map<FleetSimulation.Process, Double> detectedAfter = new HashMap<>();
            long killedAt = simulation.now;
            fleetTimes.add(secondsUntil(process -> {
                if (simulation.currentAssignment.groupOf(process.name) == group
                    && process.membership.stateOf(name) == MemberState.GONE) {
                    detectedAfter.putIfAbsent(process, (simulation.now - killedAt) / 1e6);
                }
                return countedMembers(process) == memberCount - 1;
            }, 20 * SECOND));
            groupTimes.add(detectedAfter.values().stream().mapToDouble(Double::doubleValue).toArray());
            restart(name);
            simulation.runUntil(simulation.now + 10 * SECOND);
        }
        print("a death is known in the member's group after s", quantiles(mergeSorted(groupTimes)));
        print("a death is counted by all members after s", quantiles(mergeSorted(fleetTimes)));
    }

    private void measureLoss(String label, List<String> names) {
        List<double[]> detectionTimes = new ArrayList<>();
        int falseDeclarationsBefore = simulation.falseDeclarations;
        measureTraffic(label + " lost", 12 * SECOND, () -> {
            names.forEach(simulation::kill);
            long lostAt = simulation.now;
            recordDetectionTimes(names.size(), lostAt, detectionTimes);
        });
        print(label + ", " + names.size() + " members lost, counted by all after s",
            quantiles(detectionTimes.get(0)));
        print("false declarations meanwhile", simulation.falseDeclarations - falseDeclarationsBefore);
        names.forEach(this::restart);
        simulation.runUntil(simulation.now + 15 * SECOND);
        print("15 s after the return", runningWithout(process -> seesFullAgreement(process, memberCount))
            .size() + " members do not agree");
    }

    /** Records when each live member counts the loss, in the background while traffic is measured. */
    private void recordDetectionTimes(int lostMembers, long lostAt, List<double[]> results) {
        List<FleetSimulation.Process> waiting = runningWithout(process -> false);
        List<Double> times = new ArrayList<>();
        int total = waiting.size();
        results.add(new double[0]);
        Runnable[] poll = new Runnable[1];
        poll[0] = () -> {
            waiting.removeIf(process -> {
                boolean detected = process.isRunning()
                    && countedMembers(process) == memberCount - lostMembers;
                if (detected) {
                    times.add((simulation.now - lostAt) / 1e6);
                }
                return detected || !process.isRunning();
            });
            double[] sorted = new double[total];
            java.util.Arrays.fill(sorted, Double.POSITIVE_INFINITY);
            for (int i = 0; i < times.size(); i++) {
                sorted[i] = times.get(i);
            }
            java.util.Arrays.sort(sorted);
            results.set(0, sorted);
            if (!waiting.isEmpty()) {
                simulation.schedule(POLL_INTERVAL, poll[0]);
            }
        };
        simulation.schedule(POLL_INTERVAL, poll[0]);
    }

    private void measureRegionPartition() {
        Map<String, Integer> sides = new HashMap<>();
        int zone = 0;
        for (List<String> names : zones.values()) {
            int side = ZONE_REGIONS[zone++] == 1 ? 1 : 0;
            names.forEach(name -> sides.put(name, side));
        }
        simulation.sides = sides;
        measureTraffic("one region partitioned", 180 * SECOND, () -> { });
        simulation.sides = null;
        print("after a partition of 3 minutes, all agree after s",
            quantiles(secondsUntil(process -> seesFullAgreement(process, memberCount), 40 * SECOND)));
        measureTraffic("after the partition", 12 * SECOND, () -> { });
    }

    private void measureHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        print("heap kB per member, including the simulation", (runtime.totalMemory() - runtime.freeMemory())
            / 1024.0 / memberCount);
    }
}
