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
 * One watch on the list: a connection, the call made on it, and its answer taken apart into objects. The
 * connection comes up at once, the call is made when it is asked for. Nothing here ends a call that waits for
 * its answer: discovery may be busy with other callers. Once it has answered it must not fall silent.
 */
final class DiscoveryWatch {
    private static final int LONGEST_READ = 16 << 10;
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(DiscoveryTimeouts.SILENT);
    private static final int STALL_CHECKS = 5;
    private static final int STALL_CHECK_MILLIS = DiscoveryTimeouts.STALL / STALL_CHECKS;
    private static final long LATENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(DiscoveryTimeouts.LATENESS);

    /** Receives what a watch sends, on the event loop. */
    interface Listener {
        /** Between two objects: nothing has changed, as far as discovery knows. */
        void heartbeat(DiscoveryWatch watch);

        /** Half an object has come, and nothing more for a while. */
        void stalled(DiscoveryWatch watch);

        /** What is to be kept of one entry, as soon as it has come. */
        Object read(Map<?, ?> entry);

        /** One object, however it is laid out, with its entries as they were read. */
        void received(DiscoveryWatch watch, ListParser.Update update);

        /** It is over, once. */
        void ended(DiscoveryWatch watch, String why);
    }

    /** How a call or a watch ended. */
    enum Ending {
        /** By discovery, in good order. */
        CLOSED,
        /** By a reset, or it never came up. */
        BROKEN_CONNECTION,
        /** The call was answered by an error. */
        REFUSED,
        /** It only ceased to speak. */
        SILENT
    }

    private final Listener listener;
    private final Channel channel;
    private final String host;
    private int number; // 0 until the call is made
    private long version, calledAt;
    private long answeredAt; // 0 until the head of a good answer has come
    private long withinSince, movedAt = Long.MIN_VALUE / 2;
    private String why = "connection closed";
    private Ending ending = Ending.CLOSED;
    private boolean ended;
    private boolean within; // an object of which more is to come
    private boolean complete; // an object or a heartbeat has come whole
    private boolean checksForStall, readSinceCheck;
    private final ListParser parser;

    /** Connects, and no more. */
    DiscoveryWatch(Bootstrap template, InetSocketAddress address, Listener listener) {
        this.listener = listener;
        this.parser = new ListParser(listener::read, this::received);
        this.host = address.getHostString() + ":" + address.getPort();
        ChannelFuture connecting = template.clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DiscoveryTimeouts.CONNECT)
            // Requests have their turn between two parts of a long list.
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

    /** Asks for what is newer than this version, as soon as the connection is up; numbered from 1 on. */
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

    /** Which call this is and how old, for the log. */
    String describe() {
        if (number == 0) {
            return "a connection without a call";
        }
        long age = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAt);
        return "call " + number + (version < 0 ? "" : " after version " + version) + ", " + age + " ms old"
            + (answeredAt == 0 ? "" : ", answered after " + answerMillis() + " ms")
            + (within ? ", in the middle of an object" : "");
    }

    /** How long discovery took from the call to the head of its answer. */
    long answerMillis() {
        return TimeUnit.NANOSECONDS.toMillis(answeredAt - calledAt);
    }

    boolean isAnswered() {
        return answeredAt != 0;
    }

    Ending ending() {
        return ending;
    }

    /** Whether it was cut: in the middle of an object, or of an answer of which nothing else has come. */
    boolean isBroken() {
        return within || answeredAt != 0 && !complete;
    }

    /** What has come of an object that is not whole; null where that says nothing. */
    ListParser.Update partial() {
        return parser.partial();
    }

    /** Whether a part of an object that is not whole has come a moment ago. */
    boolean moves() {
        return within && System.nanoTime() - movedAt < LATENESS_NANOS;
    }

    /** Whether more of it is read: while what it said is being applied, what comes next waits where it is. */
    void flow(boolean on) {
        channel.config().setAutoRead(on);
    }

    /** Ends it; the listener receives nothing more of it. */
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

    /** The answer's head, and its body as bytes for the next one. */
    private final class Answer extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpResponse response && response.status().code() != 200) {
                ending = Ending.REFUSED;
                why = "answered " + response.status().code();
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
                    ending = Ending.SILENT; // blanks count for nothing in there, however many come
                    why = "half an object for " + DiscoveryTimeouts.SILENT + " ms";
                    context.close();
                }
                if (part instanceof LastHttpContent) {
                    context.close();
                }
            }
        }
    }

    /**
     * Half an object counts as known as soon as it is written, so its rest is not waited for long. Checks are
     * counted, and not time: where this process itself was held up it had no chance to read what had come.
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
                withinSince = movedAt = System.nanoTime(); // a long list takes its time, as long as it moves
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
            why = silent ? "silent for " + DiscoveryTimeouts.SILENT + " ms" : cause.toString();
            context.close();
        }
    }
}
