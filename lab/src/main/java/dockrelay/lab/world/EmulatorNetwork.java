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

/** The world's sockets and loops. */
public final class EmulatorNetwork {
    /** The name of all clients together, as a party of the network. */
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
        // At the end the loops still run for a moment: what they put off then is not to be done any more.
        timers.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    }

    private static EventLoopGroup newLoopGroup(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true),
            NioIoHandler.newFactory());
    }

    /**
     * Runs this on the loop after a time. The loop's own timers wake by the millisecond, and late by half of
     * one: a thread that only waits is some 0.1 ms late.
     */
    public Future<?> schedule(EventLoop loop, long delayMicros, Runnable action) {
        return timers.schedule(() -> loop.execute(action), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
    }

    public LinkTable links() {
        return links;
    }

    /** The network between a party of the world's and another, for one connection. */
    LinkHandler newLinkHandler(String localEndpoint, String remoteEndpoint, Clock clock) {
        EventLoop loop = localEndpoint.equals(CLIENTS_ENDPOINT) ? clientLoop() : emulatorLoop();
        return new LinkHandler(links, localEndpoint, remoteEndpoint, clock::nowMicros,
            (micros, action) -> schedule(loop, micros, action),
            RandomStreams.stream(seed, localEndpoint + " and " + remoteEndpoint + " "
                + connectionCount.incrementAndGet()));
    }

    /** Nodes and discovery. */
    public EventLoop emulatorLoop() {
        return emulatorLoops.next();
    }

    public EventLoop clientLoop() {
        return clientLoops.next();
    }

    /** Listens at this address; each connection gets the handlers that this gives it. */
    ChannelFuture listen(EventLoop loop, InetSocketAddress address, Supplier<ChannelHandler[]> handlers) {
        return new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(handlers)).bind(address);
    }

    Bootstrap newClientBootstrap(EventLoop loop, int timeoutMillis, Supplier<ChannelHandler[]> handlers) {
        return new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY,
            true)
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
