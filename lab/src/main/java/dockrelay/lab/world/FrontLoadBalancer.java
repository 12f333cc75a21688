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
 * Spreads clients' connections over the proxies. It lets a proxy in once its healthz said yes after a start,
 * and notices late that one is gone. One loop's thread owns it.
 */
public final class FrontLoadBalancer {
    /** One that is well is asked again no sooner than this, and all together no oftener than each 10 ms. */
    private static final long ASK_MILLIS = 100, EACH_MILLIS = 10;
    private static final int ASK_TIMEOUT_MILLIS = 1000;
    private static final int LONGEST = 1 << 20;

    private final InetSocketAddress[] proxies;
    private final boolean[] admitted;
    private final long[] failingSince;
    private final List<ClientConnection> idle = new ArrayList<>();
    private final EventLoop loop;
    private final Clock clock;
    private final EmulatorNetwork net;
    private final RandomGenerator random;
    private final long notice;
    private final IntConsumer well;
    private boolean closed;

    /** Each yes of a proxy at healthz is told on, on the clients' loop. */
    public FrontLoadBalancer(InetSocketAddress[] proxies, Experiment.Clients spec, long seed, EmulatorNetwork net, Clock clock,
        IntConsumer well) {
        this.well = well;
        this.proxies = proxies.clone();
        this.admitted = new boolean[proxies.length];
        this.failingSince = new long[proxies.length];
        this.net = net;
        this.loop = net.clientLoop();
        this.clock = clock;
        this.random = RandomStreams.stream(seed, "front");
        this.notice = Math.round(spec.proxyRemovalDelay().draw(random));
    }

    /** Asks all proxies from now on whether they can serve. */
    public void start() {
        for (int i = 0; i < proxies.length; i++) {
            int proxy = i;
            failingSince[i] = -1;
            loop.execute(() -> ask(proxy));
        }
    }

    /** How many proxies it sends to. */
    public int healthyProxyCount() {
        return loop.submit(() -> {
            int count = 0;
            for (boolean one : admitted) {
                count += one ? 1 : 0;
            }
            return count;
        }).syncUninterruptibly().getNow();
    }

    /** At rest it asks no more. */
    public void close() {
        loop.execute(() -> {
            closed = true;
            new ArrayList<>(idle).forEach(ClientConnection::end);
        });
    }

    private void ask(int proxy) {
        if (closed) {
            return;
        }
        connect(proxy, new Health(proxy)).addListener(future -> {
            if (!future.isSuccess()) {
                heard(proxy, false);
            }
        });
    }

    private void heard(int proxy, boolean well) {
        long now = clock.nowMicros();
        if (well) {
            admitted[proxy] = true;
            this.well.accept(proxy);
            failingSince[proxy] = -1;
        } else if (failingSince[proxy] < 0) {
            failingSince[proxy] = now;
        } else if (now - failingSince[proxy] >= notice) {
            admitted[proxy] = false;
        }
        long wait = well ? Math.max(ASK_MILLIS, EACH_MILLIS * proxies.length) : ASK_MILLIS;
        loop.schedule(() -> ask(proxy), wait, TimeUnit.MILLISECONDS);
    }

    /** A connection at rest, or a new one to any proxy that is let in; null where there is none. */
    ClientConnection pick() {
        while (!idle.isEmpty()) {
            int at = random.nextInt(idle.size());
            ClientConnection one = idle.get(at);
            idle.set(at, idle.get(idle.size() - 1));
            idle.remove(idle.size() - 1);
            if (one.usable()) {
                return one;
            }
        }
        return fresh();
    }

    /** A new connection to any proxy that is let in; null where there is none. */
    ClientConnection fresh() {
        int count = 0, chosen = -1;
        for (int i = 0; i < proxies.length; i++) {
            if (admitted[i] && random.nextInt(++count) == 0) {
                chosen = i;
            }
        }
        if (chosen < 0) {
            return null;
        }
        ClientConnection connection = new ClientConnection(this, chosen);
        connection.opening(connect(chosen, connection));
        return connection;
    }

    private ChannelFuture connect(int proxy, ChannelHandler handler) {
        String name = "n" + proxy;
        Bootstrap bootstrap = net.connecting(loop, ASK_TIMEOUT_MILLIS, () -> new ChannelHandler[] {
            net.link(EmulatorNetwork.CLIENTS, name, clock), new HttpClientCodec(), new HttpObjectAggregator(LONGEST),
            handler});
        if (net.links().connects(EmulatorNetwork.CLIENTS, name)) {
            return bootstrap.connect(proxies[proxy]);
        }
        // Across a cut nothing comes up: the system is not asked, as it would bring it up.
        Channel never = bootstrap.register().channel();
        ChannelPromise promise = never.newPromise();
        net.schedule(loop, ASK_TIMEOUT_MILLIS * 1000L, () -> {
            promise.tryFailure(new ConnectTimeoutException("across a cut"));
            never.close();
        });
        return promise;
    }

    void rest(ClientConnection connection) {
        idle.add(connection);
    }

    void closed(ClientConnection connection) {
        idle.remove(connection);
    }

    /** What an answer to the question whether a proxy can serve says. */
    private final class Health extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int proxy;
        private boolean heard;

        Health(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                "/healthz", Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, "app.svc").set(HttpHeaderNames.CONNECTION, "close");
            context.writeAndFlush(request);
            context.executor().schedule(() -> context.close(), ASK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (!heard) {
                heard = true;
                heard(proxy, response.status().code() == 200);
            }
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!heard) {
                heard = true;
                heard(proxy, false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
