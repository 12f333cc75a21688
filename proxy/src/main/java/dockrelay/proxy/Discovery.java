package dockrelay.proxy;

import dockrelay.Balancer.ListUpdateType;
import dockrelay.proxy.Counters.Count;
import dockrelay.proxy.DiscoveryWatch.Ending;
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
 * Keeps a watch on the list of backends. If lists are pushed, the watch is opened at once; if discovery is
 * polled, it is opened when the balancer first asks for it. Afterwards it is reopened whenever it ends,
 * within the times in {@link DiscoveryTimeouts} and independently of the balancer, which is only notified
 * of failures.
 */
final class Discovery implements DiscoveryWatch.Listener, ListApplier.Sink {
    private static final long FIRST_BACKOFF_MILLIS = 50;
    /**
     * A pushed list counts as known as soon as the local agent has it, so retries have to stay well within
     * the grace period of a drain.
     */
    private static final long MOST_BACKOFF_MILLIS = 500;
    /**
     * After this many consecutive watches with an older version, discovery has restarted its version
     * numbers and is not merely behind.
     */
    private static final int MOST_BEHIND = 5;
    /** Maximum number of concurrent calls; a call that stays unanswered is replaced by the next one. */
    private static final int MOST_BESIDE = 3;

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private InetSocketAddress address;
    private final boolean asked;
    private final RequestTable table;
    private final BackendRegistry listing;
    private final ListApplier applier;
    private final Counters counters;
    private volatile boolean anyReady;
    private long version = -1;
    private final CallPacing pacing; // if discovery is polled
    private final Backoff pushedBackoff; // if lists are pushed by an agent on this host
    private final CountDownLatch listed = new CountDownLatch(1);
    private final List<DiscoveryWatch> trying = new ArrayList<>();
    /** Updates of truncated answers that have not been applied yet. */
    private final Set<ListParser.Update> removalsOnly = Collections.newSetFromMap(new IdentityHashMap<>());
    private DiscoveryWatch watch; // the connection that has been answered, or null
    private DiscoveryWatch standby; // connected in advance for the next call, or null
    private DiscoveryWatch lastSender; // whose first object has been received
    private long triedAt;
    private long confirmedAt = System.nanoTime(); // when discovery last sent a change or a heartbeat
    private int calls;
    private int round, behind; // timers of an earlier round are ignored
    private boolean callBesideWatch; // is due because the watch has stalled in the middle of an object
    private boolean following, closed;

    Discovery(Bootstrap template, EventLoop loop, Config config, RequestTable table, OperatorOverrides operators,
              Counters counters) {
        this.counters = counters;
        counters.registerGauge("list-version", () -> version);
        counters.registerGauge("list-unconfirmed-ms",
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - confirmedAt));
        this.listing = new BackendRegistry(operators);
        // Not execute(): a task submitted from within the loop might run before the next poll of the
        // sockets.
        this.applier = new ListApplier(listing, task -> loop.schedule(task, 0, TimeUnit.NANOSECONDS), this);
        this.asked = config.settings().mustSubscribe();
        long within = TimeUnit.MICROSECONDS.toMillis(config.settings().rules().subscribeWithin());
        this.pacing = new CallPacing(asked ? config.settings().proxies() : 1, config.settings().me(), within,
            config.seed());
        this.pushedBackoff = new Backoff(FIRST_BACKOFF_MILLIS, MOST_BACKOFF_MILLIS, config.seed());
        this.loop = loop;
        this.address = config.discovery();
        this.table = table;
        this.bootstrap = template;
    }

    /**
     * Passes the cached list to the balancer as its first list, and starts to watch. A successor takes over
     * from a process of the same proxy that is still running.
     */
    void start(KnownList cached, boolean successor) {
        version = cached.version();
        tell(ListUpdateType.CACHED, listing.take(cached.take(), true));
        if (asked) {
            long wait = successor ? pacing.firstCallOfSuccessor() : pacing.firstCall();
            loop.schedule(this::follow, wait, TimeUnit.MILLISECONDS);
        } else {
            follow();
        }
    }

    /**
     * Blocks another thread until the first list arrives from discovery, which may be down. Returns whether
     * it arrived in time.
     */
    boolean awaitList(long millis) throws InterruptedException {
        return listed.await(millis, TimeUnit.MILLISECONDS);
    }

    void close() {
        closed = true;
        dropAll("the process is stopping");
    }

    /** Whether any known backend may receive requests. Thread-safe. */
    boolean anyReady() {
        return anyReady;
    }

    /** Applies an operator's change to a backend. */
    void operated(String name) {
        RequestTable.ListedBackend member = listing.operated(name);
        if (member != null) {
            tell(ListUpdateType.OPERATED, List.of(member));
        }
    }

    @Override
    public void tell(ListUpdateType scope, List<RequestTable.ListedBackend> members) {
        table.updateBackends(scope, members);
        anyReady = listing.anyReady();
    }

    /**
     * Called when the balancer wants to follow the list. In a large fleet it does not decide when to begin:
     * {@link CallPacing} does.
     */
    void subscribe() {
        if (!pacing.decidesFirstCall()) {
            follow();
        }
    }

    /** Starts to follow the list from the current version, unless that has already happened. */
    private void follow() {
        if (!following) {
            renew();
        }
    }

    /**
     * Switches to another address and requests the whole list there, because its version numbers may be
     * unrelated.
     */
    void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            Log.write("discovery", "address changed from " + address + " to " + to);
            address = to;
            version = -1;
            resetWaits();
            following = true;
            dropAll("the address of discovery has changed");
            attemptIn(asked ? pacing.afterMove() : 0);
        }
    }

    private void abandon(DiscoveryWatch call, String why) {
        counters.increment(Count.DISCOVERY_ABANDONED);
        Log.write("discovery", call.describe() + ", abandoned: " + why);
        call.close();
    }

    private void dropAll(String why) {
        trying.forEach(call -> abandon(call, why));
        trying.clear();
        dropStandby();
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    /** Replaces all open calls and the watch by a new call at once. */
    private void renew() {
        if (!closed) {
            following = true;
            dropAll("replaced by a new call");
            attempt();
        }
    }

    private void attempt() {
        triedAt = System.nanoTime();
        if (trying.size() >= MOST_BESIDE) {
            abandon(trying.remove(0), "too many concurrent calls");
        }
        DiscoveryWatch call = standby == null ? new DiscoveryWatch(bootstrap, address, this) : standby;
        standby = null;
        trying.add(call);
        counters.increment(Count.DISCOVERY_CALLS);
        call.call(version, ++calls);
        long unanswered = pacing.whileUnanswered();
        attemptIn(unanswered);
        connectIn(unanswered - DiscoveryTimeouts.LATE_CONNECTION);
    }

    /**
     * Connects in advance for the next call, so that it can be sent at once if the current one is not
     * answered.
     */
    private void connectIn(long millis) {
        int mine = round;
        loop.schedule(() -> {
            if (mine == round && !closed && standby == null) {
                standby = new DiscoveryWatch(bootstrap, address, this);
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    private void resetWaits() {
        pushedBackoff.reset();
        pacing.reset();
    }

    private void dropStandby() {
        if (standby != null) {
            standby.close();
            standby = null;
        }
    }

    /**
     * Schedules the next call, unless a call is answered before. Postpones it while data is arriving,
     * because a long list takes time to transfer.
     */
    private void attemptIn(long millis) {
        int mine = ++round;
        loop.schedule(() -> {
            if (mine == round && !closed && trying.stream().anyMatch(DiscoveryWatch::moves)) {
                attemptIn(DiscoveryTimeouts.LATENESS);
            } else if (mine == round && !closed) {
                attempt();
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void ended(DiscoveryWatch ended, String why) {
        if (ended == standby) {
            standby = null; // the next call opens its own connection
            return;
        }
        boolean tried = trying.remove(ended);
        if (closed || !tried && ended != watch) {
            return;
        }
        boolean wasWatch = ended == watch;
        if (tried) {
            counters.increment(Count.DISCOVERY_FAILURES);
        }
        Log.write("discovery", ended.describe() + (wasWatch ? ", the watch ended: " : ", failed: ") + why
            + "; other pending calls: " + trying.size());
        watch = wasWatch ? null : watch;
        if (ended.isBroken()) {
            counters.increment(Count.DISCOVERY_BROKEN);
            applyRemovals(ended.partial());
        }
        if (!trying.isEmpty() && (wasWatch || !ended.isBroken())) {
            return;
        }
        long wait = asked ? waitAfter(ended, wasWatch) : pushedWaitAfter(ended, wasWatch);
        Log.write("discovery", "the next call is due in " + wait + " ms");
        attemptIn(wait);
        if (asked) {
            table.updateBackends(ListUpdateType.FAILED, List.of());
        }
    }

    private long waitAfter(DiscoveryWatch ended, boolean wasWatch) {
        if (ended.isAnswered()) {
            pacing.answered(ended.answerMillis());
        }
        if (ended.isBroken()) {
            return pacing.afterBrokenAnswer();
        } else if (wasWatch && ended.ending() == Ending.SILENT) {
            return pacing.afterSilence();
        } else if (wasWatch) {
            return pacing.afterEnd(ended.ending() == Ending.CLOSED);
        }
        return pacing.afterFailure(sinceAttempt(), ended.ending() == Ending.REFUSED);
    }

    private long pushedWaitAfter(DiscoveryWatch ended, boolean wasWatch) {
        if (wasWatch) {
            // A silence was detected late already, so there is no further wait.
            return ended.ending() == Ending.SILENT ? 0 : pushedBackoff.next();
        }
        return DiscoveryTimeouts.after(sinceAttempt(), pushedBackoff.next());
    }

    private long sinceAttempt() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - triedAt);
    }

    /**
     * Applies the removals and drains of a truncated answer, which can only take backends out of use.
     * Everything else, the version included, waits for a complete answer.
     */
    private void applyRemovals(ListParser.Update partial) {
        if (partial == null || partial.version() <= version) {
            return;
        }
        List<Object> removals = partial.entries().stream().filter(EntryReader::isRemoval).toList();
        if (!removals.isEmpty()) {
            ListParser.Update update = new ListParser.Update(partial.version(), false, removals);
            removalsOnly.add(update);
            applier.apply(update);
        }
    }

    /**
     * Handles a version older than the current one: a discovery that is only behind catches up; otherwise
     * calls again, and finally requests the whole list.
     */
    private void lookAgain() {
        int mine = round;
        behind++;
        loop.schedule(() -> {
            if (mine == round && behind > 0 && !closed) {
                version = behind < MOST_BEHIND ? version : -1;
                renew();
            }
        }, asked ? pacing.whileBehind() : DiscoveryTimeouts.TOLD, TimeUnit.MILLISECONDS);
    }

    /**
     * The first call that is answered becomes the watch; concurrent calls are abandoned. Returns whether
     * the watch is new.
     */
    private boolean adopt(DiscoveryWatch by) {
        confirmedAt = System.nanoTime();
        if (by == watch && trying.isEmpty()) {
            round += callBesideWatch ? 1 : 0; // it continues, so no further call is needed
            callBesideWatch = false;
            return false;
        }
        callBesideWatch = false;
        boolean isNew = by != watch;
        if (isNew) {
            Log.write("discovery", by.describe() + ", answered");
            pacing.answered(by.answerMillis());
            trying.remove(by);
        }
        trying.forEach(call -> abandon(call, "another call was answered"));
        trying.clear();
        dropStandby();
        if (isNew && watch != null) {
            watch.close(); // it had stalled in the middle of an object
        }
        watch = by;
        round++;
        return isNew;
    }

    @Override
    public void stalled(DiscoveryWatch by) {
        boolean alone = by == watch ? trying.isEmpty() : trying.size() == 1 && trying.contains(by);
        if (!closed && alone) {
            long wait = asked ? pacing.afterBrokenAnswer() : pushedBackoff.next();
            Log.write("discovery", by.describe() + ", stalled; the next call is due in " + wait + " ms");
            callBesideWatch = by == watch;
            attemptIn(wait);
        }
    }

    @Override
    public void heartbeat(DiscoveryWatch by) {
        if (adopt(by)) {
            Log.write("discovery", "no changes since version " + version);
        }
    }

    @Override
    public Object read(Map<?, ?> entry) {
        return listing.read(entry);
    }

    @Override
    public void received(DiscoveryWatch by, ListParser.Update update) {
        long received = update.version();
        adopt(by);
        boolean first = by != lastSender;
        lastSender = by;
        if (received < version) { // the newer version stays in force
            if (first) {
                Log.write("discovery", "version " + received + " is older than " + version
                    + ", which is kept");
                lookAgain();
            }
            return;
        }
        behind = 0;
        resetWaits();
        version = received; // the next call need not fetch it again
        applier.apply(update);
        if (applier.isFull()) {
            by.flow(false);
        }
    }

    @Override
    public void applied(ListParser.Update update) {
        if (removalsOnly.remove(update)) {
            Log.write("discovery", "removals of a truncated answer, entries " + update.entries().size());
            return;
        }
        Log.write("discovery", (update.full() ? "list of version " : "changes to version ") + update.version()
            + ", entries " + update.entries().size());
        listed.countDown();
    }

    @Override
    public void idle() {
        if (watch != null) {
            watch.flow(true);
        }
    }
}
