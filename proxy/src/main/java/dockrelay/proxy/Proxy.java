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
    private static final int RESERVED_DESCRIPTORS = 32;
    /**
     * A third of all descriptors covers the requests of clients; the rest of this share is for idle client
     * connections until they are closed. Backends use about one descriptor for each request in flight.
     */
    private static final double CLIENT_CONNECTION_SHARE = 0.65;
    /** Queues a burst of new connections while the event loop is busy. */
    private static final int ACCEPT_BACKLOG = 1024;
    /** After SIGTERM new connections keep arriving for up to 0.4 s, and none may be refused. */
    static final long ACCEPT_AFTER_STOP_MILLIS = 550;
    /** Interval at which two processes of the same proxy detect each other and each other's changes. */
    private static final long OVERLAP_CHECK_INTERVAL_MILLIS = 100;
    /**
     * Wait after the warm-up: the successor has to serve within 6 s of its start, even if discovery is
     * down.
     */
    private static final long LIST_TIMEOUT_MILLIS = 1_000;
    /**
     * In push mode the agent's list counts as known from the first moment, so no request is accepted before
     * it has arrived. A restarted process has to be ready within 10 s, counted from shortly before its
     * first instruction, even if discovery is down; then it serves by the cached list.
     */
    private static final long PUSHED_LIST_UPGRADE_TIMEOUT_MILLIS = 3_000, READY_DEADLINE_MILLIS = 8_500;
    private static final long COUNTERS_INTERVAL_MILLIS = 5_000;
    private static final long HEAP_CHECK_INTERVAL_MILLIS = 20;
    /** Interval of the check for lateness: any other event waits for the event loop as long as this check. */
    private static final long LATENESS_CHECK_INTERVAL_MILLIS = 50;
    /** Longer than any request may take: whatever has not finished by then never will. */
    private static final long MAX_SHUTDOWN_SECONDS = 10;

    /** Approximate start time of the process. */
    private static final long PROCESS_START_NANOS = System.nanoTime();

    private static final String TRAINING_CONFIG = "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\","
        + "\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"settings\":{\"Discovery\":\"ask\","
        + "\"Services\":[{\"Name\":\"any\","
        + "\"Aim\":1.0,\"HardLimit\":2.0,\"Idempotency\":\"idempotent\"}],\"Permissions\":{\"MaxAttempts\":3,"
        + "\"MayCancel\":true,\"SecondCopies\":true}}}";

    private final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1,
        NioIoHandler.newFactory());
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final RequestTable requestTable;
    private final BackendConnectionPool connectionPool;
    private final ClientFrontend clientFrontend;
    private final DiscoveryClient discoveryClient;
    private final CountDownLatch shutdownComplete = new CountDownLatch(1);
    private final Counters counters = new Counters();
    private final OperatorOverrides operatorOverrides;
    private final Console console;
    private final UpgradeOverlapDetector overlapDetector;
    private MembershipService membershipService; // null if the configuration names no members
    private volatile boolean accepting, stopping;
    private volatile boolean otherProcessRunning; // set by the console's thread
    private volatile int openConnections;
    private final MemoryPlan memoryPlan;
    private final int maxConnections;
    private final boolean listenerInherited;
    private final long longestDeadlineMicros;
    private long lastLatenessCheckNanos, maxLatenessMillis;

    Proxy(Config config) throws IOException {
        this(config, ProcessEnvironment.EMPTY);
    }

    Proxy(Config config, ProcessEnvironment environment) throws IOException {
        this(config, environment, System.nanoTime(), new AtomicBoolean());
    }

    /**
     * Creates a proxy, started at {@code startedAtNanos} ({@link System#nanoTime}). The first thread to set
     * {@code listenDecided} decides whether the proxy ever listens: once it listens there may be requests
     * to answer, so that it has to be stopped in order.
     */
    private Proxy(Config config, ProcessEnvironment environment, long startedAtNanos,
        AtomicBoolean listenDecided) throws IOException {
        LongSupplier clock = newWallClock();
        PooledByteBufAllocator allocator = new PooledByteBufAllocator(true, 1, 1, 8192, 5, 256, 64, false);
        Bootstrap clientBootstrap = new Bootstrap().group(eventLoop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator).option(ChannelOption.TCP_NODELAY, true);
        memoryPlan = MemoryPlan.of(config.memoryMegabytes(), config.maxSockets() - RESERVED_DESCRIPTORS,
            Runtime.getRuntime().maxMemory());
        maxConnections = memoryPlan.maxConnections();
        int maxClientConnections = Math.max(1, (int) (maxConnections * CLIENT_CONNECTION_SHARE));
        HeadMemory headMemory = new HeadMemory(memoryPlan.headBytes());
        BufferLimit bufferLimit = BufferLimit.forAllocator(allocator, config.memoryMegabytes());
        counters.registerGauge("direct-kb", () -> allocator.metric().usedDirectMemory() >> 10);
        counters.registerGauge("live-direct-kb", () -> allocator.pinnedDirectMemory() >> 10);
        counters.registerGauge("read-ahead-kb", () -> bufferLimit.memory().reservedBytes() >> 10);
        connectionPool = new BackendConnectionPool(clientBootstrap, eventLoop,
            maxConnections - maxClientConnections, config.connectTimeoutMicros(),
            config.connectionIdleMicros(), counters, bufferLimit, headMemory);
        requestTable = new RequestTable(eventLoop, connectionPool, clock, config, counters);
        operatorOverrides = new OperatorOverrides(environment.consoleAddress() == null ? null
            : environment.stateFolder());
        discoveryClient = new DiscoveryClient(clientBootstrap, eventLoop, config, requestTable,
            operatorOverrides, counters);
        Consumer<String> broadcast = message -> { };
        if (config.usesMembership()) {
            membershipService = new MembershipService(config, environment.stateFolder(), requestTable,
                this::fleetViewChanged);
            broadcast = membershipService.transport()::broadcast;
        } else if (config.settings().limits().peers() && config.peerListenAddress() != null) {
            broadcast = new PeerTransport(eventLoop, config, requestTable)::broadcast;
        }
        requestTable.attachBalancer(new RiqBalancer(config.settings(), config.seed(), requestTable),
            discoveryClient::subscribe, broadcast);
        if (membershipService != null && !config.budgets().isEmpty()) {
            eventLoop.execute(() -> BudgetService.applyZeroShares(requestTable, config));
        }
        clientFrontend = new ClientFrontend(requestTable, config.settings().classes(), maxClientConnections,
            this::isReady, counters, bufferLimit, headMemory);
        eventLoop.execute(() -> discoveryClient.start(config.knownList(), environment.listener() != null));
        console = environment.consoleAddress() == null ? null
            : new Console(environment.consoleAddress(), operatorOverrides, () -> accepting && isReady(),
                this::applyOverride, membershipService,
                config.budgets().isEmpty() || membershipService == null ? null
                    : membershipService::describeBudgets);
        overlapDetector = console == null || environment.stateFolder() == null ? null
            : new UpgradeOverlapDetector(environment.stateFolder());
        if (overlapDetector != null) {
            console.scheduleAtFixedDelay(OVERLAP_CHECK_INTERVAL_MILLIS, this::checkForOtherProcess);
        }
        listenerInherited = environment.listener() != null;
        longestDeadlineMicros = config.settings().classes().stream().mapToLong(ServiceClass::deadline).max()
            .orElse(0);
        ServerBootstrap serverBootstrap = new ServerBootstrap().group(eventLoop)
            .channelFactory(() -> listenerInherited ? new NioServerSocketChannel(environment.listener())
                : new NioServerSocketChannel())
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.SO_RCVBUF, UploadMonitor.RECEIVE_BUFFER_BYTES);
        // Warms up before listening: if the front load balancer has not noticed a restart, it sends clients
        // before healthz answers 200, and requests accepted during the warm-up would be answered too late.
        // A refused connection loses no request.
        WarmUp.run(config, allocator);
        if (!config.settings().mustSubscribe()) {
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
            awaitFirstList(listenerInherited ? PUSHED_LIST_UPGRADE_TIMEOUT_MILLIS
                : Math.max(LIST_TIMEOUT_MILLIS, READY_DEADLINE_MILLIS - elapsedMillis));
        } else if (listenerInherited) {
            awaitFirstList(LIST_TIMEOUT_MILLIS);
        }
        if (!listenDecided.compareAndSet(false, true)) {
            throw new StoppedBeforeListeningException();
        }
        eventLoop.submit(() -> clientFrontend.listen(serverBootstrap,
            listenerInherited ? null : config.listenAddress())).syncUninterruptibly()
            .getNow().syncUninterruptibly();
        accepting = true;
        if (membershipService != null) {
            membershipService.join();
        }
        eventLoop.execute(this::scheduleCounterLines);
        Log.write("start", config.name() + " listening at " + config.listenAddress()
            + (listenerInherited ? ", inherited socket" : ""));
    }

    /** Keeps the heap of this process within the plan; not for a proxy that shares its process. */
    private void guardHeap() {
        if (memoryPlan.exceedsGrant()) {
            Log.write("memory", "limits.memory_mb is " + memoryPlan.grantMegabytes()
                + ", but this runtime needs " + MemoryPlan.leastGrantMegabytes()
                + " MB under load; holding as little as possible");
        }
        HeldHeap heldHeap = new HeldHeap(
            () -> clientFrontend.connectionCount() + connectionPool.connectionCount(),
            clientFrontend::usedHeadBytes, requestTable::inFlightCount, requestTable::rememberedIdCount);
        counters.registerGauge("held-kb", () -> heldHeap.bytes() >> 10);
        HeapGuard guard = new HeapGuard(HeapGuard.Heap.ofProcess(), memoryPlan, heldHeap::bytes,
            this::describeHeldMemory);
        counters.registerGauge("live-heap-mb", () -> guard.liveBytes() >> 20);
        counters.registerGauge("gc-pause-ms", guard::takeLongestPauseMillis);
        counters.registerGauge("resident-mb", ResidentMemory::megabytes);
        counters.registerGauge("grant-mb", memoryPlan::grantMegabytes);
        guard.start(Runtime.getRuntime().maxMemory(), System.nanoTime());
        eventLoop.scheduleWithFixedDelay(() -> {
            guard.check(System.nanoTime());
            clientFrontend.setUnderMemoryPressure(guard.isUnderPressure());
        }, HEAP_CHECK_INTERVAL_MILLIS, HEAP_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** What clients and backends make this process hold in its heap, for the log. */
    private String describeHeldMemory() {
        return "clients=" + clientFrontend.connectionCount() + " backend-connections="
            + connectionPool.connectionCount() + " in-hand=" + requestTable.inFlightCount() + " head-kb="
            + (clientFrontend.usedHeadBytes() >> 10) + " resident-mb=" + ResidentMemory.megabytes();
    }

    /**
     * Waits for the first list, to avoid serving clients by an outdated list while the predecessor has a
     * newer one.
     */
    private void awaitFirstList(long timeoutMillis) {
        try {
            if (!discoveryClient.awaitFirstList(timeoutMillis)) {
                Log.write("start", "no list from discovery yet; serving by the cached list");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Schedules the log line of the counters and the measurement of the loop's maximum lateness. */
    private void scheduleCounterLines() {
        counters.registerGauge("loop-late-ms", () -> maxLatenessMillis);
        counters.registerGauge("heap-mb", () -> {
            Runtime runtime = Runtime.getRuntime();
            return runtime.totalMemory() - runtime.freeMemory() >> 20;
        });
        lastLatenessCheckNanos = System.nanoTime();
        eventLoop.scheduleWithFixedDelay(() -> {
            long now = System.nanoTime();
            maxLatenessMillis = Math.max(maxLatenessMillis,
                TimeUnit.NANOSECONDS.toMillis(now - lastLatenessCheckNanos) - LATENESS_CHECK_INTERVAL_MILLIS);
            lastLatenessCheckNanos = now;
        }, LATENESS_CHECK_INTERVAL_MILLIS, LATENESS_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        eventLoop.scheduleWithFixedDelay(() -> {
            Log.write("counters", counters.formatAndReset());
            Log.write("decisions", requestTable.balancerStatus());
            maxLatenessMillis = 0;
        }, COUNTERS_INTERVAL_MILLIS, COUNTERS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs the proxy configured by PROXY_CONFIG until it is asked to stop. */
    public static void main() {
        CompletableFuture<Proxy> startedProxy = new CompletableFuture<>();
        AtomicBoolean listenDecided = new AtomicBoolean(), startFailed = new AtomicBoolean();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            if (!startFailed.get()) {
                stopProcess(startedProxy, listenDecided);
            }
            Runtime.getRuntime().halt(startFailed.get() ? 1 : 0); // a requested stop exits with status 0
        }, "stop"));
        try {
            String configPath = System.getenv("PROXY_CONFIG");
            if (configPath == null) {
                throw new SettingException("PROXY_CONFIG", null, "the path of the configuration file");
            }
            Path file = Path.of(configPath);
            Signals.onHangUp(() -> startedProxy.thenAccept(proxy -> proxy.reload(file)));
            Config config = Config.read(file);
            Proxy proxy = new Proxy(config, ProcessEnvironment.read(config, System.getenv()),
                PROCESS_START_NANOS, listenDecided);
            proxy.eventLoop.execute(proxy::guardHeap);
            startedProxy.complete(proxy);
        } catch (StoppedBeforeListeningException e) {
            return; // the shutdown thread ends the process
        } catch (ConfigException | SettingException e) {
            exitAfterFailedStart(startedProxy, startFailed, e, () -> Log.write("start", e.getMessage()));
        } catch (IOException | RuntimeException e) {
            exitAfterFailedStart(startedProxy, startFailed, e, () -> Log.error("start", e));
        }
    }

    private static void exitAfterFailedStart(CompletableFuture<Proxy> startedProxy, AtomicBoolean startFailed,
                                             Exception cause, Runnable log) {
        log.run();
        startFailed.set(true);
        startedProxy.completeExceptionally(cause);
        System.exit(1);
    }

    /** The process was asked to stop before it listened. */
    private static final class StoppedBeforeListeningException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /**
     * Stops the process. Before it listens there are no requests to finish; afterwards the start completes
     * soon.
     */
    private static void stopProcess(CompletableFuture<Proxy> startedProxy, AtomicBoolean listenDecided) {
        if (listenDecided.compareAndSet(false, true)) {
            Log.write("stop", "asked to stop before listening");
            return;
        }
        try {
            startedProxy.get(MAX_SHUTDOWN_SECONDS, TimeUnit.SECONDS).stop();
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
            Config newConfig = Config.readForReload(file);
            eventLoop.execute(() -> discoveryClient.changeAddress(newConfig.discoveryAddress()));
            if (membershipService != null && newConfig.usesMembership()) {
                membershipService.configure(newConfig);
            } else if (membershipService != null) {
                Log.write("reload", file + ": no members are named, or Peers is false: those that were in"
                    + " force stay so until a restart");
            } else if (newConfig.usesMembership()) {
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
        new Proxy(Config.parse(TRAINING_CONFIG)).stop();
    }

    /**
     * Wall-clock time in microseconds: taken once at the start and advanced by the monotonic clock, so that
     * it never jumps.
     */
    private static LongSupplier newWallClock() {
        long wallStartMicros = System.currentTimeMillis() * 1000;
        long monotonicStartNanos = System.nanoTime();
        return () -> wallStartMicros + (System.nanoTime() - monotonicStartNanos) / 1000;
    }

    InetSocketAddress listenAddress() {
        return (InetSocketAddress) clientFrontend.localAddress();
    }

    InetSocketAddress consoleAddress() {
        return console.address();
    }

    /** The number of open client connections. */
    int clientConnectionCount() {
        return clientFrontend.connectionCount();
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    ClientFrontend clientFrontend() {
        return clientFrontend;
    }

    boolean isStopping() {
        return stopping;
    }

    /** The number of requests in flight, including those with attempts that are still running. */
    int inFlightRequestCount() {
        return requestTable.inFlightCount();
    }

    private boolean isReady() {
        return !stopping && discoveryClient.isAnyBackendReady();
    }

    /** Applies an operator's override to a backend, for the balancer and the connection pool, at once. */
    private CompletableFuture<Void> applyOverride(String backendName) {
        return CompletableFuture.runAsync(() -> discoveryClient.overrideChanged(backendName), eventLoop);
    }

    /**
     * Passes the membership of the fleet to the balancer. Its age includes the time it waits for a busy
     * event loop.
     */
    private void fleetViewChanged(FleetView fleetView) {
        long receivedAtNanos = System.nanoTime();
        eventLoop.execute(() -> requestTable.updateFleetView(new FleetView(fleetView.proxies(),
            fleetView.me(), fleetView.share(), fleetView.minShare(), fleetView.agreement(),
            (System.nanoTime() - receivedAtNanos) / 1000, fleetView.countsAge())));
    }

    /** Applies changes made by another process of the same proxy. */
    private void checkForOtherProcess() {
        operatorOverrides.refresh().forEach(this::applyOverride);
        try {
            int otherConnections = overlapDetector.exchangeDescriptorCounts(openConnections);
            if (otherConnections >= 0 != otherProcessRunning) {
                otherProcessRunning = otherConnections >= 0;
                Log.write("console", otherProcessRunning ? "another process of this proxy is running"
                    : "the other process of this proxy has ended");
            }
            eventLoop.execute(() -> {
                int availableConnections = otherConnections < 0 ? maxConnections
                    : maxConnections - RESERVED_DESCRIPTORS - otherConnections;
                connectionPool.limitConnections(availableConnections - clientFrontend.connectionCount());
                clientFrontend.limitConnections(availableConnections - connectionPool.connectionCount());
                openConnections = clientFrontend.connectionCount() + connectionPool.connectionCount();
            });
        } catch (IOException e) {
            Log.error("console", e); // keeps its current connection limits
        }
    }

    /** Stops accepting, answers all accepted requests and shuts down. Blocks until that is done. */
    void stop() {
        DrainPolicy drainPolicy = new DrainPolicy(System.nanoTime(), longestDeadlineMicros);
        eventLoop.execute(() -> {
            Log.write("stop", "asked to stop with " + requestTable.inFlightCount() + " requests in flight");
            stopping = true;
            if (membershipService != null) {
                membershipService.stopSpending();
            }
            if (membershipService != null && listenerInherited && otherProcessRunning) {
                membershipService.handOver();
            } else if (membershipService != null) {
                membershipService.leave();
            }
            drainConnections(drainPolicy);
        });
        try {
            boolean completed = shutdownComplete.await(MAX_SHUTDOWN_SECONDS, TimeUnit.SECONDS);
            Log.write("stop", completed ? "done" : "timed out waiting for requests to finish");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Leaves new connections to the successor process if there is one, otherwise accepts them as long as
     * they may arrive. Open connections are kept as long as time allows: each is closed with its next
     * response, and a connection on which a request may be on its way is not closed.
     */
    private void drainConnections(DrainPolicy drainPolicy) {
        long remainingMillis = drainPolicy.millisUntilEnd(System.nanoTime());
        clientFrontend.startDraining(drainPolicy);
        requestTable.startDraining(drainPolicy);
        if (listenerInherited) {
            clientFrontend.releaseListener();
            clientFrontend.whenAllClosed(() -> requestTable.whenEmpty(this::shutDown));
        } else {
            eventLoop.schedule(() -> {
                clientFrontend.stopAcceptingOnceBacklogEmpty(OVERLAP_CHECK_INTERVAL_MILLIS / 2,
                    () -> clientFrontend.whenAllClosed(() -> requestTable.whenEmpty(this::shutDown)));
                eventLoop.scheduleWithFixedDelay(clientFrontend::closeLongIdle, 0,
                    OVERLAP_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }, Math.min(remainingMillis, ACCEPT_AFTER_STOP_MILLIS), TimeUnit.MILLISECONDS);
        }
        eventLoop.schedule(this::endDraining, remainingMillis, TimeUnit.MILLISECONDS);
    }

    /** Answers the requests that are left, which are long ones, and closes the other connections. */
    private void endDraining() {
        requestTable.timeOutAll();
        clientFrontend.closeIdle();
    }

    /** The last responses are being written; the event loop flushes them before it ends. */
    private void shutDown() {
        discoveryClient.close();
        connectionPool.closeIdleConnections();
        if (membershipService != null) {
            membershipService.close();
        }
        if (console != null) {
            console.close();
        }
        eventLoopGroup.shutdownGracefully(50, 1000, TimeUnit.MILLISECONDS).addListener(future ->
            shutdownComplete.countDown());
    }
}
