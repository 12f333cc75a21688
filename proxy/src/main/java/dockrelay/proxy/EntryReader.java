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
 * Converts entries of the list to members as soon as each is parsed, so that a whole list is never held in
 * its textual form: neither one from discovery nor the known list of the configuration.
 */
final class EntryReader {
    /** Keys of a complete entry. A change may leave some out, whose values then stay the same. */
    private static final List<String> KEYS = List.of("zone", "kind", "addr", "cell", "weight", "started_ms");
    /** There are few zones and kinds; beyond this number of distinct strings, no more are shared. */
    private static final int MOST_WORDS = 1_000;

    private final Map<String, String> words = new HashMap<>();

    /** Whether the entry is complete, so that no earlier state is needed. */
    static boolean whole(Map<?, ?> entry) {
        return entry.keySet().containsAll(KEYS);
    }

    /** Whether a parsed entry says that its backend drains or is gone. */
    static boolean isRemoval(Object entry) {
        return entry instanceof ListedBackend member ? member.backend().phase() != Phase.READY
            : entry instanceof Map<?, ?> said && phase(said) != Phase.READY;
    }

    private static Phase phase(Map<?, ?> entry) {
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
    static long number(String name) {
        long hash = 0xcbf29ce484222325L; // FNV-1a
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** Converts an entry of an initial list to a member; returns the entry itself if it is incomplete. */
    Object first(Map<?, ?> entry) {
        try {
            return whole(entry) ? member(entry, null, number(Config.text(entry, "id"))) : entry;
        } catch (RuntimeException e) {
            return entry; // the error is logged when the entry is applied
        }
    }

    /**
     * Merges an entry into the previous state of the member, null if there was none. Values that a change
     * leaves out stay the same, and an unchanged member is returned as the same object.
     */
    ListedBackend member(Map<?, ?> entry, ListedBackend before, long number) {
        Backend old = before == null ? new Backend(number, "", "", 0, Phase.GONE, 1, 0) : before.backend();
        String zone = entry.get("zone") instanceof String text ? shared(text) : old.zone();
        String kind = entry.get("kind") instanceof String text ? shared(text) : old.kind();
        Backend backend = new Backend(old.id(), zone, kind, (long) Config.numberOrDefault(entry, "cell", old.cell()),
            phase(entry), Config.numberOrDefault(entry, "weight", old.weight()),
            (long) (Config.numberOrDefault(entry, "started_ms", old.startedAt() / 1000.0) * 1000));
        SocketAddress listed = before == null ? null : before.address();
        SocketAddress address = entry.get("addr") instanceof String text ? Endpoint.of(text) : listed;
        boolean same = before != null && same(backend, old) && Objects.equals(address, listed);
        return same ? before : new ListedBackend(before == null ? Config.text(entry, "id") : before.name(), backend,
            address);
    }

    /**
     * Replaces the record's generated equals, whose implementation the JDK links at the first call: that
     * took 30 ms in the middle of service, at the first change that a proxy received.
     */
    private static boolean same(Backend one, Backend other) {
        return one.id() == other.id() && one.zone().equals(other.zone()) && one.kind().equals(other.kind())
            && one.cell() == other.cell() && one.phase() == other.phase()
            && Double.compare(one.weight(), other.weight()) == 0 && one.startedAt() == other.startedAt();
    }

    /** Returns an equal string that is shared between entries, to save memory. */
    private String shared(String word) {
        return words.size() < MOST_WORDS ? words.computeIfAbsent(word, same -> same)
            : words.getOrDefault(word, word);
    }
}
