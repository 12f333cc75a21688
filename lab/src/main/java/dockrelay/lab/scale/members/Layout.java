package dockrelay.lab.scale.members;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Who is where: names by zone, zones by region. Zones are of unlike sizes; a name tells its zone, as the
 * names of real machines do.
 */
public final class Layout {
    private static final List<String> ZONES = List.of("a1", "b1", "c1", "a2", "b2", "c2", "a3");
    /** Shares of the names, in hundredths; a2 has a seventh, b1 and b2 are the region that is cut off. */
    private static final int[] SHARES = {22, 18, 16, 14, 12, 10, 8};
    private static final int WHOLE = 100;
    static final String SEVENTH = "a2", REGION = "b";

    private final Map<String, List<String>> zones;
    private final List<String> names = new ArrayList<>();

    private Layout(Map<String, List<String>> zones) {
        this.zones = zones;
        zones.values().forEach(names::addAll);
    }

    static Layout of(int size) {
        Map<String, List<String>> zones = new LinkedHashMap<>();
        int given = 0, shares = 0;
        for (int i = 0; i < ZONES.size(); i++) {
            shares += SHARES[i];
            int upTo = (int) Math.round((double) size * shares / WHOLE);
            List<String> names = new ArrayList<>();
            for (int k = 0; k < upTo - given; k++) {
                names.add(ZONES.get(i) + "-" + k);
            }
            given = upTo;
            if (!names.isEmpty()) {
                zones.put(ZONES.get(i), names);
            }
        }
        return new Layout(zones);
    }

    /** These zones as they are. */
    static Layout of(Map<String, List<String>> zones) {
        return new Layout(zones);
    }

    /** The same without these names, and with so many new ones in turns over the zones. */
    Layout changed(List<String> less, int more) {
        Map<String, List<String>> next = new LinkedHashMap<>();
        zones.forEach((zone, all) -> {
            List<String> kept = new ArrayList<>(all);
            kept.removeAll(less);
            next.put(zone, kept);
        });
        List<String> in = new ArrayList<>(next.keySet());
        for (int i = 0; i < more; i++) {
            String zone = in.get(i % in.size());
            next.get(zone).add(zone + "-new" + i);
        }
        return new Layout(next);
    }

    /** With names that stand in a zone already, such as those of real processes. */
    Layout with(Map<String, String> zoneByName) {
        Map<String, List<String>> next = new LinkedHashMap<>();
        zones.forEach((zone, all) -> next.put(zone, new ArrayList<>(all)));
        zoneByName.forEach((name, zone) -> next.get(zone).add(name));
        return new Layout(next);
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

    static String zone(String name) {
        return name.substring(0, name.indexOf('-'));
    }

    static String region(String name) {
        return name.substring(0, 1);
    }
}
