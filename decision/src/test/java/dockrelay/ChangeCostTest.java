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

/** What a change of the list costs the module: counted, at three sizes, and never timed. */
class ChangeCostTest {
    private static final int[] SIZES = {500, 1_000, 2_000};
    private static final int CHANGES = 200;
    private static final int CLASSES = 20;

    /** Zones in which a class runs, that count how often they are asked. */
    private static final class Zones extends AbstractSet<String> {
        private final Set<String> names;
        long asked;

        Zones(String... names) {
            this.names = Set.of(names);
        }

        @Override
        public boolean contains(Object zone) {
            asked++;
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

    /** A module with so many backends in three zones, one of a hundred proxies, and many classes. */
    private static final class Fleet {
        private final Host host = new Host();
        private final Zones zones = new Zones("z0", "z1");
        private final int size;
        final RiqBalancer module;

        Fleet(int size) {
            this.size = size;
            List<ServiceClass> classes = new ArrayList<>();
            for (int i = 0; i < CLASSES; i++) {
                classes.add(new ServiceClass("c" + i, 200_000, 0, 600_000, Idempotency.IDEMPOTENT,
                    DedupScope.ALL, 0, 0.2, i == 0 ? null : zones, null));
            }
            module = new RiqBalancer(new Settings(100, 37, "z0", classes, List.of(), false, Host.limits(),
                new Rules(0.25, 10_000_000, 3, 10_000_000, 1_000_000), 0), 7, host);
        }

        Backend backend(int number, Phase phase, long startedAt) {
            return new Backend(number * 0x9E3779B97F4A7C15L, "z" + number % 3, "k", 0, phase, 1, startedAt);
        }

        void takeAll() {
            List<Backend> entries = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                entries.add(backend(i, Phase.READY, 0));
            }
            module.onBackendList(host.now, ListUpdateType.CACHED, entries);
        }

        /** Drains, restarts and new ones, each followed by a request. */
        void change() {
            for (int i = 0; i < CHANGES; i++) {
                int number = i * 31 % size;
                change(backend(number, Phase.DRAINING, 0));
                change(backend(number, Phase.GONE, 0));
                change(backend(number, Phase.READY, host.now));
                change(backend(size + i, Phase.READY, host.now));
                change(backend(size + i, Phase.GONE, host.now));
            }
        }

        private void change(Backend entry) {
            host.now += 1_000;
            module.onBackendList(host.now, ListUpdateType.DELTA, List.of(entry));
            String id = "r" + host.now;
            module.onRequest(host.now, new Request(id, "c" + host.now / 1_000 % CLASSES, null, null, 600_000,
                0, false));
            module.onClientDisconnected(host.now, id);
            host.actions.clear();
        }
    }

    private static long allocated() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getThreadAllocatedBytes(
            Thread.currentThread().getId());
    }

    private static long[] each(ToLongFunction<Fleet> count, boolean ofChanges) {
        long[] counts = new long[SIZES.length];
        for (int i = 0; i < SIZES.length; i++) {
            Fleet fleet = new Fleet(SIZES[i]);
            if (ofChanges) {
                fleet.takeAll();
            }
            long before = count.applyAsLong(fleet);
            if (ofChanges) {
                fleet.change();
            } else {
                fleet.takeAll();
            }
            counts[i] = count.applyAsLong(fleet) - before;
        }
        return counts;
    }

    /** At four times the size it is no more than half as much again. */
    private static void assertConstant(long[] counts, long spare) {
        assertTrue(counts[2] <= counts[0] * 1.5 + spare, counts[0] + ", " + counts[1] + ", " + counts[2]);
    }

    /** At four times the size it is about four times as much; a sort's logarithm is let pass. */
    private static void assertLinear(long[] counts) {
        assertTrue(counts[2] <= counts[0] * 4 * 1.4, counts[0] + ", " + counts[1] + ", " + counts[2]);
    }

    @Test
    void aChangeAsksOnceWhereItsBackendBelongs() {
        assertConstant(each(fleet -> fleet.zones.asked, true), 0);
    }

    @Test
    void aChangeCopiesNotAll() {
        each(fleet -> allocated(), true); // what is loaded and compiled on the way is not the change's
        assertConstant(each(fleet -> allocated(), true), 0);
    }

    @Test
    void aChangeLooksAtItsBlockAndTheWindowOnly() {
        assertConstant(each(ChangeCostTest::steps, true), 0);
    }

    @Test
    void aListTakenInWholeCostsItsLength() {
        assertLinear(each(ChangeCostTest::steps, false));
        assertLinear(each(fleet -> fleet.zones.asked, false));
        each(fleet -> allocated(), false);
        assertLinear(each(fleet -> allocated(), false));
    }

    @Test
    void theLogsLineIsBounded() {
        assertConstant(each(fleet -> fleet.module.status(fleet.host.now).length(), false), 100);
    }

    /** Classes that are open to the same backends add nothing to what is kept, or walked, of them. */
    @Test
    void classesThatAreOpenToTheSameBackendsShareThem() {
        Fleet fleet = new Fleet(SIZES[0]);
        assertTrue(fleet.module.backends.pools.size() <= 2, "one for all zones, one for two of them");
    }

    private static long steps(Fleet fleet) {
        return fleet.module.backends.visitedSlots + fleet.module.backends.pools.values().stream()
            .mapToLong(pool -> pool.visitedSlots).sum();
    }
}
