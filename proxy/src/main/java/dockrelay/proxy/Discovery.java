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
 * The watch on the list of backends. Where lists are pushed it is opened at once, where discovery is asked
 * when the module first says so; from then on it is opened anew whenever it ends, in the time that {@link
 * DiscoveryTimeouts} sums up, whatever the module waits for: it is only told of failures.
 */
final class Discovery implements DiscoveryWatch.Listener, ListApplier.Sink {
    private static final long FIRST_BACKOFF_MILLIS = 50;
    /** Pushed lists count from the moment at which the agent has them: well within a drain's grace. */
    private static final long MOST_BACKOFF_MILLIS = 500;
    /** Watches in a row that lag behind for good: versions are counted anew then, not late. */
    private static final int MOST_BEHIND = 5;
    /** Tries that go on beside each other: one that is slow without end gives its place to the next. */
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
    private final CallPacing pacing; // where discovery is asked
    private final Backoff pushedBackoff; // where lists are pushed, by an agent of this host's own
    private final CountDownLatch listed = new CountDownLatch(1);
    private final List<DiscoveryWatch> trying = new ArrayList<>();
    /** Of broken answers, that are not applied yet. */
    private final Set<ListParser.Update> removalsOnly = Collections.newSetFromMap(new IdentityHashMap<>());
    private DiscoveryWatch watch; // the one that has answered; null while there is none
    private DiscoveryWatch standby; // connected for the next call; null while there is none
    private DiscoveryWatch lastSender; // whose first object has come
    private long triedAt;
    private long confirmedAt = System.nanoTime(); // when discovery last sent a change or a heartbeat
    private int calls;
    private int round, behind; // a timer of an earlier round means nothing
    private boolean callBesideWatch; // is due, as the watch has stopped in the middle of an object
    private boolean following, closed;

    Discovery(Bootstrap template, EventLoop loop, Config config, RequestTable table, OperatorOverrides operators,
              Counters counters) {
        this.counters = counters;
        counters.registerGauge("list-version", () -> version);
        counters.registerGauge("list-unconfirmed-ms",
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - confirmedAt));
        this.listing = new BackendRegistry(operators);
        // Not by execute: what is executed from within the loop may run before the next look at the sockets.
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
     * Hands on the list that the proxy last had, as the first the module hears, and starts to watch. A
     * successor takes over from a process of this proxy that still runs.
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

    /** Waits on another thread for the first word of discovery itself; it may be away. */
    boolean awaitList(long millis) throws InterruptedException {
        return listed.await(millis, TimeUnit.MILLISECONDS);
    }

    void close() {
        closed = true;
        dropAll("this process ends");
    }

    /** Whether any backend is known that may be sent to; any thread may ask. */
    boolean anyReady() {
        return anyReady;
    }

    /** The operators have changed what holds for this backend. */
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

    /** The module wants to follow the list; when the proxies of a large fleet begin to is not its to say. */
    void subscribe() {
        if (!pacing.decidesFirstCall()) {
            follow();
        }
    }

    /** Follows the list from the version at hand, from now on; no more is needed where that is so already. */
    private void follow() {
        if (!following) {
            renew();
        }
    }

    /** Goes on at another address, and asks there for the whole list: its versions may be counted anew. */
    void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            Log.write("discovery", "moves from " + address + " to " + to);
            address = to;
            version = -1;
            resetWaits();
            following = true;
            dropAll("discovery has moved");
            attemptIn(asked ? pacing.afterMove() : 0);
        }
    }

    private void abandon(DiscoveryWatch call, String why) {
        counters.increment(Count.DISCOVERY_ABANDONED);
        Log.write("discovery", call.describe() + ", is given up: " + why);
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

    /** Asks at once, in place of whatever there is. */
    private void renew() {
        if (!closed) {
            following = true;
            dropAll("asked anew");
            attempt();
        }
    }

    private void attempt() {
        triedAt = System.nanoTime();
        if (trying.size() >= MOST_BESIDE) {
            abandon(trying.remove(0), "too many at once");
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

    /** Connects for the call after this one, which is made at once then if this one is not answered. */
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

    /** The next attempt, unless one is answered before, or is about to: a long list takes its time. */
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
            standby = null; // the next call connects anew
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
            + "; others under way: " + trying.size());
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
            // A silence is late enough as it is.
            return ended.ending() == Ending.SILENT ? 0 : pushedBackoff.next();
        }
        return DiscoveryTimeouts.after(sinceAttempt(), pushedBackoff.next());
    }

    private long sinceAttempt() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - triedAt);
    }

    /**
     * Applies what a broken answer has said of backends that drain or are gone: that only takes away. All
     * else waits for a whole answer, and so does the version.
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

    /** One that lags behind catches up; else another one is asked, and in the end the whole list. */
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

    /** The first that answers is the watch, and those beside it are not needed any more. */
    private boolean adopt(DiscoveryWatch by) {
        confirmedAt = System.nanoTime();
        if (by == watch && trying.isEmpty()) {
            round += callBesideWatch ? 1 : 0; // it goes on, and needs none
            callBesideWatch = false;
            return false;
        }
        callBesideWatch = false;
        boolean isNew = by != watch;
        if (isNew) {
            Log.write("discovery", by.describe() + ", is answered");
            pacing.answered(by.answerMillis());
            trying.remove(by);
        }
        trying.forEach(call -> abandon(call, "another one was answered"));
        trying.clear();
        dropStandby();
        if (isNew && watch != null) {
            watch.close(); // it had stopped in the middle of an object
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
            Log.write("discovery", by.describe() + ", has stopped; the next call is due in " + wait + " ms");
            callBesideWatch = by == watch;
            attemptIn(wait);
        }
    }

    @Override
    public void heartbeat(DiscoveryWatch by) {
        if (adopt(by)) {
            Log.write("discovery", "nothing new since version " + version);
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
        if (received < version) { // what is newer stands
            if (first) {
                Log.write("discovery", "version " + received + " is older than " + version + ", which stands");
                lookAgain();
            }
            return;
        }
        behind = 0;
        resetWaits();
        version = received; // whoever is asked next need not send it again
        applier.apply(update);
        if (applier.isFull()) {
            by.flow(false);
        }
    }

    @Override
    public void applied(ListParser.Update update) {
        if (removalsOnly.remove(update)) {
            Log.write("discovery", "removals of a broken answer, entries " + update.entries().size());
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
