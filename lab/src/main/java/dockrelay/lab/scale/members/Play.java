package dockrelay.lab.scale.members;

import java.util.HashMap;
import java.util.Map;

/** One scenario at one size with one kind of machine: what the specification says of it. */
final class Play {
    private final HollowMember.Kind kind;
    private final Layout layout;
    private final Map<String, Long> numbers;
    private final long seed;
    private final Map<String, Integer> groups = new HashMap<>();

    Play(HollowMember.Kind kind, Layout layout, Map<String, Long> numbers, long seed) {
        this.kind = kind;
        this.layout = layout;
        this.numbers = numbers;
        this.seed = seed;
    }

    Layout layout() {
        return layout;
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
        VirtualFleet fleet = started(time("warm"), room);
        fleet.out.clear();
        fleet.in.clear();
        return fleet;
    }

    /** One that was started so long ago. */
    VirtualFleet started(long ago) {
        return started(ago, 0);
    }

    private VirtualFleet started(long ago, int room) {
        VirtualFleet fleet = new VirtualFleet(kind, layout, room, seed);
        fleet.startAll(layout);
        fleet.runUntil(ago);
        return fleet;
    }
}
