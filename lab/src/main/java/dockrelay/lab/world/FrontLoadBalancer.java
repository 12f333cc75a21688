package dockrelay.lab.world;

import dockrelay.lab.plan.RandomStreams;
import dockrelay.lab.spec.Experiment;
import io.netty.buffer.Unpooled;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

/**
 * The load balancer in front of the proxies: spreads client connections over the healthy ones. A proxy
 * becomes eligible with a successful health check and is removed once checks have failed for the removal
 * delay. Owned by the client event loop.
 */
public final class FrontLoadBalancer {
    /** Healthy proxies are checked at most every 100 ms each, and at most every 10 ms over all. */
    private static final long CHECK_INTERVAL_MILLIS = 100, MIN_CHECK_SPACING_MILLIS = 10;
    /** Timeout of connecting, and of a health check after connecting. */
    private static final int TIMEOUT_MILLIS = 1000;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final InetSocketAddress[] proxies;
    private final boolean[] healthy;
    private final long[] failingSince;
    private final List<ClientConnection> idleConnections = new ArrayList<>();
    private final EventLoop loop;
    private final Clock clock;
    private final EmulatorNetwork network;
    private final RandomGenerator random;
    private final long removalDelayMicros;
    private final IntConsumer onHealthy;
    private boolean closed;

    /** {@code onHealthy} runs on the client event loop with a proxy's index at each passed health check. */
    public FrontLoadBalancer(InetSocketAddress[] proxies, Experiment.Clients spec, long seed,
        EmulatorNetwork network, Clock clock, IntConsumer onHealthy) {
        this.onHealthy = onHealthy;
        this.proxies = proxies.clone();
        this.healthy = new boolean[proxies.length];
        this.failingSince = new long[proxies.length];
        this.network = network;
        this.loop = network.clientLoop();
        this.clock = clock;
        this.random = RandomStreams.stream(seed, "front");
        this.removalDelayMicros = Math.round(spec.proxyRemovalDelay().draw(random));
    }

    /** Starts the health checks of all proxies. */
    public void start() {
        for (int i = 0; i < proxies.length; i++) {
            int proxy = i;
            failingSince[i] = -1;
            loop.execute(() -> checkHealth(proxy));
        }
    }

    /** Returns how many proxies are eligible for connections. Must not be called on the client event loop. */
    public int healthyProxyCount() {
        return loop.submit(() -> {
            int count = 0;
            for (boolean isHealthy : healthy) {
                count += isHealthy ? 1 : 0;
            }
            return count;
        }).syncUninterruptibly().getNow();
    }

    /** Stops the health checks and closes the idle connections. */
    public void close() {
        loop.execute(() -> {
            closed = true;
            new ArrayList<>(idleConnections).forEach(ClientConnection::close);
        });
    }

    private void checkHealth(int proxy) {
        if (closed) {
            return;
        }
        connect(proxy, new HealthCheck(proxy)).addListener(future -> {
            if (!future.isSuccess()) {
                onHealthCheckResult(proxy, false);
            }
        });
    }

    private void onHealthCheckResult(int proxy, boolean passed) {
        long now = clock.nowMicros();
        if (passed) {
            healthy[proxy] = true;
            this.onHealthy.accept(proxy);
            failingSince[proxy] = -1;
        } else if (failingSince[proxy] < 0) {
            failingSince[proxy] = now;
        } else if (now - failingSince[proxy] >= removalDelayMicros) {
            healthy[proxy] = false;
        }
        long delayMillis = passed ? Math.max(CHECK_INTERVAL_MILLIS,
            MIN_CHECK_SPACING_MILLIS * proxies.length) : CHECK_INTERVAL_MILLIS;
        loop.schedule(() -> checkHealth(proxy), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns an idle connection, or a new one to a random healthy proxy; null if no proxy is healthy. */
    ClientConnection acquire() {
        while (!idleConnections.isEmpty()) {
            int index = random.nextInt(idleConnections.size());
            ClientConnection connection = idleConnections.get(index);
            idleConnections.set(index, idleConnections.get(idleConnections.size() - 1));
            idleConnections.remove(idleConnections.size() - 1);
            if (connection.isUsable()) {
                return connection;
            }
        }
        return openConnection();
    }

    /** Opens a connection to a random healthy proxy; returns null if there is none. */
    ClientConnection openConnection() {
        int candidates = 0, chosenProxy = -1;
        for (int i = 0; i < proxies.length; i++) {
            if (healthy[i] && random.nextInt(++candidates) == 0) {
                chosenProxy = i;
            }
        }
        if (chosenProxy < 0) {
            return null;
        }
        ClientConnection connection = new ClientConnection(this, chosenProxy);
        connection.setConnectFuture(connect(chosenProxy, connection));
        return connection;
    }

    private ChannelFuture connect(int proxy, ChannelHandler handler) {
        String endpoint = "n" + proxy;
        Bootstrap bootstrap = network.newClientBootstrap(loop, TIMEOUT_MILLIS, () -> new ChannelHandler[] {
            network.newLinkHandler(EmulatorNetwork.CLIENTS_ENDPOINT, endpoint, clock),
            new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), handler});
        if (network.links().canConnect(EmulatorNetwork.CLIENTS_ENDPOINT, endpoint)) {
            return bootstrap.connect(proxies[proxy]);
        }
        // The link is silent. A loopback connection would succeed, so fail with a timeout instead.
        Channel unconnected = bootstrap.register().channel();
        ChannelPromise promise = unconnected.newPromise();
        network.schedule(loop, TIMEOUT_MILLIS * 1000L, () -> {
            promise.tryFailure(new ConnectTimeoutException("link to the proxy is silent"));
            unconnected.close();
        });
        return promise;
    }

    /** Returns a connection to the idle ones after a response. */
    void release(ClientConnection connection) {
        idleConnections.add(connection);
    }

    void onClosed(ClientConnection connection) {
        idleConnections.remove(connection);
    }

    /** One health check of a proxy. */
    private final class HealthCheck extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int proxy;
        private boolean reported;

        HealthCheck(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                "/healthz", Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, "app.svc").set(HttpHeaderNames.CONNECTION, "close");
            context.writeAndFlush(request);
            context.executor().schedule(() -> context.close(), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (!reported) {
                reported = true;
                onHealthCheckResult(proxy, response.status().code() == 200);
            }
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!reported) {
                reported = true;
                onHealthCheckResult(proxy, false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
