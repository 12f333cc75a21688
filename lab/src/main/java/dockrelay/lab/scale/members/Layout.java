package dockrelay.lab.scale.members;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Member names by zone, and zones by region. Zones differ in size. A name begins with its zone, and a zone
 * with its region, as host names usually do.
 */
public final class Layout {
    private static final List<String> ZONES = List.of("a1", "b1", "c1", "a2", "b2", "c2", "a3");
    /** Percentage of the members in each zone; a2 has a seventh, b1 and b2 are the region that is cut off. */
    private static final int[] ZONE_PERCENTAGES = {22, 18, 16, 14, 12, 10, 8};
    private static final int HUNDRED_PERCENT = 100;
    static final String SEVENTH_ZONE = "a2", CUT_OFF_REGION = "b";

    private final Map<String, List<String>> zones;
    private final List<String> names = new ArrayList<>();

    private Layout(Map<String, List<String>> zones) {
        this.zones = zones;
        zones.values().forEach(names::addAll);
    }

    /** A layout with this number of members over the standard zones. */
    static Layout of(int size) {
        Map<String, List<String>> zones = new LinkedHashMap<>();
        int assigned = 0, cumulativePercentage = 0;
        for (int i = 0; i < ZONES.size(); i++) {
            cumulativePercentage += ZONE_PERCENTAGES[i];
            int assignedThroughZone = (int) Math.round((double) size * cumulativePercentage
                / HUNDRED_PERCENT);
            List<String> names = new ArrayList<>();
            for (int number = 0; number < assignedThroughZone - assigned; number++) {
                names.add(ZONES.get(i) + "-" + number);
            }
            assigned = assignedThroughZone;
            if (!names.isEmpty()) {
                zones.put(ZONES.get(i), names);
            }
        }
        return new Layout(zones);
    }

    /** A layout with these member names by zone. */
    static Layout of(Map<String, List<String>> zones) {
        return new Layout(zones);
    }

    /** A copy without these names and with a number of new ones, assigned to the zones round robin. */
    Layout withChanges(List<String> removed, int addedCount) {
        Map<String, List<String>> newZones = new LinkedHashMap<>();
        zones.forEach((zone, zoneNames) -> {
            List<String> remaining = new ArrayList<>(zoneNames);
            remaining.removeAll(removed);
            newZones.put(zone, remaining);
        });
        List<String> zoneOrder = new ArrayList<>(newZones.keySet());
        for (int i = 0; i < addedCount; i++) {
            String zone = zoneOrder.get(i % zoneOrder.size());
            newZones.get(zone).add(zone + "-new" + i);
        }
        return new Layout(newZones);
    }

    /** A copy with additional names in existing zones, such as those of real processes. */
    Layout withNames(Map<String, String> zoneByName) {
        Map<String, List<String>> newZones = new LinkedHashMap<>();
        zones.forEach((zone, zoneNames) -> newZones.put(zone, new ArrayList<>(zoneNames)));
        zoneByName.forEach((name, zone) -> newZones.get(zone).add(name));
        return new Layout(newZones);
    }

    public Map<String, List<String>> zones() {
        return zones;
    }

    public List<String> names() {
        return names;
    }

    int size() {
        return names.size();
    }

    /** The zone of a member name. */
    static String zoneOf(String name) {
        return name.substring(0, name.indexOf('-'));
    }

    /** The region of a member name. */
    static String regionOf(String name) {
        return name.substring(0, 1);
    }
}
