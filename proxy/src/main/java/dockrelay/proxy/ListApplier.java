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
     * (BackendListBenchmark, 86,000 backends).
     */
    static final int MAX_BATCH_ENTRIES = 256;
    /**
     * Approximate maximum of pending changes. They are applied together, because applying them in sorted
     * order is cheapest.
     */
    static final int MAX_PENDING_CHANGES = 16 * MAX_BATCH_ENTRIES;

    /** Receives the changed backends, and is notified when an update has been applied completely. */
    interface Sink {
        /** Passes on changed backends. */
        void updateBackends(ListUpdateType updateType, List<ListedBackend> listedBackends);

        /** Called once for each update, in order. */
        void updateApplied(ListParser.Update update);

        /** All pending updates have been applied. */
        void allUpdatesApplied();
    }

    private final BackendRegistry registry;
    private final Executor nextTurnExecutor;
    private final Sink sink;
    private final Deque<ListParser.Update> pendingUpdates = new ArrayDeque<>();
    // updates that are being applied
    private final List<ListParser.Update> updatesInProgress = new ArrayList<>();
    private BackendRegistry.UpdateApplication updateApplication;
    private int pendingWeight;
    private boolean busy; // whether this turn has processed its batch

    /** The executor must run a task in a later turn of the event loop, after pending socket events. */
    ListApplier(BackendRegistry registry, Executor nextTurnExecutor, Sink sink) {
        this.registry = registry;
        this.nextTurnExecutor = nextTurnExecutor;
        this.sink = sink;
    }

    /** Whether the number of pending changes has reached the limit at which reading should pause. */
    boolean isFull() {
        return pendingWeight >= MAX_PENDING_CHANGES;
    }

    /** Applies the update at once, or queues it behind those that are being applied. */
    void apply(ListParser.Update update) {
        pendingUpdates.add(update);
        pendingWeight += weight(update);
        if (!busy) {
            busy = true;
            startNextUpdate();
        }
    }

    private void startNextUpdate() {
        List<Object> entries = takeNextEntries();
        boolean full = updatesInProgress.get(0).full();
        if (entries.size() <= MAX_BATCH_ENTRIES && (!full || registry.size() <= MAX_BATCH_ENTRIES)
            || registry.size() == 0) {
            notifySink(full ? ListUpdateType.FULL : ListUpdateType.DELTA,
                registry.applyUpdate(entries, full));
            finishUpdates();
        } else {
            updateApplication = registry.startUpdate(entries, full);
            nextTurnExecutor.execute(this::runTurn);
        }
    }

    /** Takes the next update, or as many changes as may be applied together. */
    private List<Object> takeNextEntries() {
        ListParser.Update update = pollUpdate();
        List<Object> entries = update.entries();
        while (!update.full() && canJoin(entries.size())) {
            entries = entries == update.entries() ? new ArrayList<>(entries) : entries;
            entries.addAll(pollUpdate().entries());
        }
        return entries;
    }

    private boolean canJoin(int entryCount) {
        ListParser.Update nextUpdate = pendingUpdates.peek();
        return nextUpdate != null && !nextUpdate.full()
            && entryCount + nextUpdate.entries().size() <= MAX_PENDING_CHANGES;
    }

    private ListParser.Update pollUpdate() {
        ListParser.Update update = pendingUpdates.poll();
        pendingWeight -= weight(update);
        updatesInProgress.add(update);
        return update;
    }

    /** Updates without entries count as well, so that they cannot pile up without limit. */
    private static int weight(ListParser.Update update) {
        return 1 + update.entries().size();
    }

    private void notifySink(ListUpdateType updateType, List<ListedBackend> listedBackends) {
        try {
            sink.updateBackends(updateType, listedBackends);
        } catch (RuntimeException e) {
            Log.error("discovery", e); // one bad batch must not block the following ones
        }
    }

    private void runTurn() {
        List<ListedBackend> listedBackends = updateApplication.applyNext(MAX_BATCH_ENTRIES);
        if (!listedBackends.isEmpty()) {
            notifySink(ListUpdateType.DELTA, listedBackends);
        }
        if (updateApplication.isDone()) {
            updateApplication = null;
            finishUpdates();
        } else {
            nextTurnExecutor.execute(this::runTurn);
        }
    }

    private void finishUpdates() {
        updatesInProgress.forEach(sink::updateApplied);
        updatesInProgress.clear();
        nextTurnExecutor.execute(() -> {
            if (pendingUpdates.isEmpty()) {
                busy = false;
                sink.allUpdatesApplied();
            } else {
                startNextUpdate();
            }
        });
    }
}
