package dockrelay.proxy;

import dockrelay.Balancer.ListUpdateType;
import dockrelay.proxy.RequestTable.ListedBackend;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Applies updates from discovery in order, one batch per turn of the event loop, so that requests are
 * processed in between: a long list takes many turns, and many short changes share one. A single short
 * update is applied at once, and so is the very first list, because nothing can be served before it.
 */
final class ListApplier {
    /**
     * Maximum entries per batch: at most 2 to 4 ms of the event loop if all entries have changed
     * (ListProbe, 86,000 backends).
     */
    static final int BATCH = 256;
    /**
     * Approximate maximum of pending changes. They are applied together, because applying them in sorted
     * order is cheapest.
     */
    static final int MOST_WAITING = 16 * BATCH;

    /** Receives the changed members, and is notified when an update has been applied completely. */
    interface Sink {
        /** Passes on changed members. */
        void tell(ListUpdateType scope, List<ListedBackend> members);

        /** Called once for each update, in order. */
        void applied(ListParser.Update update);

        /** All pending updates have been applied. */
        void idle();
    }

    private final BackendRegistry listing;
    private final Executor nextTurn;
    private final Sink sink;
    private final Deque<ListParser.Update> waiting = new ArrayDeque<>();
    private final List<ListParser.Update> current = new ArrayList<>(); // updates that are being applied
    private BackendRegistry.Taking taking;
    private int weightWaiting;
    private boolean busy; // whether this turn has processed its batch

    /** The executor must run a task in a later turn of the event loop, after pending socket events. */
    ListApplier(BackendRegistry listing, Executor nextTurn, Sink sink) {
        this.listing = listing;
        this.nextTurn = nextTurn;
        this.sink = sink;
    }

    /** Whether so many changes are pending that reading should pause. */
    boolean isFull() {
        return weightWaiting >= MOST_WAITING;
    }

    /** Applies the update at once, or queues it behind those that are being applied. */
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

    /** Takes the next update, or as many changes as may be applied together. */
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

    /** Updates without entries count as well, so that they cannot pile up without limit. */
    private static int weight(ListParser.Update update) {
        return 1 + update.entries().size();
    }

    private void tell(ListUpdateType scope, List<ListedBackend> members) {
        try {
            sink.tell(scope, members);
        } catch (RuntimeException e) {
            Log.error("discovery", e); // one bad batch must not hold up the following ones
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
