package dockrelay.fleet.group;

import static dockrelay.fleet.VirtualNetwork.MILLI;
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
final class FleetSchedule {
    /** Time after the last fault within which all members have to arrive at the same counts. */
    static final long SETTLED = 26 * SECOND;
    private static final long CALM = 6 * SECOND, FAULTS = 12 * SECOND;
    private static final int KINDS = 19;

    /** The result of a run. */
    record Outcome(int members, int groups, boolean lossless, int falselyGone, int outs,
                   double mostShare, long settled) {
    }

    private final FleetWorld world;
    private final Random random;
    private final Map<String, List<String>> zones = new TreeMap<>();
    private final Map<String, Integer> regions = new TreeMap<>();
    private final int size;
    private boolean lossless = true;
    private long last;

    private FleetSchedule(long seed, FleetWorld.Maker maker, boolean traced) {
        random = new Random(seed * 31 + 11);
        size = 3 + random.nextInt(4);
        int count = 2 + random.nextInt(3);
        for (int zone = 0; zone < count; zone++) {
            List<String> names = new ArrayList<>();
            int n = 1 + random.nextInt(random.nextInt(8) == 0 ? 24 : 10);
            for (int i = 0; i < n; i++) {
                names.add("z" + zone + "n" + i);
            }
            zones.put("z" + zone, names);
            regions.put("z" + zone, zone == count - 1 ? 1 : zone % 2);
        }
        world = new FleetWorld(seed, GroupAssignment.ofAnySize(zones, size), maker, traced);
    }

    static Outcome play(long seed, FleetWorld.Maker maker, boolean traced) {
        return new FleetSchedule(seed, maker, traced).play();
    }

    private Outcome play() {
        world.trace(zones + " in groups of " + size);
        for (int group = 0; group < world.current.groupCount(); group++) {
            world.trace(world.current.label(group) + ": " + world.current.memberNames(group));
        }
        world.startAll(random.nextBoolean() ? 0 : SECOND);
        world.runUntil(CALM);
        int faults = 1 + random.nextInt(3);
        for (int i = 0; i < faults; i++) {
            fault(CALM + (long) (random.nextDouble() * FAULTS));
        }
        last = Math.max(last, CALM);
        while (world.now < last) { // a fault may schedule further ones
            world.runUntil(last);
        }
        world.loss = world.repeats = world.spoilt = 0; // replayed datagrams still arrive
        String wrong = settle(last + SETTLED);
        long settled = world.now - last;
        if (wrong == null) { // the views stay equal, except that members never heard of become gone over time
            world.runUntil(world.now + (random.nextInt(10) == 0 ? SETTLED : SECOND));
            wrong = settle(world.now + 5 * SECOND);
        }
        if (wrong != null) {
            throw new FleetWorld.Broken(String.format("%.1f s after the last fault: %s", SETTLED / 1e6,
                wrong));
        }
        if (lossless && world.falselyGone > 0) {
            throw new FleetWorld.Broken("false declaration although no datagram was lost: "
                + world.lastFalse);
        }
        return new Outcome(world.current.memberCount(), world.current.groupCount(), lossless,
            world.falselyGone, world.outs, world.mostShare, settled);
    }

    private String settle(long until) {
        String wrong = world.disagreement();
        while (wrong != null && world.now < until) {
            world.runUntil(world.now + SECOND / 2);
            wrong = world.disagreement();
        }
        return wrong;
    }

    private void at(long time, Runnable action) {
        last = Math.max(last, time);
        world.later(Math.max(0, time - world.now), action);
    }

    // --- choice of members

    private List<String> all() {
        List<String> result = new ArrayList<>();
        zones.values().forEach(result::addAll);
        return result;
    }

    private String any() {
        List<String> all = all();
        return all.get(random.nextInt(all.size()));
    }

    private List<String> anyGroup() {
        return world.current.memberNames(random.nextInt(world.current.groupCount()));
    }

    /** Returns a current representative of a group, or any member if there is none. */
    private String speaker(List<String> group) {
        List<String> speakers = group.stream().filter(name -> lives(name)
            && world.processes.get(name).machine.isRepresentative()).toList();
        return speakers.isEmpty() ? group.get(0) : speakers.get(random.nextInt(speakers.size()));
    }

    private boolean lives(String name) {
        FleetWorld.Process process = world.processes.get(name);
        return process != null && process.lives();
    }

    // --- faults

    private void fault(long at) {
        int kind = random.nextInt(KINDS);
        world.trace("fault " + kind + " at " + at / 1e6);
        switch (kind) {
            case 0 -> kill(at, any());
            case 1 -> at(at, () -> kill(world.now, speaker(anyGroup())));
            case 2 -> at(at, () -> stop(world.now, speaker(anyGroup())));
            case 3 -> at(at, () -> oneWay(speaker(anyGroup())));
            case 4 -> at(at, () -> part(anyGroup(), 0.7)); // the group loses its quorum
            case 5 -> at(at, () -> part(anyGroup(), 1));
            case 6 -> {
                lossless = false;
                List<String> group = anyGroup();
                boolean wholly = random.nextBoolean(); // partitions the fleet, or only one group
                List<String> halves = wholly ? all() : group;
                split(at, halves, pick(halves, 0.5));
            }
            case 7 -> split(at, all(), zones.get(new ArrayList<>(zones.keySet())
                .get(random.nextInt(zones.size()))));
            case 8 -> {
                List<String> region = new ArrayList<>();
                zones.forEach((zone, names) -> region.addAll(regions.get(zone) == 1 ? names : List.of()));
                split(at, all(), region);
            }
            case 9 -> split(at, all(), anyGroup());
            case 10 -> groupsCut(at);
            case 11 -> at(at, () -> change(true));
            case 12 -> at(at, () -> change(false));
            case 13 -> at(at, this::ownList);
            case 14 -> lost(at);
            case 15 -> goodbye(at, any());
            case 16 -> anyGroup().forEach(name -> goodbye(at + random.nextInt((int) SECOND), name));
            case 17 -> { // a series of restarts, each too quick to be detected as a death
                for (int i = 0; i < 12; i++) {
                    String name = any();
                    at(at + i * 700 * MILLI, () -> world.kill(name));
                    restart(at + i * 700 * MILLI + 300 * MILLI, name, true);
                }
            }
            default -> { // a flapping link, and a process that runs for short moments only
                lossless = false;
                String a = any(), b = any(), turns = any();
                for (int i = 0; i < 10; i++) {
                    cut(at + i * 600 * MILLI, at + i * 600 * MILLI + 300 * MILLI, a, b);
                    cut(at + i * 600 * MILLI, at + i * 600 * MILLI + 300 * MILLI, b, a);
                    stop(at + i * 350 * MILLI, 250 * MILLI, turns);
                }
            }
        }
        world.replays = random.nextInt(3) == 0 ? 0.01 : 0;
    }

    private void stop(long at, String name) {
        stop(at, List.of(500 * MILLI, 3 * SECOND, 9 * SECOND).get(random.nextInt(3)), name);
    }

    private void stop(long at, long lasts, String name) {
        lossless &= lasts < SECOND;
        at(at, () -> {
            if (lives(name)) {
                FleetWorld.Process process = world.processes.get(name);
                world.trace(name + " is paused");
                process.stopped = true;
                at(world.now + lasts, () -> {
                    if (!process.dead) {
                        world.goOn(process);
                    }
                });
            }
        });
    }

    private void kill(long at, String name) {
        at(at, () -> world.kill(name));
        if (random.nextInt(4) > 0) {
            restart(at + 20 * MILLI + random.nextInt((int) (8 * SECOND)), name);
        }
    }

    private void part(List<String> group, double part) {
        pick(group, part).forEach(name -> kill(world.now, name));
    }

    private List<String> pick(List<String> of, double part) {
        return of.stream().filter(name -> random.nextDouble() < part).toList();
    }

    /**
     * Restarts a member with its stored incarnation, or with the lowest one, so that peers have to correct
     * it.
     */
    private void restart(long at, String name) {
        restart(at, name, random.nextBoolean());
    }

    private void restart(long at, String name, boolean folder) {
        at(at, () -> {
            FleetWorld.Process process = world.processes.get(name);
            if ((process == null || process.dead) && world.current.groupOf(name) >= 0) {
                world.start(name, world.current, folder ? world.incarnations.getOrDefault(name, 0L) + 1 : 1);
            }
        });
    }

    private void goodbye(long at, String name) {
        at(at, () -> {
            if (lives(name)) {
                FleetWorld.Process process = world.processes.get(name);
                world.trace(name + " leaves");
                process.machine.leave(process.local());
                at(world.now + SECOND, () -> world.kill(name));
                if (random.nextInt(4) > 0) {
                    restart(world.now + 2 * SECOND + random.nextInt((int) (5 * SECOND)), name);
                }
            }
        });
        last = Math.max(last, at + 8 * SECOND);
    }

    private void cut(long at, long until, String a, String b) {
        if (!a.equals(b)) {
            at(at, () -> world.cut(a, b, 1));
            at(until, () -> world.cut(a, b, -1));
        }
    }

    /** Blocks one direction between a member and all others, or all others outside its group. */
    private void oneWay(String name) {
        lossless = false;
        List<String> group = world.current.memberNames(world.current.groupOf(name));
        boolean in = random.nextBoolean(), outside = random.nextBoolean();
        long until = world.now + 3 * SECOND + random.nextInt((int) (6 * SECOND));
        for (String other : all()) {
            if (!outside || !group.contains(other)) {
                cut(world.now, until, in ? other : name, in ? name : other);
            }
        }
    }

    /** Blocks one or both directions between two groups; the other groups still reach both. */
    private void groupsCut(long at) {
        List<String> a = anyGroup(), b = anyGroup();
        long until = at + 3 * SECOND + random.nextInt((int) (9 * SECOND));
        boolean both = random.nextBoolean();
        for (String from : a == b ? List.<String>of() : a) {
            for (String to : b) {
                cut(at, until, from, to);
                if (both) {
                    cut(at, until, to, from);
                }
            }
        }
    }

    private void split(long at, List<String> among, List<String> side) {
        lossless = false;
        long until = at + 2 * SECOND + random.nextInt((int) (14 * SECOND));
        for (String a : among) {
            for (String b : among) {
                if (side.contains(a) != side.contains(b)) {
                    cut(at, until, a, b);
                }
            }
        }
    }

    /** Adds, removes or moves a name; the members receive the new list at different times within seconds. */
    private void change(boolean moves) {
        List<String> froms = zones.keySet().stream().filter(zone -> zones.get(zone).size() > 1).toList();
        if (froms.isEmpty()) {
            return;
        }
        lossless = false;
        String from = froms.get(random.nextInt(froms.size()));
        String to = new ArrayList<>(zones.keySet()).get(random.nextInt(zones.size()));
        String name = zones.get(from).get(random.nextInt(zones.get(from).size()));
        if (moves) {
            zones.get(from).remove(name);
            zones.get(to).add(name);
        } else if (random.nextBoolean()) {
            name = "new" + random.nextInt(1_000_000);
            zones.get(to).add(name);
        } else { // a name is removed only after its process has ended
            world.kill(name);
            zones.get(from).remove(name);
        }
        GroupAssignment next = GroupAssignment.ofAnySize(zones, size);
        world.trace("new list " + zones);
        long within = 3 * SECOND;
        world.current = next;
        world.listsDifferUntil = world.now + within + FleetWorld.DELAY;
        for (String other : new ArrayList<>(world.processes.keySet())) {
            at(world.now + (long) (random.nextDouble() * within),
                () -> world.configure(other, world.current));
        }
        if (!moves && next.groupOf(name) >= 0) {
            restart(world.now + random.nextInt((int) within), name);
        }
        last = Math.max(last, world.now + within);
    }

    /**
     * Gives one member a different list until the end: with an additional name, or a name in another zone.
     */
    private void ownList() {
        String name = any();
        if (!lives(name)) {
            return;
        }
        lossless = false;
        Map<String, List<String>> own = new TreeMap<>();
        zones.forEach((zone, names) -> own.put(zone, new ArrayList<>(names)));
        List<String> in = own.get(new ArrayList<>(own.keySet()).get(random.nextInt(own.size())));
        String moved = in.get(random.nextInt(in.size()));
        if (random.nextBoolean() && in.size() > 1) {
            in.remove(moved);
            own.get(new ArrayList<>(own.keySet()).get(random.nextInt(own.size()))).add(moved);
        } else {
            in.add("nobody" + random.nextInt(1_000));
        }
        GroupAssignment odd = GroupAssignment.ofAnySize(own, size);
        if (odd.hash() != world.current.hash()) {
            world.trace(name + " permanently has the list " + own);
            world.configure(name, odd);
        }
    }

    private void lost(long at) {
        lossless = false;
        double loss = random.nextDouble() * 0.3;
        at(at, () -> {
            world.loss = loss;
            world.repeats = 0.1;
            world.spoilt = 0.02;
            world.jitter = 30 * MILLI;
        });
        at(at + 6 * SECOND, () -> {
            world.loss = world.repeats = world.spoilt = 0;
            world.jitter = 3 * MILLI;
        });
    }
}
