package dockrelay.lab.link;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The conditions of the emulated network between any two endpoints, per direction. Any thread may read;
 * changes come from one event loop.
 */
public final class LinkTable {
    /**
     * Conditions laid on the directions between two sets of endpoints. Endpoint names: "clients",
     * "discovery", "n0"... (proxies) and "s-1"... (backends).
     */
    private record LinkFault(Object key, Set<String> from, Set<String> to, Passage conditions) {
    }

    private final List<LinkFault> faults = new CopyOnWriteArrayList<>();
    private final Set<Runnable> listeners = ConcurrentHashMap.newKeySet();

    /**
     * Applies a link fault to every direction from an endpoint of the first set to one of the second, until
     * it is removed by the same key.
     */
    public void addFault(Object key, Set<String> from, Set<String> to, Passage conditions) {
        faults.add(new LinkFault(key, from, to, conditions));
        listeners.forEach(Runnable::run);
    }

    public void removeFault(Object key) {
        faults.removeIf(fault -> fault.key.equals(key));
        listeners.forEach(Runnable::run);
    }

    /** Returns the combined conditions of all faults on this direction. */
    public Passage conditionsBetween(String from, String to) {
        Passage combined = Passage.UNIMPAIRED;
        for (LinkFault fault : faults) {
            if (fault.from.contains(from) && fault.to.contains(to)) {
                combined = combined.combine(fault.conditions);
            }
        }
        return combined;
    }

    /** Whether a TCP handshake can complete between the two: it needs both directions. */
    public boolean canConnect(String endpointA, String endpointB) {
        return conditionsBetween(endpointA, endpointB).mode() != Passage.Mode.SILENT
            && conditionsBetween(endpointB, endpointA).mode() != Passage.Mode.SILENT;
    }

    /** Registers a listener that runs after each change, on the thread that made it. */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    public void removeListener(Runnable listener) {
        listeners.remove(listener);
    }
}
