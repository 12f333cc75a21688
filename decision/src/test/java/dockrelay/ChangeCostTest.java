package dockrelay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import dockrelay.Balancer.Backend;
import dockrelay.Balancer.DedupScope;
import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.Phase;
import dockrelay.Balancer.Request;
import dockrelay.Balancer.Rules;
import dockrelay.Balancer.ServiceClass;
import dockrelay.Balancer.Settings;
import java.lang.management.ManagementFactory;
import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;

/** Bounds the cost of list updates by counts of operations and bytes, not times, at three list sizes. */
class ChangeCostTest {
    private static final int[] SIZES = {500, 1_000, 2_000};
    private static final int CHANGES = 200;
    private static final int CLASSES = 20;

    /** Allowed zones of a class, which count their lookups. */
    private static final class CountingZones extends AbstractSet<String> {
        private final Set<String> names;
        long lookups;

        CountingZones(String... names) {
            this.names = Set.of(names);
        }

        @Override
        public boolean contains(Object zone) {
            lookups++;
            return names.contains(zone);
        }

        @Override
        public Iterator<String> iterator() {
            return names.iterator();
        }

        @Override
        public int size() {
            return names.size();
        }
    }

    /** A policy with backends in three zones and many classes, on one of a hundred proxies. */
    private static final class Fixture {
        private final Host host = new Host();
        private final CountingZones zones = new CountingZones("z0", "z1");
        private final int size;
        final RiqBalancer balancer;

        Fixture(int size) {
            this.size = size;
            List<ServiceClass> classes = new ArrayList<>();
            for (int i = 0; i < CLASSES; i++) {
                classes.add(new ServiceClass("c" + i, 200_000, 0, 600_000, Idempotency.IDEMPOTENT,
                    DedupScope.ALL, 0, 0.2, i == 0 ? null : zones, null));
            }
            balancer = new RiqBalancer(new Settings(100, 37, "z0", classes, List.of(), false, Host.limits(),
                new Rules(0.25, 10_000_000, 3, 10_000_000, 1_000_000), 0), 7, host);
        }

        Backend backend(int number, Phase phase, long startedAt) {
            return new Backend(number * 0x9E3779B97F4A7C15L, "z" + number % 3, "k", 0, phase, 1, startedAt);
        }

        void loadAll() {
            List<Backend> entries = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                entries.add(backend(i, Phase.READY, 0));
            }
            balancer.onBackendList(host.now, ListUpdateType.CACHED, entries);
        }

        /** Drains, removes, restarts and adds backends, each change followed by a request. */
        void applyChanges() {
            for (int i = 0; i < CHANGES; i++) {
                int number = i * 31 % size;
                applyChanges(backend(number, Phase.DRAINING, 0));
                applyChanges(backend(number, Phase.GONE, 0));
                applyChanges(backend(number, Phase.READY, host.now));
                applyChanges(backend(size + i, Phase.READY, host.now));
                applyChanges(backend(size + i, Phase.GONE, host.now));
            }
        }

        private void applyChanges(Backend entry) {
            host.now += 1_000;
            balancer.onBackendList(host.now, ListUpdateType.DELTA, List.of(entry));
            String id = "r" + host.now;
            balancer.onRequest(host.now, new Request(id, "c" + host.now / 1_000 % CLASSES, null, null,
                600_000, 0, false));
            balancer.onClientDisconnected(host.now, id);
            host.actions.clear();
        }
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getThreadAllocatedBytes(
            Thread.currentThread().getId());
    }

    private static long[] measure(ToLongFunction<Fixture> counter, boolean forChanges) {
        long[] counts = new long[SIZES.length];
        for (int i = 0; i < SIZES.length; i++) {
            Fixture fixture = new Fixture(SIZES[i]);
            if (forChanges) {
                fixture.loadAll();
            }
            long before = counter.applyAsLong(fixture);
            if (forChanges) {
                fixture.applyChanges();
            } else {
                fixture.loadAll();
            }
            counts[i] = counter.applyAsLong(fixture) - before;
        }
        return counts;
    }

    /** At four times the size the count may be at most 1.5 times as high. */
    private static void assertConstant(long[] counts, long slack) {
        assertTrue(counts[2] <= counts[0] * 1.5 + slack, counts[0] + ", " + counts[1] + ", " + counts[2]);
    }

    /** At four times the size the count may be four times as high; 1.4 allows for a sort's logarithm. */
    private static void assertLinear(long[] counts) {
        assertTrue(counts[2] <= counts[0] * 4 * 1.4, counts[0] + ", " + counts[1] + ", " + counts[2]);
    }

    @Test
    void changeChecksEachPoolOnce() {
        assertConstant(measure(fixture -> fixture.zones.lookups, true), 0);
    }

    @Test
    void changeAllocationIsIndependentOfSize() {
        measure(fixture -> allocatedBytes(), true); // excludes allocations by class loading and compilation
        assertConstant(measure(fixture -> allocatedBytes(), true), 0);
    }

    @Test
    void changeVisitsOnlyItsBlockAndTheWindow() {
        assertConstant(measure(ChangeCostTest::visitedSlots, true), 0);
    }

    @Test
    void fullListCostIsLinear() {
        assertLinear(measure(ChangeCostTest::visitedSlots, false));
        assertLinear(measure(fixture -> fixture.zones.lookups, false));
        measure(fixture -> allocatedBytes(), false);
        assertLinear(measure(fixture -> allocatedBytes(), false));
    }

    @Test
    void statusLengthIsBounded() {
        assertConstant(measure(fixture -> fixture.balancer.status(fixture.host.now).length(), false), 100);
    }

    /** Classes that may use the same backends must not add to the state kept or visited per backend. */
    @Test
    void classesWithTheSameRestrictionsShareAPool() {
        Fixture fixture = new Fixture(SIZES[0]);
        assertTrue(fixture.balancer.backends.pools.size() <= 2,
            "expected at most one pool for all zones and one for two of them");
    }

    private static long visitedSlots(Fixture fixture) {
        return fixture.balancer.backends.visitedSlots + fixture.balancer.backends.pools.values().stream()
            .mapToLong(pool -> pool.visitedSlots).sum();
    }
}
