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

/**
 * Start, wiring and shutdown of the proxy. A single event loop thread owns the balancer and all sockets.
 */
public final class Proxy {
    /**
     * File descriptors used neither for clients nor for backends: files of the JVM, listener, discovery.
     */
    private static final int SPARE_DESCRIPTORS = 32;
    /**
     * A third of all descriptors covers the requests of clients; the rest of this share is for idle client
     * connections until they are closed. Backends use about one descriptor for each request in flight.
     */
    private static final double CLIENTS_SHARE = 0.65;
    /** Queues a burst of new connections while the event loop is busy. */
    private static final int BACKLOG = 1024;
    /** After SIGTERM new connections keep arriving for up to 0.4 s, and none may be refused. */
    static final long ACCEPT_AFTER_STOP_MILLIS = 550;
    /** Interval at which two processes of the same proxy detect each other and each other's changes. */
    private static final long LOOK_MILLIS = 100;
    /**
     * Wait after the warm-up: the successor has to serve within 6 s of its start, even if discovery is
     * down.
     */
    private static final long LIST_MILLIS = 1_000;
    /**
     * If lists are pushed, the agent's list counts as known from the first moment, so no request is
     * accepted before it has arrived. A restarted process has to be ready within 10 s, counted from shortly
     * before its first instruction, even if discovery is down; then it serves by the cached list.
     */
    private static final long PUSHED_LIST_UPGRADE_MILLIS = 3_000, READY_MILLIS = 8_500;
    /**
     * SIGKILL follows SIGTERM after the longest deadline (at most this value) plus 0.7 s, of which a margin
     * is kept.
     */
    private static final long LONGEST_DEADLINE_MICROS = 3_000_000;
    private static final long LAST_CHANCE_MILLIS = 450;
    private static final long COUNTERS_MILLIS = 5_000;
    /** Interval of the lateness measurement, kept long because every event has to wait while it runs. */
    private static final long LATENESS_MILLIS = 50;
    /** Longer than any request may take: whatever has not finished by then never will. */
    private static final long LONGEST_SHUTDOWN_SECONDS = 10;

    /** Approximate start time of the process. */
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
    private MembershipService members; // null if the configuration names no members
    private volatile boolean accepting, stopping;
    private volatile boolean beside; // set by the console's thread
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
     * Creates a proxy whose process started at {@code begun} ({@link System#nanoTime}). The first thread to
     * set {@code settled} decides whether the proxy ever listens: once it listens there may be requests to
     * answer, so that it has to be stopped in order.
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
        // Accepts one connection at a time: with batches, the last ones would be open before room is made
        // for them.
        listening.option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator());
        // Warms up before listening: if the front load balancer has not noticed a restart, it sends clients
        // before healthz answers 200, and requests accepted during the warm-up would be answered too late.
        // A refused connection loses no request.
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
        Log.write("start", config.name() + " listening at " + config.listen()
            + (shared ? ", inherited socket" : ""));
    }

    /**
     * Waits for the first list, to avoid serving clients by an outdated list while the predecessor has a
     * newer one.
     */
    private void awaitList(long millis) {
        try {
            if (!discovery.awaitList(millis)) {
                Log.write("start", "no list from discovery yet; serving by the cached list");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Schedules the log line of the counters and the measurement of the loop's maximum lateness. */
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

    /** Runs the proxy configured by PROXY_CONFIG until it is asked to stop. */
    public static void main() {
        CompletableFuture<Proxy> started = new CompletableFuture<>();
        AtomicBoolean settled = new AtomicBoolean(), failed = new AtomicBoolean();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            if (!failed.get()) {
                end(started, settled);
            }
            Runtime.getRuntime().halt(failed.get() ? 1 : 0); // a requested stop exits with status 0
        }, "stop"));
        try {
            String named = System.getenv("PROXY_CONFIG");
            if (named == null) {
                throw new SettingException("PROXY_CONFIG", null, "the path of the configuration file");
            }
            Path file = Path.of(named);
            Signals.onHangUp(() -> started.thenAccept(proxy -> proxy.reload(file)));
            Config config = Config.read(file);
            started.complete(new Proxy(config, ProcessEnvironment.read(config, System.getenv()), STARTED, settled));
        } catch (EndedException e) {
            return; // the shutdown thread ends the process
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

    /** The process was asked to stop before it listened. */
    private static final class EndedException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /**
     * Stops the process. Before it listens there are no requests to finish; afterwards the start completes
     * soon.
     */
    private static void end(CompletableFuture<Proxy> started, AtomicBoolean settled) {
        if (settled.compareAndSet(false, true)) {
            Log.write("stop", "asked to stop before listening");
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

    /**
     * Reads the configuration again; if that fails, nothing changes. Only the address of discovery and the
     * peers can change.
     */
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
                Log.write("reload", file + ": members are named: they take effect at a restart");
            }
        } catch (ConfigException e) {
            Log.write("reload", e.getMessage() + "; what was in force stays so");
        } catch (RuntimeException e) {
            Log.error("reload", e);
        }
    }

    /**
     * Starts and stops an unused proxy, so that the build can archive the classes that a start loads.
     * Classes from the archive shorten the restart after a kill.
     */
    public static void runClassArchiveTraining() throws IOException {
        new Proxy(Config.parse(REHEARSAL)).stop();
    }

    /**
     * Wall-clock time in microseconds: taken once at the start and advanced by the monotonic clock, so that
     * it never jumps.
     */
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

    /** The number of open client connections. */
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

    /** The number of requests in flight, including those with attempts that are still running. */
    int inFlightRequestCount() {
        return table.inFlightCount();
    }

    private boolean ready() {
        return !stopping && discovery.anyReady();
    }

    /** Applies an operator's change to a backend, for the balancer and the connection pool, at once. */
    private CompletableFuture<Void> enforce(String backend) {
        return CompletableFuture.runAsync(() -> discovery.operated(backend), loop);
    }

    /**
     * Passes the membership of the fleet to the balancer. Its age includes the time it waits for a busy
     * event loop.
     */
    private void told(FleetView fleet) {
        long at = System.nanoTime();
        loop.execute(() -> table.updateFleetView(new FleetView(fleet.proxies(), fleet.me(), fleet.share(),
            fleet.minShare(),
            fleet.agreement(), (System.nanoTime() - at) / 1000, fleet.countsAge())));
    }

    /** Applies changes made by another process of the same proxy. */
    private void lookAround() {
        operators.refresh().forEach(this::enforce);
        try {
            int others = succession.exchangeDescriptorCounts(held);
            if (others >= 0 != beside) {
                beside = others >= 0;
                Log.write("console", beside ? "another process of this proxy is running"
                    : "the other process of this proxy has ended");
            }
            loop.execute(() -> {
                int left = others < 0 ? room : room - SPARE_DESCRIPTORS - others;
                pool.limitConnections(left - clients.connectionCount());
                clients.limitConnections(left - pool.connectionCount());
                held = clients.connectionCount() + pool.connectionCount();
            });
        } catch (IOException e) {
            Log.error("console", e); // keeps its current connection limits
        }
    }

    /** Stops accepting, answers all accepted requests and shuts down. Blocks until that is done. */
    void stop() {
        loop.execute(() -> {
            Log.write("stop", "asked to stop with " + table.inFlightCount() + " requests in flight");
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
            Log.write("stop", done ? "done" : "timed out waiting for requests to finish");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Leaves new connections to the successor process if there is one, otherwise accepts them as long as
     * they may arrive. Open connections are kept as long as time allows: each is closed with its next
     * response, and a connection on which a request may be on its way is not closed.
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

    /** The last responses are being written; the event loop flushes them before it ends. */
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
