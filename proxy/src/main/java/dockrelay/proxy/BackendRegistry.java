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
 * The list as discovery has it, by its names: what the operators say is laid over when it is told. The number
 * that the module knows a backend by is made of the name alone, as all proxies order the backends by it and
 * must order them alike. Two names that fall together are told apart by the next free number, in the order in
 * which they were listed; each keeps its number while it is listed, also when the other one leaves, as its
 * connections and what was seen of it go by that. A proxy that starts then gives it its own: until it is
 * listed anew it stands elsewhere in the order there, which moves a window by one backend at the most.
 */
final class BackendRegistry {
    private final OperatorOverrides operators;
    private final ToLongFunction<String> numbers;
    private final IntFunction<LongObjectMap<ListedBackend>> maps;
    private final Map<String, Long> apart = new HashMap<>(); // those whose own number was another's
    private final EntryReader entries = new EntryReader();
    private final Set<String> withheld = new HashSet<>(); // ready by the list, but not by the operators
    private LongObjectMap<ListedBackend> known;
    private int ready; // by the list

    BackendRegistry(OperatorOverrides operators) {
        this(operators, EntryReader::number, BackendRegistry::newIdMap);
    }

    /** With other numbers of names, and with other maps. */
    BackendRegistry(OperatorOverrides operators, ToLongFunction<String> numbers, IntFunction<LongObjectMap<ListedBackend>> maps) {
        this.operators = operators;
        this.numbers = numbers;
        this.maps = maps;
        this.known = maps.apply(0);
    }

    /** A map for so many: a few places more than that, of a few bytes each. */
    static <T> LongObjectMap<T> newIdMap(int size) {
        float filled = 0.8f;
        return new LongObjectHashMap<>((int) (size / filled) + LongObjectHashMap.DEFAULT_CAPACITY, filled);
    }

    /** The number that a name has, or would have if nobody else had it. */
    private long id(String name) {
        Long other = apart.isEmpty() ? null : apart.get(name);
        return other == null ? numbers.applyAsLong(name) : other;
    }

    /** Null where it is not known. */
    ListedBackend get(String name) {
        ListedBackend member = known.get(id(name));
        return member != null && member.name().equals(name) ? member : null;
    }

    int size() {
        return known.size();
    }

    /** Whether any is there that may be sent to. */
    boolean anyReady() {
        return ready > withheld.size();
    }

    /** As it is to be told now that the operators have said something of it; null where it is not known. */
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
     * What is kept of an entry as soon as it is read, so that no list is ever there as it was written: a
     * member where the entry says all, else the entry, which has to be laid over what is known in its turn.
     */
    Object read(Map<?, ?> entry) {
        try {
            return EntryReader.whole(entry) ? member(entry) : entry;
        } catch (RuntimeException e) {
            return entry; // it is told of when it is taken
        }
    }

    /** Takes entries in at once, as they are to be told; a full list drops whom it does not name. */
    List<ListedBackend> take(List<?> entries, boolean full) {
        Taking taking = new Taking(entries, full);
        List<ListedBackend> told = taking.named(entries.size());
        while (!taking.done()) {
            taking.next(Integer.MAX_VALUE); // whom a full list does not name the module finds itself
        }
        return told;
    }

    /**
     * The same as little at a time as the caller has time for: nothing else may be taken in meanwhile. Those
     * that stand near each other in the order of all come together, in whatever order they are said.
     */
    Taking takingInParts(List<?> entries, boolean full) {
        Taking taking = new Taking(entries, full);
        taking.order = new RingOrder(entries, numbers);
        return taking;
    }

    /** A list, or changes, on the way in: first those named, then those that a full list leaves out. */
    final class Taking {
        /** So many are looked at, to be sorted or compared, in the time in which one is taken in. */
        private static final int LOOKED_AT = 16;

        private final LongObjectMap<ListedBackend> named; // by a full list so far; null where changes are said
        private final List<ListedBackend> leftOut = new ArrayList<>();
        private List<?> entries;
        private RingOrder order; // while they are sorted
        private Iterator<ListedBackend> uncompared;
        private boolean leaving; // the entries are those left out
        private int at;

        private Taking(List<?> entries, boolean full) {
            this.entries = entries;
            this.named = full ? maps.apply(entries.size()) : null;
        }

        boolean done() {
            return order == null && at == entries.size() && (named == null || leaving);
        }

        /** What is to be told next, of at most so many; there may be nothing for a while. */
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
                known = named; // the same by now, in a table of its size
            }
            return told;
        }

        private void sort(int looked) {
            if (order.look(looked)) {
                entries = order.sorted();
                order = null;
            }
        }

        /** Nothing is put or removed in between: the walk goes on where it was. */
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
                    Log.error("discovery", e); // guards against one bad entry hiding all the others
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

        /** Whom a full list leaves out is gone, also where it still answers. */
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
     * Gives one another number where its own is somebody else's, and the one that it has by now where it was
     * read before an earlier word was taken in whole.
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
