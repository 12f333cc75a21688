package dockrelay;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.Phase;
import dockrelay.Balancer.ServiceClass;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;

/** All listed backends, gone ones with attempts in flight, and this proxy's windows on them. */
final class Roster extends Ring {
    // Proxies that have a backend in their window. A proxy sees only its own load: the fewer proxies share a
    // backend, the more it tells of the total. A window still needs some backends, so that a few failing ones
    // do not matter, but the number of proxies per backend is bounded, as connections would run out.
    private static final double PROXIES_EACH = 2, PROXIES_MOST = 35, WINDOW_LEAST = 8;
    static final int LAST_RESORT = 64; // backends tried when none of the sample is usable

    private final Balancer.Rules rules;
    private final double span; // of the success rate's average
    final HashMap<List<Object>, Pool> pools = new HashMap<>();
    private final Pool any;
    private final HashSet<Place> going = new HashSet<>();
    final HashSet<Node> outs = new HashSet<>(); // includes some that have been restored
    private int event, born, round, proxies, me;
    private long builtAt;
    private double weightBefore, warmOfAll = 1; // before the last update; and not of the window alone
    double warmWeight = 1, weightOfAll = 1; // of the window
    int ejected;

    /** The ready backends that some classes may use, and this proxy's window on them. */
    final class Pool extends Ring {
        final ServiceClass spec;
        final List<Place> near = new ArrayList<>(); // the window, and fallback backends after it
        double mostWeight, firstPart, lastPart; // of the outer backends; the rest is the neighbors'
        double held, warm; // weights of the window
        int window, chosen; // as of that generation

        Pool(ServiceClass spec) {
            this.spec = spec;
        }

        private boolean isOpenTo(Backend entry) {
            return entry != null && entry.phase() == Phase.READY && spec.openTo(entry.zone(), entry.kind());
        }

        /** The share of a backend of the window that belongs to this window. */
        double part(int index) {
            return index == 0 ? firstPart : index == window - 1 ? lastPart : 1;
        }

        // This proxy's window is a run of the ring, by weights that are the same on all proxies. Runs of the
        // same length start at equal distances, so that all backends are in equally many, outer ones partly.
        // With cold backends a window is extended until it has the capacity it would have if all were warm.
        private void choose() {
            int count = size, passed = 0, b = 0;
            double weight = blocks.stream().mapToDouble(block -> block.summed().sum).sum();
            mostWeight = blocks.stream().mapToDouble(block -> block.most).max().orElse(0);
            double start = weight * me / proxies;
            while (b < blocks.size() - 1 && start >= blocks.get(b).sum) {
                start -= blocks.get(b).sum; // skips the whole block
                passed += blocks.get(b++).places.size();
            }
            // With fewer backends than two windows need, every proxy uses all of them.
            double least = count < 2 * WINDOW_LEAST ? proxies
                : Math.min(PROXIES_MOST, WINDOW_LEAST * proxies / count);
            // Rounded up, as otherwise some backends would be in one window more than others.
            double wanted = weight * Math.ceil(Math.max(least, PROXIES_EACH)) / proxies;
            near.clear();
            held = warm = window = 0;
            for (int i = 0; window < count && wanted > 0 || near.size() < Math.min(LAST_RESORT, count); i++) {
                while (i >= blocks.get(b).places.size()) {
                    i = 0;
                    b = (b + 1) % blocks.size();
                }
                Place place = blocks.get(b).places.get(i);
                steps++;
                if (near.isEmpty() && passed < count - 1 && start >= place.weight()) {
                    start -= place.weight();
                    passed++;
                    continue;
                }
                near.add(place);
                if (wanted > 0) {
                    firstPart = window == 0 ? 1 - start / place.weight() : firstPart;
                    double warmed = place.weight() * warmth(builtAt, place.entry);
                    double part = warmed * (window++ == 0 ? firstPart : 1);
                    lastPart = Math.min(1, wanted / part);
                    wanted -= part;
                    held += place.weight();
                    warm += warmed;
                }
            }
            if (window == count) {
                firstPart = lastPart = 1; // the window has all backends
            }
        }
    }

    Roster(Balancer.Rules rules, double span, ServiceClass unknown) {
        this.rules = rules;
        this.span = span;
        any = pool(unknown);
    }

    /** The pool of a class; classes that may use the same zones and kinds share one. */
    Pool pool(ServiceClass spec) {
        return pools.computeIfAbsent(Arrays.asList(spec.runsIn(), spec.kindsOpen()), open -> new Pool(spec));
    }

    /** Chooses the window of a pool on first use after an update, and returns the pool. */
    Pool chosen(Pool pool) {
        if (pool.chosen != round) {
            pool.chosen = round;
            pool.choose();
        }
        return pool;
    }

    void take(long now, boolean whole, List<Backend> entries, RiqBalancer by) {
        List<Place> leaving = new ArrayList<>();
        event++;
        for (Backend entry : entries) {
            Place place = place(entry.id(), born);
            Backend before = place.entry;
            born += before == null ? 1 : 0;
            boolean restarted = entry.startedAt() != (before == null ? 0 : before.startedAt());
            boolean warm = entry.startedAt() + rules.coldTime() <= now; // according to the list
            move(place, before, entry);
            place.listed = event;
            // Random first tokens: full buckets on all proxies together would overload the backend.
            double tokens = restarted ? by.uniform() : 0;
            if (restarted && (place.node != null || !warm)) {
                place.node().restart(now, tokens);
            }
            if (place.node != null) {
                place.node.heard |= warm;
            }
            if (entry.phase() != Phase.READY || place.drained) {
                leaving.add(place);
            }
        }
        if (whole) {
            stream().filter(place -> place.listed != event).forEach(place -> {
                Backend old = place.entry; // missing in a full list
                move(place, old, new Backend(old.id(), old.zone(), old.kind(), old.cell(), Phase.GONE,
                    old.weight(), old.startedAt()));
                leaving.add(place);
            });
        }
        // Closes idle connections now, and busy ones when they become idle, even if it is ready again then.
        leaving.sort((one, other) -> one.number - other.number);
        for (Place place : leaving) {
            boolean drained = place.entry.phase() != Phase.READY && rules.closeOnDrainWithin() > 0;
            if (drained && !place.drained) {
                place.node().drainedAt = now;
                by.actions.closeIdleConnections(place.entry.id());
            }
            place.drained = drained;
        }
    }

    private void move(Place place, Backend before, Backend entry) {
        place.entry = entry;
        for (Pool pool : entry == before ? List.<Pool>of() : pools.values()) {
            boolean was = pool.isOpenTo(before), is = pool.isOpenTo(entry);
            if (was && is) {
                pool.changed(place);
            } else if (was) {
                pool.remove(place);
            } else if (is) {
                pool.add(place);
            }
        }
        if (entry.phase() == Phase.GONE) {
            going.add(place);
        }
    }

    /** Must follow each change of the list or of this proxy's index among the proxies. */
    void rebuild(long now, int number, int of) {
        weightBefore = weightAnswered(now);
        builtAt = now;
        me = number;
        proxies = of;
        round++;
        warmOfAll = Double.NaN; // computed on demand
        going.removeIf(place -> place.entry.phase() != Phase.GONE
            || (place.node == null || place.node.inflight == 0) && remove(place));
        outs.removeIf(node -> !node.out || node.place.entry.phase() == Phase.GONE && node.inflight == 0);
        ejected = (int) outs.stream().filter(node -> node.place.entry.phase() == Phase.READY).count();
        warmWeight = chosen(any).warm;
        weightOfAll = any.held;
    }

    /** The weight of the backends that answer, averaged over the same time as the success rate. */
    double weightAnswered(long now) {
        return warmWeight + (weightBefore - warmWeight) * Math.exp((builtAt - now) / span);
    }

    double warmOfAll() {
        if (Double.isNaN(warmOfAll)) {
            warmOfAll = any.stream().mapToDouble(each -> each.weight() * warmth(builtAt, each.entry)).sum();
        }
        return warmOfAll;
    }

    boolean cold(long now, Backend entry) {
        return entry.startedAt() > 0 && now - entry.startedAt() < rules.coldTime();
    }

    double warmth(long now, Backend entry) {
        if (!cold(now, entry)) {
            return 1;
        }
        double age = Math.max(0, now - entry.startedAt()) / (double) rules.coldTime();
        return rules.coldShare() + (1 - rules.coldShare()) * age;
    }
}
