package dockrelay.lab.link;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * How the network stands between any two parties, in each direction. Read from all loops, changed from one.
 */
public final class Links {
    /** Parties have names: clients, discovery, n0 and so on, s-1 and so on. */
    private record Laid(Object key, Set<String> from, Set<String> to, Passage passage) {
    }

    private final List<Laid> laid = new CopyOnWriteArrayList<>();
    private final Set<Runnable> watchers = ConcurrentHashMap.newKeySet();

    /** Lays a fault on all directions from the ones to the others, until it is lifted by the same key. */
    public void lay(Object key, Set<String> from, Set<String> to, Passage passage) {
        laid.add(new Laid(key, from, to, passage));
        watchers.forEach(Runnable::run);
    }

    public void lift(Object key) {
        laid.removeIf(one -> one.key.equals(key));
        watchers.forEach(Runnable::run);
    }

    public Passage between(String from, String to) {
        Passage result = Passage.PLAIN;
        for (Laid one : laid) {
            if (one.from.contains(from) && one.to.contains(to)) {
                result = result.and(one.passage);
            }
        }
        return result;
    }

    /** Whether a new connection between them can come up: its first messages need both directions. */
    public boolean connects(String a, String b) {
        return between(a, b).mode() != Passage.Mode.SILENT && between(b, a).mode() != Passage.Mode.SILENT;
    }

    /** Runs this, on the changer's thread, after each change. */
    public void watch(Runnable action) {
        watchers.add(action);
    }

    public void forget(Runnable action) {
        watchers.remove(action);
    }
}
