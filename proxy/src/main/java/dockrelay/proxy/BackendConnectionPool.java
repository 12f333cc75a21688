package dockrelay.proxy;

import dockrelay.Balancer.LoadReport;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Phase;
import dockrelay.proxy.Counters.Count;
import dockrelay.proxy.DrainPolicy.AnswerMode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.collection.LongObjectMap;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Pool of persistent connections to the backends, bounded in total, with one request at a time on each. A
 * request is sent at most once, and its result is reported as exactly one outcome. All on the event loop's
 * thread.
 */
final class BackendConnectionPool {
    /** Idle connections are closed after this fraction of the time after which the backend may close them. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.85;
    private static final long SWEEP_INTERVAL_MICROS = 500_000;
    /**
     * How long a connection must stay silent after a response before it is used again. A backend may respond
     * twice, the second time some milliseconds later, and that could not be told from the response to the
     * next request.
     */
    static final long REUSE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    /** The reuse delay while any backend has recently sent a response that could not be parsed. */
    private static final long REUSE_DELAY_AFTER_UNREADABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(12);
    /** The reuse delay for a backend that has recently sent an unsolicited response. */
    private static final long REUSE_DELAY_AFTER_UNSOLICITED_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    /** How long an unreadable or unsolicited response lengthens the reuse delay. */
    private static final long ANOMALY_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(30);
    /** Bound on a response of unknown length that has to be buffered whole. */
    private static final int MAX_WHOLE_BYTES_OF_UNKNOWN_LENGTH =
        2 * BufferLimit.MAX_BUFFERED_MESSAGE_BYTES;
    /** Bound on the head of a response as it is passed on. */
    private static final int MAX_RESPONSE_HEAD_BYTES = 16 * 1024;
    /** Bound on the body of a streamed response. */
    private static final long MAX_BODY_BYTES = 32 << 20;
    /**
     * A response of unknown length is buffered for at most the attempt's timeout divided by this number, in
     * case it turns out to be short; after that it is streamed.
     */
    private static final long BUFFERING_TIME_DIVISOR = 8;
    /**
     * A body without progress for this long is aborted: clients and backends may pause for seconds, no
     * longer.
     */
    private static final long STALL_TIMEOUT_SECONDS = 10;

    private final Bootstrap bootstrap;
    private final EventLoop eventLoop;
    private final Counters counters;
    private final BufferLimit bufferLimit;
    private final int configuredMaxConnections;
    private int maxConnections;
    private final long maxIdleNanos, reuseDelayNanos;
    private LongObjectMap<RequestTable.ListedBackend> listedBackends = BackendRegistry.newIdMap(0);
    private final LongObjectMap<BackendState> backendStates = BackendRegistry.newIdMap(0); // created on use
    private final Set<BackendConnection> idleConnections = new LinkedHashSet<>(); // longest idle first
    private int connectionCount;
    private boolean unreadableSeen;
    private long lastUnreadableNanos; // when a response last could not be parsed

    /** The connection state of a backend that requests have been sent to. */
    private static final class BackendState {
        final long id;
        SocketAddress address;
        boolean acceptsRequests, unsolicitedSeen;
        long lastUnsolicitedNanos;
        int openConnections;
        final Deque<BackendConnection> idleConnections = new ArrayDeque<>(); // most recently used last

        BackendState(long id) {
            this.id = id;
        }
    }

    /**
     * Creates an empty pool.
     *
     * @param connectionIdleMicros time after which backends may close an idle connection
     */
    BackendConnectionPool(Bootstrap template, EventLoop eventLoop, int maxConnections,
                          long connectTimeoutMicros, long connectionIdleMicros, Counters counters,
                          BufferLimit bufferLimit, HeadMemory headMemory) {
        this(template, eventLoop, maxConnections, connectTimeoutMicros, connectionIdleMicros, counters,
            bufferLimit, headMemory, REUSE_DELAY_NANOS);
    }

    BackendConnectionPool(Bootstrap template, EventLoop eventLoop, int maxConnections,
                          long connectTimeoutMicros, long connectionIdleMicros, Counters counters,
                          BufferLimit bufferLimit, HeadMemory headMemory, long reuseDelayNanos) {
        this.reuseDelayNanos = reuseDelayNanos;
        this.bufferLimit = bufferLimit;
        this.eventLoop = eventLoop;
        this.counters = counters;
        counters.registerGauge("backend-connections", () -> connectionCount);
        this.configuredMaxConnections = maxConnections;
        this.maxConnections = maxConnections;
        this.maxIdleNanos = (long) (connectionIdleMicros * IDLE_TIMEOUT_FRACTION * 1000);
        this.bootstrap = template.clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeoutMicros / 1000))
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimit.WATER_MARKS)
            .option(ChannelOption.RECVBUF_ALLOCATOR, bufferLimit.receiveAllocator())
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    // An abandoned request must not arrive later, nor one of a process that is killed.
                    ConnectionClose.resetWhenClosed(channel);
                    HeadMemory.ConnectionShare heads = headMemory.backendShare();
                    channel.pipeline().addLast(new ResponseDecoder(heads.decoderConfig()),
                        new HttpRequestEncoder(), new ContentMerger(), new BackendConnection(heads));
                }
            });
        eventLoop.scheduleAtFixedRate(this::closeExpiredConnections, SWEEP_INTERVAL_MICROS,
            SWEEP_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }

    int connectionCount() {
        return connectionCount;
    }

    /** Limits the number of connections to the file descriptors that are left. */
    void limitConnections(int availableDescriptors) {
        maxConnections = Math.max(1, Math.min(configuredMaxConnections, availableDescriptors));
        int excess = connectionCount - maxConnections;
        while (excess-- > 0 && evictLongestIdle()) {
            continue; // idle connections are closed now, busy ones after their response
        }
    }

    /** Updates a backend's address and whether it accepts new requests. */
    void updateBackend(RequestTable.ListedBackend listed) {
        long id = listed.backend().id();
        if (listed.backend().phase() == Phase.GONE) {
            listedBackends.remove(id);
        } else {
            listedBackends.put(id, listed);
        }
        BackendState backend = backendStates.get(id);
        if (backend != null) {
            updateState(backend, listed);
        }
    }

    /** Replaces the list of backends: only these may be sent requests. */
    void replaceBackends(List<RequestTable.ListedBackend> listed) {
        listedBackends = BackendRegistry.newIdMap(listed.size());
        for (RequestTable.ListedBackend listedBackend : listed) {
            updateBackend(listedBackend);
        }
        for (BackendState backend : List.copyOf(backendStates.values())) {
            if (!listedBackends.containsKey(backend.id)) {
                backend.acceptsRequests = false;
                closeIdleConnectionsTo(backend);
                removeIfUnused(backend);
            }
        }
    }

    private void updateState(BackendState backend, RequestTable.ListedBackend listed) {
        boolean addressChanged = listed.address() != null && !listed.address().equals(backend.address);
        backend.address = listed.address() == null ? backend.address : listed.address();
        backend.acceptsRequests = listed.backend().phase() == Phase.READY;
        if (!backend.acceptsRequests || addressChanged) {
            closeIdleConnectionsTo(backend);
        }
        removeIfUnused(backend);
    }

    /** Removes the state of a backend that is no longer listed once its last connection has closed. */
    private void removeIfUnused(BackendState backend) {
        if (backend.openConnections == 0 && !listedBackends.containsKey(backend.id)
            && backendStates.get(backend.id) == backend) {
            backendStates.remove(backend.id);
        }
    }

    /** The state of a backend that a request is sent to, created on first use; null if it is not listed. */
    private BackendState stateOf(long backendId) {
        BackendState state = backendStates.get(backendId);
        RequestTable.ListedBackend listed = state == null ? listedBackends.get(backendId) : null;
        if (listed != null) {
            state = new BackendState(backendId);
            backendStates.put(backendId, state);
            updateState(state, listed);
        }
        return state;
    }

    /** The number of backends with connection state, as opposed to those that are only listed. */
    int backendStateCount() {
        return backendStates.size();
    }

    /** Closes the idle connections to a backend. */
    void closeIdleConnections(long backendId) {
        BackendState backend = backendStates.get(backendId);
        if (backend != null) {
            closeIdleConnectionsTo(backend);
        }
    }

    private void closeIdleConnectionsTo(BackendState backend) {
        BackendConnection connection = backend.idleConnections.peekFirst();
        while (connection != null) {
            closeIdleConnection(connection);
            connection = backend.idleConnections.peekFirst();
        }
    }

    /** Closes all idle connections, before the process ends. */
    void closeIdleConnections() {
        while (evictLongestIdle()) {
            continue;
        }
    }

    private void closeIdleConnection(BackendConnection connection) {
        connection.backend.idleConnections.remove(connection);
        idleConnections.remove(connection);
        ConnectionClose.deliver(connection.channel);
    }

    /** Sends a completely buffered request at once or not at all; the timeout is in microseconds. */
    Exchange send(long backendId, FullHttpRequest request, long timeoutMicros, ExchangeListener listener) {
        return send(backendId, RequestSource.of(request), null, timeoutMicros, listener);
    }

    /**
     * Sends a request. If it has a body, this is streamed as it arrives, and the timeout (in microseconds)
     * starts at its end.
     */
    Exchange send(long backendId, RequestSource request, Body body, long timeoutMicros,
                  ExchangeListener listener) {
        BackendState backend = stateOf(backendId);
        Exchange exchange = new Exchange(backend, request, body, timeoutMicros, listener);
        if (backend == null || backend.address == null || timeoutMicros <= 0) {
            exchange.end(Outcome.NOT_SENT, null);
            return exchange;
        }
        if (body == null) {
            exchange.startTimer();
        }
        BackendConnection pooled = takeIdle(backend);
        if (pooled != null) {
            counters.increment(Count.REUSED);
            exchange.writeTo(pooled);
        } else if (connectionCount < maxConnections || evictLongestIdle()) {
            connect(exchange);
        } else {
            Log.write("pool", "request not sent: all " + maxConnections + " connections are in use");
            exchange.end(Outcome.NOT_SENT, null); // a limit of this proxy, not a fault of the backend
        }
        return exchange;
    }

    /** Removes and returns the most recently used connection that may be reused; null if there is none. */
    private BackendConnection takeIdle(BackendState backend) {
        Iterator<BackendConnection> candidates = backend.idleConnections.descendingIterator();
        long now = System.nanoTime();
        long requiredDelay = backend.unsolicitedSeen
            && now - backend.lastUnsolicitedNanos < ANOMALY_WINDOW_NANOS
            ? REUSE_DELAY_AFTER_UNSOLICITED_NANOS
            : unreadableSeen && now - lastUnreadableNanos < ANOMALY_WINDOW_NANOS
                ? Math.max(reuseDelayNanos, REUSE_DELAY_AFTER_UNREADABLE_NANOS)
                : reuseDelayNanos;
        while (candidates.hasNext()) {
            BackendConnection candidate = candidates.next();
            if (candidate.readInProgress
                || now - candidate.idleSinceNanos < Math.min(requiredDelay, maxIdleNanos / 2)) {
                continue; // further bytes may still belong to its last response
            }
            candidates.remove();
            idleConnections.remove(candidate);
            if (candidate.channel.isActive() && now - candidate.idleSinceNanos < maxIdleNanos) {
                return candidate;
            }
            ConnectionClose.deliver(candidate.channel);
        }
        return null;
    }

    /**
     * Makes room for a new connection by closing the one that has been idle longest; false if none is idle.
     */
    private boolean evictLongestIdle() {
        Iterator<BackendConnection> iterator = idleConnections.iterator();
        boolean found = iterator.hasNext();
        if (found) {
            closeIdleConnection(iterator.next());
        }
        return found;
    }

    private void connect(Exchange exchange) {
        connectionCount++;
        exchange.backend.openConnections++;
        counters.increment(Count.CONNECTS);
        SocketAddress address = exchange.backend.address;
        ChannelFuture connectFuture = bootstrap.connect(Endpoint.toInetSocketAddress(address));
        exchange.channel = connectFuture.channel();
        connectFuture.addListener(done -> {
            if (!done.isSuccess()) {
                connectionClosed(exchange.backend);
                // A failure to create a socket is this proxy's fault, not the backend's.
                exchange.end(done.cause() instanceof ChannelException ? Outcome.NOT_SENT
                    : Outcome.CONNECT_FAILURE, null);
                return;
            }
            Channel channel = connectFuture.channel();
            channel.closeFuture().addListener(closeFuture -> connectionClosed(exchange.backend));
            if (exchange.ended) {
                ConnectionClose.deliver(channel);
            } else if (!exchange.backend.acceptsRequests) {
                ConnectionClose.deliver(channel); // guards against sending after the grace period of a drain
                exchange.end(Outcome.CONNECT_FAILURE, null);
            } else {
                BackendConnection connection = channel.pipeline().get(BackendConnection.class);
                connection.backend = exchange.backend;
                connection.address = address;
                exchange.writeTo(connection);
            }
        });
    }

    private void connectionClosed(BackendState backend) {
        connectionCount--;
        backend.openConnections--;
        removeIfUnused(backend);
    }

    /** Closes connections that have been idle for so long that the backend may be about to close them. */
    private void closeExpiredConnections() {
        long now = System.nanoTime();
        while (!idleConnections.isEmpty()
            && now - idleConnections.iterator().next().idleSinceNanos >= maxIdleNanos) {
            evictLongestIdle();
        }
    }

    /** One attempt to send a request to a backend, up to its outcome. */
    final class Exchange implements Body.Sink {
        private final BackendState backend;
        private RequestSource request; // null once the exchange has ended
        private final Body body;
        private final long timeoutMicros;
        private final ExchangeListener listener;
        private Channel channel;
        private Body responseBody;
        private Future<?> timer;
        private long lastProgress;
        private final long createdAtNanos = System.nanoTime();
        private boolean sendStarted, requestWritten, ended, notExecuted;
        private long sendStartNanos, requestWrittenNanos;

        private Exchange(BackendState backend, RequestSource request, Body body, long timeoutMicros,
                         ExchangeListener listener) {
            this.backend = backend;
            this.request = request;
            this.body = body;
            this.timeoutMicros = timeoutMicros;
            this.listener = listener;
        }

        private void startTimer() {
            stopTimer();
            timer = eventLoop.schedule(this::timeOut, timeoutMicros, TimeUnit.MICROSECONDS);
        }

        private void stopTimer() {
            if (timer != null) {
                timer.cancel(false);
            }
        }

        private void writeTo(BackendConnection connection) {
            channel = connection.channel;
            if (body != null) {
                stopTimer();
                timer = eventLoop.schedule(() -> end(Outcome.NOT_SENT, null), timeoutMicros,
                    TimeUnit.MICROSECONDS); // memory may be too short to learn whether the client is there
            }
            listener.whenClientPresent(() -> startSending(connection), () -> end(Outcome.NOT_SENT, null));
        }

        private void startSending(BackendConnection connection) {
            if (ended) {
                return;
            }
            if (!backend.acceptsRequests) {
                end(Outcome.CONNECT_FAILURE, null); // it began to drain while this exchange waited
                return;
            }
            if (!listener.maySend()) {
                end(Outcome.NOT_SENT, null);
                return;
            }
            long remainingMicros = Math.min(timeoutMicros, listener.remainingMicros());
            if (body != null && remainingMicros <= 0) {
                end(Outcome.NOT_SENT, null);
                return;
            }
            connection.currentExchange = this;
            sendStarted = true;
            sendStartNanos = System.nanoTime();
            HttpRequest message = request.create();
            if (body == null) {
                // The connect may have taken long: the backend is given the time that is left now.
                Headers.setTimeout(message,
                    timeoutMicros - TimeUnit.NANOSECONDS.toMicros(sendStartNanos - createdAtNanos));
                channel.writeAndFlush(message).addListener(this::writeFinished);
                return;
            }
            Headers.setTimeout(message, remainingMicros);
            channel.write(message).addListener(done -> {
                if (!done.isSuccess()) {
                    writeFinished(done);
                }
            });
            watchProgress(body);
            body.attach(this);
        }

        private void writeFinished(io.netty.util.concurrent.Future<?> done) {
            if (done.isSuccess()) {
                requestWritten = true;
                requestWrittenNanos = System.nanoTime();
            } else {
                channel.close();
                end(Outcome.CONNECT_FAILURE, null);
            }
        }

        @Override
        public void onContent(HttpContent content) {
            boolean isLast = content instanceof LastHttpContent;
            if (isLast && responseBody == null) {
                startTimer(); // the backend's time starts with the end of the request
            }
            ChannelFuture writeFuture = channel.writeAndFlush(content);
            if (isLast) {
                writeFuture.addListener(this::writeFinished);
                return;
            }
            writeFuture.addListener(done -> {
                if (!done.isSuccess()) {
                    writeFinished(done); // a reset must not pass for the end of a response without a length
                }
            });
            if (!channel.isWritable()) {
                body.setSinkWritable(false);
            }
        }

        @Override
        public boolean isWritable() {
            return channel.isWritable();
        }

        @Override
        public boolean isDrained() {
            return BufferLimit.isDrained(channel);
        }

        @Override
        public void onAborted() {
            end(Outcome.CANCELLED, null); // the backend must not take the request for complete
        }

        /** Aborts the exchange if the body makes no progress; a slow body may take as long as it needs. */
        private void watchProgress(Body transfer) {
            lastProgress = transfer.sentContentCount();
            stopTimer();
            timer = eventLoop.schedule(() -> {
                if (transfer.sentContentCount() == lastProgress) {
                    Log.write("pool",
                        "body transfer aborted: no progress for " + STALL_TIMEOUT_SECONDS + " s");
                    timeOut();
                } else {
                    watchProgress(transfer);
                }
            }, STALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        /**
         * Whether the response is longer than the buffering limit, by its declared length or by its bytes so
         * far.
         */
        boolean isLongResponse() {
            BackendConnection connection = ownConnection();
            return connection != null && (connection.streamedBytes > BufferLimit.MAX_BUFFERED_MESSAGE_BYTES
                || HttpUtil.getContentLength(connection.responseHead, 0L)
                    > BufferLimit.MAX_BUFFERED_MESSAGE_BYTES);
        }

        /** Whether the head of the response has arrived. */
        boolean hasResponseBegun() {
            BackendConnection connection = ownConnection();
            return connection != null && connection.responseHead != null;
        }

        /** The connection that carries this exchange, or null. */
        private BackendConnection ownConnection() {
            BackendConnection connection = channel == null ? null
                : channel.pipeline().get(BackendConnection.class);
            return connection != null && connection.currentExchange == this ? connection : null;
        }

        private void startStreaming(HttpResponse head, Body streamedBody) {
            responseBody = streamedBody;
            counters.increment(Count.STREAMED);
            watchProgress(streamedBody);
            listener.onStreamStart(head, streamedBody);
        }

        /** Ends the exchange because its time is over, even if a part of the response has arrived. */
        void timeOut() {
            // A backend that has taken all there was of an incomplete request is not at fault.
            boolean awaitsBody = body != null && sendStarted && !body.isComplete() && channel.isWritable();
            end(requestWritten ? Outcome.TIMEOUT : awaitsBody ? Outcome.NOT_SENT : Outcome.CONNECT_FAILURE,
                null);
        }

        /** The time since the first byte was sent, in microseconds. */
        long microsSinceSendStart() {
            return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sendStartNanos);
        }

        /** The time since the last byte was handed to the system, or 0 before that, in microseconds. */
        long microsSinceRequestWritten() {
            return requestWritten
                ? TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - requestWrittenNanos) : 0;
        }

        /** Whether the backend may have executed the request or may still do so. */
        boolean mayHaveExecuted() {
            return sendStarted && !notExecuted;
        }

        /** Whether the last byte of the request has been handed to the system. */
        boolean isRequestWritten() {
            return requestWritten;
        }

        boolean hasEnded() {
            return ended;
        }

        /** Cancels the exchange unless a byte of the request has been sent. */
        void cancelIfUnsent() {
            if (!sendStarted && !ended) {
                cancel();
            }
        }

        /**
         * Stops waiting for the response and closes the connection, which cancels the request at the backend.
         */
        void cancel() {
            end(Outcome.CANCELLED, null);
        }

        /**
         * Ends the exchange, and closes its connection unless a complete response has arrived. What the
         * backend has not received of the request is discarded.
         */
        private void end(Outcome outcome, FullHttpResponse response) {
            if (ended) {
                return;
            }
            ended = true; // before closing, which calls back into this exchange
            if (response == null && channel != null) {
                if (sendStarted) {
                    channel.close();
                } else {
                    ConnectionClose.deliver(channel);
                }
            }
            complete(outcome, response == null ? null
                : LoadReportParser.parse(response.headers().get(Headers.SERVER_LOAD)), response);
        }

        private void complete(Outcome outcome, LoadReport report, FullHttpResponse response) {
            ended = true;
            notExecuted = outcome.provesNotExecuted();
            if (outcome != Outcome.OK) {
                counters.increment(Count.valueOf(outcome.name()));
            }
            request.release();
            request = null;
            stopTimer();
            if (body != null) {
                body.detach(this);
            }
            try {
                if (responseBody != null) {
                    responseBody.abort(); // has no effect on a complete body
                }
            } catch (RuntimeException e) {
                Log.error("pool", e); // the outcome is reported all the same
            }
            listener.onEnd(outcome, report, outcome == Outcome.OK ? response : null);
            if (outcome != Outcome.OK && response != null) {
                response.release();
            }
        }
    }

    /** A connection to a backend, with at most one exchange at a time. */
    private final class BackendConnection extends SimpleChannelInboundHandler<HttpObject>
        implements Body.Source {
        private final HeadMemory.ConnectionShare heads;
        private Channel channel;
        private BackendState backend;
        private SocketAddress address;
        private Exchange currentExchange;
        private HttpResponse responseHead;
        private ByteBuf bufferedBody;
        private Body streamedBody;
        private BufferLimit.FlowControl flowControl;
        private Future<?> bufferingTimer; // while a response of unknown length is buffered
        private TransferMemory.Reservation reservation; // of memory for a response that is buffered whole
        private long idleSinceNanos, streamedBytes, reservedBytes;
        private boolean readInProgress;

        BackendConnection(HeadMemory.ConnectionShare heads) {
            super(false);
            this.heads = heads;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject httpObject) {
            Exchange exchange = currentExchange;
            if (exchange == null || exchange.ended || httpObject.decoderResult().isFailure()) {
                if (exchange == null && backend != null) {
                    backend.unsolicitedSeen = true;
                    backend.lastUnsolicitedNanos = System.nanoTime();
                }
                if (channel.isOpen()) {
                    reportUnreadable(exchange == null ? "unsolicited response"
                        : httpObject.decoderResult().toString());
                }
                ReferenceCountUtil.release(httpObject);
                abort(context); // unsolicited or not HTTP: a pending exchange ends as a reset
                return;
            }
            if (httpObject instanceof HttpResponse newHead) {
                handleHead(newHead);
            }
            if (httpObject instanceof HttpContent content) {
                handleContent(context, content);
            }
        }

        private void handleHead(HttpResponse newHead) {
            responseHead = newHead;
            boolean successful = newHead.status().code() == 200;
            if (successful
                && HttpUtil.getContentLength(newHead, 0L) > bufferLimit.maxBufferedMessageBytes()) {
                passOnLong(HttpUtil.getContentLength(newHead, 0L));
            } else if (successful && !HttpUtil.isContentLengthSet(newHead)) {
                // The length is unknown: the first bytes must not be held back for too long.
                bufferingTimer = eventLoop.schedule(this::endBuffering,
                    currentExchange.timeoutMicros / BUFFERING_TIME_DIVISOR, TimeUnit.MICROSECONDS);
            }
        }

        private void endBuffering() {
            if (streamedBody == null && currentExchange.listener.answerMode() == AnswerMode.STREAMED) {
                startStreaming();
            }
        }

        /** Lets go of the response at its end, whether or not it is complete. */
        private void releaseResponse() {
            currentExchange = null;
            heads.release(responseHead);
            responseHead = null;
            streamedBody = null;
            releaseReservation();
            if (bufferingTimer != null) {
                bufferingTimer.cancel(false);
                bufferingTimer = null;
            }
        }

        private BufferLimit.FlowControl flowControl() {
            if (flowControl == null) {
                flowControl = bufferLimit.new FlowControl(channel, counters, this::transferStage);
            }
            return flowControl;
        }

        private TransferMemory memory() {
            return bufferLimit.memory();
        }

        /** Passes on a response that has turned out to be longer than is buffered at the moment. */
        private void passOnTooLong() {
            long permittedBytes = Math.max(reservedBytes, BufferLimit.MAX_BUFFERED_MESSAGE_BYTES);
            if (currentExchange.listener.answerMode() == AnswerMode.STREAMED
                || bufferedBody.readableBytes() > permittedBytes) {
                passOnLong(MAX_WHOLE_BYTES_OF_UNKNOWN_LENGTH);
            }
        }

        /**
         * Passes on a response of this length at the most: as it arrives, or once all of it has been
         * buffered, or not at all if it can't be buffered although it would have to be.
         */
        private void passOnLong(long maxBytes) {
            Exchange exchange = currentExchange;
            if (exchange.listener.answerMode() == AnswerMode.STREAMED) {
                releaseReservation();
                startStreaming();
            } else if (maxBytes <= BufferLimit.MAX_BUFFERED_MESSAGE_BYTES) {
                return; // is buffered in any case
            } else if (reservedBytes == 0 && reserve(maxBytes)) {
                reservedBytes = maxBytes;
            } else {
                exchange.listener.onUndeliverable();
                exchange.cancel(); // has no effect if the listener has cancelled it
            }
        }

        private boolean reserve(long bytes) {
            if (bytes > memory().maxReservationBytes() || !bufferLimit.hasRoom()
                || !currentExchange.listener.reserveSendBuffer(bytes + MAX_RESPONSE_HEAD_BYTES)) {
                return false;
            }
            reservation = memory().reserve(bytes, () -> { });
            if (!reservation.isGranted()) {
                releaseReservation();
            }
            return reservation != null;
        }

        private void releaseReservation() {
            if (reservation != null) {
                reservation.release();
                reservation = null;
            }
            reservedBytes = 0;
        }

        private TransferMemory.Stage transferStage() {
            return streamedBody == null ? TransferMemory.Stage.WAITING : streamedBody.stage();
        }

        /** Switches to streaming: from here on the response is forwarded as it arrives. */
        private void startStreaming() {
            streamedBody = new Body(this, BufferLimit.MAX_BUFFERED_MESSAGE_BYTES);
            streamedBytes = bufferedBody == null ? 0 : bufferedBody.readableBytes();
            if (bufferedBody != null) {
                streamedBody.add(new DefaultHttpContent(bufferedBody));
                bufferedBody = null;
            }
            currentExchange.startStreaming(responseHead, streamedBody);
        }

        private void handleContent(ChannelHandlerContext context, HttpContent content) {
            boolean isLast = content instanceof LastHttpContent;
            heads.release(content); // trailers are not forwarded
            if (responseHead == null) {
                content.release();
            } else if (responseHead.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                content.release();
                if (isLast) {
                    heads.release(responseHead);
                    responseHead = null; // the final response is still to come
                }
            } else if (streamedBody != null) {
                Body body = streamedBody;
                streamedBytes += content.content().readableBytes();
                if (isLast) {
                    finish(context, body, content);
                } else if (streamedBytes > MAX_BODY_BYTES) {
                    content.release();
                    reportUnreadable("response body exceeds the size limit");
                    abort(context);
                } else {
                    body.add(content);
                    flowControl().afterRead();
                }
            } else {
                bufferedBody = Body.append(bufferedBody, content, channel.alloc());
                boolean tooLong = bufferedBody != null
                    && bufferedBody.readableBytes() > bufferLimit.maxBufferedMessageBytes();
                if (isLast) {
                    finish(context);
                } else if (tooLong && responseHead.status().code() == 200) {
                    passOnTooLong();
                } else if (tooLong) {
                    reportUnreadable("body too long for a response with status " + responseHead.status());
                    currentExchange.requestWritten = true;
                    abort(context);
                }
            }
        }

        /** Completes the exchange with a buffered response. */
        private void finish(ChannelHandlerContext context) {
            Exchange exchange = currentExchange;
            FullHttpResponse response = new DefaultFullHttpResponse(responseHead.protocolVersion(),
                responseHead.status(), bufferedBody == null ? Unpooled.EMPTY_BUFFER : bufferedBody,
                responseHead.headers(), EmptyHttpHeaders.INSTANCE);
            bufferedBody = null;
            releaseConnection(context);
            exchange.end(toOutcome(response), response);
        }

        /** Completes the exchange with the last content of a streamed response. */
        private void finish(ChannelHandlerContext context, Body body, HttpContent last) {
            Exchange exchange = currentExchange;
            LoadReport report = LoadReportParser.parse(responseHead.headers().get(Headers.SERVER_LOAD));
            releaseConnection(context);
            body.add(last);
            if (!exchange.ended) {
                exchange.complete(Outcome.OK, report, null);
            }
        }

        /**
         * Returns the connection to the pool after a complete response, or closes it if it cannot be reused.
         */
        private void releaseConnection(ChannelHandlerContext context) {
            boolean reusable = HttpUtil.isKeepAlive(responseHead) && currentExchange.requestWritten
                && backend.acceptsRequests && address.equals(backend.address);
            releaseResponse();
            readInProgress = true;
            if (reusable) {
                flowControl().stop();
                idleSinceNanos = System.nanoTime();
                backend.idleConnections.addLast(this);
                idleConnections.add(this);
            } else {
                ConnectionClose.deliver(channel);
            }
        }

        @Override
        public void setReadEnabled(boolean enabled) {
            if (currentExchange != null) {
                flowControl().setReadEnabled(enabled);
            }
        }

        @Override
        public void onDiscarded() {
            if (currentExchange != null) {
                currentExchange.cancel();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (currentExchange != null && currentExchange.body != null) {
                currentExchange.body.setSinkWritable(channel.isWritable());
            }
            context.fireChannelWritabilityChanged();
        }

        /**
         * Closes an idle connection that receives bytes, which are unsolicited or belong to an earlier
         * response.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (currentExchange == null && !readInProgress) {
                context.close();
            }
            readInProgress = false;
            context.fireChannelReadComplete();
        }

        /** Counts and logs a response that could not be parsed, and lengthens the reuse delay. */
        private void reportUnreadable(String reason) {
            counters.increment(Count.UNREADABLE);
            unreadableSeen = true;
            lastUnreadableNanos = System.nanoTime();
            Log.write("unreadable", "from " + address + ": " + reason);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            abort(context);
            heads.close();
        }

        /** Ends a pending exchange at once, so that bytes read later cannot pass for its response. */
        private void abort(ChannelHandlerContext context) {
            Exchange exchange = currentExchange;
            releaseResponse();
            if (bufferedBody != null) {
                bufferedBody.release();
                bufferedBody = null;
            }
            context.close();
            if (exchange != null) {
                exchange.end(exchange.requestWritten ? Outcome.RESET : Outcome.CONNECT_FAILURE, null);
            } else if (backend != null) {
                backend.idleConnections.remove(this);
                idleConnections.remove(this);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof CodecException) {
                reportUnreadable(cause.toString()); // head too long, or response truncated
            } else if (!(cause instanceof IOException)) {
                Log.error("backend", cause);
            }
            abort(context);
        }
    }

    /**
     * Classifies a response. Only a marked 503 or 504 proves that the backend did not execute the request.
     */
    private static Outcome toOutcome(FullHttpResponse response) {
        int status = response.status().code();
        if (status == 200) {
            return Outcome.OK;
        }
        boolean notProcessed = "1".equals(response.headers().get("X-Not-Processed"));
        return (status == 503 || status == 504) && notProcessed ? Outcome.REJECTED : Outcome.ERROR;
    }
}
