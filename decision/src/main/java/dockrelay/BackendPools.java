package dockrelay;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.Phase;
import dockrelay.Balancer.ServiceClass;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;

/** All listed backends, gone ones still in use, and this proxy's windows. A change costs by its own size. */
final class BackendPools extends Ring {
    // Proxies that have a backend in their window. A proxy sees only its own load: the fewer proxies share a
    // backend, the more it tells of the total. A window still needs some backends, so that a few failing ones
    // do not matter, but the number of proxies per backend is bounded, as connections would run out.
    private static final double PROXIES_PER_BACKEND = 2, MAX_PROXIES_PER_BACKEND = 35, MIN_WINDOW_SIZE = 8;
    static final int MAX_FALLBACKS = 64; // backends tried when none of the sample is usable

    private final Balancer.Rules rules;
    private final double rateWindow; // of the success rate's average
    final HashMap<List<Object>, Pool> pools = new HashMap<>();
    private final Pool unrestricted;
    private final HashSet<Slot> gone = new HashSet<>();
    final HashSet<BackendState> ejectedBackends = new HashSet<>(); // includes some that have been restored
    private int updates, insertions, generation, proxies, selfIndex;
    private long rebuiltAt;
    private double previousWeight, totalWarmWeight = 1; // before the last rebuild; of all backends
    double warmWeight = 1, windowWeight = 1; // of the unrestricted window
    int ejectedCount;

    /** The ready backends that some classes may use, and this proxy's window on them. */
    final class Pool extends Ring {
        final ServiceClass spec;
        final List<Slot> candidates = new ArrayList<>(); // the window, and fallback backends after it
        double maxWeight, firstShare, lastShare; // of the outer backends; the rest is the neighbors'
        double windowWeight, warmWeight; // weights of the window
        int windowSize, generation; // window of this generation

        Pool(ServiceClass spec) {
            this.spec = spec;
        }

        private boolean allows(Backend entry) {
            return entry != null && entry.phase() == Phase.READY && spec.allows(entry.zone(), entry.kind());
        }

        /** The share of a backend of the window that belongs to this window. */
        double share(int index) {
            return index == 0 ? firstShare : index == windowSize - 1 ? lastShare : 1;
        }

        // This proxy's window is a run of the ring, by weights that are the same on all proxies. Runs of the
        // same length start at equal distances, so that all backends are in equally many, outer ones partly.
        // With cold backends a window is extended until it has the capacity it would have if all were warm.
        private void chooseWindow() {
            int count = size, skipped = 0, blockIndex = 0;
            double weight = blocks.stream().mapToDouble(block -> block.updatedSums().totalWeight).sum();
            maxWeight = blocks.stream().mapToDouble(block -> block.maxWeight).max().orElse(0);
            double start = weight * selfIndex / proxies;
            while (blockIndex < blocks.size() - 1 && start >= blocks.get(blockIndex).totalWeight) {
                start -= blocks.get(blockIndex).totalWeight; // skips the whole block
                skipped += blocks.get(blockIndex++).slots.size();
            }
            // With fewer backends than two windows need, every proxy uses all of them.
            double minProxies = count < 2 * MIN_WINDOW_SIZE ? proxies
                : Math.min(MAX_PROXIES_PER_BACKEND, MIN_WINDOW_SIZE * proxies / count);
            // Rounded up, as otherwise some backends would be in one window more than others.
            double neededWeight = weight * Math.ceil(Math.max(minProxies, PROXIES_PER_BACKEND)) / proxies;
            candidates.clear();
            windowWeight = warmWeight = windowSize = 0;
            for (int i = 0; windowSize < count && neededWeight > 0
                || candidates.size() < Math.min(MAX_FALLBACKS, count); i++) {
                while (i >= blocks.get(blockIndex).slots.size()) {
                    i = 0;
                    blockIndex = (blockIndex + 1) % blocks.size();
                }
                Slot slot = blocks.get(blockIndex).slots.get(i);
                visitedSlots++;
                if (candidates.isEmpty() && skipped < count - 1 && start >= slot.weight()) {
                    start -= slot.weight();
                    skipped++;
                    continue;
                }
                candidates.add(slot);
                if (neededWeight > 0) {
                    firstShare = windowSize == 0 ? 1 - start / slot.weight() : firstShare;
                    double capacity = slot.weight() * capacityShare(rebuiltAt, slot.entry);
                    double share = capacity * (windowSize++ == 0 ? firstShare : 1);
                    lastShare = Math.min(1, neededWeight / share);
                    neededWeight -= share;
                    windowWeight += slot.weight();
                    warmWeight += capacity;
                }
            }
            if (windowSize == count) {
                firstShare = lastShare = 1; // the window has all backends
            }
        }
    }

    BackendPools(Balancer.Rules rules, double rateWindow, ServiceClass unknownClass) {
        this.rules = rules;
        this.rateWindow = rateWindow;
        unrestricted = poolFor(unknownClass);
    }

    /** The pool of a class; classes that may use the same zones and kinds share one. */
    Pool poolFor(ServiceClass spec) {
        return pools.computeIfAbsent(Arrays.asList(spec.allowedZones(), spec.allowedKinds()),
            key -> new Pool(spec));
    }

    /** Chooses the window of a pool on first use after an update, and returns the pool. */
    Pool withWindow(Pool pool) {
        if (pool.generation != generation) {
            pool.generation = generation;
            pool.chooseWindow();
        }
        return pool;
    }

    void update(long now, boolean full, List<Backend> entries, RiqBalancer balancer) {
        List<Slot> drainChanges = new ArrayList<>();
        updates++;
        for (Backend entry : entries) {
            Slot slot = findOrAdd(entry.id(), insertions);
            Backend previous = slot.entry;
            insertions += previous == null ? 1 : 0;
            boolean restarted = entry.startedAt() != (previous == null ? 0 : previous.startedAt());
            boolean warm = entry.startedAt() + rules.warmUpTime() <= now; // according to the list
            updatePools(slot, previous, entry);
            slot.lastUpdate = updates;
            // Random first tokens: full buckets on all proxies together would overload the backend.
            double tokens = restarted ? balancer.uniform() : 0;
            if (restarted && (slot.state != null || !warm)) {
                slot.state().restart(now, tokens);
            }
            if (slot.state != null) {
                slot.state.answered |= warm;
            }
            if (entry.phase() != Phase.READY || slot.drainHandled) {
                drainChanges.add(slot);
            }
        }
        if (full) {
            stream().filter(slot -> slot.lastUpdate != updates).forEach(slot -> {
                Backend previous = slot.entry; // missing in a full list
                updatePools(slot, previous, new Backend(previous.id(), previous.zone(), previous.kind(),
                    previous.cell(), Phase.GONE, previous.weight(), previous.startedAt()));
                drainChanges.add(slot);
            });
        }
        // Closes idle connections now, and busy ones when they become idle, even if it is ready again then.
        drainChanges.sort((first, second) -> first.insertionNumber - second.insertionNumber);
        for (Slot slot : drainChanges) {
            boolean draining = slot.entry.phase() != Phase.READY && rules.closeOnDrainWithin() > 0;
            if (draining && !slot.drainHandled) {
                slot.state().drainNoticeAt = now;
                balancer.actions.closeIdleConnections(slot.entry.id());
            }
            slot.drainHandled = draining;
        }
    }

    private void updatePools(Slot slot, Backend previous, Backend entry) {
        slot.entry = entry;
        for (Pool pool : entry == previous ? List.<Pool>of() : pools.values()) {
            boolean wasAllowed = pool.allows(previous), isAllowed = pool.allows(entry);
            if (wasAllowed && isAllowed) {
                pool.invalidate(slot);
            } else if (wasAllowed) {
                pool.remove(slot);
            } else if (isAllowed) {
                pool.add(slot);
            }
        }
        if (entry.phase() == Phase.GONE) {
            gone.add(slot);
        }
    }

    /** Must follow each change of the list or of this proxy's index among the proxies. */
    void rebuild(long now, int newIndex, int proxyCount) {
        previousWeight = answeringWeight(now);
        rebuiltAt = now;
        selfIndex = newIndex;
        proxies = proxyCount;
        generation++;
        totalWarmWeight = Double.NaN; // computed on demand
        gone.removeIf(slot -> slot.entry.phase() != Phase.GONE
            || (slot.state == null || slot.state.inFlight == 0) && remove(slot));
        ejectedBackends.removeIf(b -> !b.ejected || b.slot.entry.phase() == Phase.GONE && b.inFlight == 0);
        ejectedCount = (int) ejectedBackends.stream()
            .filter(b -> b.slot.entry.phase() == Phase.READY).count();
        warmWeight = withWindow(unrestricted).warmWeight;
        windowWeight = unrestricted.windowWeight;
    }

    /** The weight of the backends that answer, averaged over the same time as the success rate. */
    double answeringWeight(long now) {
        return warmWeight + (previousWeight - warmWeight) * Math.exp((rebuiltAt - now) / rateWindow);
    }

    double totalWarmWeight() {
        if (Double.isNaN(totalWarmWeight)) {
            totalWarmWeight = unrestricted.stream()
                .mapToDouble(slot -> slot.weight() * capacityShare(rebuiltAt, slot.entry)).sum();
        }
        return totalWarmWeight;
    }

    boolean isCold(long now, Backend entry) {
        return entry.startedAt() > 0 && now - entry.startedAt() < rules.warmUpTime();
    }

    double capacityShare(long now, Backend entry) {
        if (!isCold(now, entry)) {
            return 1;
        }
        double age = Math.max(0, now - entry.startedAt()) / (double) rules.warmUpTime();
        return rules.coldShare() + (1 - rules.coldShare()) * age;
    }
}
