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
 * Makes a member of an entry of the list as soon as that is read, so that no list is ever there as it was
 * written: neither what discovery says nor what the configuration says was known.
 */
final class EntryReader {
    /** What an entry says where it says all; what a change leaves out stays as it was. */
    private static final List<String> KEYS = List.of("zone", "kind", "addr", "cell", "weight", "started_ms");
    /** Zones and kinds are few: words past so many are not shared. */
    private static final int MOST_WORDS = 1_000;

    private final Map<String, String> words = new HashMap<>();

    /** Whether it says all, so that nothing is needed of what was known before. */
    static boolean whole(Map<?, ?> entry) {
        return entry.keySet().containsAll(KEYS);
    }

    /** Whether an entry, as it was read, says that its backend drains or is gone. */
    static boolean isRemoval(Object entry) {
        return entry instanceof ListedBackend member ? member.backend().phase() != Phase.READY
            : entry instanceof Map<?, ?> said && phase(said) != Phase.READY;
    }

    private static Phase phase(Map<?, ?> entry) {
        return switch (String.valueOf(entry.get("state"))) {
            case "active" -> Phase.READY;
            case "left" -> Phase.GONE;
            default -> Phase.DRAINING; // an unknown word gets the most caution
        };
    }

    /** What a name's number is by itself: all proxies order the backends by it and must order them alike. */
    static long number(String name) {
        long hash = 0xcbf29ce484222325L; // FNV-1a
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** What is kept of an entry of a first list: a member, or the entry where it says too little. */
    Object first(Map<?, ?> entry) {
        try {
            return whole(entry) ? member(entry, null, number(Config.text(entry, "id"))) : entry;
        } catch (RuntimeException e) {
            return entry; // it is told of when it is taken
        }
    }

    /**
     * An entry of this number, and what was known of it, null where it was not. What a change leaves
     * out stays as it was, and what is as it was is the same object.
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
     * As equals of the record, which the platform makes at its first call: 30 ms in the middle of service,
     * with the first change that a proxy is told.
     */
    private static boolean same(Backend one, Backend other) {
        return one.id() == other.id() && one.zone().equals(other.zone()) && one.kind().equals(other.kind())
            && one.cell() == other.cell() && one.phase() == other.phase()
            && Double.compare(one.weight(), other.weight()) == 0 && one.startedAt() == other.startedAt();
    }

    private String shared(String word) {
        return words.size() < MOST_WORDS ? words.computeIfAbsent(word, same -> same)
            : words.getOrDefault(word, word);
    }
}
