package dockrelay.lab.scale.members;

import java.util.HashMap;
import java.util.Map;

/** One scenario at one size with one kind of machine: what the specification says of it. */
final class ScenarioPlay {
    private final HollowMember.Variant variant;
    private final Layout layout;
    private final Map<String, Long> settings;
    private final long seed;
    private final Map<String, Integer> groupByName = new HashMap<>();

    ScenarioPlay(HollowMember.Variant variant, Layout layout, Map<String, Long> settings, long seed) {
        this.variant = variant;
        this.layout = layout;
        this.settings = settings;
        this.seed = seed;
    }

    Layout layout() {
        return layout;
    }

    /** A time of the specification, in microseconds. */
    long durationMicros(String key) {
        return settings.get(key);
    }

    int count(String key) {
        return settings.get(key).intValue();
    }

    int groupOf(int member, VirtualFleet fleet) {
        return groupByName.computeIfAbsent(fleet.nameOf(member), name -> variant.groupOf(layout, name));
    }

    /** A fleet that has found itself; traffic counts from here on. */
    VirtualFleet warmedUpFleet(int spareNames) {
        VirtualFleet fleet = startedFleet(durationMicros("warm"), spareNames);
        fleet.sentTraffic.reset();
        fleet.receivedTraffic.reset();
        return fleet;
    }

    /** One that was started so long ago. */
    VirtualFleet startedFleet(long ageMicros) {
        return startedFleet(ageMicros, 0);
    }

    private VirtualFleet startedFleet(long ageMicros, int spareNames) {
        VirtualFleet fleet = new VirtualFleet(variant, layout, spareNames, seed);
        fleet.startAll(layout);
        fleet.runUntil(ageMicros);
        return fleet;
    }
}
