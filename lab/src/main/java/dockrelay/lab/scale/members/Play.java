package dockrelay.lab.scale.members;

import java.util.HashMap;
import java.util.Map;

/** One scenario at one size with one kind of machine: what the specification says of it. */
final class Play {
    private final HollowMember.Kind kind;
    private final Layout layout;
    private final Map<String, Long> numbers;
    private final long seed;
    private final boolean alone;
    private final Map<String, Integer> groups = new HashMap<>();

    /** Nothing else runs in this JVM where it plays alone: then what it holds can be told. */
    Play(HollowMember.Kind kind, Layout layout, Map<String, Long> numbers, long seed, boolean alone) {
        this.kind = kind;
        this.layout = layout;
        this.numbers = numbers;
        this.seed = seed;
        this.alone = alone;
    }

    Layout layout() {
        return layout;
    }

    boolean alone() {
        return alone;
    }

    /** A time of the specification, in microseconds. */
    long time(String key) {
        return numbers.get(key);
    }

    int count(String key) {
        return numbers.get(key).intValue();
    }

    int group(int member, VirtualFleet fleet) {
        return groups.computeIfAbsent(fleet.name(member), name -> kind.group(layout, name));
    }

    /** A fleet that has found itself; traffic counts from here on. */
    VirtualFleet warm(int room) {
        VirtualFleet fleet = new VirtualFleet(kind, layout, room, seed);
        fleet.startAll(layout);
        fleet.runUntil(time("warm"));
        fleet.out.clear();
        fleet.in.clear();
        return fleet;
    }
}
