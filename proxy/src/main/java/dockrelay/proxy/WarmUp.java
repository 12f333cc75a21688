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
    static final int REQUESTS = 240;
    /** Few requests per connection, so that opening and closing connections is warmed up as well. */
    static final int REQUESTS_EACH = 2;
    private static final int CLIENTS = 8;
    private static final int BACKENDS = 8;
    private static final long MOST_MILLIS = 3_000;
    private static final long BUDGET = 1_000_000;

    private final Config config;
    private final EventLoop loop;
    private final Transport transport;
    private final CountDownLatch over = new CountDownLatch(1);
    private Bootstrap asking;
    private int asked, answered;
    private volatile boolean failed;

    /** Channel types and addresses of the client side and the backend side. */
    private record Transport(IoHandlerFactory handlers, Class<? extends Channel> channel,
                             Class<? extends ServerChannel> server, SocketAddress front, SocketAddress back) {
        static Transport memory() {
            return new Transport(LocalIoHandler.newFactory(), LocalChannel.class, LocalServerChannel.class,
                new LocalAddress(WarmUp.class), new LocalAddress(WarmUp.class));
        }

        static Transport sockets(Path folder) {
            return new Transport(NioIoHandler.newFactory(), NioDomainSocketChannel.class,
                NioServerDomainSocketChannel.class, UnixDomainSocketAddress.of(folder.resolve("front")),
                UnixDomainSocketAddress.of(folder.resolve("back")));
        }
    }

    private WarmUp(Config config, EventLoop loop, Transport transport) {
        this.config = config;
        this.loop = loop;
        this.transport = transport;
    }

    /** Uses TMPDIR, the only writable folder in service. */
    static void run(Config config, ByteBufAllocator buffers) {
        String folder = System.getenv("TMPDIR");
        run(config, buffers, Path.of(folder == null ? System.getProperty("java.io.tmpdir") : folder));
    }

    /** Runs the warm-up in a temporary folder below {@code parent}. Returns whether it ran over sockets. */
    static boolean run(Config config, ByteBufAllocator buffers, Path parent) {
        Path folder = null;
        boolean warm = false;
        try {
            folder = Files.createTempDirectory(parent, "warm");
            warm = meet(folder.resolve("trial")) && run(config, buffers, Transport.sockets(folder));
        } catch (IOException | RuntimeException e) {
            Log.error("warm-up", e); // falls back to the in-memory transport
        } finally {
            delete(folder);
        }
        if (!warm) {
            run(config, buffers, Transport.memory());
        }
        return warm;
    }

    /**
     * Whether two Unix domain sockets can connect here. If not, waiting for the warm-up to time out would
     * delay the start.
     */
    private static boolean meet(Path name) throws IOException {
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
             SocketChannel client = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            UnixDomainSocketAddress address = UnixDomainSocketAddress.of(name);
            server.bind(address).configureBlocking(false);
            client.configureBlocking(false);
            if (!client.connect(address)) {
                return false;
            }
            try (SocketChannel accepted = server.accept()) {
                return accepted != null;
            }
        } finally {
            Files.deleteIfExists(name);
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

    private static boolean run(Config config, ByteBufAllocator buffers, Transport transport) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, transport.handlers);
        WarmUp warmUp = new WarmUp(config, group.next(), transport);
        try {
            group.submit(() -> warmUp.start(buffers)).syncUninterruptibly();
            return warmUp.over.await(MOST_MILLIS, TimeUnit.MILLISECONDS) && !warmUp.failed;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return true;
        } catch (RuntimeException e) {
            Log.error("warm-up", e); // not fatal: a cold proxy is only slower at first
            return false;
        } finally {
            group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
        }
    }

    private void start(ByteBufAllocator buffers) {
        LongSupplier clock = () -> System.nanoTime() / 1000;
        Bootstrap template = new Bootstrap().group(loop).channel(transport.channel)
            .option(ChannelOption.ALLOCATOR, buffers);
        Counters counters = new Counters();
        BufferLimit bound = new BufferLimit(() -> 0, config.memory());
        BackendConnectionPool pool = new BackendConnectionPool(template, loop, BACKENDS * CLIENTS, BUDGET, BUDGET, counters,
            bound);
        RequestTable table = new RequestTable(loop, pool, clock, config, counters);
        table.attachBalancer(new RiqBalancer(config.settings(), config.seed(), table), () -> { }, message -> { });
        listen(buffers);
        List<RequestTable.ListedBackend> members = new ArrayList<>();
        for (long id = 0; id < BACKENDS; id++) {
            members.add(new RequestTable.ListedBackend(
                new Backend(id, config.settings().zone(), "", 0, Phase.READY, 1, 0), transport.back));
        }
        table.updateBackends(ListUpdateType.CACHED, members);
        ServerBootstrap listening = new ServerBootstrap().group(loop).channel(transport.server)
            .childOption(ChannelOption.ALLOCATOR, buffers);
        new ClientFrontend(table, config.settings().classes(), CLIENTS * 2, () -> true, counters, bound)
            .listen(listening, transport.front).addListener(this::listens);
        asking = template.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(),
                    new HttpObjectAggregator(BufferLimit.MAX_BUFFERED_MESSAGE_BYTES), new Asking());
            }
        });
        for (int i = 0; i < CLIENTS; i++) {
            asking.connect(transport.front);
        }
    }

    /** Ends the warm-up if a listener could not be bound, since it would never complete. */
    private void listens(Future<?> bound) {
        if (!bound.isSuccess()) {
            failed = true;
            over.countDown();
        }
    }

    private void listen(ByteBufAllocator buffers) {
        new ServerBootstrap().group(loop).channel(transport.server)
            .childOption(ChannelOption.ALLOCATOR, buffers)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpServerCodec(),
                        new HttpObjectAggregator(BufferLimit.MAX_BUFFERED_MESSAGE_BYTES), new Answering());
                }
            }).bind(transport.back).addListener(this::listens);
    }

    /** A client that sends its next request after each response. */
    private final class Asking extends SimpleChannelInboundHandler<FullHttpResponse> {
        private int here;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ask(context);
        }

        private void ask(ChannelHandlerContext context) {
            List<ServiceClass> classes = config.settings().classes();
            ServiceClass spec = classes.get(asked % classes.size());
            HttpMethod method =
                spec.idempotency() == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method,
                "/" + spec.name() + "/warm");
            request.headers().set(HttpHeaderNames.HOST, "warm").set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(Headers.REQUEST_ID, "warm-" + asked++).set(Headers.SERVICE_CLASS, spec.name())
                .set(Headers.TIMEOUT, "1.0").set(Headers.IDEMPOTENCY_KEY, "warm");
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (++answered == REQUESTS) {
                over.countDown();
            } else if (++here == REQUESTS_EACH) {
                context.close();
                asking.connect(transport.front);
            } else if (answered < REQUESTS) {
                // over a socket, a response never arrives within the call that sends the request
                loop.execute(() -> ask(context));
            }
        }
    }

    /** A backend that answers at once, except for every 50th request. */
    private static final class Answering extends SimpleChannelInboundHandler<FullHttpRequest> {
        private int count;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (++count % 50 == 0) {
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
