package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import dockrelay.Balancer.Phase;
import dockrelay.proxy.RequestTable.ListedBackend;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Tests the names and numbers of backends, and the cost of lists by counting operations instead of time.
 */
class ListingTest {
    private static final int[] SIZES = {500, 1_000, 2_000};

    private final OperatorOverrides operators = new OperatorOverrides(null);
    private final BackendRegistry listing = new BackendRegistry(operators);

    private static Map<String, Object> entry(String name, String state) {
        Map<String, Object> entry = new HashMap<>();
        entry.put("id", name);
        entry.put("state", state);
        entry.put("addr", "10.0.0.1:80");
        entry.put("zone", new String("z1")); // a distinct object for each entry, as a parser creates it
        entry.put("kind", new String("k1"));
        entry.put("cell", 3L);
        entry.put("weight", 1.0);
        entry.put("started_ms", 0L);
        return entry;
    }

    private static List<Map<String, Object>> entries(int count) {
        List<Map<String, Object>> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry("s-" + i, "active"));
        }
        return entries;
    }

    private long id(BackendRegistry of, String name, String state) {
        return of.take(List.of(entry(name, state)), false).get(0).backend().id();
    }

    @Test
    void aNameThatComesBackGetsTheSameNumber() {
        long first = id(listing, "s-1", "active");
        assertEquals(first, id(listing, "s-1", "left"));
        assertEquals(0, listing.size());
        assertNull(listing.get("s-1"), "a backend that has left must not be listed");
        assertEquals(first, id(listing, "s-1", "active"));
        assertEquals(first, id(new BackendRegistry(operators), "s-1", "active"),
            "the number must be the same at all proxies");
        assertNotEquals(first, id(listing, "s-2", "active"));
    }

    /** All names have the same hash here. */
    @Test
    void namesThatFallTogetherAreToldApartAndKeepTheirNumbers() {
        BackendRegistry narrow = new BackendRegistry(operators, name -> 7, BackendRegistry::newIdMap);
        List<ListedBackend> told = narrow.take(entries(3), true);
        assertEquals(List.of(7L, 8L, 9L), told.stream().map(member -> member.backend().id()).toList());
        assertEquals(List.of(7L, 8L, 9L), narrow.take(entries(3), true).stream()
            .map(member -> member.backend().id()).toList(), "a repeated list must keep the numbers");
        id(narrow, "s-0", "left");
        assertEquals(8, id(narrow, "s-1", "active"),
            "the second name keeps its number after the first has left");
        assertEquals(8, narrow.get("s-1").backend().id());
        assertEquals(7, id(narrow, "s-0", "active"), "the first name gets its number back");
        id(narrow, "s-1", "left");
        assertNull(narrow.get("s-1"));
        assertEquals("s-2", narrow.get("s-2").name());
        assertEquals(8, id(narrow, "s-1", "active"));
        narrow.take(entries(1), true);
        assertEquals(1, narrow.size());
        assertNull(narrow.get("s-2"), "a full list must remove members it does not name");
    }

    @Test
    void whatChangesLeaveOutStaysAndWhatStaysIsTheSameObject() {
        Object read = listing.read(entry("s-1", "active"));
        ListedBackend first = listing.take(List.of(read), true).get(0);
        assertSame(read, first);
        assertSame(first, listing.read(entry("s-1", "active")));
        Map<String, Object> drained = Map.of("id", "s-1", "state", "leaving");
        assertSame(drained, listing.read(drained), "an incomplete entry stays unconverted");
        ListedBackend then = listing.take(List.of(listing.read(drained)), false).get(0);
        assertEquals(Phase.DRAINING, then.backend().phase());
        assertEquals(first.address(), then.address());
        assertEquals(3, then.backend().cell());
        assertSame(first.backend().zone(), ((ListedBackend) listing.read(entry("s-9", "active"))).backend().zone());
    }

    /** Each value of an entry must be compared: no changed entry may pass for the previous one. */
    @Test
    void whatDiffersInAnythingIsAnotherObject() {
        Map<String, Object> others = Map.of("state", "leaving", "addr", "10.0.0.2:80", "zone", "z2", "kind",
            "k2", "cell", 4L, "weight", 2.0, "started_ms", 1L);
        ListedBackend known = listing.take(List.of(entry("s-1", "active")), true).get(0);
        assertEquals(others.size() + 1, entry("s-1", "active").size(),
            "the test must vary each value except the name");
        others.forEach((key, value) -> {
            Map<String, Object> other = entry("s-1", "active");
            other.put(key, value);
            ListedBackend read = (ListedBackend) listing.read(other);
            assertNotEquals(known, read, key);
            assertSame(read, listing.take(List.of(read), false).get(0));
            assertEquals(read, listing.get("s-1"), key);
            listing.take(List.of(listing.read(entry("s-1", "active"))), false);
            assertEquals(known, listing.get("s-1"));
        });
    }

    @Test
    void oneBadEntryHidesNoneOfTheOthers() {
        Map<String, Object> bad = entry("s-2", "active");
        bad.put("addr", "nowhere");
        List<Object> read = new ArrayList<>();
        for (Map<String, Object> each : List.of(entry("s-1", "active"), bad, entry("s-3", "active"))) {
            read.add(listing.read(each));
        }
        read.add("no entry");
        assertEquals(List.of("s-1", "s-3"), listing.take(read, true).stream().map(ListedBackend::name).toList());
    }

    /** If a list repeats a name, the later entry is merged into the earlier one. */
    @Test
    void theLaterEntryOfANameHolds() {
        listing.take(List.of(entry("s-1", "active"), Map.of("id", "s-1", "state", "leaving")), true);
        assertEquals(Phase.DRAINING, listing.get("s-1").backend().phase());
        listing.take(List.of(entry("s-1", "active"), Map.of("id", "s-1", "state", "left")), true);
        assertEquals(0, listing.size());
        assertFalse(listing.anyReady());
    }

    @Test
    void whetherAnyIsReadyGoesByTheListAndTheOperators() throws Exception {
        assertFalse(listing.anyReady());
        listing.take(List.of(entry("s-1", "active"), entry("s-2", "leaving")), true);
        assertTrue(listing.anyReady());
        operators.detach("s-1");
        listing.operated("s-1");
        assertFalse(listing.anyReady(), "the only ready backend is detached");
        listing.take(List.of(entry("s-1", "active")), false);
        assertFalse(listing.anyReady(), "a detached backend is not ready, whatever the list says");
        listing.take(List.of(entry("s-1", "left")), false);
        listing.take(List.of(entry("s-2", "active")), false);
        assertTrue(listing.anyReady());
        listing.take(List.of(entry("s-1", "active"), entry("s-2", "left")), false);
        assertFalse(listing.anyReady(), "a backend that returns to the list stays detached");
        operators.attach("s-1");
        listing.operated("s-1");
        assertTrue(listing.anyReady());
        listing.take(List.of(), true);
        assertFalse(listing.anyReady());
        operators.detach("s-1");
        assertNull(listing.operated("s-1"), "a backend that is not listed must not be passed on");
        assertFalse(listing.anyReady());
    }

    @Test
    void callsAreLetPassForThoseThatAreListedAndTheLastOnesThatLeft() {
        listing.take(entries(2_000), true);
        listing.take(List.of(), true);
        long left = entries(2_000).stream().filter(entry -> operators.isKnown((String) entry.get("id")))
            .count();
        assertEquals(1_000, left, "known names of backends that have left");
        listing.take(entries(1), false);
        listing.take(entries(3_000).subList(1_000, 3_000), false);
        listing.take(entries(3_000).subList(1_000, 3_000).stream().peek(entry -> entry.put("state", "left"))
            .toList(), false);
        assertTrue(operators.isKnown("s-0"), "a listed name must stay known when others leave");
        assertFalse(operators.isKnown("s-1500"));
    }

    /** Counts operations of a map; an iteration counts as many as there are entries. */
    private static final class Counted extends LongObjectHashMap<ListedBackend> {
        private final long[] steps;

        Counted(int size, long[] steps) {
            super(Math.max(8, size * 2));
            this.steps = steps;
        }

        @Override
        public ListedBackend get(long key) {
            steps[0]++;
            return super.get(key);
        }

        @Override
        public ListedBackend put(long key, ListedBackend value) {
            steps[0]++;
            return super.put(key, value);
        }

        @Override
        public ListedBackend remove(long key) {
            steps[0]++;
            return super.remove(key);
        }

        @Override
        public boolean containsKey(long key) {
            steps[0]++;
            return super.containsKey(key);
        }

        @Override
        public boolean containsValue(Object value) {
            steps[0] += size();
            return super.containsValue(value);
        }

        @Override
        public Collection<ListedBackend> values() {
            steps[0] += size();
            return super.values();
        }

        @Override
        public Iterable<LongObjectMap.PrimitiveEntry<ListedBackend>> entries() {
            steps[0] += size();
            return super.entries();
        }
    }

    /**
     * Map operations and allocated bytes of an action for each size, in a registry of that size if {@code
     * listed}, else in an empty one.
     */
    private static long[][] costs(boolean listed, Consumer<BackendRegistry> what) {
        long[][] costs = new long[2][SIZES.length];
        for (int i = 0; i < SIZES.length; i++) {
            long[] steps = new long[1];
            BackendRegistry each = new BackendRegistry(new OperatorOverrides(null), name -> {
                steps[0]++;
                return name.hashCode() * 0x9E3779B97F4A7C15L;
            }, size -> new Counted(size, steps));
            if (listed) {
                each.take(entries(SIZES[i]), true);
                what.accept(each); // excludes the cost of tables that grow
            }
            long before = steps[0];
            long bytes = allocated();
            what.accept(each);
            costs[0][i] = steps[0] - before;
            costs[1][i] = allocated() - bytes;
        }
        return costs;
    }

    private static long allocated() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getThreadAllocatedBytes(
            Thread.currentThread().getId());
    }

    private static void assertGrows(long[] counts, double most) {
        assertTrue(counts[2] <= counts[0] * most, counts[0] + ", " + counts[1] + ", " + counts[2]);
    }

    @Test
    void aListTakenInWholeCostsItsLength() {
        List<Map<String, Object>> all = entries(SIZES[2]);
        for (boolean listed : new boolean[] {false, true}) {
            Consumer<BackendRegistry> whole = each ->
                each.take(all.subList(0, Math.max(SIZES[0], each.size())), true);
            costs(listed, whole); // excludes the cost of class loading
            for (long[] counts : costs(true, whole)) {
                assertGrows(counts, 4.4);
            }
        }
        long[] steps = new long[SIZES.length];
        for (int i = 0; i < SIZES.length; i++) {
            long[] counted = new long[1];
            BackendRegistry fresh = new BackendRegistry(new OperatorOverrides(null), String::hashCode, size -> new Counted(size,
                counted));
            fresh.take(all.subList(0, SIZES[i]), true);
            steps[i] = counted[0];
        }
        assertGrows(steps, 4.1);
    }

    @Test
    void aChangeCostsNothingOfTheRest() {
        Consumer<BackendRegistry> changes = each -> {
            for (int i = 0; i < 100; i++) {
                each.take(List.of(entry("s-" + i, "leaving")), false);
                each.take(List.of(entry("s-" + i, "left")), false);
                each.take(List.of(entry("s-" + i, "active")), false);
                each.take(List.of(entry("new-" + i, "active")), false);
                each.take(List.of(entry("new-" + i, "left")), false);
                each.anyReady();
            }
        };
        costs(true, changes);
        for (long[] counts : costs(true, changes)) {
            assertGrows(counts, 1.2);
        }
    }
}
