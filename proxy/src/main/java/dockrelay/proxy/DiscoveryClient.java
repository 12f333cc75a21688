package dockrelay.proxy;

import dockrelay.Balancer.ListUpdateType;
import dockrelay.proxy.Counters.Count;
import dockrelay.proxy.DiscoveryWatch.EndReason;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a watch on the list of backends. In push mode, an agent on this host serves the list and the watch
 * is opened at once; in ask mode, the proxies share a discovery service and the watch is opened when the
 * balancer first asks for it. Afterwards it is reopened whenever it ends, within the times in {@link
 * DiscoveryTimeouts} and independently of the balancer, which is only notified of failures. Runs on the
 * event loop.
 */
final class DiscoveryClient implements DiscoveryWatch.Listener, ListApplier.Sink {
    private static final long FIRST_PUSH_BACKOFF_MILLIS = 50;
    /**
     * A pushed list counts as known as soon as the local agent has it, so retries have to stay well within
     * the grace period of a drain.
     */
    private static final long MAX_PUSH_BACKOFF_MILLIS = 500;
    /**
     * After this many consecutive watches with an older version, discovery has restarted its version
     * numbers and is not merely behind.
     */
    private static final int MAX_OUTDATED_WATCHES = 5;
    /** Maximum number of concurrent calls; a call that stays unanswered is replaced by the next one. */
    private static final int MAX_CONCURRENT_CALLS = 3;

    private final Bootstrap bootstrap;
    private final EventLoop eventLoop;
    private InetSocketAddress address;
    private final boolean askMode;
    private final RequestTable requestTable;
    private final BackendRegistry registry;
    private final ListApplier applier;
    private final Counters counters;
    private volatile boolean anyBackendReady;
    private long listVersion = -1;
    private final CallPacing pacing; // for ask mode
    private final Backoff pushBackoff; // for push mode
    private final CountDownLatch firstListApplied = new CountDownLatch(1);
    private final List<DiscoveryWatch> pendingCalls = new ArrayList<>();
    /** Updates of truncated answers that have not been applied yet. */
    private final Set<ListParser.Update> removalUpdates = Collections.newSetFromMap(new IdentityHashMap<>());
    private DiscoveryWatch watch; // the connection that has been answered, or null
    private DiscoveryWatch standbyConnection; // connected in advance for the next call, or null
    private DiscoveryWatch lastSender; // whose first object has been received
    private long lastCallNanos;
    private long lastConfirmedNanos = System.nanoTime(); // when discovery last sent a change or a heartbeat
    private int callCount;
    private int timerGeneration, outdatedWatches; // timers of an earlier round are ignored
    private boolean callBesideWatchDue; // is due because the watch has stalled in the middle of an object
    private boolean subscribed, closed;

    DiscoveryClient(Bootstrap template, EventLoop eventLoop, Config config, RequestTable requestTable,
                    OperatorOverrides operators, Counters counters) {
        this.counters = counters;
        counters.registerGauge("list-version", () -> listVersion);
        counters.registerGauge("list-unconfirmed-ms",
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastConfirmedNanos));
        this.registry = new BackendRegistry(operators);
        // Not execute(): a task submitted from within the loop might run before the next poll of the
        // sockets.
        this.applier = new ListApplier(registry, task -> eventLoop.schedule(task, 0, TimeUnit.NANOSECONDS),
            this);
        this.askMode = config.settings().mustSubscribe();
        long subscribeWithinMillis =
            TimeUnit.MICROSECONDS.toMillis(config.settings().rules().subscribeWithin());
        this.pacing = new CallPacing(askMode ? config.settings().proxies() : 1, config.settings().me(),
            subscribeWithinMillis, config.seed());
        this.pushBackoff = new Backoff(FIRST_PUSH_BACKOFF_MILLIS, MAX_PUSH_BACKOFF_MILLIS, config.seed());
        this.eventLoop = eventLoop;
        this.address = config.discoveryAddress();
        this.requestTable = requestTable;
        this.bootstrap = template;
    }

    /**
     * Passes the cached list to the balancer as its first list, and starts to watch. A successor takes over
     * from a process of the same proxy that is still running.
     */
    void start(KnownList cachedList, boolean successor) {
        listVersion = cachedList.version();
        updateBackends(ListUpdateType.CACHED, registry.applyUpdate(cachedList.takeEntries(), true));
        if (askMode) {
            long waitMillis = successor ? pacing.waitBeforeFirstCallOfSuccessor()
                : pacing.waitBeforeFirstCall();
            eventLoop.schedule(this::startWatching, waitMillis, TimeUnit.MILLISECONDS);
        } else {
            startWatching();
        }
    }

    /**
     * Blocks another thread until the first list arrives from discovery, which may be down. Returns whether
     * it arrived in time.
     */
    boolean awaitFirstList(long timeoutMillis) throws InterruptedException {
        return firstListApplied.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    void close() {
        closed = true;
        closeAll("the process is stopping");
    }

    /** Whether any known backend may receive requests. Thread-safe. */
    boolean isAnyBackendReady() {
        return anyBackendReady;
    }

    /** Applies an operator's change to a backend. */
    void overrideChanged(String backendName) {
        RequestTable.ListedBackend listedBackend = registry.getWithOverride(backendName);
        if (listedBackend != null) {
            updateBackends(ListUpdateType.OPERATED, List.of(listedBackend));
        }
    }

    @Override
    public void updateBackends(ListUpdateType updateType, List<RequestTable.ListedBackend> listedBackends) {
        requestTable.updateBackends(updateType, listedBackends);
        anyBackendReady = registry.isAnyBackendReady();
    }

    /**
     * Called when the balancer wants to follow the list. In a large fleet it does not decide when to begin:
     * {@link CallPacing} does.
     */
    void subscribe() {
        if (!pacing.schedulesFirstCall()) {
            startWatching();
        }
    }

    /** Starts to follow the list from the current version, unless that has already happened. */
    private void startWatching() {
        if (!subscribed) {
            restartCalls();
        }
    }

    /**
     * Switches to another address and requests the whole list there, because its version numbers may be
     * unrelated.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            Log.write("discovery", "address changed from " + address + " to " + newAddress);
            address = newAddress;
            listVersion = -1;
            resetBackoff();
            subscribed = true;
            closeAll("the address of discovery has changed");
            scheduleCall(askMode ? pacing.waitAfterMove() : 0);
        }
    }

    private void abandon(DiscoveryWatch call, String reason) {
        counters.increment(Count.DISCOVERY_ABANDONED);
        Log.write("discovery", call.describe() + ", abandoned: " + reason);
        call.close();
    }

    private void closeAll(String reason) {
        pendingCalls.forEach(call -> abandon(call, reason));
        pendingCalls.clear();
        closeStandbyConnection();
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    /** Replaces all open calls and the watch by a new call at once. */
    private void restartCalls() {
        if (!closed) {
            subscribed = true;
            closeAll("replaced by a new call");
            startCall();
        }
    }

    private void startCall() {
        lastCallNanos = System.nanoTime();
        if (pendingCalls.size() >= MAX_CONCURRENT_CALLS) {
            abandon(pendingCalls.remove(0), "too many concurrent calls");
        }
        DiscoveryWatch call = standbyConnection == null ? new DiscoveryWatch(bootstrap, address, this)
            : standbyConnection;
        standbyConnection = null;
        pendingCalls.add(call);
        counters.increment(Count.DISCOVERY_CALLS);
        call.requestChanges(listVersion, ++callCount);
        long timeoutMillis = pacing.answerTimeout();
        scheduleCall(timeoutMillis);
        scheduleStandbyConnection(timeoutMillis - DiscoveryTimeouts.MAX_CONNECT_DELAY_MILLIS);
    }

    /**
     * Connects in advance for the next call, so that it can be sent at once if the current one is not
     * answered.
     */
    private void scheduleStandbyConnection(long delayMillis) {
        int generation = timerGeneration;
        eventLoop.schedule(() -> {
            if (generation == timerGeneration && !closed && standbyConnection == null) {
                standbyConnection = new DiscoveryWatch(bootstrap, address, this);
            }
        }, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void resetBackoff() {
        pushBackoff.reset();
        pacing.reset();
    }

    private void closeStandbyConnection() {
        if (standbyConnection != null) {
            standbyConnection.close();
            standbyConnection = null;
        }
    }

    /**
     * Schedules the next call, unless a call is answered before. Postpones it while data is arriving,
     * because a long list takes time to transfer.
     */
    private void scheduleCall(long delayMillis) {
        int generation = ++timerGeneration;
        eventLoop.schedule(() -> {
            if (generation == timerGeneration && !closed
                && pendingCalls.stream().anyMatch(DiscoveryWatch::isProgressing)) {
                scheduleCall(DiscoveryTimeouts.LATENESS_TOLERANCE_MILLIS);
            } else if (generation == timerGeneration && !closed) {
                startCall();
            }
        }, delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void watchEnded(DiscoveryWatch endedCall, String reason) {
        if (endedCall == standbyConnection) {
            standbyConnection = null; // the next call opens its own connection
            return;
        }
        boolean wasPending = pendingCalls.remove(endedCall);
        if (closed || !wasPending && endedCall != watch) {
            return;
        }
        boolean wasWatch = endedCall == watch;
        if (wasPending) {
            counters.increment(Count.DISCOVERY_FAILURES);
        }
        Log.write("discovery", endedCall.describe() + (wasWatch ? ", the watch ended: " : ", failed: ")
            + reason + "; other pending calls: " + pendingCalls.size());
        watch = wasWatch ? null : watch;
        if (endedCall.isTruncated()) {
            counters.increment(Count.DISCOVERY_BROKEN);
            applyRemovals(endedCall.partialUpdate());
        }
        if (!pendingCalls.isEmpty() && (wasWatch || !endedCall.isTruncated())) {
            return;
        }
        long waitMillis = askMode ? askModeWait(endedCall, wasWatch) : pushModeWait(endedCall, wasWatch);
        Log.write("discovery", "the next call is due in " + waitMillis + " ms");
        scheduleCall(waitMillis);
        if (askMode) {
            requestTable.updateBackends(ListUpdateType.FAILED, List.of());
        }
    }

    private long askModeWait(DiscoveryWatch endedCall, boolean wasWatch) {
        if (endedCall.isAnswered()) {
            pacing.recordAnswer(endedCall.answerLatencyMillis());
        }
        if (endedCall.isTruncated()) {
            return pacing.waitAfterTruncatedAnswer();
        } else if (wasWatch && endedCall.endReason() == EndReason.SILENT) {
            return pacing.waitAfterSilence();
        } else if (wasWatch) {
            return pacing.waitAfterWatchEnd(endedCall.endReason() == EndReason.CLOSED);
        }
        return pacing.waitAfterFailure(millisSinceLastCall(), endedCall.endReason() == EndReason.REFUSED);
    }

    private long pushModeWait(DiscoveryWatch endedCall, boolean wasWatch) {
        if (wasWatch) {
            // A silence was detected late already, so there is no further wait.
            return endedCall.endReason() == EndReason.SILENT ? 0 : pushBackoff.nextWait();
        }
        return DiscoveryTimeouts.remainingWait(millisSinceLastCall(), pushBackoff.nextWait());
    }

    private long millisSinceLastCall() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastCallNanos);
    }

    /**
     * Applies the removals and drains of a truncated answer, which can only take backends out of use.
     * Everything else, the version included, waits for a complete answer.
     */
    private void applyRemovals(ListParser.Update partialUpdate) {
        if (partialUpdate == null || partialUpdate.version() <= listVersion) {
            return;
        }
        List<Object> removals = partialUpdate.entries().stream().filter(EntryReader::isRemoval).toList();
        if (!removals.isEmpty()) {
            ListParser.Update update = new ListParser.Update(partialUpdate.version(), false, removals);
            removalUpdates.add(update);
            applier.apply(update);
        }
    }

    /**
     * Handles a version older than the current one: a discovery that is only behind catches up; otherwise
     * calls again, and finally requests the whole list.
     */
    private void scheduleRetryForNewerVersion() {
        int generation = timerGeneration;
        outdatedWatches++;
        eventLoop.schedule(() -> {
            if (generation == timerGeneration && outdatedWatches > 0 && !closed) {
                listVersion = outdatedWatches < MAX_OUTDATED_WATCHES ? listVersion : -1;
                restartCalls();
            }
        }, askMode ? pacing.waitWhileOutdated() : DiscoveryTimeouts.DELIVERY_DEADLINE_MILLIS,
            TimeUnit.MILLISECONDS);
    }

    /**
     * The first call that is answered becomes the watch; concurrent calls are abandoned. Returns whether
     * the watch is new.
     */
    private boolean adoptAsWatch(DiscoveryWatch answeredCall) {
        lastConfirmedNanos = System.nanoTime();
        if (answeredCall == watch && pendingCalls.isEmpty()) {
            timerGeneration += callBesideWatchDue ? 1 : 0; // it continues, so no further call is needed
            callBesideWatchDue = false;
            return false;
        }
        callBesideWatchDue = false;
        boolean isNew = answeredCall != watch;
        if (isNew) {
            Log.write("discovery", answeredCall.describe() + ", answered");
            pacing.recordAnswer(answeredCall.answerLatencyMillis());
            pendingCalls.remove(answeredCall);
        }
        pendingCalls.forEach(call -> abandon(call, "another call was answered"));
        pendingCalls.clear();
        closeStandbyConnection();
        if (isNew && watch != null) {
            watch.close(); // it had stalled in the middle of an object
        }
        watch = answeredCall;
        timerGeneration++;
        return isNew;
    }

    @Override
    public void watchStalled(DiscoveryWatch stalledCall) {
        boolean noOtherCall = stalledCall == watch ? pendingCalls.isEmpty()
            : pendingCalls.size() == 1 && pendingCalls.contains(stalledCall);
        if (!closed && noOtherCall) {
            long waitMillis = askMode ? pacing.waitAfterTruncatedAnswer() : pushBackoff.nextWait();
            Log.write("discovery", stalledCall.describe() + ", stalled; the next call is due in "
                + waitMillis + " ms");
            callBesideWatchDue = stalledCall == watch;
            scheduleCall(waitMillis);
        }
    }

    @Override
    public void heartbeatReceived(DiscoveryWatch sender) {
        if (adoptAsWatch(sender)) {
            Log.write("discovery", "no changes since version " + listVersion);
        }
    }

    @Override
    public Object readEntry(Map<?, ?> entry) {
        return registry.readEntry(entry);
    }

    @Override
    public void updateReceived(DiscoveryWatch sender, ListParser.Update update) {
        long receivedVersion = update.version();
        adoptAsWatch(sender);
        boolean firstFromSender = sender != lastSender;
        lastSender = sender;
        if (receivedVersion < listVersion) { // the newer version stays in force
            if (firstFromSender) {
                Log.write("discovery", "version " + receivedVersion + " is older than " + listVersion
                    + ", which is kept");
                scheduleRetryForNewerVersion();
            }
            return;
        }
        outdatedWatches = 0;
        resetBackoff();
        listVersion = receivedVersion; // the next call need not fetch it again
        applier.apply(update);
        if (applier.isFull()) {
            sender.setReading(false);
        }
    }

    @Override
    public void updateApplied(ListParser.Update update) {
        if (removalUpdates.remove(update)) {
            Log.write("discovery", "removals of a truncated answer, entries " + update.entries().size());
            return;
        }
        Log.write("discovery", (update.full() ? "list of version " : "changes to version ") + update.version()
            + ", entries " + update.entries().size());
        firstListApplied.countDown();
    }

    @Override
    public void allUpdatesApplied() {
        if (watch != null) {
            watch.setReading(true);
        }
    }
}
