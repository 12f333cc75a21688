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
    private static final int MAX_READ_BYTES = 16 << 10;
    private static final long SILENCE_TIMEOUT_NANOS =
        TimeUnit.MILLISECONDS.toNanos(DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS);
    private static final int STALL_CHECKS = 5;
    private static final int STALL_CHECK_INTERVAL_MILLIS =
        DiscoveryTimeouts.STALL_TIMEOUT_MILLIS / STALL_CHECKS;
    private static final long LATENESS_TOLERANCE_NANOS =
        TimeUnit.MILLISECONDS.toNanos(DiscoveryTimeouts.LATENESS_TOLERANCE_MILLIS);

    /** Receives the events of a watch, on the event loop. */
    interface Listener {
        /** A heartbeat between two objects: nothing has changed. */
        void heartbeatReceived(DiscoveryWatch watch);

        /** An incomplete object has made no progress for {@link DiscoveryTimeouts#STALL_TIMEOUT_MILLIS}. */
        void watchStalled(DiscoveryWatch watch);

        /** Converts an entry, as soon as it is parsed, to what is to be kept of it. */
        Object readEntry(Map<?, ?> entry);

        /** A complete object, with its entries as {@link #readEntry} converted them. */
        void updateReceived(DiscoveryWatch watch, ListParser.Update update);

        /** The watch has ended; called at most once. */
        void watchEnded(DiscoveryWatch watch, String reason);
    }

    /** How a call or a watch ended. */
    enum EndReason {
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
    private final String hostHeader;
    private int callNumber; // 0 until the call is made
    private long afterVersion, calledAtNanos;
    private long answeredAtNanos; // 0 until the header of a 200 answer has been received
    private long noProgressSinceNanos, lastProgressNanos = Long.MIN_VALUE / 2;
    private String endMessage = "connection closed";
    private EndReason endReason = EndReason.CLOSED;
    private boolean ended;
    private boolean insideObject; // whether an incomplete object has been received
    private boolean anyObjectComplete; // whether a complete object or a heartbeat has been received
    private boolean stallCheckScheduled, dataSinceStallCheck;
    private final ListParser parser;

    /** Opens the connection without making a call. */
    DiscoveryWatch(Bootstrap template, InetSocketAddress address, Listener listener) {
        this.listener = listener;
        this.parser = new ListParser(listener::readEntry, this::passOnUpdate);
        this.hostHeader = address.getHostString() + ":" + address.getPort();
        ChannelFuture connectFuture = template.clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DiscoveryTimeouts.CONNECT_TIMEOUT_MILLIS)
            // Lets requests be processed between two parts of a long list.
            .option(ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MAX_READ_BYTES).maxMessagesPerRead(1))
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel newChannel) {
                    newChannel.pipeline().addLast(new HttpClientCodec(), new ResponseHandler(),
                        new BodyHandler());
                }
            }).connect(address);
        channel = connectFuture.channel();
        connectFuture.addListener(completed -> {
            if (!completed.isSuccess()) {
                endReason = EndReason.BROKEN_CONNECTION;
                notifyEnded(String.valueOf(completed.cause().getMessage()));
            } else if (callNumber > 0) {
                writeRequest();
            }
        });
    }

    /** Requests the changes since this version as soon as the connection is up; call numbers start at 1. */
    void requestChanges(long version, int number) {
        afterVersion = version;
        callNumber = number;
        calledAtNanos = System.nanoTime();
        if (channel.isActive()) {
            writeRequest();
        }
    }

    private void writeRequest() {
        String path = "/v1/servers?watch=1" + (afterVersion < 0 ? "" : "&after=" + afterVersion);
        HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, hostHeader);
        channel.writeAndFlush(request);
    }

    /** Number and age of the call, for the log. */
    String describe() {
        if (callNumber == 0) {
            return "standby connection";
        }
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAtNanos);
        return "call " + callNumber + (afterVersion < 0 ? "" : " after version " + afterVersion) + ", "
            + ageMillis + " ms old"
            + (answeredAtNanos == 0 ? "" : ", answered after " + answerLatencyMillis() + " ms")
            + (insideObject ? ", in the middle of an object" : "");
    }

    /** Time from the call to the header of its answer, in milliseconds. */
    long answerLatencyMillis() {
        return TimeUnit.NANOSECONDS.toMillis(answeredAtNanos - calledAtNanos);
    }

    boolean isAnswered() {
        return answeredAtNanos != 0;
    }

    EndReason endReason() {
        return endReason;
    }

    /** Whether it ended in the middle of an object, or after a header without any complete object. */
    boolean isTruncated() {
        return insideObject || answeredAtNanos != 0 && !anyObjectComplete;
    }

    /** The received part of an incomplete object; null if it contains nothing usable. */
    ListParser.Update partialUpdate() {
        return parser.partialUpdate();
    }

    /**
     * Whether part of an incomplete object has been parsed within the last {@link
     * DiscoveryTimeouts#LATENESS_TOLERANCE_MILLIS}.
     */
    boolean isProgressing() {
        return insideObject && System.nanoTime() - lastProgressNanos < LATENESS_TOLERANCE_NANOS;
    }

    /**
     * Turns reading on or off. Backpressure: while received updates are being applied, further data stays
     * in the socket buffer.
     */
    void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /** Closes the connection; the listener receives no further events. */
    void close() {
        ended = true;
        channel.close();
    }

    private void passOnUpdate(ListParser.Update update) {
        insideObject = false;
        anyObjectComplete = true;
        if (!ended) {
            listener.updateReceived(this, update);
        }
    }

    private void notifyEnded(String reason) {
        if (!ended) {
            ended = true;
            listener.watchEnded(this, reason);
        }
    }

    /** Handles the header of the answer and passes the body on as bytes. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpResponse response && response.status().code() != 200) {
                endReason = EndReason.REFUSED;
                endMessage = "status " + response.status().code();
                context.close();
                return;
            }
            if (message instanceof HttpResponse) {
                answeredAtNanos = System.nanoTime();
                context.pipeline().addFirst(
                    new ReadTimeoutHandler(DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
            if (message instanceof HttpContent content && !ended) {
                boolean hasBytes = content.content().isReadable(),
                    onlyWhitespace = isBlank(content.content());
                if (hasBytes && !onlyWhitespace && !insideObject) {
                    insideObject = true;
                    noProgressSinceNanos = System.nanoTime();
                }
                dataSinceStallCheck |= hasBytes && !onlyWhitespace;
                context.fireChannelRead(content.content().retain());
                if (insideObject && !stallCheckScheduled) {
                    stallCheckScheduled = true;
                    scheduleStallCheck(0);
                }
                if (hasBytes && onlyWhitespace && !insideObject && !ended) {
                    anyObjectComplete = true;
                    listener.heartbeatReceived(DiscoveryWatch.this);
                }
                if (insideObject && System.nanoTime() - noProgressSinceNanos > SILENCE_TIMEOUT_NANOS) {
                    endReason = EndReason.SILENT; // whitespace within an object is no progress
                    endMessage = "incomplete object for " + DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS + " ms";
                    context.close();
                }
                if (message instanceof LastHttpContent) {
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
    private void scheduleStallCheck(int quietChecks) {
        channel.eventLoop().schedule(() -> {
            boolean quiet = !dataSinceStallCheck && channel.config().isAutoRead();
            dataSinceStallCheck = false;
            stallCheckScheduled = insideObject && !ended;
            if (stallCheckScheduled && quiet && quietChecks + 1 == STALL_CHECKS) {
                listener.watchStalled(this);
            }
            if (stallCheckScheduled) {
                scheduleStallCheck(quiet ? quietChecks + 1 : 0);
            }
        }, STALL_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static boolean isBlank(ByteBuf bytes) {
        return bytes.forEachByte(character -> Character.isWhitespace(character)) < 0;
    }

    /** Feeds the bytes of the body to the parser. */
    private final class BodyHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final byte[] bytes = new byte[MAX_READ_BYTES];

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf body) throws IOException {
            long parsedBefore = parser.parsedValueCount();
            while (body.isReadable() && !ended) {
                int length = Math.min(bytes.length, body.readableBytes());
                body.readBytes(bytes, 0, length);
                parser.feed(bytes, length);
            }
            if (parser.parsedValueCount() > parsedBefore) {
                // a long list may take its time as long as it makes progress
                noProgressSinceNanos = lastProgressNanos = System.nanoTime();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            notifyEnded(endMessage);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean timedOut = cause instanceof ReadTimeoutException;
            endReason = timedOut ? EndReason.SILENT : EndReason.BROKEN_CONNECTION;
            endMessage = timedOut ? "no data for " + DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS + " ms"
                : cause.toString();
            context.close();
        }
    }
}
