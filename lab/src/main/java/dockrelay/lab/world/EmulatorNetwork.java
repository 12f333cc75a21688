package dockrelay.lab.world;

import dockrelay.lab.link.LinkHandler;
import dockrelay.lab.link.LinkTable;
import dockrelay.lab.plan.RandomStreams;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** The emulator's event loops, sockets, timers and emulated links. */
public final class EmulatorNetwork {
    /** The endpoint name of all clients together in the emulated network. */
    static final String CLIENTS_ENDPOINT = "clients";
    private static final int ACCEPT_BACKLOG = 1024;

    private final long seed;
    private final LinkTable links = new LinkTable();
    private final AtomicLong connectionCount = new AtomicLong();

    private final EventLoopGroup emulatorLoops = newLoopGroup("world"), clientLoops = newLoopGroup("clients");

    private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1,
        new DefaultThreadFactory("timers", true));

    public EmulatorNetwork(long seed) {
        this.seed = seed;
        timers.setRemoveOnCancelPolicy(true);
        // During close() the loops still run for a moment; tasks that they schedule then are dropped.
        timers.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    }

    private static EventLoopGroup newLoopGroup(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true),
            NioIoHandler.newFactory());
    }

    /**
     * Runs an action on an event loop after a delay. A dedicated timer thread fires about 0.1 ms late; the
     * loop's own timers have millisecond resolution and are about 0.5 ms late.
     */
    public Future<?> schedule(EventLoop loop, long delayMicros, Runnable action) {
        return timers.schedule(() -> loop.execute(action), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
    }

    public LinkTable links() {
        return links;
    }

    /** Returns the link emulation of one connection between an emulator's endpoint and a remote one. */
    LinkHandler newLinkHandler(String localEndpoint, String remoteEndpoint, Clock clock) {
        EventLoop loop = localEndpoint.equals(CLIENTS_ENDPOINT) ? clientLoop() : emulatorLoop();
        return new LinkHandler(links, localEndpoint, remoteEndpoint, clock::nowMicros,
            (micros, action) -> schedule(loop, micros, action),
            RandomStreams.stream(seed, localEndpoint + " and " + remoteEndpoint + " "
                + connectionCount.incrementAndGet()));
    }

    /** Returns the event loop of the backends and the discovery service. */
    public EventLoop emulatorLoop() {
        return emulatorLoops.next();
    }

    /** Returns the event loop of the clients and the front load balancer. */
    public EventLoop clientLoop() {
        return clientLoops.next();
    }

    /** Binds a listener; each accepted connection gets its own handlers from the supplier. */
    ChannelFuture listen(EventLoop loop, InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        return new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(handlers)).bind(address);
    }

    /** Returns a bootstrap for outgoing connections; each gets its own handlers from the supplier. */
    Bootstrap newClientBootstrap(EventLoop loop, int timeoutMillis, Supplier<ChannelHandler[]> handlers) {
        return new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis).handler(initializer(handlers));
    }

    private static ChannelInitializer<Channel> initializer(Supplier<ChannelHandler[]> handlers) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handlers.get());
            }
        };
    }

    public void close() {
        timers.shutdownNow();
        emulatorLoops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        clientLoops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
    }
}
