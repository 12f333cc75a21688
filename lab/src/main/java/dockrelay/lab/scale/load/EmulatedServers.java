package dockrelay.lab.scale.load;

import dockrelay.lab.world.LoopbackAddresses;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Emulated servers that answer immediately, in groups (zones), so that the measured time is the proxy's own.
 * Many backends of a list can share the address of one server, which lets a list of tens of thousands have a
 * listener behind every entry. One event loop owns all connections.
 */
public final class EmulatedServers {
    private static final int MAX_REQUEST_BYTES = 64 << 10, BACKLOG = 1024, LOOPBACK_SECOND_OCTET = 30;
    private static final byte[] RESPONSE_BODY = "ok\n".getBytes(StandardCharsets.US_ASCII);

    private final EventLoop eventLoop;
    private final int serversPerGroup;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Channel[] listeners;
    private final List<Set<Channel>> openChannels = new ArrayList<>();
    private final AtomicLongArray requestCounts;

    /** Binds all listeners, {@code serversPerGroup} per group; must not be called on the event loop. */
    public EmulatedServers(EventLoop eventLoop, int groups, int serversPerGroup) {
        this.eventLoop = eventLoop;
        this.serversPerGroup = serversPerGroup;
        this.listeners = new Channel[groups * serversPerGroup];
        this.requestCounts = new AtomicLongArray(groups * serversPerGroup);
        for (int i = 0; i < listeners.length; i++) {
            openChannels.add(new HashSet<>());
            String host = "127." + LOOPBACK_SECOND_OCTET + "." + (1 + i / serversPerGroup) + "."
                + (1 + i % serversPerGroup);
            listeners[i] = listen(i, new InetSocketAddress(host, 0));
            addresses.add((InetSocketAddress) listeners[i].localAddress());
        }
    }

    private Channel listen(int server, InetSocketAddress address) {
        return new ServerBootstrap().group(eventLoop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    openChannels.get(server).add(channel);
                    channel.pipeline().addLast(new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES), new RequestHandler(server));
                }
            }).bind(address).syncUninterruptibly().channel();
    }

    /** Address of a server in the group; the number wraps around the group's size. */
    public InetSocketAddress address(int group, int number) {
        return addresses.get(group * serversPerGroup + Math.floorMod(number, serversPerGroup));
    }

    /** The same address as {@code host:port}. */
    public String addressText(int group, int number) {
        return LoopbackAddresses.hostAndPort(address(group, number));
    }

    /** Addresses of all servers of all groups. */
    public List<InetSocketAddress> addresses() {
        return List.copyOf(addresses);
    }

    /** Number of requests that a group has received so far. */
    public long requestCount(int group) {
        long sum = 0;
        for (int i = group * serversPerGroup; i < (group + 1) * serversPerGroup; i++) {
            sum += requestCounts.get(i);
        }
        return sum;
    }

    /**
     * Emulates the loss of a group: resets its connections and refuses new ones. Must not be called on the
     * event loop.
     */
    public void stopGroup(int group) {
        callOnLoop(() -> {
            for (int i = group * serversPerGroup; i < (group + 1) * serversPerGroup; i++) {
                listeners[i].close();
                for (Channel channel : new ArrayList<>(openChannels.get(i))) {
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                    channel.close();
                }
            }
            return null;
        });
    }

    /** Restores a stopped group at the same addresses; must not be called on the event loop. */
    public void startGroup(int group) {
        for (int i = group * serversPerGroup; i < (group + 1) * serversPerGroup; i++) {
            listeners[i].closeFuture().syncUninterruptibly();
            listeners[i] = listen(i, addresses.get(i));
        }
    }

    private <T> T callOnLoop(Callable<T> action) {
        return eventLoop.submit(action).syncUninterruptibly().getNow();
    }

    /** Answers the requests of one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int server;

        RequestHandler(int server) {
            this.server = server;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            requestCounts.incrementAndGet(server);
            ByteBuf body = Unpooled.wrappedBuffer(RESPONSE_BODY);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.OK, body);
            HttpUtil.setContentLength(response, RESPONSE_BODY.length);
            if (HttpUtil.isKeepAlive(request)) {
                context.writeAndFlush(response);
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
                context.writeAndFlush(response).addListener(done -> context.close());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            openChannels.get(server).remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
