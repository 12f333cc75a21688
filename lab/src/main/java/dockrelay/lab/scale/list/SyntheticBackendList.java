package dockrelay.lab.scale.list;

import java.util.ArrayList;
import java.util.List;

/**
 * The discovery service's list of synthetic backends, each with the address of an emulated server. Full lists
 * and changes are returned as JSON in the format of the discovery protocol. Thread-safe.
 */
public final class SyntheticBackendList {
    /** Maps a backend's zone and number to the address of the server that answers for it. */
    public interface AddressLookup {
        String addressOf(int zone, int number);
    }

    /** A backend, and the list version of its last change. */
    private static final class Backend {
        final String id;
        final int number, zone;
        String state = "active";
        long startedMillis, changedInVersion;

        Backend(String id, int number, int zone) {
            this.id = id;
            this.number = number;
            this.zone = zone;
        }
    }

    /** The id multiplier, a prime near 2^32 / golden ratio, spreads consecutive numbers over all ids. */
    private static final int BACKENDS_PER_CELL = 20, ENTRY_CAPACITY_CHARS = 140, ID_MULTIPLIER = 0x9e3779b1;
    private static final String LEFT = "left";

    private final List<String> zones, kinds;
    private final AddressLookup addressLookup;
    private final List<Backend> backends = new ArrayList<>();
    private long version = 1;

    /** Creates {@code size} active backends, spread evenly over the zones and kinds. */
    public SyntheticBackendList(int size, List<String> zones, List<String> kinds,
                                AddressLookup addressLookup) {
        this.zones = zones;
        this.kinds = kinds;
        this.addressLookup = addressLookup;
        for (int i = 0; i < size; i++) {
            appendBackend(i, i % zones.size());
        }
    }

    /** Appends a backend; returns its index. */
    private int appendBackend(int number, int zone) {
        Backend added = new Backend(String.format("s-%08x", backends.size() * ID_MULTIPLIER), number, zone);
        added.changedInVersion = version;
        backends.add(added);
        return backends.size() - 1;
    }

    /** Version of the list, which each change increments. */
    public synchronized long version() {
        return version;
    }

    /** Indexes of a zone's backends that have not left. */
    public synchronized List<Integer> backendsInZone(int zone) {
        List<Integer> indexes = new ArrayList<>();
        for (int i = 0; i < backends.size(); i++) {
            if (backends.get(i).zone == zone && !backends.get(i).state.equals(LEFT)) {
                indexes.add(i);
            }
        }
        return indexes;
    }

    public synchronized String id(int index) {
        return backends.get(index).id;
    }

    /**
     * Adds a backend with a new id that takes the place of another; returns its index. It appears in no list
     * until a change makes it active.
     */
    public synchronized int addReplacement(int index) {
        Backend replaced = backends.get(index);
        int added = appendBackend(replaced.number, replaced.zone);
        backends.get(added).state = LEFT;
        return added;
    }

    /**
     * Sets the state of some backends in one new list version, and their start time (milliseconds since the
     * epoch) unless it is negative. Returns the change as JSON.
     */
    public synchronized String applyChange(List<Integer> indexes, String state, long startedMillis) {
        version++;
        List<Backend> changed = new ArrayList<>();
        for (int index : indexes) {
            Backend backend = backends.get(index);
            backend.state = state;
            backend.startedMillis = startedMillis >= 0 ? startedMillis : backend.startedMillis;
            backend.changedInVersion = version;
            changed.add(backend);
        }
        return toJson(changed, false);
    }

    /** The current list as JSON, without the backends that have left. */
    public synchronized String fullListJson() {
        return toJson(backends.stream().filter(backend -> !backend.state.equals(LEFT)).toList(), true);
    }

    /** The changes after that version as JSON, including backends that have left. */
    public synchronized String changesSinceJson(long baseVersion) {
        return toJson(backends.stream().filter(backend -> backend.changedInVersion > baseVersion).toList(),
            false);
    }

    private String toJson(List<Backend> selection, boolean full) {
        StringBuilder json = new StringBuilder(100 + selection.size() * ENTRY_CAPACITY_CHARS);
        json.append("{\"version\":").append(version).append(",\"full\":").append(full)
            .append(",\"servers\":[");
        String separator = "";
        for (Backend backend : selection) {
            json.append(separator).append("{\"id\":\"").append(backend.id).append("\",\"addr\":\"")
                .append(addressLookup.addressOf(backend.zone, backend.number)).append("\",\"zone\":\"")
                .append(zones.get(backend.zone)).append("\",\"kind\":\"")
                .append(kinds.get(backend.number % kinds.size())).append("\",\"cell\":")
                .append(backend.number / BACKENDS_PER_CELL).append(",\"state\":\"").append(backend.state)
                .append("\",\"weight\":1.0")
                .append(",\"started_ms\":").append(backend.startedMillis).append('}');
            separator = ",";
        }
        return json.append("]}").toString();
    }
}
