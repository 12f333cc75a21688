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
class BackendRegistryTest {
    private static final int[] LIST_SIZES = {500, 1_000, 2_000};

    private final OperatorOverrides overrides = new OperatorOverrides(null);
    private final BackendRegistry registry = new BackendRegistry(overrides);

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

    private long idAfterUpdate(BackendRegistry registry, String name, String state) {
        return registry.applyUpdate(List.of(entry(name, state)), false).get(0).backend().id();
    }

    @Test
    void returningNameGetsSameId() {
        long firstId = idAfterUpdate(registry, "s-1", "active");
        assertEquals(firstId, idAfterUpdate(registry, "s-1", "left"));
        assertEquals(0, registry.size());
        assertNull(registry.get("s-1"), "a backend that has left must not be listed");
        assertEquals(firstId, idAfterUpdate(registry, "s-1", "active"));
        assertEquals(firstId, idAfterUpdate(new BackendRegistry(overrides), "s-1", "active"),
            "the number must be the same at all proxies");
        assertNotEquals(firstId, idAfterUpdate(registry, "s-2", "active"));
    }

    /** All names have the same hash here. */
    @Test
    void collidingNamesGetDistinctStableIds() {
        BackendRegistry collidingRegistry = new BackendRegistry(overrides, name -> 7,
            BackendRegistry::newIdMap);
        List<ListedBackend> updated = collidingRegistry.applyUpdate(entries(3), true);
        assertEquals(List.of(7L, 8L, 9L),
            updated.stream().map(listedBackend -> listedBackend.backend().id()).toList());
        assertEquals(List.of(7L, 8L, 9L), collidingRegistry.applyUpdate(entries(3), true).stream()
            .map(listedBackend -> listedBackend.backend().id()).toList(),
            "a repeated list must keep the numbers");
        idAfterUpdate(collidingRegistry, "s-0", "left");
        assertEquals(8, idAfterUpdate(collidingRegistry, "s-1", "active"),
            "the second name keeps its number after the first has left");
        assertEquals(8, collidingRegistry.get("s-1").backend().id());
        assertEquals(7, idAfterUpdate(collidingRegistry, "s-0", "active"),
            "the first name gets its number back");
        idAfterUpdate(collidingRegistry, "s-1", "left");
        assertNull(collidingRegistry.get("s-1"));
        assertEquals("s-2", collidingRegistry.get("s-2").name());
        assertEquals(8, idAfterUpdate(collidingRegistry, "s-1", "active"));
        collidingRegistry.applyUpdate(entries(1), true);
        assertEquals(1, collidingRegistry.size());
        assertNull(collidingRegistry.get("s-2"), "a full list must remove backends it does not name");
    }

    @Test
    void omittedValuesAndUnchangedObjectsAreKept() {
        Object converted = registry.readEntry(entry("s-1", "active"));
        ListedBackend firstState = registry.applyUpdate(List.of(converted), true).get(0);
        assertSame(converted, firstState);
        assertSame(firstState, registry.readEntry(entry("s-1", "active")));
        Map<String, Object> drainChange = Map.of("id", "s-1", "state", "leaving");
        assertSame(drainChange, registry.readEntry(drainChange), "an incomplete entry stays unconverted");
        ListedBackend nextState =
            registry.applyUpdate(List.of(registry.readEntry(drainChange)), false).get(0);
        assertEquals(Phase.DRAINING, nextState.backend().phase());
        assertEquals(firstState.address(), nextState.address());
        assertEquals(3, nextState.backend().cell());
        assertSame(firstState.backend().zone(),
            ((ListedBackend) registry.readEntry(entry("s-9", "active"))).backend().zone());
    }

    /** Each value of an entry must be compared: no changed entry may pass for the previous one. */
    @Test
    void anyDifferenceCreatesNewObject() {
        Map<String, Object> changedValues = Map.of("state", "leaving", "addr", "10.0.0.2:80", "zone", "z2",
            "kind", "k2", "cell", 4L, "weight", 2.0, "started_ms", 1L);
        ListedBackend original = registry.applyUpdate(List.of(entry("s-1", "active")), true).get(0);
        assertEquals(changedValues.size() + 1, entry("s-1", "active").size(),
            "the test must vary each value except the name");
        changedValues.forEach((key, value) -> {
            Map<String, Object> changedEntry = entry("s-1", "active");
            changedEntry.put(key, value);
            ListedBackend converted = (ListedBackend) registry.readEntry(changedEntry);
            assertNotEquals(original, converted, key);
            assertSame(converted, registry.applyUpdate(List.of(converted), false).get(0));
            assertEquals(converted, registry.get("s-1"), key);
            registry.applyUpdate(List.of(registry.readEntry(entry("s-1", "active"))), false);
            assertEquals(original, registry.get("s-1"));
        });
    }

    @Test
    void badEntryDoesNotAffectOthers() {
        Map<String, Object> badEntry = entry("s-2", "active");
        badEntry.put("addr", "nowhere");
        List<Object> convertedEntries = new ArrayList<>();
        for (Map<String, Object> entry : List.of(entry("s-1", "active"), badEntry, entry("s-3", "active"))) {
            convertedEntries.add(registry.readEntry(entry));
        }
        convertedEntries.add("no entry");
        assertEquals(List.of("s-1", "s-3"),
            registry.applyUpdate(convertedEntries, true).stream().map(ListedBackend::name).toList());
    }

    /** If a list repeats a name, the later entry is merged into the earlier one. */
    @Test
    void laterEntryOfNameApplies() {
        registry.applyUpdate(List.of(entry("s-1", "active"), Map.of("id", "s-1", "state", "leaving")), true);
        assertEquals(Phase.DRAINING, registry.get("s-1").backend().phase());
        registry.applyUpdate(List.of(entry("s-1", "active"), Map.of("id", "s-1", "state", "left")), true);
        assertEquals(0, registry.size());
        assertFalse(registry.isAnyBackendReady());
    }

    @Test
    void readinessDependsOnListAndOverrides() throws Exception {
        assertFalse(registry.isAnyBackendReady());
        registry.applyUpdate(List.of(entry("s-1", "active"), entry("s-2", "leaving")), true);
        assertTrue(registry.isAnyBackendReady());
        overrides.detach("s-1");
        registry.getWithOverride("s-1");
        assertFalse(registry.isAnyBackendReady(), "the only ready backend is detached");
        registry.applyUpdate(List.of(entry("s-1", "active")), false);
        assertFalse(registry.isAnyBackendReady(), "a detached backend is not ready, whatever the list says");
        registry.applyUpdate(List.of(entry("s-1", "left")), false);
        registry.applyUpdate(List.of(entry("s-2", "active")), false);
        assertTrue(registry.isAnyBackendReady());
        registry.applyUpdate(List.of(entry("s-1", "active"), entry("s-2", "left")), false);
        assertFalse(registry.isAnyBackendReady(), "a backend that returns to the list stays detached");
        overrides.attach("s-1");
        registry.getWithOverride("s-1");
        assertTrue(registry.isAnyBackendReady());
        registry.applyUpdate(List.of(), true);
        assertFalse(registry.isAnyBackendReady());
        overrides.detach("s-1");
        assertNull(registry.getWithOverride("s-1"), "a backend that is not listed must not be passed on");
        assertFalse(registry.isAnyBackendReady());
    }

    @Test
    void listedAndRecentlyRemovedNamesAreKnown() {
        registry.applyUpdate(entries(2_000), true);
        registry.applyUpdate(List.of(), true);
        long knownCount = entries(2_000).stream().filter(entry -> overrides.isKnown((String) entry.get("id")))
            .count();
        assertEquals(1_000, knownCount, "known names of backends that have left");
        registry.applyUpdate(entries(1), false);
        registry.applyUpdate(entries(3_000).subList(1_000, 3_000), false);
        registry.applyUpdate(entries(3_000).subList(1_000, 3_000).stream()
            .peek(entry -> entry.put("state", "left")).toList(), false);
        assertTrue(overrides.isKnown("s-0"), "a listed name must stay known when others leave");
        assertFalse(overrides.isKnown("s-1500"));
    }

    /** Counts operations of a map; an iteration counts as many as there are entries. */
    private static final class CountingMap extends LongObjectHashMap<ListedBackend> {
        private final long[] operationCount;

        CountingMap(int size, long[] operationCount) {
            super(Math.max(8, size * 2));
            this.operationCount = operationCount;
        }

        @Override
        public ListedBackend get(long key) {
            operationCount[0]++;
            return super.get(key);
        }

        @Override
        public ListedBackend put(long key, ListedBackend value) {
            operationCount[0]++;
            return super.put(key, value);
        }

        @Override
        public ListedBackend remove(long key) {
            operationCount[0]++;
            return super.remove(key);
        }

        @Override
        public boolean containsKey(long key) {
            operationCount[0]++;
            return super.containsKey(key);
        }

        @Override
        public boolean containsValue(Object value) {
            operationCount[0] += size();
            return super.containsValue(value);
        }

        @Override
        public Collection<ListedBackend> values() {
            operationCount[0] += size();
            return super.values();
        }

        @Override
        public Iterable<LongObjectMap.PrimitiveEntry<ListedBackend>> entries() {
            operationCount[0] += size();
            return super.entries();
        }
    }

    /**
     * Map operations and allocated bytes of an action for each size, in a registry of that size if {@code
     * prefilled}, else in an empty one.
     */
    private static long[][] measureCosts(boolean prefilled, Consumer<BackendRegistry> action) {
        long[][] costs = new long[2][LIST_SIZES.length];
        for (int i = 0; i < LIST_SIZES.length; i++) {
            long[] operationCount = new long[1];
            BackendRegistry registry = new BackendRegistry(new OperatorOverrides(null), name -> {
                operationCount[0]++;
                return name.hashCode() * 0x9E3779B97F4A7C15L;
            }, size -> new CountingMap(size, operationCount));
            if (prefilled) {
                registry.applyUpdate(entries(LIST_SIZES[i]), true);
                action.accept(registry); // excludes the cost of tables that grow
            }
            long operationsBefore = operationCount[0];
            long bytesBefore = allocatedBytes();
            action.accept(registry);
            costs[0][i] = operationCount[0] - operationsBefore;
            costs[1][i] = allocatedBytes() - bytesBefore;
        }
        return costs;
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getThreadAllocatedBytes(
            Thread.currentThread().getId());
    }

    private static void assertGrowsAtMost(long[] costsBySize, double maxFactor) {
        assertTrue(costsBySize[2] <= costsBySize[0] * maxFactor,
            costsBySize[0] + ", " + costsBySize[1] + ", " + costsBySize[2]);
    }

    @Test
    void fullListCostIsLinear() {
        List<Map<String, Object>> entries = entries(LIST_SIZES[2]);
        for (boolean prefilled : new boolean[] {false, true}) {
            Consumer<BackendRegistry> applyFullList = registry ->
                registry.applyUpdate(entries.subList(0, Math.max(LIST_SIZES[0], registry.size())), true);
            measureCosts(prefilled, applyFullList); // excludes the cost of class loading
            for (long[] costsBySize : measureCosts(true, applyFullList)) {
                assertGrowsAtMost(costsBySize, 4.4);
            }
        }
        long[] operationCounts = new long[LIST_SIZES.length];
        for (int i = 0; i < LIST_SIZES.length; i++) {
            long[] operationCount = new long[1];
            BackendRegistry emptyRegistry = new BackendRegistry(new OperatorOverrides(null), String::hashCode,
                size -> new CountingMap(size, operationCount));
            emptyRegistry.applyUpdate(entries.subList(0, LIST_SIZES[i]), true);
            operationCounts[i] = operationCount[0];
        }
        assertGrowsAtMost(operationCounts, 4.1);
    }

    @Test
    void changeCostIsIndependentOfListSize() {
        Consumer<BackendRegistry> applyChanges = registry -> {
            for (int i = 0; i < 100; i++) {
                registry.applyUpdate(List.of(entry("s-" + i, "leaving")), false);
                registry.applyUpdate(List.of(entry("s-" + i, "left")), false);
                registry.applyUpdate(List.of(entry("s-" + i, "active")), false);
                registry.applyUpdate(List.of(entry("new-" + i, "active")), false);
                registry.applyUpdate(List.of(entry("new-" + i, "left")), false);
                registry.isAnyBackendReady();
            }
        };
        measureCosts(true, applyChanges);
        for (long[] costsBySize : measureCosts(true, applyChanges)) {
            assertGrowsAtMost(costsBySize, 1.2);
        }
    }
}
