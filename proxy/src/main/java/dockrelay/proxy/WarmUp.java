package dockrelay.proxy;

import dockrelay.Balancer.Backend;
import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.Phase;
import dockrelay.Balancer.ServiceClass;
import dockrelay.RiqBalancer;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Sends synthetic requests through a second instance of the proxy's components: over Unix domain sockets in
 * a temporary folder if possible, so that the socket code is compiled as well, otherwise in memory. Without
 * it, class loading and interpreted code use whole cores in the first seconds of service.
 */
final class WarmUp {
    /**
     * Enough connections to exceed the C1 compiler's threshold for code that runs once per connection, and
     * no more.
     */
    static final int TOTAL_REQUESTS = 240;
    /** Few requests per connection, so that opening and closing connections is warmed up as well. */
    static final int REQUESTS_PER_CONNECTION = 2;
    private static final int CLIENT_COUNT = 8;
    private static final int BACKEND_COUNT = 8;
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long CONNECTION_TIMEOUT_MICROS = 1_000_000;

    private final Config config;
    private final EventLoop eventLoop;
    private final Transport transport;
    private final CountDownLatch finished = new CountDownLatch(1);
    private Bootstrap clientBootstrap;
    private int sentRequests, receivedResponses;
    private volatile boolean failed;

    /** Channel types and addresses of the client side and the backend side. */
    private record Transport(IoHandlerFactory ioHandlerFactory, Class<? extends Channel> channelClass,
                             Class<? extends ServerChannel> serverChannelClass, SocketAddress proxyAddress,
                             SocketAddress backendAddress) {
        static Transport inMemory() {
            return new Transport(LocalIoHandler.newFactory(), LocalChannel.class, LocalServerChannel.class,
                new LocalAddress(WarmUp.class), new LocalAddress(WarmUp.class));
        }

        static Transport overSockets(Path folder) {
            return new Transport(NioIoHandler.newFactory(), NioDomainSocketChannel.class,
                NioServerDomainSocketChannel.class, UnixDomainSocketAddress.of(folder.resolve("front")),
                UnixDomainSocketAddress.of(folder.resolve("back")));
        }
    }

    private WarmUp(Config config, EventLoop eventLoop, Transport transport) {
        this.config = config;
        this.eventLoop = eventLoop;
        this.transport = transport;
    }

    /** Uses TMPDIR, the only writable folder in service. */
    static void run(Config config, ByteBufAllocator allocator) {
        String folder = System.getenv("TMPDIR");
        run(config, allocator, Path.of(folder == null ? System.getProperty("java.io.tmpdir") : folder));
    }

    /** Runs the warm-up in a temporary folder below {@code parent}. Returns whether it ran over sockets. */
    static boolean run(Config config, ByteBufAllocator allocator, Path parent) {
        Path folder = null;
        boolean ranOverSockets = false;
        try {
            folder = Files.createTempDirectory(parent, "warm");
            ranOverSockets = canConnect(folder.resolve("trial"))
                && run(config, allocator, Transport.overSockets(folder));
        } catch (IOException | RuntimeException e) {
            Log.error("warm-up", e); // falls back to the in-memory transport
        } finally {
            delete(folder);
        }
        if (!ranOverSockets) {
            run(config, allocator, Transport.inMemory());
        }
        return ranOverSockets;
    }

    /**
     * Whether two Unix domain sockets can connect here. If not, waiting for the warm-up to time out would
     * delay the start.
     */
    private static boolean canConnect(Path socketPath) throws IOException {
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
             SocketChannel client = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            UnixDomainSocketAddress address = UnixDomainSocketAddress.of(socketPath);
            server.bind(address).configureBlocking(false);
            client.configureBlocking(false);
            if (!client.connect(address)) {
                return false;
            }
            try (SocketChannel accepted = server.accept()) {
                return accepted != null;
            }
        } finally {
            Files.deleteIfExists(socketPath);
        }
    }

    private static void delete(Path folder) {
        if (folder == null) {
            return;
        }
        try {
            Files.deleteIfExists(folder.resolve("front"));
            Files.deleteIfExists(folder.resolve("back"));
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            Log.error("warm-up", e); // at most two files are left over in a private folder
        }
    }

    private static boolean run(Config config, ByteBufAllocator allocator, Transport transport) {
        EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1, transport.ioHandlerFactory);
        WarmUp warmUp = new WarmUp(config, eventLoopGroup.next(), transport);
        try {
            eventLoopGroup.submit(() -> warmUp.start(allocator)).syncUninterruptibly();
            return warmUp.finished.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) && !warmUp.failed;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return true;
        } catch (RuntimeException e) {
            Log.error("warm-up", e); // not fatal: a cold proxy is only slower at first
            return false;
        } finally {
            eventLoopGroup.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
        }
    }

    private void start(ByteBufAllocator allocator) {
        LongSupplier clock = () -> System.nanoTime() / 1000;
        Bootstrap bootstrap = new Bootstrap().group(eventLoop).channel(transport.channelClass)
            .option(ChannelOption.ALLOCATOR, allocator);
        Counters counters = new Counters();
        BufferLimit bufferLimit = new BufferLimit(() -> 0, config.memoryMegabytes());
        HeadMemory headMemory = new HeadMemory(Runtime.getRuntime().maxMemory());
        BackendConnectionPool pool = new BackendConnectionPool(bootstrap, eventLoop,
            BACKEND_COUNT * CLIENT_COUNT, CONNECTION_TIMEOUT_MICROS, CONNECTION_TIMEOUT_MICROS, counters,
            bufferLimit, headMemory);
        RequestTable table = new RequestTable(eventLoop, pool, clock, config, counters);
        table.disableRequestLog();
        table.attachBalancer(new RiqBalancer(config.settings(), config.seed(), table), () -> { },
            message -> { });
        startBackend(allocator);
        List<RequestTable.ListedBackend> listedBackends = new ArrayList<>();
        for (long id = 0; id < BACKEND_COUNT; id++) {
            listedBackends.add(new RequestTable.ListedBackend(
                new Backend(id, config.settings().zone(), "", 0, Phase.READY, 1, 0),
                transport.backendAddress));
        }
        table.updateBackends(ListUpdateType.CACHED, listedBackends);
        ServerBootstrap serverBootstrap =
            new ServerBootstrap().group(eventLoop).channel(transport.serverChannelClass)
            .childOption(ChannelOption.ALLOCATOR, allocator);
        ClientFrontend frontend = new ClientFrontend(table, config.settings().classes(), CLIENT_COUNT * 2,
            () -> true, counters, bufferLimit, headMemory);
        frontend.listen(serverBootstrap, transport.proxyAddress).addListener(this::listenerBound);
        clientBootstrap = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(),
                    new HttpObjectAggregator(BufferLimit.MAX_BUFFERED_MESSAGE_BYTES), new RequestingClient());
            }
        });
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clientBootstrap.connect(transport.proxyAddress);
        }
    }

    /** Ends the warm-up if a listener could not be bound, since it would never complete. */
    private void listenerBound(Future<?> bindFuture) {
        if (!bindFuture.isSuccess()) {
            failed = true;
            finished.countDown();
        }
    }

    private void startBackend(ByteBufAllocator allocator) {
        new ServerBootstrap().group(eventLoop).channel(transport.serverChannelClass)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpServerCodec(),
                        new HttpObjectAggregator(BufferLimit.MAX_BUFFERED_MESSAGE_BYTES),
                        new RespondingBackend());
                }
            }).bind(transport.backendAddress).addListener(this::listenerBound);
    }

    /** A client that sends its next request after each response. */
    private final class RequestingClient extends SimpleChannelInboundHandler<FullHttpResponse> {
        private int responsesOnConnection;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            sendRequest(context);
        }

        private void sendRequest(ChannelHandlerContext context) {
            List<ServiceClass> classes = config.settings().classes();
            ServiceClass serviceClass = classes.get(sentRequests % classes.size());
            HttpMethod method =
                serviceClass.idempotency() == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method,
                "/" + serviceClass.name() + "/warm");
            request.headers().set(HttpHeaderNames.HOST, "warm").set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(Headers.REQUEST_ID, "warm-" + sentRequests++)
                .set(Headers.SERVICE_CLASS, serviceClass.name())
                .set(Headers.TIMEOUT, "1.0").set(Headers.IDEMPOTENCY_KEY, "warm");
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (++receivedResponses == TOTAL_REQUESTS) {
                finished.countDown();
            } else if (++responsesOnConnection == REQUESTS_PER_CONNECTION) {
                context.close();
                clientBootstrap.connect(transport.proxyAddress);
            } else if (receivedResponses < TOTAL_REQUESTS) {
                // over a socket, a response never arrives within the call that sends the request
                eventLoop.execute(() -> sendRequest(context));
            }
        }
    }

    /** A backend that answers at once, except for every 50th request. */
    private static final class RespondingBackend extends SimpleChannelInboundHandler<FullHttpRequest> {
        private int requestCount;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (++requestCount % 50 == 0) {
                context.close();
                return;
            }
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[64]));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 64);
            context.executor().execute(() -> context.writeAndFlush(response));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // expected: the losing attempt of a redundant pair is cancelled
        }
    }
}
