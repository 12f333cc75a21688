package dockrelay.proxy;

import dockrelay.Balancer.ListUpdateType;
import dockrelay.proxy.RequestTable.ListedBackend;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Applies what discovery says, in its order, a batch in each turn of the event loop, so that requests have
 * theirs in between: a long list in many of them, and many short changes that wait in one. What is short and
 * comes by itself is applied at once, and so is the first list of all, as nothing can be served before it.
 */
final class ListApplier {
    /** In a batch: 2 to 4 ms of the loop at the most where all have changed (ListProbe, 86,000 backends). */
    static final int BATCH = 256;
    /** Changes that wait at the most, or little more, and are applied together: sorted they cost least. */
    static final int MOST_WAITING = 16 * BATCH;

    /** Hears what is to be told, and when all of an update was. */
    interface Sink {
        void tell(ListUpdateType scope, List<ListedBackend> members);

        void applied(ListParser.Update update);

        /** Nothing is left to be applied. */
        void idle();
    }

    private final BackendRegistry listing;
    private final Executor nextTurn;
    private final Sink sink;
    private final Deque<ListParser.Update> waiting = new ArrayDeque<>();
    private final List<ListParser.Update> current = new ArrayList<>(); // those that are being applied
    private BackendRegistry.Taking taking;
    private int weightWaiting;
    private boolean busy; // this turn has had its batch

    /** The executor runs a task in a later turn of the loop, after what has come meanwhile. */
    ListApplier(BackendRegistry listing, Executor nextTurn, Sink sink) {
        this.listing = listing;
        this.nextTurn = nextTurn;
        this.sink = sink;
    }

    /** Whether so much waits that no more should be read for now. */
    boolean isFull() {
        return weightWaiting >= MOST_WAITING;
    }

    /** Applies it at once, or begins to, or does so once what came before is applied. */
    void apply(ListParser.Update update) {
        waiting.add(update);
        weightWaiting += weight(update);
        if (!busy) {
            busy = true;
            begin();
        }
    }

    private void begin() {
        List<Object> entries = next();
        boolean full = current.get(0).full();
        if (entries.size() <= BATCH && (!full || listing.size() <= BATCH) || listing.size() == 0) {
            tell(full ? ListUpdateType.FULL : ListUpdateType.DELTA, listing.take(entries, full));
            ended();
        } else {
            taking = listing.takingInParts(entries, full);
            nextTurn.execute(this::turn);
        }
    }

    /** The next update, or as many changes as may be applied together. */
    private List<Object> next() {
        ListParser.Update update = take();
        List<Object> entries = update.entries();
        while (!update.full() && joins(entries.size())) {
            entries = entries == update.entries() ? new ArrayList<>(entries) : entries;
            entries.addAll(take().entries());
        }
        return entries;
    }

    private boolean joins(int entries) {
        ListParser.Update next = waiting.peek();
        return next != null && !next.full() && entries + next.entries().size() <= MOST_WAITING;
    }

    private ListParser.Update take() {
        ListParser.Update update = waiting.poll();
        weightWaiting -= weight(update);
        current.add(update);
        return update;
    }

    /** What changes nothing takes its place as well. */
    private static int weight(ListParser.Update update) {
        return 1 + update.entries().size();
    }

    private void tell(ListUpdateType scope, List<ListedBackend> members) {
        try {
            sink.tell(scope, members);
        } catch (RuntimeException e) {
            Log.error("discovery", e); // guards against one bad batch holding up all that comes after it
        }
    }

    private void turn() {
        List<ListedBackend> members = taking.next(BATCH);
        if (!members.isEmpty()) {
            tell(ListUpdateType.DELTA, members);
        }
        if (taking.done()) {
            taking = null;
            ended();
        } else {
            nextTurn.execute(this::turn);
        }
    }

    private void ended() {
        current.forEach(sink::applied);
        current.clear();
        nextTurn.execute(() -> {
            if (waiting.isEmpty()) {
                busy = false;
                sink.idle();
            } else {
                begin();
            }
        });
    }
}
