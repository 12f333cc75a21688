package dockrelay.lab.link;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * How the network stands between any two parties, in each direction. Read from all loops, changed from one.
 */
public final class LinkTable {
    /** Parties have names: clients, discovery, n0 and so on, s-1 and so on. */
    private record LinkFault(Object key, Set<String> from, Set<String> to, Passage conditions) {
    }

    private final List<LinkFault> faults = new CopyOnWriteArrayList<>();
    private final Set<Runnable> listeners = ConcurrentHashMap.newKeySet();

    /** Lays a fault on all directions from the ones to the others, until it is lifted by the same key. */
    public void addFault(Object key, Set<String> from, Set<String> to, Passage conditions) {
        faults.add(new LinkFault(key, from, to, conditions));
        listeners.forEach(Runnable::run);
    }

    public void removeFault(Object key) {
        faults.removeIf(fault -> fault.key.equals(key));
        listeners.forEach(Runnable::run);
    }

    public Passage conditionsBetween(String from, String to) {
        Passage combined = Passage.UNIMPAIRED;
        for (LinkFault fault : faults) {
            if (fault.from.contains(from) && fault.to.contains(to)) {
                combined = combined.combine(fault.conditions);
            }
        }
        return combined;
    }

    /** Whether a new connection between them can come up: its first messages need both directions. */
    public boolean canConnect(String endpointA, String endpointB) {
        return conditionsBetween(endpointA, endpointB).mode() != Passage.Mode.SILENT
            && conditionsBetween(endpointB, endpointA).mode() != Passage.Mode.SILENT;
    }

    /** Runs this, on the changer's thread, after each change. */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    public void removeListener(Runnable listener) {
        listeners.remove(listener);
    }
}
