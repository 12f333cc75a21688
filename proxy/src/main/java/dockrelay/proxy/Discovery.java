package dockrelay.proxy;

import dockrelay.Balancer.ListScope;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * The watch on the list of backends. Where lists are pushed it is opened at once and again whenever it ends;
 * where discovery is asked, the module says when, and is told of a failure. One that falls silent is broken:
 * it is opened anew at once, in both cases, in the time that {@link ListClock} sums up.
 */
final class Discovery implements ListWatch.Hearer {
    private static final long FIRST_BACKOFF_MILLIS = 50;
    /** Pushed lists count from the moment at which the agent has them: well within a drain's grace. */
    private static final long MOST_BACKOFF_MILLIS = 500;
    /** Watches in a row that lag behind for good: versions are counted anew then, not late. */
    private static final int MOST_BEHIND = 5;

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private InetSocketAddress address;
    private final boolean asked;
    private final RequestTable table;
    private final Operators operators;
    private final Listing listing;
    private volatile boolean anyReady;
    private long version = -1;
    private final Backoff backoff;
    private final CountDownLatch listed = new CountDownLatch(1);
    private final List<ListWatch> trying = new ArrayList<>();
    private ListWatch watch; // the one that has spoken; null while there is none
    private int triesLeft, round, behind;
    private boolean closed;

    Discovery(Bootstrap template, EventLoop loop, Config config, RequestTable table, Operators operators) {
        this.operators = operators;
        this.listing = new Listing(operators);
        this.backoff = new Backoff(FIRST_BACKOFF_MILLIS, MOST_BACKOFF_MILLIS, config.seed());
        this.loop = loop;
        this.address = config.discovery();
        this.asked = config.settings().askedDiscovery();
        this.table = table;
        this.bootstrap = template;
    }

    /** Hands on the list that the proxy last had, as the first the module hears, and starts to watch. */
    void start(Map<?, ?> cached) {
        version = (long) Config.number(cached, "version", -1);
        tell(ListScope.CACHED, listing.take(Config.list(cached, "servers"), true));
        if (!asked) {
            subscribe();
        }
    }

    /** Waits on another thread for the first word of discovery itself; it may be away. */
    boolean awaitList(long millis) throws InterruptedException {
        return listed.await(millis, TimeUnit.MILLISECONDS);
    }

    void close() {
        closed = true;
        dropAll();
    }

    /** Whether any backend is known that may be sent to; any thread may ask. */
    boolean anyReady() {
        return anyReady;
    }

    /** The operators have changed what holds for this backend. */
    void operated(String name) {
        RequestTable.Member member = listing.get(name);
        if (member != null) {
            tell(ListScope.OPERATED, List.of(operators.overlay(name, member)));
        }
    }

    private void tell(ListScope scope, List<RequestTable.Member> members) {
        table.members(scope, members);
        anyReady = listing.anyReady();
    }

    /** Opens a watch from the version at hand, in place of the one there is. */
    void subscribe() {
        ask(1);
    }

    /** Goes on at another address, and asks there for the whole list: its versions may be counted anew. */
    void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            Log.line("discovery", "moves from " + address + " to " + to);
            address = to;
            version = -1;
            backoff.reset();
            ask(ListClock.TRIES);
        }
    }

    private void dropAll() {
        trying.forEach(ListWatch::close);
        trying.clear();
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    private void ask(int tries) {
        if (!closed) {
            dropAll();
            round++;
            triesLeft = tries;
            attempt();
        }
    }

    private void attempt() {
        triesLeft--;
        trying.add(new ListWatch(bootstrap, address, version, this));
        if (triesLeft > 0) {
            attemptWithin(ListClock.BESIDE);
        }
    }

    private void attemptWithin(long millis) {
        int mine = round;
        loop.schedule(() -> {
            if (mine == round && triesLeft > 0 && !closed) {
                attempt();
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void over(ListWatch ended, String why, boolean silent) {
        boolean lone = trying.remove(ended) && trying.isEmpty();
        if (closed || !lone && ended != watch) {
            return;
        }
        Log.line("discovery", "the watch ended: " + why);
        if (ended == watch) {
            watch = null;
            if (silent) {
                ask(ListClock.TRIES);
                return;
            }
        } else if (triesLeft > 0) {
            attemptWithin(ThreadLocalRandom.current().nextInt(ListClock.AGAIN));
            return;
        }
        failed();
    }

    private void failed() {
        round++;
        if (asked) {
            table.members(ListScope.FAILED, List.of());
        } else {
            int mine = round;
            loop.schedule(() -> {
                if (mine == round) {
                    subscribe();
                }
            }, backoff.next(), TimeUnit.MILLISECONDS);
        }
    }

    /** One that lags behind catches up; else another one is asked, and in the end the whole list. */
    private void lookAgain() {
        int mine = round;
        behind++;
        loop.schedule(() -> {
            if (mine == round && behind > 0 && !closed) {
                version = behind < MOST_BEHIND ? version : -1;
                ask(ListClock.TRIES);
            }
        }, ListClock.TOLD, TimeUnit.MILLISECONDS);
    }

    @Override
    public void said(ListWatch by, Map<?, ?> update) {
        long told = (long) Config.number(update, "version", -1);
        boolean full = Boolean.TRUE.equals(update.get("full"));
        if (by != watch) { // the first that speaks is the watch, and those beside it are not needed any more
            trying.remove(by);
            trying.forEach(ListWatch::close);
            trying.clear();
            watch = by;
            triesLeft = 0;
            round++;
            if (told < version) {
                Log.line("discovery", "version " + told + " is older than " + version + ", which stands");
                lookAgain();
            }
        }
        if (told < version) {
            return; // an older word: what is newer stands
        }
        behind = 0;
        backoff.reset();
        List<RequestTable.Member> members = listing.take(Config.list(update, "servers"), full);
        Log.line("discovery", (full ? "list of version " : "changes to version ") + told + ", entries "
            + members.size());
        version = told;
        tell(full ? ListScope.FULL : ListScope.DELTA, members);
        listed.countDown();
    }
}
