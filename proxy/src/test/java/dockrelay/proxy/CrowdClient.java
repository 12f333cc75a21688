package dockrelay.proxy;

import dockrelay.proxy.Fakes.FakeClient;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** One client of a crowd, which connects again whenever its connection ends. */
final class CrowdClient {
    private static final String FIELD = "a:b\r\n", TIMEOUT_FIELD = "X-Timeout: 2.0\r\n";
    private static final int CHUNKS_PER_WRITE = 500, PIECE_BYTES = 1_000, SLOW_READ_BYTES = 2_048;
    private static final int PIPELINED_HEADS = 40, SMALL_RECEIVE_BUFFER_BYTES = 8_192;
    private static final int LEAVE_AFTER_MILLIS = 5;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final CrowdSpec spec;
    private final SocketAddress proxyAddress;
    private final EventLoopGroup group;
    private final AtomicLong connects;
    private volatile boolean stopped;
    private volatile Channel channel;

    /** A client that counts its connections in the given counter. */
    CrowdClient(CrowdSpec spec, SocketAddress proxyAddress, EventLoopGroup group, AtomicLong connects) {
        this.spec = spec;
        this.proxyAddress = proxyAddress;
        this.group = group;
        this.connects = connects;
    }

    void connect() {
        if (stopped) {
            return;
        }
        boolean readsSlowly = spec.kind() == CrowdKind.SLOW_READER;
        Bootstrap bootstrap = new Bootstrap().group(group).channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.AUTO_READ, !readsSlowly).handler(new Connection());
        if (readsSlowly) {
            bootstrap.option(ChannelOption.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(SLOW_READ_BYTES)
                    .maxMessagesPerRead(1));
        }
        bootstrap.connect(proxyAddress).addListener(done -> {
            if (!done.isSuccess()) {
                connectLater();
            }
        });
    }

    private void connectLater() {
        if (!stopped) {
            group.next().schedule(this::connect, spec.pauseMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Closes the connection and opens no other one. */
    void stop() {
        stopped = true;
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    /** The text with which a client of this crowd begins. */
    private String firstText() {
        String fields = FIELD.repeat(spec.fields());
        String get = FakeClient.request("GET", "look", TIMEOUT_FIELD + fields);
        switch (spec.kind()) {
            case HALF_HEAD:
                return get.substring(0, get.length() - 2);
            case WHOLE_REQUESTS:
            case TOO_MANY_FIELDS:
                return get;
            case PIPELINED:
                StringBuilder text = new StringBuilder(get.replace("/thing", CrowdBackend.LATE_PATH));
                for (int i = 0; i < PIPELINED_HEADS; i++) {
                    text.append(FakeClient.request("GET", "look", TIMEOUT_FIELD + fields));
                }
                return text.toString();
            case SLOW_READER:
                return get.replace("/thing", CrowdBackend.LONG_PATH);
            case ANSWER_OF_MANY_FIELDS:
                return get.replace("/thing", CrowdBackend.MANY_FIELDS_PATH);
            case ANSWER_OF_TINY_CHUNKS:
                return get.replace("/thing", CrowdBackend.TINY_CHUNKS_PATH);
            case LEAVE_BEFORE_ANSWER:
                return get.replace("/thing", CrowdBackend.LATE_PATH);
            case TINY_CHUNKS:
                return post("Transfer-Encoding: chunked\r\n" + fields);
            default:
                return post("Content-Length: " + spec.bodyBytes() + "\r\n" + fields)
                    + "x".repeat(spec.sentBytes());
        }
    }

    private static String post(String fields) {
        return FakeClient.request("POST", "save", TIMEOUT_FIELD + "Idempotency-Key: k\r\n" + fields);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    /** The behaviour on one connection. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private int sentBodyBytes = spec.sentBytes();

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            connects.incrementAndGet();
            if (stopped) {
                context.close();
                return;
            }
            context.writeAndFlush(bytes(firstText()));
            switch (spec.kind()) {
                case SLOW_BODY -> sendPieces(context);
                case TINY_CHUNKS -> sendChunks(context);
                case SLOW_READER -> readSlowly(context);
                case LEAVE_BEFORE_ANSWER -> later(context, context::close, LEAVE_AFTER_MILLIS);
                default -> { }
            }
        }

        private void later(ChannelHandlerContext context, Runnable action, int millis) {
            context.executor().schedule(() -> {
                if (context.channel().isActive()) {
                    action.run();
                }
            }, millis, TimeUnit.MILLISECONDS);
        }

        private void sendPieces(ChannelHandlerContext context) {
            int count = Math.min(PIECE_BYTES, spec.bodyBytes() - sentBodyBytes);
            if (count > 0) {
                sentBodyBytes += count;
                context.writeAndFlush(bytes("x".repeat(count)));
                later(context, () -> sendPieces(context), spec.pieceMillis());
            }
        }

        private void sendChunks(ChannelHandlerContext context) {
            if (context.channel().isWritable()) {
                context.writeAndFlush(bytes("1\r\nx\r\n".repeat(CHUNKS_PER_WRITE)));
            }
            later(context, () -> sendChunks(context), spec.pieceMillis());
        }

        private void readSlowly(ChannelHandlerContext context) {
            context.read();
            later(context, () -> readSlowly(context), spec.pieceMillis());
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object data) {
            ReferenceCountUtil.release(data);
            if (spec.kind() == CrowdKind.SLOW_READER) {
                return;
            }
            if (spec.leaves()) {
                context.close();
            } else if (spec.kind() == CrowdKind.WHOLE_REQUESTS) {
                later(context, () -> context.writeAndFlush(bytes(firstText())), spec.pieceMillis());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connectLater();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // the proxy may reset a client of a crowd at any time
        }
    }
}
