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
    private static final int BATCH = ListApplier.BATCH;
    private static final int NAMES = 1_500;
    private static final int[] SIZES = {2_000, 4_000, 8_000};

    /** Receives the members and keeps them as the connection pool and the balancer do. */
    private static final class Told implements ListApplier.Sink {
        final OperatorOverrides operators = new OperatorOverrides(null);
        final BackendRegistry listing;
        final Deque<Runnable> turns = new ArrayDeque<>();
        final ListApplier applier;
        final Map<Long, Backend> holds = new TreeMap<>();
        final List<ListUpdateType> scopes = new ArrayList<>();
        final List<Long> applied = new ArrayList<>();
        int most, idle, failing;

        Told() {
            this(EntryReader::number);
        }

        Told(ToLongFunction<String> numbers) {
            listing = new BackendRegistry(operators, numbers, BackendRegistry::newIdMap);
            applier = new ListApplier(listing, turns::add, this);
        }

        @Override
        public void tell(ListUpdateType scope, List<ListedBackend> members) {
            if (failing > 0 && --failing == 0) {
                throw new IllegalStateException("simulated failure of the sink");
            }
            scopes.add(scope);
            most = Math.max(most, members.size());
            if (scope == ListUpdateType.FULL) {
                holds.clear();
            }
            for (ListedBackend member : members) {
                holds.put(member.backend().id(), member.backend());
            }
            holds.values().removeIf(backend -> backend.phase() == Phase.GONE);
        }

        @Override
        public void applied(Update update) {
            applied.add(update.version());
        }

        @Override
        public void idle() {
            idle++;
        }

        int turn() {
            int turned = 0;
            for (Runnable next = turns.poll(); next != null; next = turns.poll()) {
                next.run();
                turned++;
            }
            return turned;
        }

        /** The members in the registry, by name. */
        Map<String, Backend> listed() {
            Map<String, Backend> listed = new TreeMap<>();
            for (int i = 0; i < NAMES; i++) {
                ListedBackend member = listing.get("s-" + i);
                if (member != null) {
                    listed.put(member.name(), member.backend());
                }
            }
            return listed;
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
    private static Update update(Told by, long version, boolean full, List<Map<String, Object>> entries) {
        List<Object> read = new ArrayList<>();
        entries.forEach(entry -> read.add(by.listing.read(entry)));
        return new Update(version, full, read);
    }

    private static List<Map<String, Object>> entries(int from, int to, String state) {
        List<Map<String, Object>> entries = new ArrayList<>();
        for (int i = from; i < to; i++) {
            entries.add(entry(i, state, 1));
        }
        return entries;
    }

    private static Told listed(int count) {
        Told told = new Told();
        told.applier.apply(update(told, 1, true, entries(0, count, "active")));
        assertEquals(List.of(ListUpdateType.FULL), told.scopes, "the first list must be applied at once");
        told.turn();
        told.scopes.clear();
        told.most = 0;
        return told;
    }

    @Test
    void noTurnTakesInMoreThanABatchOfWhateverIsSaid() {
        for (int size : SIZES) {
            Told told = listed(size);
            told.applier.apply(update(told, 2, true, entries(0, size, "active")));
            int turns = told.turn() + 1;
            assertEquals(BATCH, told.most);
            assertTrue(turns <= size / BATCH + 2 * (size / (16 * BATCH)) + 6, turns + " turns for entries: "
                + size);
            told.applier.apply(update(told, 3, false, entries(0, size / 7, "left")));
            told.turn();
            told.applier.apply(update(told, 4, true, entries(size, 2 * size, "active")));
            told.turn();
            assertEquals(BATCH, told.most);
            assertEquals(size, told.holds.size());
            assertFalse(told.scopes.contains(ListUpdateType.FULL),
                "a full scope makes the balancer scan all its backends in one turn");
            assertEquals(List.of(1L, 2L, 3L, 4L), told.applied);
        }
    }

    @Test
    void whatIsShortIsAppliedAtOnceAndInOneWord() {
        Told told = listed(BATCH);
        told.applier.apply(update(told, 2, true, entries(1, BATCH, "active")));
        assertEquals(List.of(ListUpdateType.FULL), told.scopes);
        assertEquals(BATCH - 1, told.holds.size());
        told.turn();
        told.applier.apply(update(told, 3, false, entries(1, 3, "leaving")));
        assertEquals(List.of(ListUpdateType.FULL, ListUpdateType.DELTA), told.scopes);
        assertEquals(Phase.DRAINING, told.holds.get(EntryReader.number("s-1")).phase());
        assertEquals(1, told.turn());
        assertEquals(3, told.idle);
    }

    /**
     * Many short changes that arrive faster than they are applied take about as many turns as one long
     * list.
     */
    @Test
    void manyShortChangesAreToldABatchATurn() {
        for (int size : SIZES) {
            Told told = listed(size);
            for (int i = 0; i < size; i++) {
                told.applier.apply(update(told, 2 + i, false, entries(i, i + 1, "leaving")));
            }
            assertEquals(1, told.scopes.size(), "only the first change is applied at once");
            assertEquals(2 * size > ListApplier.MOST_WAITING, told.applier.isFull());
            int turns = told.turn();
            assertEquals(BATCH, told.most);
            int together = size / ListApplier.MOST_WAITING + 1;
            assertTrue(turns <= size / BATCH + 4 * together + 2, turns + " turns for entries: " + size);
            assertTrue(told.scopes.size() <= size / BATCH + together + 1, told.scopes.size() + " batches");
            assertFalse(told.applier.isFull());
            assertEquals(size + 1, told.applied.size());
            assertTrue(told.holds.values().stream().allMatch(each -> each.phase() == Phase.DRAINING));
        }
    }

    @Test
    void whatChangesNothingMayNotWaitWithoutEndEither() {
        Told told = listed(1);
        for (int version = 2; !told.applier.isFull(); version++) {
            told.applier.apply(update(told, version, false, List.of()));
            assertTrue(version < 3 + ListApplier.MOST_WAITING);
        }
        told.turn();
        assertFalse(told.applier.isFull());
    }

    @Test
    void whatIsSaidMeanwhileComesAfterIt() {
        Told told = listed(1_000);
        told.applier.apply(update(told, 2, true, entries(0, 1_000, "active")));
        told.applier.apply(update(told, 3, false, entries(999, 1_000, "left")));
        told.applier.apply(update(told, 4, false, entries(998, 999, "leaving")));
        assertEquals(1, told.idle);
        assertEquals(List.of(1L), told.applied);
        assertEquals(1_000, told.holds.size());
        told.turn();
        assertEquals(2, told.idle);
        assertEquals(List.of(1L, 2L, 3L, 4L), told.applied);
        assertEquals(999, told.holds.size());
        assertEquals(Phase.DRAINING, told.listing.get("s-998").backend().phase());
    }

    /** An operator's change must not restore a member that the list in progress leaves out. */
    @Test
    void whatAnOperatorSaysMeanwhileBringsNobodyBack() throws Exception {
        Told told = listed(1_000);
        told.operators.detach("s-900");
        told.applier.apply(update(told, 2, true, entries(0, 500, "active")));
        while (told.holds.size() > 900) {
            told.turns.poll().run();
        }
        told.operators.attach("s-900");
        for (int i = 500; i < 1_000; i++) {
            ListedBackend member = told.listing.operated("s-" + i);
            assertEquals(member != null, told.holds.containsKey(EntryReader.number("s-" + i)),
                "a member must be passed on exactly while the sink holds it");
        }
        told.turn();
        assertEquals(500, told.holds.size());
    }

    @Test
    void aFaultInOneBatchDoesNotHoldUpTheRest() {
        Told told = listed(1_000);
        told.failing = 2;
        told.applier.apply(update(told, 2, false, entries(0, 1_000, "leaving")));
        told.applier.apply(update(told, 3, false, entries(0, 1, "left")));
        told.turn();
        assertEquals(2, told.idle);
        assertEquals(List.of(1L, 2L, 3L), told.applied);
    }

    /**
     * Applies random updates in batches to the first recorder and at once to the second, and returns both.
     */
    private static Told[] played(int seed, ToLongFunction<String> numbers) {
        Random random = new Random(seed);
        Told told = new Told(numbers), atOnce = new Told(numbers);
        for (int version = 1; version <= 12; version++) {
            boolean full = random.nextInt(3) == 0;
            List<Map<String, Object>> some = new ArrayList<>();
            int part = 1 + random.nextInt(9);
            for (int i = 0; i < NAMES; i++) {
                if (random.nextInt(10) < part) {
                    String[] states = {"active", "active", "active", "leaving", "left"};
                    String state = states[random.nextInt(states.length)];
                    some.add(random.nextInt(5) > 0 ? entry(i, state, 1 + random.nextInt(2))
                        : Map.of("id", "s-" + i, "state", state)); // omitted values stay the same
                }
            }
            told.applier.apply(update(told, version, full, some));
            atOnce.tell(full ? ListUpdateType.FULL : ListUpdateType.DELTA,
                atOnce.listing.take(update(atOnce, version, full, some).entries(), full));
            for (int turns = random.nextInt(8); turns > 0 && !told.turns.isEmpty(); turns--) {
                told.turns.poll().run();
            }
        }
        told.turn();
        return new Told[] {told, atOnce};
    }

    /** Random lists and changes that arrive while others are being applied. */
    @Test
    void inTheEndAllHoldWhatOneWhoTakesAllInAtOnceHolds() {
        for (int seed = 1; seed <= 40; seed++) {
            Told[] both = played(seed, EntryReader::number);
            assertTrue(both[1].holds.equals(both[0].holds), "different members at the sinks, seed " + seed);
            assertTrue(both[1].listed().equals(both[0].listed()),
                "different members in the registries, seed " + seed);
            assertEquals(both[1].listing.size(), both[0].listing.size(), "seed " + seed);
            assertEquals(both[1].listing.anyReady(), both[0].listing.anyReady(), "seed " + seed);
        }
    }

    /**
     * Numbers depend on the order of the updates here, but each member must have exactly one, which is also
     * the one passed on.
     */
    @Test
    void namesThatFallTogetherAreToldApartAlsoWhereTheyAreReadEarly() {
        for (int seed = 1; seed <= 40; seed++) {
            Told told = played(seed, name -> EntryReader.number(name) & 0x3FF)[0];
            Map<Long, Backend> listed = new TreeMap<>();
            told.listed().values().forEach(backend -> listed.put(backend.id(), backend));
            assertEquals(told.listing.size(), listed.size(), "seed " + seed);
            assertTrue(listed.equals(told.holds), "members at the sink differ from the registry, seed "
                + seed);
        }
    }
}
