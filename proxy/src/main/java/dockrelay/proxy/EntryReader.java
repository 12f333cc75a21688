package dockrelay.proxy;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.Phase;
import dockrelay.proxy.RequestTable.ListedBackend;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Converts entries of the list to {@link ListedBackend} objects as soon as each is parsed, so that a whole
 * list is never held in its textual form: neither one from discovery nor the known list of the
 * configuration.
 */
final class EntryReader {
    /** Keys of a complete entry. A change may leave some out, whose values then stay the same. */
    private static final List<String> REQUIRED_KEYS = List.of("zone", "kind", "addr", "cell", "weight",
        "started_ms");
    /** There are few zones and kinds; beyond this number of distinct strings, no more are shared. */
    private static final int MAX_SHARED_STRINGS = 1_000;

    private final Map<String, String> sharedStrings = new HashMap<>();

    /** Whether the entry is complete, so that no earlier state is needed. */
    static boolean isComplete(Map<?, ?> entry) {
        return entry.keySet().containsAll(REQUIRED_KEYS);
    }

    /** Whether a parsed entry says that its backend drains or is gone. */
    static boolean isRemoval(Object entry) {
        return entry instanceof ListedBackend listedBackend ? listedBackend.backend().phase() != Phase.READY
            : entry instanceof Map<?, ?> fields && readPhase(fields) != Phase.READY;
    }

    private static Phase readPhase(Map<?, ?> entry) {
        return switch (String.valueOf(entry.get("state"))) {
            case "active" -> Phase.READY;
            case "left" -> Phase.GONE;
            default -> Phase.DRAINING; // unknown states get the most cautious treatment
        };
    }

    /**
     * The hash of a backend's name. All proxies must compute the same value, because it determines the
     * common order of the backends.
     */
    static long hashOfName(String name) {
        long hash = 0xcbf29ce484222325L; // FNV-1a
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** Converts an entry of an initial list; returns the entry itself if it is incomplete. */
    Object readInitialEntry(Map<?, ?> entry) {
        try {
            return isComplete(entry) ? mergeEntry(entry, null,
                hashOfName(Config.requireString(entry, "id"))) : entry;
        } catch (RuntimeException e) {
            return entry; // the error is logged when the entry is applied
        }
    }

    /**
     * Merges an entry into the previous state of its backend, null if there was none. Values that a change
     * omits stay the same, and an unchanged backend is returned as the same object.
     */
    ListedBackend mergeEntry(Map<?, ?> entry, ListedBackend previous, long backendId) {
        Backend previousBackend = previous == null ? new Backend(backendId, "", "", 0, Phase.GONE, 1, 0)
            : previous.backend();
        String zone = entry.get("zone") instanceof String text ? shareString(text) : previousBackend.zone();
        String kind = entry.get("kind") instanceof String text ? shareString(text) : previousBackend.kind();
        Backend backend = new Backend(previousBackend.id(), zone, kind,
            (long) Config.numberOrDefault(entry, "cell", previousBackend.cell()),
            readPhase(entry), Config.numberOrDefault(entry, "weight", previousBackend.weight()),
            (long) (Config.numberOrDefault(entry, "started_ms", previousBackend.startedAt() / 1000.0)
                * 1000));
        SocketAddress previousAddress = previous == null ? null : previous.address();
        SocketAddress address = entry.get("addr") instanceof String text ? Endpoint.parse(text)
            : previousAddress;
        boolean unchanged = previous != null && hasSameState(backend, previousBackend)
            && Objects.equals(address, previousAddress);
        return unchanged ? previous : new ListedBackend(previous == null ? Config.requireString(entry, "id")
            : previous.name(), backend,
            address);
    }

    /**
     * Replaces the record's generated equals, whose implementation the JDK links at the first call: that
     * took 30 ms in the middle of service, at the first change that a proxy received.
     */
    private static boolean hasSameState(Backend first, Backend second) {
        return first.id() == second.id() && first.zone().equals(second.zone())
            && first.kind().equals(second.kind())
            && first.cell() == second.cell() && first.phase() == second.phase()
            && Double.compare(first.weight(), second.weight()) == 0 && first.startedAt()
            == second.startedAt();
    }

    /** Returns an equal string that is shared between entries, to save memory. */
    private String shareString(String value) {
        return sharedStrings.size() < MAX_SHARED_STRINGS ? sharedStrings.computeIfAbsent(value, key -> key)
            : sharedStrings.getOrDefault(value, value);
    }
}
