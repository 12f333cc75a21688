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
 * The list of backends as received from discovery, keyed by name. Operators' overrides are applied when
 * backends are passed on. The balancer identifies a backend by a number that is derived from its name
 * alone, because all proxies must order the backends in the same way. If two names collide, the later one
 * gets the next free number. A backend keeps its number while it is listed, even after the other one has
 * left, because its connections and statistics are keyed by the number. A proxy that starts at that time
 * computes the original number instead; until the backend is listed again, its position in that proxy's
 * order differs, which shifts a subset by at most one backend.
 */
final class BackendRegistry {
    private final OperatorOverrides overrides;
    private final ToLongFunction<String> nameHash;
    private final IntFunction<LongObjectMap<ListedBackend>> mapFactory;
    // names whose own number was already taken
    private final Map<String, Long> reassignedIds = new HashMap<>();
    private final EntryReader entryReader = new EntryReader();
    // ready in the list, but detached by operators
    private final Set<String> detachedReadyNames = new HashSet<>();
    private LongObjectMap<ListedBackend> backendsById;
    private int readyCount; // number of backends that the list reports as ready

    BackendRegistry(OperatorOverrides overrides) {
        this(overrides, EntryReader::hashOfName, BackendRegistry::newIdMap);
    }

    /** For tests: with another hash of names and other maps. */
    BackendRegistry(OperatorOverrides overrides, ToLongFunction<String> nameHash,
        IntFunction<LongObjectMap<ListedBackend>> mapFactory) {
        this.overrides = overrides;
        this.nameHash = nameHash;
        this.mapFactory = mapFactory;
        this.backendsById = mapFactory.apply(0);
    }

    /** Creates a map for this many entries. A high load factor saves memory. */
    static <T> LongObjectMap<T> newIdMap(int entryCount) {
        float loadFactor = 0.8f;
        return new LongObjectHashMap<>((int) (entryCount / loadFactor) + LongObjectHashMap.DEFAULT_CAPACITY,
            loadFactor);
    }

    /** The number assigned to a name, or the hash of the name if it has not been reassigned. */
    private long idOf(String name) {
        Long reassignedId = reassignedIds.isEmpty() ? null : reassignedIds.get(name);
        return reassignedId == null ? nameHash.applyAsLong(name) : reassignedId;
    }

    /** Returns the backend with this name, or null. */
    ListedBackend get(String name) {
        ListedBackend listedBackend = backendsById.get(idOf(name));
        return listedBackend != null && listedBackend.name().equals(name) ? listedBackend : null;
    }

    int size() {
        return backendsById.size();
    }

    /** Whether any backend may receive requests. */
    boolean isAnyBackendReady() {
        return readyCount > detachedReadyNames.size();
    }

    /** Returns the backend with the operators' override applied, or null if it is not listed. */
    ListedBackend getWithOverride(String name) {
        ListedBackend listedBackend = get(name);
        return listedBackend == null ? null : applyOverride(listedBackend);
    }

    private ListedBackend applyOverride(ListedBackend listedBackend) {
        ListedBackend overridden = overrides.applyOverride(listedBackend.name(), listedBackend);
        if (isReady(listedBackend) && !isReady(overridden)) {
            detachedReadyNames.add(listedBackend.name());
        } else {
            detachedReadyNames.remove(listedBackend.name());
        }
        return overridden;
    }

    private static boolean isReady(ListedBackend listedBackend) {
        return listedBackend.backend().phase() == Phase.READY;
    }

    /**
     * Converts an entry as soon as it is parsed, so that a list is never held in its textual form. Returns
     * a {@link ListedBackend} if the entry is complete, otherwise the entry itself, which is merged with
     * the known state when its turn comes.
     */
    Object readEntry(Map<?, ?> entry) {
        try {
            return EntryReader.isComplete(entry) ? readBackend(entry) : entry;
        } catch (RuntimeException e) {
            return entry; // the error is logged when the entry is applied
        }
    }

    /**
     * Applies entries at once and returns the backends to pass on. A full list removes all backends that it
     * does not name.
     */
    List<ListedBackend> applyUpdate(List<?> entries, boolean full) {
        UpdateApplication application = new UpdateApplication(entries, full);
        List<ListedBackend> updated = application.applyNamed(entries.size());
        while (!application.isDone()) {
            // the balancer itself determines what a full list omits
            application.applyNext(Integer.MAX_VALUE);
        }
        return updated;
    }

    /**
     * Applies entries incrementally, in steps of the caller's choice; no other update may be applied
     * meanwhile. Entries are sorted so that neighbours in the common order are applied together.
     */
    UpdateApplication startUpdate(List<?> entries, boolean full) {
        UpdateApplication application = new UpdateApplication(entries, full);
        application.sorter = new RingPositionSorter(entries, nameHash);
        return application;
    }

    /**
     * An update that is being applied: first the entries it names, then the backends that a full list
     * omits.
     */
    final class UpdateApplication {
        /** This many entries can be sorted or compared in the time it takes to apply one. */
        private static final int SCANS_PER_ENTRY = 16;

        // backends named by a full list so far; null for a change
        private final LongObjectMap<ListedBackend> namedBackends;
        private final List<ListedBackend> omittedBackends = new ArrayList<>();
        private List<?> entries;
        private RingPositionSorter sorter; // while entries are being sorted
        private Iterator<ListedBackend> remainingBackends;
        private boolean removingOmitted; // whether the entries are the omitted backends
        private int position;

        private UpdateApplication(List<?> entries, boolean full) {
            this.entries = entries;
            this.namedBackends = full ? mapFactory.apply(entries.size()) : null;
        }

        boolean isDone() {
            return sorter == null && position == entries.size() && (namedBackends == null || removingOmitted);
        }

        /**
         * Returns at most {@code maxEntries} backends to pass on next; the result may be empty for some
         * calls.
         */
        List<ListedBackend> applyNext(int maxEntries) {
            int maxScans = (int) Math.min(Integer.MAX_VALUE, (long) maxEntries * SCANS_PER_ENTRY);
            List<ListedBackend> updated = List.of();
            if (sorter != null) {
                sortStep(maxScans);
            } else if (position == entries.size()) {
                compareStep(maxScans);
            } else {
                updated = removingOmitted ? removeOmitted(maxEntries) : applyNamed(maxEntries);
            }
            if (removingOmitted && isDone()) {
                backendsById = namedBackends; // has the same content, in a table of fitting size
            }
            return updated;
        }

        private void sortStep(int maxScans) {
            if (sorter.classifyNext(maxScans)) {
                entries = sorter.sorted();
                sorter = null;
            }
        }

        /** The map is not modified meanwhile, so the iterator stays valid from step to step. */
        private void compareStep(int maxScans) {
            remainingBackends = remainingBackends == null ? backendsById.values().iterator()
                : remainingBackends;
            for (int i = 0; remainingBackends.hasNext() && i < maxScans; i++) {
                ListedBackend listedBackend = remainingBackends.next();
                if (!namedBackends.containsKey(listedBackend.backend().id())) {
                    omittedBackends.add(listedBackend);
                }
            }
            if (!remainingBackends.hasNext()) {
                removingOmitted = true;
                sorter = new RingPositionSorter(omittedBackends, nameHash);
                position = 0;
            }
        }

        private List<ListedBackend> applyNamed(int maxEntries) {
            int end = (int) Math.min(entries.size(), position + (long) maxEntries);
            List<ListedBackend> updated = new ArrayList<>(end - position);
            while (position < end) {
                Object entry = entries.get(position++);
                ListedBackend listedBackend;
                try {
                    listedBackend = assignId(entry instanceof ListedBackend readBackend ? readBackend
                        : readBackend((Map<?, ?>) entry));
                } catch (RuntimeException e) {
                    // one bad entry must not prevent the others from being applied
                    Log.error("discovery", e);
                    continue;
                }
                long id = listedBackend.backend().id();
                store(id, listedBackend);
                if (namedBackends != null && backendsById.get(id) == null) {
                    namedBackends.remove(id);
                } else if (namedBackends != null) {
                    namedBackends.put(id, listedBackend);
                }
                updated.add(applyOverride(listedBackend));
            }
            return updated;
        }

        /** Backends that a full list omits are gone, even if they still answer. */
        private List<ListedBackend> removeOmitted(int maxEntries) {
            int end = (int) Math.min(entries.size(), position + (long) maxEntries);
            List<ListedBackend> updated = new ArrayList<>(end - position);
            while (position < end) {
                ListedBackend listedBackend = (ListedBackend) entries.get(position++);
                Backend previous = listedBackend.backend();
                ListedBackend goneBackend = new ListedBackend(listedBackend.name(),
                    new Backend(previous.id(), previous.zone(), previous.kind(), previous.cell(), Phase.GONE,
                        previous.weight(), previous.startedAt()), listedBackend.address());
                store(previous.id(), goneBackend);
                updated.add(applyOverride(goneBackend));
            }
            return updated;
        }
    }

    private void store(long id, ListedBackend listedBackend) {
        overrides.markListed(listedBackend.name());
        if (listedBackend.backend().phase() == Phase.GONE) {
            ListedBackend previous = backendsById.remove(id);
            forget(previous == null ? listedBackend : previous);
        } else {
            ListedBackend previous = backendsById.put(id, listedBackend);
            readyCount += (isReady(listedBackend) ? 1 : 0) - (previous != null && isReady(previous) ? 1 : 0);
        }
    }

    private void forget(ListedBackend listedBackend) {
        readyCount -= isReady(listedBackend) ? 1 : 0;
        detachedReadyNames.remove(listedBackend.name());
        reassignedIds.remove(listedBackend.name());
        overrides.markUnlisted(listedBackend.name());
    }

    /**
     * Assigns another number if the backend's own one is taken, and the current number if the backend was
     * parsed before an earlier update had been applied completely.
     */
    private ListedBackend assignId(ListedBackend listedBackend) {
        long id = idOf(listedBackend.name());
        ListedBackend occupant = backendsById.get(id);
        if (listedBackend.backend().id() == id
            && (occupant == null || occupant.name().equals(listedBackend.name()))) {
            return listedBackend;
        }
        while (backendsById.get(id) != null && !backendsById.get(id).name().equals(listedBackend.name())) {
            id++;
        }
        Backend state = listedBackend.backend();
        if (state.phase() != Phase.GONE) {
            reassignedIds.put(listedBackend.name(), id);
        }
        return new ListedBackend(listedBackend.name(), new Backend(id, state.zone(), state.kind(),
            state.cell(), state.phase(), state.weight(), state.startedAt()), listedBackend.address());
    }

    private ListedBackend readBackend(Map<?, ?> entry) {
        String name = Config.requireString(entry, "id");
        return entryReader.mergeEntry(entry, get(name), idOf(name));
    }
}
