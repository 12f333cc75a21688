package dockrelay.proxy;

import dockrelay.Balancer.FleetView;
import dockrelay.Balancer.ServiceClass;
import dockrelay.RiqBalancer;
import dockrelay.settings.SettingException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The real proxy: start, wiring and shutdown. One event loop thread owns the module and all sockets. */
public final class Proxy {
    /** Descriptors that are neither clients' nor backends': the runtime's files, listener, discovery. */
    private static final int SPARE_DESCRIPTORS = 32;
    /**
     * Clients hold a third of all descriptors for their requests; the rest of this share is for those who
     * hold one for nothing until they are sent away. Backends have about one for each request in hand.
     */
    private static final double CLIENTS_SHARE = 0.65;
    /** Holds a burst of new connections while the loop is busy for a moment. */
    private static final int BACKLOG = 1024;
    /** After SIGTERM new connections go on coming for up to 0.4 s; none is turned away. */
    static final long ACCEPT_AFTER_STOP_MILLIS = 550;
    /** Two processes notice each other and each other's changes within this. */
    private static final long LOOK_MILLIS = 100;
    /** After the warm-up: the next process is to serve within 6 s of its start, discovery or not. */
    private static final long LIST_MILLIS = 1_000;
    /**
     * Where lists are pushed, what the agent has counts from the first moment: no request is taken before it
     * has told its list. A restart has to be ready within 10 s, counted from a moment before this program's
     * first line, with discovery down as well: what was known has to do then.
     */
    private static final long PUSHED_LIST_UPGRADE_MILLIS = 3_000, READY_MILLIS = 8_500;
    /** SIGKILL follows SIGTERM after the longest deadline, of this at most, and 0.7 s: some of it is kept. */
    private static final long LONGEST_DEADLINE_MICROS = 3_000_000;
    private static final long LAST_CHANCE_MILLIS = 450;
    private static final long COUNTERS_MILLIS = 5_000;
    /** How late the loop runs is looked at so often: each event waits as long as such a look does. */
    private static final long LATENESS_MILLIS = 50;
    /** Longer than any request may take: what is not over by then never will be. */
    private static final long LONGEST_SHUTDOWN_SECONDS = 10;

    /** About when this process began. */
    private static final long STARTED = System.nanoTime();

    private static final String REHEARSAL = "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\","
        + "\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"settings\":{\"Discovery\":\"ask\","
        + "\"Services\":[{\"Name\":\"any\","
        + "\"Aim\":1.0,\"HardLimit\":2.0,\"Idempotency\":\"idempotent\"}],\"Permissions\":{\"MaxAttempts\":3,"
        + "\"MayCancel\":true,\"SecondCopies\":true}}}";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final RequestTable table;
    private final BackendConnectionPool pool;
    private final ClientFrontend clients;
    private final Discovery discovery;
    private final CountDownLatch finished = new CountDownLatch(1);
    private final Counters counters = new Counters();
    private final OperatorOverrides operators;
    private final Console console;
    private final UpgradeOverlapDetector succession;
    private MembershipService members; // null where the configuration names none
    private volatile boolean accepting, stopping;
    private volatile boolean beside; // the console's thread sets it
    private volatile int held;
    private final int room;
    private final boolean shared;
    private final long longestDeadline;
    private long looked, latest;

    Proxy(Config config) throws IOException {
        this(config, ProcessEnvironment.NONE);
    }

    Proxy(Config config, ProcessEnvironment platform) throws IOException {
        this(config, platform, System.nanoTime(), new AtomicBoolean());
    }

    /**
     * Begun at this time of the nano clock. Who sets the mark first settles whether it ever listens: from
     * then on there may be requests to answer, and it has to be asked to stop.
     */
    private Proxy(Config config, ProcessEnvironment platform, long begun, AtomicBoolean settled) throws IOException {
        LongSupplier clock = clock();
        PooledByteBufAllocator buffers = new PooledByteBufAllocator(true, 1, 1, 8192, 5, 256, 64, false);
        Bootstrap sockets = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, buffers).option(ChannelOption.TCP_NODELAY, true);
        room = Math.max(2, config.sockets() - SPARE_DESCRIPTORS);
        int fromClients = Math.max(1, (int) (room * CLIENTS_SHARE));
        BufferLimit bound = BufferLimit.forAllocator(buffers, config.memory());
        pool = new BackendConnectionPool(sockets, loop, room - fromClients, config.connectTimeoutMicros(),
            config.connectionIdle(), counters, bound);
        table = new RequestTable(loop, pool, clock, config, counters);
        operators = new OperatorOverrides(platform.console() == null ? null : platform.folder());
        discovery = new Discovery(sockets, loop, config, table, operators, counters);
        Consumer<String> tell = message -> { };
        if (config.membership()) {
            members = new MembershipService(config, platform.folder(), table, this::told);
            tell = members.transport()::broadcast;
        } else if (config.settings().limits().peers() && config.peerListenAddress() != null) {
            tell = new PeerTransport(loop, config, table)::broadcast;
        }
        table.attachBalancer(new RiqBalancer(config.settings(), config.seed(), table), discovery::subscribe, tell);
        if (members != null && !config.budgets().isEmpty()) {
            loop.execute(() -> BudgetService.applyZeroShares(table, config));
        }
        clients = new ClientFrontend(table, config.settings().classes(), fromClients, this::ready,
            counters, bound);
        loop.execute(() -> discovery.start(config.known(), platform.listener() != null));
        console = platform.console() == null ? null
            : new Console(platform.console(), operators, () -> accepting && ready(), this::enforce,
                members, config.budgets().isEmpty() || members == null ? null : members::describeBudgets);
        succession = console == null || platform.folder() == null ? null : new UpgradeOverlapDetector(platform.folder());
        if (succession != null) {
            console.scheduleAtFixedDelay(LOOK_MILLIS, this::lookAround);
        }
        shared = platform.listener() != null;
        longestDeadline = config.settings().classes().stream().mapToLong(ServiceClass::deadline).max()
            .orElse(0);
        ServerBootstrap listening = new ServerBootstrap().group(loop)
            .channelFactory(() -> shared ? new NioServerSocketChannel(platform.listener())
                : new NioServerSocketChannel())
            .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.ALLOCATOR, buffers);
        // One accept at a time: of a batch the last ones would be open before room is made for them.
        listening.option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator());
        // Warm first: clients come before healthz says 200 where the front has not noticed a restart, and
        // what is taken beside the warm-up is answered too late. A refused connection loses nothing.
        WarmUp.run(config, buffers);
        if (!config.settings().mustSubscribe()) {
            long taken = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            awaitList(shared ? PUSHED_LIST_UPGRADE_MILLIS : Math.max(LIST_MILLIS, READY_MILLIS - taken));
        } else if (shared) {
            awaitList(LIST_MILLIS);
        }
        if (!settled.compareAndSet(false, true)) {
            throw new EndedException();
        }
        loop.submit(() -> clients.listen(listening, shared ? null : config.listen())).syncUninterruptibly()
            .getNow().syncUninterruptibly();
        accepting = true;
        if (members != null) {
            members.join();
        }
        loop.execute(this::count);
        Log.write("start", config.name() + " listens at " + config.listen() + (shared ? ", shared" : ""));
    }

    /** Guards against taking clients over with an old list while the process before has a new one. */
    private void awaitList(long millis) {
        try {
            if (!discovery.awaitList(millis)) {
                Log.write("start", "no list of discovery's yet: what was known before has to do");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the counters to the log, and with them the most that the loop was late. */
    private void count() {
        counters.registerGauge("loop-late-ms", () -> latest);
        counters.registerGauge("heap-mb", () -> {
            Runtime runtime = Runtime.getRuntime();
            return runtime.totalMemory() - runtime.freeMemory() >> 20;
        });
        looked = System.nanoTime();
        loop.scheduleWithFixedDelay(() -> {
            long now = System.nanoTime();
            latest = Math.max(latest, TimeUnit.NANOSECONDS.toMillis(now - looked) - LATENESS_MILLIS);
            looked = now;
        }, LATENESS_MILLIS, LATENESS_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(() -> {
            Log.write("counters", counters.formatAndReset());
            Log.write("decisions", table.balancerStatus());
            latest = 0;
        }, COUNTERS_MILLIS, COUNTERS_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs the proxy that PROXY_CONFIG describes until it is told to end. */
    public static void main() {
        CompletableFuture<Proxy> started = new CompletableFuture<>();
        AtomicBoolean settled = new AtomicBoolean(), failed = new AtomicBoolean();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            if (!failed.get()) {
                end(started, settled);
            }
            Runtime.getRuntime().halt(failed.get() ? 1 : 0); // asked to end, it ends well
        }, "stop"));
        try {
            String named = System.getenv("PROXY_CONFIG");
            if (named == null) {
                throw new SettingException("PROXY_CONFIG", null, "the configuration's file");
            }
            Path file = Path.of(named);
            Signals.onHangUp(() -> started.thenAccept(proxy -> proxy.reload(file)));
            Config config = Config.read(file);
            started.complete(new Proxy(config, ProcessEnvironment.read(config, System.getenv()), STARTED, settled));
        } catch (EndedException e) {
            return; // the other thread ends the process
        } catch (ConfigException | SettingException e) {
            fail(started, failed, e, () -> Log.write("start", e.getMessage()));
        } catch (IOException | RuntimeException e) {
            fail(started, failed, e, () -> Log.error("start", e));
        }
    }

    private static void fail(CompletableFuture<Proxy> started, AtomicBoolean failed, Exception cause,
                             Runnable log) {
        log.run();
        failed.set(true);
        started.completeExceptionally(cause);
        System.exit(1);
    }

    /** Asked to end before it listened. */
    private static final class EndedException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Before it listens there is nothing to serve out; from then on the start is over soon. */
    private static void end(CompletableFuture<Proxy> started, AtomicBoolean settled) {
        if (settled.compareAndSet(false, true)) {
            Log.write("stop", "asked to end before it listened");
            return;
        }
        try {
            started.get(LONGEST_SHUTDOWN_SECONDS, TimeUnit.SECONDS).stop();
        } catch (ExecutionException | TimeoutException | RuntimeException e) {
            Log.error("stop", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the configuration again; what cannot be read changes nothing. Only discovery and peers can
     * move. */
    void reload(Path file) {
        try {
            Config next = Config.readAgain(file);
            loop.execute(() -> discovery.move(next.discovery()));
            if (members != null && next.membership()) {
                members.configure(next);
            } else if (members != null) {
                Log.write("reload", file + ": no members are named, or Peers is false: those that were in"
                    + " force stay so until a restart");
            } else if (next.membership()) {
                Log.write("reload", file + ": members are named: they are taken up by a restart");
            }
        } catch (ConfigException e) {
            Log.write("reload", e.getMessage() + "; what was in force stays so");
        } catch (RuntimeException e) {
            Log.error("reload", e);
        }
    }

    /**
     * Starts and ends a proxy that nobody uses, so that the build can archive the classes a start takes:
     * a proxy that was killed is back sooner when the runtime finds them ready-made.
     */
    public static void runClassArchiveTraining() throws IOException {
        new Proxy(Config.parse(REHEARSAL)).stop();
    }

    /** Real time in microseconds: the wall clock as it stood at the start, carried on by the steady one. */
    private static LongSupplier clock() {
        long wall = System.currentTimeMillis() * 1000;
        long start = System.nanoTime();
        return () -> wall + (System.nanoTime() - start) / 1000;
    }

    InetSocketAddress listenAddress() {
        return (InetSocketAddress) clients.localAddress();
    }

    InetSocketAddress consoleAddress() {
        return console.address();
    }

    /** How many connections of clients there are. */
    int clientConnectionCount() {
        return clients.connectionCount();
    }

    EventLoop eventLoop() {
        return loop;
    }

    ClientFrontend clientSide() {
        return clients;
    }

    boolean isStopping() {
        return stopping;
    }

    /** How many requests are in hand, or have attempts out still. */
    int inFlightRequestCount() {
        return table.inFlightCount();
    }

    private boolean ready() {
        return !stopping && discovery.anyReady();
    }

    /** Lays what the operators said over what the module and the pool go by, at once. */
    private CompletableFuture<Void> enforce(String backend) {
        return CompletableFuture.runAsync(() -> discovery.operated(backend), loop);
    }

    /** What is known of the other proxies is the module's to go by, and grows old while the loop is busy. */
    private void told(FleetView fleet) {
        long at = System.nanoTime();
        loop.execute(() -> table.updateFleetView(new FleetView(fleet.proxies(), fleet.me(), fleet.share(),
            fleet.minShare(),
            fleet.agreement(), (System.nanoTime() - at) / 1000, fleet.countsAge())));
    }

    /** Takes up what another process of this proxy has changed. */
    private void lookAround() {
        operators.refresh().forEach(this::enforce);
        try {
            int others = succession.exchangeDescriptorCounts(held);
            if (others >= 0 != beside) {
                beside = others >= 0;
                Log.write("console", beside ? "another process of this proxy runs beside" : "alone again");
            }
            loop.execute(() -> {
                int left = others < 0 ? room : room - SPARE_DESCRIPTORS - others;
                pool.limitConnections(left - clients.connectionCount());
                clients.limitConnections(left - pool.connectionCount());
                held = clients.connectionCount() + pool.connectionCount();
            });
        } catch (IOException e) {
            Log.error("console", e); // it goes on with the places it has
        }
    }

    /** Answers all that comes and all that was taken, then ends; returns once that is done. */
    void stop() {
        loop.execute(() -> {
            Log.write("stop", "asked to end with " + table.inFlightCount() + " requests in hand");
            stopping = true;
            if (members != null) {
                members.stopSpending();
            }
            if (members != null && shared && beside) {
                members.handOver();
            } else if (members != null) {
                members.leave();
            }
            serveOut();
        });
        try {
            boolean done = finished.await(LONGEST_SHUTDOWN_SECONDS, TimeUnit.SECONDS);
            Log.write("stop", done ? "done" : "gave up waiting");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Leaves new connections to the next process where there is one, else takes them for as long as they may
     * come, and keeps those there are for as long as time allows: each ends with its next answer, and one
     * that a request may be on its way to is not closed under it.
     */
    private void serveOut() {
        long left = TimeUnit.MICROSECONDS.toMillis(Math.min(longestDeadline, LONGEST_DEADLINE_MICROS))
            + LAST_CHANCE_MILLIS;
        clients.startDraining(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(left));
        if (shared) {
            clients.releaseListener();
            clients.whenAllClosed(() -> table.whenEmpty(this::finish));
        } else {
            loop.schedule(() -> {
                clients.stopAcceptingOnceBacklogEmpty(LOOK_MILLIS / 2,
                    () -> clients.whenAllClosed(() -> table.whenEmpty(this::finish)));
                loop.scheduleWithFixedDelay(clients::closeLongIdle, 0, LOOK_MILLIS, TimeUnit.MILLISECONDS);
            }, Math.min(left, ACCEPT_AFTER_STOP_MILLIS), TimeUnit.MILLISECONDS);
        }
        loop.schedule(clients::closeIdle, left, TimeUnit.MILLISECONDS);
    }

    /** The last answers are on their way: the loop writes them out before it ends. */
    private void finish() {
        discovery.close();
        if (members != null) {
            members.close();
        }
        if (console != null) {
            console.close();
        }
        group.shutdownGracefully(50, 1000, TimeUnit.MILLISECONDS).addListener(done -> finished.countDown());
    }
}
