package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.MILLI;
import static dockrelay.fleet.VirtualNetwork.SECOND;

import dockrelay.fleet.MembershipSnapshot;
import dockrelay.fleet.MembershipSnapshot.Agreement;
import dockrelay.fleet.MemberState;
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
final class FleetProbe {
    private static final double[] WEIGHTS = {0.24, 0.19, 0.16, 0.14, 0.12, 0.09, 0.06};
    private static final int[] REGIONS = {0, 0, 0, 1, 1, 2, 2};
    private static final long STEP = 100 * MILLI, WINDOW = 10 * SECOND;

    private final FleetWorld world;
    private final Map<String, List<String>> zones = new TreeMap<>();
    private final Random random = new Random(7);
    private final int n;

    private FleetProbe(int n, int size) {
        this.n = n;
        int given = 0;
        for (int zone = 0; zone < WEIGHTS.length; zone++) {
            int in = zone == WEIGHTS.length - 1 ? n - given : (int) Math.round(n * WEIGHTS[zone]);
            List<String> names = new ArrayList<>();
            for (int i = 0; i < in; i++) {
                names.add("p" + (given + i));
            }
            given += in;
            zones.put("zone" + zone, names);
        }
        GroupAssignment grouping = GroupAssignment.of(zones, size);
        world = new FleetWorld(1, grouping, GroupedMembership::new, false, false);
        say("groups", grouping.groupCount());
    }

    public static void main(String[] args) {
        int n = Integer.parseInt(args[0]);
        FleetProbe probe = new FleetProbe(n, Integer.getInteger("groups.size", GroupAssignment.DEFAULT_GROUP_SIZE));
        probe.start();
        for (int i = 1; i < args.length; i++) {
            probe.play(args[i]);
        }
    }

    private void say(String what, Object value) {
        System.out.printf("%d: %s %s%n", n, what, value);
    }

    private void start() {
        world.startAll(SECOND);
        long before = System.nanoTime();
        world.runUntil(9 * SECOND);
        say(late(process -> agrees(process, n)).size()
            + " members do not agree 9 s after start; wall-clock s per simulated s",
            (System.nanoTime() - before) / 9e9);
    }

    private void play(String part) {
        long before = System.nanoTime(), from = world.now;
        switch (part) {
            case "quiet" -> bytes("quiet", 11 * SECOND, () -> { });
            case "heap" -> heap();
            case "restarts" -> {
                for (int i = 0; i < 30; i++) {
                    String name = any();
                    world.later(i * SECOND, () -> world.kill(name));
                    world.later((i + 5) * SECOND, () -> restart(name));
                }
                bytes("one restart per second", 40 * SECOND, () -> { });
            }
            case "death" -> deaths();
            case "zone" -> lost("one zone", zones.get("zone3"));
            case "random" -> {
                List<String> seventh = new ArrayList<>(world.processes.keySet());
                seventh.removeIf(name -> random.nextInt(7) > 0);
                lost("a random seventh of all members", seventh);
            }
            case "region" -> region();
            default -> {
                world.loss = 0.01;
                int gone = world.falselyGone;
                bytes("1% loss", 600 * SECOND, () -> { });
                say("false declarations in ten minutes with 1% loss", world.falselyGone - gone);
                world.loss = 0;
                world.runUntil(world.now + 10 * SECOND);
            }
        }
        say(part + ": wall-clock s", (System.nanoTime() - before) / 1e9 + " for simulated s "
            + (world.now - from) / 1e6);
    }

    private String any() {
        List<String> names = new ArrayList<>(world.processes.keySet());
        String name = names.get(random.nextInt(names.size()));
        return world.processes.get(name).dead ? any() : name;
    }

    private void restart(String name) {
        world.start(name, world.current, world.incarnations.getOrDefault(name, 0L) + 1);
    }

    private static long[] state(FleetWorld.Process process) {
        return new long[] {process.sentBytes, process.gotBytes, process.sent, process.got};
    }

    /** Prints the mean traffic per member, and the highest traffic of any member over ten seconds. */
    private void bytes(String what, long lasts, Runnable first) {
        Map<FleetWorld.Process, List<long[]>> history = new HashMap<>();
        long end = world.now + lasts;
        first.run();
        double sent = 0, got = 0, datagrams = 0, members = 0, worstOut = 0, worstIn = 0;
        Map<FleetWorld.Process, long[]> start = new HashMap<>();
        world.processes.values().forEach(process -> start.put(process, state(process)));
        while (world.now < end) {
            world.runUntil(Math.min(end, world.now + SECOND));
            for (FleetWorld.Process process : world.processes.values()) {
                List<long[]> past = history.computeIfAbsent(process, p -> new ArrayList<>());
                past.add(state(process));
                if (past.size() > 10) {
                    long[] before = past.remove(0), after = past.get(past.size() - 1);
                    worstOut = Math.max(worstOut, (after[0] - before[0]) * 1e6 / WINDOW);
                    worstIn = Math.max(worstIn, (after[1] - before[1]) * 1e6 / WINDOW);
                }
            }
        }
        for (FleetWorld.Process process : world.processes.values()) {
            long[] before = start.getOrDefault(process, new long[4]), after = state(process);
            if (!process.dead) {
                members++;
                sent += after[0] - before[0];
                got += after[1] - before[1];
                datagrams += after[2] - before[2];
            }
        }
        double over = members * lasts / 1e6;
        say(what, String.format("mean %.2f kB/s out, %.2f kB/s in, %.1f datagrams/s out; maximum over 10 s "
            + "%.2f kB/s out, %.2f kB/s in", sent / over / 1e3, got / over / 1e3, datagrams / over,
            worstOut / 1e3, worstIn / 1e3));
    }

    private List<FleetWorld.Process> late(Predicate<FleetWorld.Process> knows) {
        List<FleetWorld.Process> result = new ArrayList<>();
        for (FleetWorld.Process process : world.processes.values()) {
            if (process.lives() && !knows.test(process)) {
                result.add(process);
            }
        }
        return result;
    }

    private boolean agrees(FleetWorld.Process process, int members) {
        MembershipSnapshot standing = process.machine.snapshot(process.local());
        return standing.countedMembers() == members && standing.agreement() == Agreement.ALL;
    }

    private int counted(FleetWorld.Process process) {
        return process.machine.snapshot(process.local()).countedMembers();
    }

    /** Returns after how many seconds the condition became true for each live member, sorted. */
    private double[] until(Predicate<FleetWorld.Process> knows, long most) {
        List<Double> result = new ArrayList<>();
        List<FleetWorld.Process> waiting = late(process -> false);
        long began = world.now;
        while (!waiting.isEmpty() && world.now - began < most) {
            world.runUntil(world.now + STEP);
            waiting.removeIf(process -> {
                boolean known = !process.lives() || knows.test(process);
                if (known && process.lives()) {
                    result.add((world.now - began) / 1e6);
                }
                return known;
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

    private static double[] joined(List<double[]> all) {
        return all.stream().flatMapToDouble(java.util.Arrays::stream).sorted().toArray();
    }

    private void deaths() {
        List<double[]> own = new ArrayList<>(), all = new ArrayList<>();
        int times = n > 1_000 ? 4 : 20;
        for (int i = 0; i < times; i++) {
            String name = any();
            int group = world.current.groupOf(name);
            world.kill(name);
            Map<FleetWorld.Process, Double> knew = new HashMap<>();
            long began = world.now;
            all.add(until(process -> {
                if (world.current.groupOf(process.name) == group
                    && process.machine.state(name) == MemberState.GONE) {
                    knew.putIfAbsent(process, (world.now - began) / 1e6);
                }
                return counted(process) == n - 1;
            }, 20 * SECOND));
            own.add(knew.values().stream().mapToDouble(Double::doubleValue).toArray());
            restart(name);
            world.runUntil(world.now + 10 * SECOND);
        }
        say("a death is known in the member's group after s", quantiles(joined(own)));
        say("a death is counted by all members after s", quantiles(joined(all)));
    }

    private void lost(String what, List<String> names) {
        List<double[]> knew = new ArrayList<>();
        int before = world.falselyGone;
        bytes(what + " lost", 12 * SECOND, () -> {
            names.forEach(world::kill);
            long began = world.now;
            watch(names.size(), began, knew);
        });
        say(what + ", " + names.size() + " members lost, counted by all after s", quantiles(knew.get(0)));
        say("false declarations meanwhile", world.falselyGone - before);
        names.forEach(this::restart);
        world.runUntil(world.now + 15 * SECOND);
        say("15 s after the return", late(process -> agrees(process, n)).size()
            + " members do not agree");
    }

    /** Records when each live member counts the loss, in the background while traffic is measured. */
    private void watch(int lost, long began, List<double[]> into) {
        List<FleetWorld.Process> waiting = late(process -> false);
        List<Double> knew = new ArrayList<>();
        int all = waiting.size();
        into.add(new double[0]);
        Runnable[] look = new Runnable[1];
        look[0] = () -> {
            waiting.removeIf(process -> {
                boolean knows = process.lives() && counted(process) == n - lost;
                if (knows) {
                    knew.add((world.now - began) / 1e6);
                }
                return knows || !process.lives();
            });
            double[] sorted = new double[all];
            java.util.Arrays.fill(sorted, Double.POSITIVE_INFINITY);
            for (int i = 0; i < knew.size(); i++) {
                sorted[i] = knew.get(i);
            }
            java.util.Arrays.sort(sorted);
            into.set(0, sorted);
            if (!waiting.isEmpty()) {
                world.later(STEP, look[0]);
            }
        };
        world.later(STEP, look[0]);
    }

    private void region() {
        Map<String, Integer> sides = new HashMap<>();
        int zone = 0;
        for (List<String> names : zones.values()) {
            int side = REGIONS[zone++] == 1 ? 1 : 0;
            names.forEach(name -> sides.put(name, side));
        }
        world.sides = sides;
        bytes("one region partitioned", 180 * SECOND, () -> { });
        world.sides = null;
        say("after a partition of 3 minutes, all agree after s",
            quantiles(until(process -> agrees(process, n), 40 * SECOND)));
        bytes("after the partition", 12 * SECOND, () -> { });
    }

    private void heap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        say("heap kB per member, including the simulation", (runtime.totalMemory() - runtime.freeMemory())
            / 1024.0 / n);
    }
}
