package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.Phase;
import dockrelay.proxy.ListParser.Update;
import dockrelay.proxy.RequestTable.ListedBackend;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;

/**
 * Tests that long lists are applied one batch per turn. The test runs the turns and counts the work in
 * each.
 */
class ListApplierTest {
    private static final int MAX_BATCH = ListApplier.MAX_BATCH_ENTRIES;
    private static final int NAME_COUNT = 1_500;
    private static final int[] LIST_SIZES = {2_000, 4_000, 8_000};

    /** Receives the backends and keeps them as the connection pool and the balancer do. */
    private static final class RecordingSink implements ListApplier.Sink {
        final OperatorOverrides overrides = new OperatorOverrides(null);
        final BackendRegistry registry;
        final Deque<Runnable> pendingTurns = new ArrayDeque<>();
        final ListApplier applier;
        final Map<Long, Backend> heldBackends = new TreeMap<>();
        final List<ListUpdateType> updateTypes = new ArrayList<>();
        final List<Long> appliedVersions = new ArrayList<>();
        int maxBatchSize, allAppliedCount, updatesUntilFailure;

        RecordingSink() {
            this(EntryReader::hashOfName);
        }

        RecordingSink(ToLongFunction<String> nameHash) {
            registry = new BackendRegistry(overrides, nameHash, BackendRegistry::newIdMap);
            applier = new ListApplier(registry, pendingTurns::add, this);
        }

        @Override
        public void updateBackends(ListUpdateType updateType, List<ListedBackend> listedBackends) {
            if (updatesUntilFailure > 0 && --updatesUntilFailure == 0) {
                throw new IllegalStateException("simulated failure of the sink");
            }
            updateTypes.add(updateType);
            maxBatchSize = Math.max(maxBatchSize, listedBackends.size());
            if (updateType == ListUpdateType.FULL) {
                heldBackends.clear();
            }
            for (ListedBackend listedBackend : listedBackends) {
                heldBackends.put(listedBackend.backend().id(), listedBackend.backend());
            }
            heldBackends.values().removeIf(backend -> backend.phase() == Phase.GONE);
        }

        @Override
        public void updateApplied(Update update) {
            appliedVersions.add(update.version());
        }

        @Override
        public void allUpdatesApplied() {
            allAppliedCount++;
        }

        int runPendingTurns() {
            int turnCount = 0;
            for (Runnable turn = pendingTurns.poll(); turn != null; turn = pendingTurns.poll()) {
                turn.run();
                turnCount++;
            }
            return turnCount;
        }

        /** The backends in the registry, by name. */
        Map<String, Backend> registeredBackends() {
            Map<String, Backend> backendsByName = new TreeMap<>();
            for (int i = 0; i < NAME_COUNT; i++) {
                ListedBackend listedBackend = registry.get("s-" + i);
                if (listedBackend != null) {
                    backendsByName.put(listedBackend.name(), listedBackend.backend());
                }
            }
            return backendsByName;
        }
    }

    private static Map<String, Object> entry(int number, String state, double weight) {
        Map<String, Object> entry = new HashMap<>();
        entry.put("id", "s-" + number);
        entry.put("state", state);
        entry.put("addr", "10.0.0.1:80");
        entry.put("zone", "z1");
        entry.put("kind", "k1");
        entry.put("cell", 3L);
        entry.put("weight", weight);
        entry.put("started_ms", 0L);
        return entry;
    }

    /**
     * Converts entries as the parser does: possibly before earlier updates have been applied completely.
     */
    private static Update convertedUpdate(RecordingSink sink, long version, boolean full,
        List<Map<String, Object>> entries) {
        List<Object> convertedEntries = new ArrayList<>();
        entries.forEach(entry -> convertedEntries.add(sink.registry.readEntry(entry)));
        return new Update(version, full, convertedEntries);
    }

    private static List<Map<String, Object>> entries(int from, int to, String state) {
        List<Map<String, Object>> entries = new ArrayList<>();
        for (int i = from; i < to; i++) {
            entries.add(entry(i, state, 1));
        }
        return entries;
    }

    private static RecordingSink sinkWithBackends(int count) {
        RecordingSink sink = new RecordingSink();
        sink.applier.apply(convertedUpdate(sink, 1, true, entries(0, count, "active")));
        assertEquals(List.of(ListUpdateType.FULL), sink.updateTypes,
            "the first list must be applied at once");
        sink.runPendingTurns();
        sink.updateTypes.clear();
        sink.maxBatchSize = 0;
        return sink;
    }

    @Test
    void turnsApplyAtMostOneBatch() {
        for (int size : LIST_SIZES) {
            RecordingSink sink = sinkWithBackends(size);
            sink.applier.apply(convertedUpdate(sink, 2, true, entries(0, size, "active")));
            int turnCount = sink.runPendingTurns() + 1;
            assertEquals(MAX_BATCH, sink.maxBatchSize);
            assertTrue(turnCount <= size / MAX_BATCH + 2 * (size / (16 * MAX_BATCH)) + 6, turnCount
                + " turns for entries: " + size);
            sink.applier.apply(convertedUpdate(sink, 3, false, entries(0, size / 7, "left")));
            sink.runPendingTurns();
            sink.applier.apply(convertedUpdate(sink, 4, true, entries(size, 2 * size, "active")));
            sink.runPendingTurns();
            assertEquals(MAX_BATCH, sink.maxBatchSize);
            assertEquals(size, sink.heldBackends.size());
            assertFalse(sink.updateTypes.contains(ListUpdateType.FULL),
                "a full list makes the balancer scan all its backends in one turn");
            assertEquals(List.of(1L, 2L, 3L, 4L), sink.appliedVersions);
        }
    }

    @Test
    void shortUpdatesAreAppliedAtOnce() {
        RecordingSink sink = sinkWithBackends(MAX_BATCH);
        sink.applier.apply(convertedUpdate(sink, 2, true, entries(1, MAX_BATCH, "active")));
        assertEquals(List.of(ListUpdateType.FULL), sink.updateTypes);
        assertEquals(MAX_BATCH - 1, sink.heldBackends.size());
        sink.runPendingTurns();
        sink.applier.apply(convertedUpdate(sink, 3, false, entries(1, 3, "leaving")));
        assertEquals(List.of(ListUpdateType.FULL, ListUpdateType.DELTA), sink.updateTypes);
        assertEquals(Phase.DRAINING, sink.heldBackends.get(EntryReader.hashOfName("s-1")).phase());
        assertEquals(1, sink.runPendingTurns());
        assertEquals(3, sink.allAppliedCount);
    }

    /**
     * Many short changes that arrive faster than they are applied take about as many turns as one long
     * list.
     */
    @Test
    void manyShortChangesShareBatches() {
        for (int size : LIST_SIZES) {
            RecordingSink sink = sinkWithBackends(size);
            for (int i = 0; i < size; i++) {
                sink.applier.apply(convertedUpdate(sink, 2 + i, false, entries(i, i + 1, "leaving")));
            }
            assertEquals(1, sink.updateTypes.size(), "only the first change is applied at once");
            assertEquals(2 * size > ListApplier.MAX_PENDING_CHANGES, sink.applier.isFull());
            int turnCount = sink.runPendingTurns();
            assertEquals(MAX_BATCH, sink.maxBatchSize);
            int joinedUpdates = size / ListApplier.MAX_PENDING_CHANGES + 1;
            assertTrue(turnCount <= size / MAX_BATCH + 4 * joinedUpdates + 2,
                turnCount + " turns for entries: " + size);
            assertTrue(sink.updateTypes.size() <= size / MAX_BATCH + joinedUpdates + 1,
                sink.updateTypes.size() + " batches");
            assertFalse(sink.applier.isFull());
            assertEquals(size + 1, sink.appliedVersions.size());
            assertTrue(sink.heldBackends.values().stream()
                .allMatch(backend -> backend.phase() == Phase.DRAINING));
        }
    }

    @Test
    void emptyChangesCountAsPending() {
        RecordingSink sink = sinkWithBackends(1);
        for (int version = 2; !sink.applier.isFull(); version++) {
            sink.applier.apply(convertedUpdate(sink, version, false, List.of()));
            assertTrue(version < 3 + ListApplier.MAX_PENDING_CHANGES);
        }
        sink.runPendingTurns();
        assertFalse(sink.applier.isFull());
    }

    @Test
    void updatesAreAppliedInOrder() {
        RecordingSink sink = sinkWithBackends(1_000);
        sink.applier.apply(convertedUpdate(sink, 2, true, entries(0, 1_000, "active")));
        sink.applier.apply(convertedUpdate(sink, 3, false, entries(999, 1_000, "left")));
        sink.applier.apply(convertedUpdate(sink, 4, false, entries(998, 999, "leaving")));
        assertEquals(1, sink.allAppliedCount);
        assertEquals(List.of(1L), sink.appliedVersions);
        assertEquals(1_000, sink.heldBackends.size());
        sink.runPendingTurns();
        assertEquals(2, sink.allAppliedCount);
        assertEquals(List.of(1L, 2L, 3L, 4L), sink.appliedVersions);
        assertEquals(999, sink.heldBackends.size());
        assertEquals(Phase.DRAINING, sink.registry.get("s-998").backend().phase());
    }

    /** An operator's override must not restore a backend that the list in progress omits. */
    @Test
    void overridesDoNotRestoreOmittedBackends() throws Exception {
        RecordingSink sink = sinkWithBackends(1_000);
        sink.overrides.detach("s-900");
        sink.applier.apply(convertedUpdate(sink, 2, true, entries(0, 500, "active")));
        while (sink.heldBackends.size() > 900) {
            sink.pendingTurns.poll().run();
        }
        sink.overrides.attach("s-900");
        for (int i = 500; i < 1_000; i++) {
            ListedBackend listedBackend = sink.registry.getWithOverride("s-" + i);
            assertEquals(listedBackend != null, sink.heldBackends.containsKey(
                EntryReader.hashOfName("s-" + i)),
                "a backend must be passed on exactly while the sink holds it");
        }
        sink.runPendingTurns();
        assertEquals(500, sink.heldBackends.size());
    }

    @Test
    void failedBatchDoesNotBlockOthers() {
        RecordingSink sink = sinkWithBackends(1_000);
        sink.updatesUntilFailure = 2;
        sink.applier.apply(convertedUpdate(sink, 2, false, entries(0, 1_000, "leaving")));
        sink.applier.apply(convertedUpdate(sink, 3, false, entries(0, 1, "left")));
        sink.runPendingTurns();
        assertEquals(2, sink.allAppliedCount);
        assertEquals(List.of(1L, 2L, 3L), sink.appliedVersions);
    }

    /**
     * Applies random updates in batches to the first sink and at once to the second, and returns both.
     */
    private static RecordingSink[] replayRandomUpdates(int seed, ToLongFunction<String> nameHash) {
        Random random = new Random(seed);
        RecordingSink incrementalSink = new RecordingSink(nameHash),
            immediateSink = new RecordingSink(nameHash);
        for (int version = 1; version <= 12; version++) {
            boolean full = random.nextInt(3) == 0;
            List<Map<String, Object>> entries = new ArrayList<>();
            int includedTenths = 1 + random.nextInt(9);
            for (int i = 0; i < NAME_COUNT; i++) {
                if (random.nextInt(10) < includedTenths) {
                    String[] states = {"active", "active", "active", "leaving", "left"};
                    String state = states[random.nextInt(states.length)];
                    entries.add(random.nextInt(5) > 0 ? entry(i, state, 1 + random.nextInt(2))
                        : Map.of("id", "s-" + i, "state", state)); // omitted values stay the same
                }
            }
            incrementalSink.applier.apply(convertedUpdate(incrementalSink, version, full, entries));
            immediateSink.updateBackends(full ? ListUpdateType.FULL : ListUpdateType.DELTA,
                immediateSink.registry.applyUpdate(convertedUpdate(immediateSink, version, full,
                entries).entries(), full));
            for (int remainingTurns = random.nextInt(8); remainingTurns > 0
                && !incrementalSink.pendingTurns.isEmpty(); remainingTurns--) {
                incrementalSink.pendingTurns.poll().run();
            }
        }
        incrementalSink.runPendingTurns();
        return new RecordingSink[] {incrementalSink, immediateSink};
    }

    /** Random lists and changes that arrive while others are being applied. */
    @Test
    void incrementalAndImmediateUpdatesAgree() {
        for (int seed = 1; seed <= 40; seed++) {
            RecordingSink[] sinks = replayRandomUpdates(seed, EntryReader::hashOfName);
            assertTrue(sinks[1].heldBackends.equals(sinks[0].heldBackends),
                "different backends at the sinks, seed " + seed);
            assertTrue(sinks[1].registeredBackends().equals(sinks[0].registeredBackends()),
                "different backends in the registries, seed " + seed);
            assertEquals(sinks[1].registry.size(), sinks[0].registry.size(), "seed " + seed);
            assertEquals(sinks[1].registry.isAnyBackendReady(), sinks[0].registry.isAnyBackendReady(),
                "seed " + seed);
        }
    }

    /**
     * Numbers depend on the order of the updates here, but each backend must have exactly one, which is
     * also the one passed on.
     */
    @Test
    void collidingNamesStayDistinctWhenParsedEarly() {
        for (int seed = 1; seed <= 40; seed++) {
            RecordingSink sink = replayRandomUpdates(seed, name -> EntryReader.hashOfName(name) & 0x3FF)[0];
            Map<Long, Backend> backendsById = new TreeMap<>();
            sink.registeredBackends().values().forEach(backend -> backendsById.put(backend.id(), backend));
            assertEquals(sink.registry.size(), backendsById.size(), "seed " + seed);
            assertTrue(backendsById.equals(sink.heldBackends),
                "backends at the sink differ from the registry, seed " + seed);
        }
    }
}
