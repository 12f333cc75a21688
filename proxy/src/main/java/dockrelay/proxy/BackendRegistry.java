package dockrelay.proxy;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.Phase;
import dockrelay.proxy.RequestTable.ListedBackend;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.ToLongFunction;

/**
 * The list of backends as received from discovery, keyed by name; operators' changes are overlaid when
 * members are passed on. The balancer identifies a backend by a number that is derived from its name alone,
 * because all proxies must order the backends in the same way. If two names collide, the later one gets the
 * next free number. A member keeps its number while it is listed, even after the other one has left,
 * because its connections and statistics are keyed by the number. A proxy that starts at that time computes
 * the original number instead; until the backend is listed again, its position in that proxy's order
 * differs, which shifts a subset by at most one backend.
 */
final class BackendRegistry {
    private final OperatorOverrides operators;
    private final ToLongFunction<String> numbers;
    private final IntFunction<LongObjectMap<ListedBackend>> maps;
    private final Map<String, Long> apart = new HashMap<>(); // names whose own number was already taken
    private final EntryReader entries = new EntryReader();
    private final Set<String> withheld = new HashSet<>(); // ready in the list, but detached by operators
    private LongObjectMap<ListedBackend> known;
    private int ready; // number of backends that the list reports as ready

    BackendRegistry(OperatorOverrides operators) {
        this(operators, EntryReader::number, BackendRegistry::newIdMap);
    }

    /** For tests: with other numbers for names and other maps. */
    BackendRegistry(OperatorOverrides operators, ToLongFunction<String> numbers, IntFunction<LongObjectMap<ListedBackend>> maps) {
        this.operators = operators;
        this.numbers = numbers;
        this.maps = maps;
        this.known = maps.apply(0);
    }

    /** Creates a map for this many entries. A high load factor saves memory. */
    static <T> LongObjectMap<T> newIdMap(int size) {
        float filled = 0.8f;
        return new LongObjectHashMap<>((int) (size / filled) + LongObjectHashMap.DEFAULT_CAPACITY, filled);
    }

    /** The number assigned to a name, or the hash of the name if it has not been reassigned. */
    private long id(String name) {
        Long other = apart.isEmpty() ? null : apart.get(name);
        return other == null ? numbers.applyAsLong(name) : other;
    }

    /** Returns the member with this name, or null. */
    ListedBackend get(String name) {
        ListedBackend member = known.get(id(name));
        return member != null && member.name().equals(name) ? member : null;
    }

    int size() {
        return known.size();
    }

    /** Whether any backend may receive requests. */
    boolean anyReady() {
        return ready > withheld.size();
    }

    /** Returns the member with the operators' changes applied, or null if it is not listed. */
    ListedBackend operated(String name) {
        ListedBackend member = get(name);
        return member == null ? null : overlaid(member);
    }

    private ListedBackend overlaid(ListedBackend member) {
        ListedBackend told = operators.applyOverride(member.name(), member);
        if (isReady(member) && !isReady(told)) {
            withheld.add(member.name());
        } else {
            withheld.remove(member.name());
        }
        return told;
    }

    private static boolean isReady(ListedBackend member) {
        return member.backend().phase() == Phase.READY;
    }

    /**
     * Converts an entry as soon as it is parsed, so that a list is never held in its textual form. Returns
     * a member if the entry is complete, otherwise the entry itself, which is merged with the known state
     * when its turn comes.
     */
    Object read(Map<?, ?> entry) {
        try {
            return EntryReader.whole(entry) ? member(entry) : entry;
        } catch (RuntimeException e) {
            return entry; // the error is logged when the entry is applied
        }
    }

    /**
     * Applies entries at once and returns the members to pass on. A full list removes all members that it
     * does not name.
     */
    List<ListedBackend> take(List<?> entries, boolean full) {
        Taking taking = new Taking(entries, full);
        List<ListedBackend> told = taking.named(entries.size());
        while (!taking.done()) {
            taking.next(Integer.MAX_VALUE); // the balancer itself determines what a full list leaves out
        }
        return told;
    }

    /**
     * Applies entries incrementally, in steps of the caller's choice; no other update may be applied
     * meanwhile. Entries are sorted so that neighbours in the common order are applied together.
     */
    Taking takingInParts(List<?> entries, boolean full) {
        Taking taking = new Taking(entries, full);
        taking.order = new RingOrder(entries, numbers);
        return taking;
    }

    /**
     * An update that is being applied: first the entries it names, then the members that a full list leaves
     * out.
     */
    final class Taking {
        /** This many entries can be sorted or compared in the time it takes to apply one. */
        private static final int LOOKED_AT = 16;

        private final LongObjectMap<ListedBackend> named; // members named by a full list so far; null for a change
        private final List<ListedBackend> leftOut = new ArrayList<>();
        private List<?> entries;
        private RingOrder order; // while entries are being sorted
        private Iterator<ListedBackend> uncompared;
        private boolean leaving; // whether the entries are the members left out
        private int at;

        private Taking(List<?> entries, boolean full) {
            this.entries = entries;
            this.named = full ? maps.apply(entries.size()) : null;
        }

        boolean done() {
            return order == null && at == entries.size() && (named == null || leaving);
        }

        /** Returns at most {@code most} members to pass on next; the result may be empty for some calls. */
        List<ListedBackend> next(int most) {
            int looked = (int) Math.min(Integer.MAX_VALUE, (long) most * LOOKED_AT);
            List<ListedBackend> told = List.of();
            if (order != null) {
                sort(looked);
            } else if (at == entries.size()) {
                compare(looked);
            } else {
                told = leaving ? left(most) : named(most);
            }
            if (leaving && done()) {
                known = named; // has the same content, in a table of fitting size
            }
            return told;
        }

        private void sort(int looked) {
            if (order.look(looked)) {
                entries = order.sorted();
                order = null;
            }
        }

        /** The map is not modified meanwhile, so the iterator stays valid from step to step. */
        private void compare(int looked) {
            uncompared = uncompared == null ? known.values().iterator() : uncompared;
            for (int i = 0; uncompared.hasNext() && i < looked; i++) {
                ListedBackend member = uncompared.next();
                if (!named.containsKey(member.backend().id())) {
                    leftOut.add(member);
                }
            }
            if (!uncompared.hasNext()) {
                leaving = true;
                order = new RingOrder(leftOut, numbers);
                at = 0;
            }
        }

        private List<ListedBackend> named(int most) {
            int end = (int) Math.min(entries.size(), at + (long) most);
            List<ListedBackend> told = new ArrayList<>(end - at);
            while (at < end) {
                Object item = entries.get(at++);
                ListedBackend member;
                try {
                    member = numbered(item instanceof ListedBackend read ? read : member((Map<?, ?>) item));
                } catch (RuntimeException e) {
                    // one bad entry must not prevent the others from being applied
                    Log.error("discovery", e);
                    continue;
                }
                long id = member.backend().id();
                put(id, member);
                if (named != null && known.get(id) == null) {
                    named.remove(id);
                } else if (named != null) {
                    named.put(id, member);
                }
                told.add(overlaid(member));
            }
            return told;
        }

        /** Members that a full list leaves out are gone, even if they still answer. */
        private List<ListedBackend> left(int most) {
            int end = (int) Math.min(entries.size(), at + (long) most);
            List<ListedBackend> told = new ArrayList<>(end - at);
            while (at < end) {
                ListedBackend member = (ListedBackend) entries.get(at++);
                Backend was = member.backend();
                ListedBackend gone = new ListedBackend(member.name(), new Backend(was.id(), was.zone(), was.kind(),
                    was.cell(), Phase.GONE, was.weight(), was.startedAt()), member.address());
                put(was.id(), gone);
                told.add(overlaid(gone));
            }
            return told;
        }
    }

    private void put(long id, ListedBackend member) {
        operators.markListed(member.name());
        if (member.backend().phase() == Phase.GONE) {
            ListedBackend before = known.remove(id);
            forget(before == null ? member : before);
        } else {
            ListedBackend before = known.put(id, member);
            ready += (isReady(member) ? 1 : 0) - (before != null && isReady(before) ? 1 : 0);
        }
    }

    private void forget(ListedBackend member) {
        ready -= isReady(member) ? 1 : 0;
        withheld.remove(member.name());
        apart.remove(member.name());
        operators.markUnlisted(member.name());
    }

    /**
     * Assigns another number if the member's own one is taken, and the current number if the member was
     * parsed before an earlier update had been applied completely.
     */
    private ListedBackend numbered(ListedBackend member) {
        long number = id(member.name());
        ListedBackend there = known.get(number);
        if (member.backend().id() == number && (there == null || there.name().equals(member.name()))) {
            return member;
        }
        while (known.get(number) != null && !known.get(number).name().equals(member.name())) {
            number++;
        }
        Backend as = member.backend();
        if (as.phase() != Phase.GONE) {
            apart.put(member.name(), number);
        }
        return new ListedBackend(member.name(), new Backend(number, as.zone(), as.kind(), as.cell(), as.phase(),
            as.weight(), as.startedAt()), member.address());
    }

    private ListedBackend member(Map<?, ?> entry) {
        String name = Config.text(entry, "id");
        return entries.member(entry, get(name), id(name));
    }
}
