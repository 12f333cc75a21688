package dockrelay.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One watch on the list: a connection, the call made on it, and its answer, which is parsed into objects.
 * The connection is opened by the constructor, the call is made on request. An unanswered call does not
 * time out here, because discovery may be busy with other callers; once it has answered, it must not fall
 * silent.
 */
final class DiscoveryWatch {
    private static final int LONGEST_READ = 16 << 10;
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(DiscoveryTimeouts.SILENT);
    private static final int STALL_CHECKS = 5;
    private static final int STALL_CHECK_MILLIS = DiscoveryTimeouts.STALL / STALL_CHECKS;
    private static final long LATENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(DiscoveryTimeouts.LATENESS);

    /** Receives the events of a watch, on the event loop. */
    interface Listener {
        /** A heartbeat between two objects: nothing has changed. */
        void heartbeat(DiscoveryWatch watch);

        /** An incomplete object has made no progress for {@link DiscoveryTimeouts#STALL} ms. */
        void stalled(DiscoveryWatch watch);

        /** Converts an entry, as soon as it is parsed, to what is to be kept of it. */
        Object read(Map<?, ?> entry);

        /** A complete object, with its entries as {@link #read} converted them. */
        void received(DiscoveryWatch watch, ListParser.Update update);

        /** The watch has ended; called at most once. */
        void ended(DiscoveryWatch watch, String why);
    }

    /** How a call or a watch ended. */
    enum Ending {
        /** Discovery closed it in good order. */
        CLOSED,
        /** The connection was reset or never came up. */
        BROKEN_CONNECTION,
        /** The call was answered with an error status. */
        REFUSED,
        /** Nothing more was received. */
        SILENT
    }

    private final Listener listener;
    private final Channel channel;
    private final String host;
    private int number; // 0 until the call is made
    private long version, calledAt;
    private long answeredAt; // 0 until the header of a 200 answer has been received
    private long withinSince, movedAt = Long.MIN_VALUE / 2;
    private String why = "connection closed";
    private Ending ending = Ending.CLOSED;
    private boolean ended;
    private boolean within; // whether an incomplete object has been received
    private boolean complete; // whether a complete object or a heartbeat has been received
    private boolean checksForStall, readSinceCheck;
    private final ListParser parser;

    /** Opens the connection without making a call. */
    DiscoveryWatch(Bootstrap template, InetSocketAddress address, Listener listener) {
        this.listener = listener;
        this.parser = new ListParser(listener::read, this::received);
        this.host = address.getHostString() + ":" + address.getPort();
        ChannelFuture connecting = template.clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DiscoveryTimeouts.CONNECT)
            // Lets requests be processed between two parts of a long list.
            .option(ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(LONGEST_READ).maxMessagesPerRead(1))
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel made) {
                    made.pipeline().addLast(new HttpClientCodec(), new Answer(), new Objects());
                }
            }).connect(address);
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                ending = Ending.BROKEN_CONNECTION;
                end(String.valueOf(done.cause().getMessage()));
            } else if (number > 0) {
                writeCall();
            }
        });
    }

    /** Requests the changes since this version as soon as the connection is up; call numbers start at 1. */
    void call(long after, int callNumber) {
        version = after;
        number = callNumber;
        calledAt = System.nanoTime();
        if (channel.isActive()) {
            writeCall();
        }
    }

    private void writeCall() {
        String path = "/v1/servers?watch=1" + (version < 0 ? "" : "&after=" + version);
        HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, host);
        channel.writeAndFlush(request);
    }

    /** Number and age of the call, for the log. */
    String describe() {
        if (number == 0) {
            return "standby connection";
        }
        long age = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAt);
        return "call " + number + (version < 0 ? "" : " after version " + version) + ", " + age + " ms old"
            + (answeredAt == 0 ? "" : ", answered after " + answerMillis() + " ms")
            + (within ? ", in the middle of an object" : "");
    }

    /** Time from the call to the header of its answer, in milliseconds. */
    long answerMillis() {
        return TimeUnit.NANOSECONDS.toMillis(answeredAt - calledAt);
    }

    boolean isAnswered() {
        return answeredAt != 0;
    }

    Ending ending() {
        return ending;
    }

    /** Whether it ended in the middle of an object, or after a header without any complete object. */
    boolean isBroken() {
        return within || answeredAt != 0 && !complete;
    }

    /** The received part of an incomplete object; null if it contains nothing usable. */
    ListParser.Update partial() {
        return parser.partial();
    }

    /**
     * Whether part of an incomplete object has been parsed within the last {@link
     * DiscoveryTimeouts#LATENESS} ms.
     */
    boolean moves() {
        return within && System.nanoTime() - movedAt < LATENESS_NANOS;
    }

    /**
     * Turns reading on or off. Backpressure: while received updates are being applied, further data stays
     * in the socket buffer.
     */
    void flow(boolean on) {
        channel.config().setAutoRead(on);
    }

    /** Closes the connection; the listener receives no further events. */
    void close() {
        ended = true;
        channel.close();
    }

    private void received(ListParser.Update update) {
        within = false;
        complete = true;
        if (!ended) {
            listener.received(this, update);
        }
    }

    private void end(String reason) {
        if (!ended) {
            ended = true;
            listener.ended(this, reason);
        }
    }

    /** Handles the header of the answer and passes the body on as bytes. */
    private final class Answer extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpResponse response && response.status().code() != 200) {
                ending = Ending.REFUSED;
                why = "status " + response.status().code();
                context.close();
                return;
            }
            if (part instanceof HttpResponse) {
                answeredAt = System.nanoTime();
                context.pipeline().addFirst(
                    new ReadTimeoutHandler(DiscoveryTimeouts.SILENT, TimeUnit.MILLISECONDS));
            }
            if (part instanceof HttpContent content && !ended) {
                boolean some = content.content().isReadable(), blank = isBlank(content.content());
                if (some && !blank && !within) {
                    within = true;
                    withinSince = System.nanoTime();
                }
                readSinceCheck |= some && !blank;
                context.fireChannelRead(content.content().retain());
                if (within && !checksForStall) {
                    checksForStall = true;
                    checkForStall(0);
                }
                if (some && blank && !within && !ended) {
                    complete = true;
                    listener.heartbeat(DiscoveryWatch.this);
                }
                if (within && System.nanoTime() - withinSince > SILENT_NANOS) {
                    ending = Ending.SILENT; // whitespace within an object is no progress
                    why = "incomplete object for " + DiscoveryTimeouts.SILENT + " ms";
                    context.close();
                }
                if (part instanceof LastHttpContent) {
                    context.close();
                }
            }
        }
    }

    /**
     * An incomplete object counts as known as soon as discovery has written it, so its rest is not awaited
     * for long. Counts checks instead of elapsed time: while this process itself was delayed, it could not
     * read what had arrived.
     */
    private void checkForStall(int quietChecks) {
        channel.eventLoop().schedule(() -> {
            boolean quiet = !readSinceCheck && channel.config().isAutoRead();
            readSinceCheck = false;
            checksForStall = within && !ended;
            if (checksForStall && quiet && quietChecks + 1 == STALL_CHECKS) {
                listener.stalled(this);
            }
            if (checksForStall) {
                checkForStall(quiet ? quietChecks + 1 : 0);
            }
        }, STALL_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static boolean isBlank(ByteBuf bytes) {
        return bytes.forEachByte(next -> Character.isWhitespace(next)) < 0;
    }

    /** Feeds the bytes of the body to the parser. */
    private final class Objects extends SimpleChannelInboundHandler<ByteBuf> {
        private final byte[] bytes = new byte[LONGEST_READ];

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf part) throws IOException {
            long before = parser.read();
            while (part.isReadable() && !ended) {
                int length = Math.min(bytes.length, part.readableBytes());
                part.readBytes(bytes, 0, length);
                parser.feed(bytes, length);
            }
            if (parser.read() > before) {
                // a long list may take its time as long as it makes progress
                withinSince = movedAt = System.nanoTime();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end(why);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean silent = cause instanceof ReadTimeoutException;
            ending = silent ? Ending.SILENT : Ending.BROKEN_CONNECTION;
            why = silent ? "no data for " + DiscoveryTimeouts.SILENT + " ms" : cause.toString();
            context.close();
        }
    }
}
