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
 * Discovery for one list of any length, as the lab's own speaks: whole lists, and watches on which changes
 * are pushed. It is as fast as it can be: what is measured is who listens. One loop's thread owns it.
 */
public final class EmulatedDiscovery {
    private static final long ALIVE_MILLIS = 2_000;
    private static final int LONGEST = 64 << 10;

    private final SyntheticBackendList list;
    private final EventLoop loop;
    private final Channel listener;
    private final List<Channel> watches = new ArrayList<>();
    private volatile CompletableFuture<Long> wholeTold = new CompletableFuture<>();
    private volatile boolean wholeNext;

    public EmulatedDiscovery(EventLoop loop, SyntheticBackendList list) {
        this.loop = loop;
        this.list = list;
        this.listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel made) {
                    made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LONGEST),
                        new Call());
                }
            }).bind(LoopbackAddresses.discoveryAddress(0)).syncUninterruptibly().channel();
        loop.scheduleWithFixedDelay(() -> watches.forEach(watch -> watch.writeAndFlush(content("\n"))),
            ALIVE_MILLIS, ALIVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    public String address() {
        return LoopbackAddresses.hostAndPort((InetSocketAddress) listener.localAddress());
    }

    /** When (nano clock) the last byte of a whole list left, from the next one that is told on. */
    public CompletableFuture<Long> nextWhole() {
        wholeTold = new CompletableFuture<>();
        return wholeTold;
    }

    /** Ends all watches; whoever watches anew is told the whole list, whatever it has. */
    public CompletableFuture<Long> tellWholeAgain() {
        CompletableFuture<Long> told = nextWhole();
        wholeNext = true;
        loop.execute(() -> new ArrayList<>(watches).forEach(Channel::close));
        return told;
    }

    /** Pushes what has changed; complete when (nano clock) its last byte has left. */
    public CompletableFuture<Long> push(String change) {
        CompletableFuture<Long> told = new CompletableFuture<>();
        loop.execute(() -> {
            if (watches.isEmpty()) {
                told.complete(System.nanoTime()); // nobody listens: whoever comes next is told of it
            }
            for (Channel watch : watches) {
                watch.writeAndFlush(content(change + "\n"))
                    .addListener(done -> told.complete(System.nanoTime()));
            }
        });
        return told;
    }

    private static DefaultHttpContent content(String text) {
        return new DefaultHttpContent(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.parameters().containsKey("watch")) {
                FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK, Unpooled.copiedBuffer(list.fullListJson(), StandardCharsets.UTF_8));
                HttpUtil.setContentLength(response, response.content().readableBytes());
                context.writeAndFlush(response);
                return;
            }
            List<String> after = query.parameters().get("after");
            long version = after == null ? 0 : Long.parseLong(after.get(0));
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            HttpUtil.setTransferEncodingChunked(head, true);
            context.write(head);
            boolean whole = version <= 0 || wholeNext;
            wholeNext = false;
            ChannelFuture written = context.writeAndFlush(content(
                (whole ? list.fullListJson() : list.since(version)) + "\n"));
            CompletableFuture<Long> told = wholeTold;
            if (whole) {
                written.addListener(done -> {
                    if (done.isSuccess()) {
                        told.complete(System.nanoTime());
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
