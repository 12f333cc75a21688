package dockrelay.lab.scale.list;

import java.util.ArrayList;
import java.util.List;

/**
 * The discovery service's list of synthetic backends, each with the address of an emulated server. Full lists
 * and changes are returned as JSON in the format of the discovery protocol. Thread-safe.
 */
public final class SyntheticBackendList {
    /** Maps a backend's zone and number to the address of the server that answers for it. */
    public interface Addresses {
        String of(int zone, int number);
    }

    /** A backend, and the list version of its last change. */
    private static final class Hollow {
        final String id;
        final int number, zone;
        String state = "active";
        long startedMillis, version;

        Hollow(String id, int number, int zone) {
            this.id = id;
            this.number = number;
            this.zone = zone;
        }
    }

    private static final int CELL = 20, LONG_ENTRY = 140, MIXED = 0x9e3779b1;
    private static final String LEFT = "left";

    private final List<String> zones, kinds;
    private final Addresses addresses;
    private final List<Hollow> entries = new ArrayList<>();
    private long version = 1;

    /** Creates {@code size} active backends, spread evenly over the zones and kinds. */
    public SyntheticBackendList(int size, List<String> zones, List<String> kinds, Addresses addresses) {
        this.zones = zones;
        this.kinds = kinds;
        this.addresses = addresses;
        for (int i = 0; i < size; i++) {
            add(i, i % zones.size());
        }
    }

    /** Appends a backend; returns its index. */
    private int add(int number, int zone) {
        Hollow made = new Hollow(String.format("s-%08x", entries.size() * MIXED), number, zone);
        made.version = version;
        entries.add(made);
        return entries.size() - 1;
    }

    public synchronized long version() {
        return version;
    }

    /** Indexes of a zone's backends that have not left. */
    public synchronized List<Integer> of(int zone) {
        List<Integer> result = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).zone == zone && !entries.get(i).state.equals(LEFT)) {
                result.add(i);
            }
        }
        return result;
    }

    public synchronized String id(int which) {
        return entries.get(which).id;
    }

    /**
     * Adds a backend with a new id that takes the place of another; returns its index. It appears in no list
     * until a change makes it active.
     */
    public synchronized int replacement(int which) {
        Hollow old = entries.get(which);
        int made = add(old.number, old.zone);
        entries.get(made).state = LEFT;
        return made;
    }

    /**
     * Sets the state of some backends in one new list version, and their start time (milliseconds since the
     * epoch) unless it is negative. Returns the change as JSON.
     */
    public synchronized String applyChange(List<Integer> which, String state, long startedMillis) {
        version++;
        List<Hollow> changed = new ArrayList<>();
        for (int one : which) {
            Hollow entry = entries.get(one);
            entry.state = state;
            entry.startedMillis = startedMillis >= 0 ? startedMillis : entry.startedMillis;
            entry.version = version;
            changed.add(entry);
        }
        return text(changed, false);
    }

    /** The current list as JSON, without the backends that have left. */
    public synchronized String fullListJson() {
        return text(entries.stream().filter(entry -> !entry.state.equals(LEFT)).toList(), true);
    }

    /** The changes after that version as JSON, including backends that have left. */
    public synchronized String since(long before) {
        return text(entries.stream().filter(entry -> entry.version > before).toList(), false);
    }

    private String text(List<Hollow> some, boolean full) {
        StringBuilder text = new StringBuilder(100 + some.size() * LONG_ENTRY);
        text.append("{\"version\":").append(version).append(",\"full\":").append(full)
            .append(",\"servers\":[");
        String between = "";
        for (Hollow one : some) {
            text.append(between).append("{\"id\":\"").append(one.id).append("\",\"addr\":\"")
                .append(addresses.of(one.zone, one.number)).append("\",\"zone\":\"")
                .append(zones.get(one.zone)).append("\",\"kind\":\"")
                .append(kinds.get(one.number % kinds.size())).append("\",\"cell\":")
                .append(one.number / CELL).append(",\"state\":\"").append(one.state)
                .append("\",\"weight\":1.0")
                .append(",\"started_ms\":").append(one.startedMillis).append('}');
            between = ",";
        }
        return text.append("]}").toString();
    }
}
