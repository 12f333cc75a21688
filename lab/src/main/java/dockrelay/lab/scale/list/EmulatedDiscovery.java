package dockrelay.lab.scale.list;

import dockrelay.lab.world.LoopbackAddresses;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Emulated discovery service for one list of any length, with the protocol of the lab's own discovery: full
 * lists, and watches on which changes are pushed. It adds no delays of its own, since the proxy is what is
 * measured. One event loop owns its state.
 */
public final class EmulatedDiscovery {
    private static final long KEEP_ALIVE_INTERVAL_MILLIS = 2_000;
    private static final int MAX_REQUEST_BYTES = 64 << 10;

    private final SyntheticBackendList list;
    private final EventLoop eventLoop;
    private final Channel listener;
    private final List<Channel> watches = new ArrayList<>();
    private volatile CompletableFuture<Long> fullListSent = new CompletableFuture<>();
    private volatile boolean sendFullListNext;

    /** Binds the listener and starts the keep-alive of the watches; must not be called on the event loop. */
    public EmulatedDiscovery(EventLoop eventLoop, SyntheticBackendList list) {
        this.eventLoop = eventLoop;
        this.list = list;
        this.listener = new ServerBootstrap().group(eventLoop).channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES), new RequestHandler());
                }
            }).bind(LoopbackAddresses.discoveryAddress(0)).syncUninterruptibly().channel();
        eventLoop.scheduleWithFixedDelay(() -> watches.forEach(watch -> watch.writeAndFlush(chunk("\n"))),
            KEEP_ALIVE_INTERVAL_MILLIS, KEEP_ALIVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Host and port of the listener. */
    public String address() {
        return LoopbackAddresses.hostAndPort((InetSocketAddress) listener.localAddress());
    }

    /** Completes with the time (nanoseconds) at which the next full list is written to a watch. */
    public CompletableFuture<Long> nextFullList() {
        fullListSent = new CompletableFuture<>();
        return fullListSent;
    }

    /** Ends all watches; the next watch receives the full list, whichever version it has. */
    public CompletableFuture<Long> resendFullList() {
        CompletableFuture<Long> sent = nextFullList();
        sendFullListNext = true;
        eventLoop.execute(() -> new ArrayList<>(watches).forEach(Channel::close));
        return sent;
    }

    /** Pushes a change to all watches; completes with the time (nanoseconds) at which it is written. */
    public CompletableFuture<Long> push(String changeJson) {
        CompletableFuture<Long> sent = new CompletableFuture<>();
        eventLoop.execute(() -> {
            if (watches.isEmpty()) {
                sent.complete(System.nanoTime()); // no watch is open: the next one receives this change
            }
            for (Channel watch : watches) {
                watch.writeAndFlush(chunk(changeJson + "\n"))
                    .addListener(written -> sent.complete(System.nanoTime()));
            }
        });
        return sent;
    }

    private static DefaultHttpContent chunk(String text) {
        return new DefaultHttpContent(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Handles the requests of one connection: a full list, or a watch. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.parameters().containsKey("watch")) {
                FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(list.fullListJson(), StandardCharsets.UTF_8));
                HttpUtil.setContentLength(response, response.content().readableBytes());
                context.writeAndFlush(response);
                return;
            }
            List<String> afterParameter = query.parameters().get("after");
            long afterVersion = afterParameter == null ? 0 : Long.parseLong(afterParameter.get(0));
            HttpResponse responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            HttpUtil.setTransferEncodingChunked(responseHead, true);
            context.write(responseHead);
            boolean full = afterVersion <= 0 || sendFullListNext;
            sendFullListNext = false;
            ChannelFuture written = context.writeAndFlush(chunk(
                (full ? list.fullListJson() : list.changesSinceJson(afterVersion)) + "\n"));
            CompletableFuture<Long> sent = fullListSent;
            if (full) {
                written.addListener(done -> {
                    if (done.isSuccess()) {
                        sent.complete(System.nanoTime());
                    }
                });
            }
            watches.add(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watches.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
