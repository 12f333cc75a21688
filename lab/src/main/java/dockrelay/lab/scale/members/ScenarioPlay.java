package dockrelay.lab.scale.members;

import java.util.HashMap;
import java.util.Map;

/**
 * Parameters of one run of a scenario: layout, state machine variant, seed and settings of the experiment.
 */
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

    /** A duration from the experiment, in microseconds. */
    long durationMicros(String key) {
        return settings.get(key);
    }

    /** A count from the experiment. */
    int count(String key) {
        return settings.get(key).intValue();
    }

    /** Group number of a member of the fleet. */
    int groupOf(int member, VirtualFleet fleet) {
        return groupByName.computeIfAbsent(fleet.nameOf(member), name -> variant.groupOf(layout, name));
    }

    /**
     * A fleet after the warm-up time, with its traffic counters reset.
     *
     * @param spareNames number of names that can be added later
     */
    VirtualFleet warmedUpFleet(int spareNames) {
        VirtualFleet fleet = startedFleet(durationMicros("warm"), spareNames);
        fleet.sentTraffic.reset();
        fleet.receivedTraffic.reset();
        return fleet;
    }

    /** A fleet that was started this long ago, in microseconds of virtual time. */
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
