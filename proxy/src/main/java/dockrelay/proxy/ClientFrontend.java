package dockrelay.proxy;

import dockrelay.Balancer.Request;
import dockrelay.Balancer.ServiceClass;
import dockrelay.proxy.Counters.Count;
import dockrelay.proxy.UploadMonitor.Presence;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Accepts client connections and reads their HTTP/1.1 requests. Complete requests go to the
 * {@link RequestTable}; malformed ones are answered here at once with an error status. All methods run on the
 * event loop's thread.
 */
final class ClientFrontend {
    /**
     * Above this share of the connection limit, each response closes the connection that has been idle
     * longest or, if none has been idle long enough, its own connection.
     */
    private static final double NEAR_LIMIT_RATIO = 0.75;
    /** A connection without an open request may be closed after 2 s of idling; this leaves a margin. */
    private static final long MIN_IDLE_NANOS =
        TimeUnit.MILLISECONDS.toNanos(RequestTimeout.HEAD_TIMEOUT_MILLIS);
    /** How long an idle connection whose output was shut down waits for the client to close its side. */
    private static final long IDLE_LINGER_MILLIS = 100;
    /**
     * At the connection limit, a connection that has sent nothing for this long, in the middle of a request
     * or before its first one, is closed to make room. A slow client, which may take 2 s for a request head,
     * sends some bytes within this time; a connection that only occupies a slot does not.
     */
    private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /**
     * At the connection limit, up to one in this many connections is closed at once, since each graceful
     * close takes a moment.
     */
    private static final int EVICTION_DIVISOR = 16;
    /**
     * Bound on the memory of pipelined data held while a request is in flight; the decoder accepts at most
     * 128 requests.
     */
    private static final int MAX_PIPELINED_BYTES = 32 * 1024;
    /**
     * Connections accepted per readiness event at the most. Close to the connection limit fewer are accepted,
     * since the last ones of a batch would be open before room is made for them.
     */
    private static final int MAX_ACCEPT_BATCH = 128;
    /** Reads per readiness event of a connection: one more than most requests need. */
    private static final int MAX_READS_PER_EVENT = 4;
    /** Placeholder request id while the next pipelined request is scheduled to be read. */
    private static final String NEXT_REQUEST = "";

    private final RequestTable requestTable;
    private final Counters counters;
    private final BufferLimit bufferLimit;
    private final HeadMemory headMemory;
    private final int configuredMaxConnections;
    private int maxConnections;
    private final BooleanSupplier readiness;
    private final RequestParser requestParser;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>(); // longest idle first
    private final ServerChannelRecvByteBufAllocator acceptAllocator = new ServerChannelRecvByteBufAllocator();
    private final LoopHeartbeat heartbeat = new LoopHeartbeat();
    private DiscardQueue discardQueue;
    private Channel listener;
    private boolean evictionScheduled, underMemoryPressure;
    private DrainPolicy drainPolicy; // null until this process is asked to stop
    private int acceptPauses; // times accepting was paused at the connection limit
    private Runnable allClosedAction;

    /**
     * Creates the front end without listening yet.
     *
     * @param readiness whether the proxy is ready, as reported to health checks
     */
    ClientFrontend(RequestTable requestTable, Iterable<ServiceClass> serviceClasses, int maxConnections,
                   BooleanSupplier readiness, Counters counters, BufferLimit bufferLimit,
                   HeadMemory headMemory) {
        this.bufferLimit = bufferLimit;
        this.headMemory = headMemory;
        this.requestTable = requestTable;
        this.counters = counters;
        counters.registerGauge("clients", connections::size);
        counters.registerGauge("head-kb", () -> headMemory.usedBytes() >> 10);
        this.configuredMaxConnections = maxConnections;
        this.maxConnections = maxConnections;
        this.readiness = readiness;
        requestParser = new RequestParser(serviceClasses);
    }

    /**
     * Starts accepting connections.
     *
     * @param address the address to bind, or null if the bootstrap's channel already is a listening socket
     */
    ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
        adjustAcceptBatch();
        bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, acceptAllocator)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimit.WATER_MARKS)
            // Read until the socket is drained, so that a connection closed right after its request is
            // noticed before the request is forwarded.
            .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                bufferLimit.receiveAllocator().respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS_PER_EVENT))
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    ClientInput input = new ClientInput(System.nanoTime());
                    RequestTimeout requestTimeout = new RequestTimeout();
                    HeadMemory.ConnectionShare heads = headMemory.clientShare();
                    channel.pipeline().addLast(new InputObserver(input, heartbeat), requestTimeout,
                        new HttpServerCodec(heads.decoderConfig()), new ContentMerger(),
                        new ClientConnection(requestTimeout, heads, input));
                }
            });
        ChannelFuture bindFuture = address == null ? bootstrap.register() : bootstrap.bind(address);
        listener = bindFuture.channel();
        heartbeat.start(listener.eventLoop());
        discardQueue = new DiscardQueue(listener.eventLoop());
        return bindFuture;
    }

    /** The number of connections that are accepted at once at the moment. */
    int acceptBatch() {
        return acceptAllocator.maxMessagesPerRead();
    }

    int connectionCount() {
        return connections.size();
    }

    /** The estimated memory of all request heads at hand, in bytes. */
    long usedHeadBytes() {
        return headMemory.usedBytes();
    }

    /** Limits the number of client connections to the file descriptors that are left. */
    void limitConnections(int availableDescriptors) {
        maxConnections = Math.max(1, Math.min(configuredMaxConnections, availableDescriptors));
        enforceConnectionLimit();
    }

    /** From now on every response closes its connection, and new requests get the policy's time. */
    void startDraining(DrainPolicy policy) {
        drainPolicy = policy;
    }

    /**
     * Stops accepting and leaves the listening socket to another process. The socket is not closed: when an
     * inherited socket is closed, the Java runtime redirects the log output to nowhere.
     */
    void releaseListener() {
        listener.deregister();
    }

    /** Runs the action once, when no client connection is left. */
    void whenAllClosed(Runnable action) {
        allClosedAction = action;
        checkAllClosed();
    }

    private void checkAllClosed() {
        if (allClosedAction != null && connections.isEmpty()) {
            Runnable action = allClosedAction;
            allClosedAction = null;
            action.run();
        }
    }

    /**
     * Closes the listener once accepting has not been paused for the given period, by which time the backlog
     * is empty. Closing it earlier would reset the connections in the backlog together with their requests.
     */
    void stopAcceptingOnceBacklogEmpty(long periodMillis, Runnable onClosed) {
        int pausesBefore = acceptPauses;
        listener.eventLoop().schedule(() -> {
            if (acceptPauses == pausesBefore && listener.config().isAutoRead()) {
                listener.close();
                onClosed.run();
            } else {
                stopAcceptingOnceBacklogEmpty(periodMillis, onClosed);
            }
        }, periodMillis, TimeUnit.MILLISECONDS);
    }

    /** Closes connections that have been idle long enough; on the others a request may be on its way. */
    void closeLongIdle() {
        long now = System.nanoTime();
        for (ClientConnection connection : Set.copyOf(connections)) {
            if (connection.isIdle() && now - connection.idleSinceNanos >= MIN_IDLE_NANOS) {
                connection.closeGracefully(false);
            }
        }
    }

    /** Closes all connections that have no request in flight or partly received. */
    void closeIdle() {
        for (ClientConnection connection : Set.copyOf(connections)) {
            if (connection.isIdle()) {
                connection.closeGracefully(true);
            }
        }
    }

    /** The address that clients connect to. */
    SocketAddress localAddress() {
        return listener.localAddress();
    }

    /**
     * Guards against running out of file descriptors. At the connection limit, accepting is paused so that
     * new connections wait in the backlog, and a connection between two requests is closed.
     */
    private void enforceConnectionLimit() {
        adjustAcceptBatch();
        boolean hasRoom = connections.size() < maxConnections && !underMemoryPressure;
        if (listener == null || !listener.isRegistered()) {
            return; // this process does not own the listener yet, or has released it
        }
        if (listener.config().isAutoRead() != hasRoom) {
            listener.config().setAutoRead(hasRoom);
            acceptPauses += hasRoom ? 0 : 1;
        }
        if (!hasRoom && !evictionScheduled) {
            evictionScheduled = true;
            listener.eventLoop().execute(this::evictConnections); // after pending reads have been handled
        }
    }

    /**
     * Called at each check of the memory. Under pressure no connections are accepted, and those that hold
     * most of the heap without a request in flight are closed.
     */
    void setUnderMemoryPressure(boolean pressure) {
        if (pressure || underMemoryPressure) {
            underMemoryPressure = pressure;
            enforceConnectionLimit();
        }
        if (pressure) {
            List<ClientConnection> largestFirst = connections.stream()
                .filter(each -> each.hasNoRequestInFlight() && each.heads.usedBytes() > 0)
                .sorted(Comparator.comparingLong(each -> -each.heads.usedBytes())).toList();
            int count = Math.max(1, connections.size() / EVICTION_DIVISOR);
            largestFirst.stream().limit(count).forEach(each -> each.closeForMemory());
        }
    }

    /** A connection that waits to be accepted is read late, but its client counts from its own send. */
    private void adjustAcceptBatch() {
        int room = maxConnections - connections.size();
        acceptAllocator.maxMessagesPerRead(Math.max(1, Math.min(MAX_ACCEPT_BATCH, room)));
    }

    private void evictConnections() {
        evictionScheduled = false;
        if (connections.size() < maxConnections || !listener.isRegistered()) {
            return;
        }
        if (!idleConnections.isEmpty()) {
            long now = System.nanoTime();
            int remaining = Math.max(1, maxConnections / EVICTION_DIVISOR);
            boolean first = true;
            for (ClientConnection longestIdle : List.copyOf(idleConnections)) {
                if (remaining-- == 0 || !first && now - longestIdle.idleSinceNanos < MIN_IDLE_NANOS) {
                    return;
                }
                first = false;
                counters.increment(Count.EVICTED);
                longestIdle.closeGracefully(false);
            }
            return;
        }
        ClientConnection longestSilent = null;
        for (ClientConnection connection : connections) {
            if (connection.hasNoRequestInFlight()
                && (longestSilent == null || connection.requestTimeout.lastReadNanos()
                    - longestSilent.requestTimeout.lastReadNanos() < 0)) {
                longestSilent = connection;
            }
        }
        if (longestSilent == null) {
            return; // every connection has a request in flight
        }
        long remaining = longestSilent.requestTimeout.lastReadNanos() + MIN_SILENCE_NANOS - System.nanoTime();
        if (remaining <= 0) {
            counters.increment(Count.EVICTED);
            longestSilent.closeGracefully(true);
        } else {
            evictionScheduled = true;
            listener.eventLoop().schedule(this::evictConnections, remaining, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Closes the connection that has been idle longest, if it has been idle long enough; returns whether it
     * did. Guards against closing active connections while idle ones occupy slots.
     */
    private boolean closeLongestIdle() {
        Iterator<ClientConnection> iterator = idleConnections.iterator();
        if (!iterator.hasNext()) {
            return false;
        }
        ClientConnection longestIdle = iterator.next();
        if (System.nanoTime() - longestIdle.idleSinceNanos < MIN_IDLE_NANOS) {
            return false;
        }
        counters.increment(Count.EVICTED);
        longestIdle.closeGracefully(false);
        return true;
    }

    /**
     * Whether responses should close their connections. This starts well below the limit, because a close
     * that follows a response cannot cross a new request, which eviction at the limit can.
     */
    private boolean isNearLimit() {
        return connections.size() >= maxConnections * NEAR_LIMIT_RATIO;
    }

    /** A completely received request with its HTTP message and the time at which it can have arrived. */
    private record BufferedRequest(Request request, FullHttpRequest message, long arrivedNanos) {
    }

    /** One client connection. One request is in flight at a time; pipelined ones wait. */
    private final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements RequestTable.ResponseWriter, Body.Sink {
        private final PipelineQueue pipeline = new PipelineQueue();
        private final RequestTimeout requestTimeout;
        private final HeadMemory.ConnectionShare heads;
        private final ClientInput input;
        private InputProbe inputProbe;
        private PresenceWaiters presenceWaiters;
        private Channel channel;
        private HttpRequest requestHead; // of the request being received, else null
        private HttpRequest latestHead; // of the latest request handled, until its response, else null
        private ByteBuf bufferedBody;
        private long receivedBytes;
        private ClientUpload upload; // streamed body of the request being received, else null
        private Body responseBody; // streamed response body, else null
        private String inFlightId;
        private BufferedRequest completeRequest; // held back until all received bytes have been read
        private long idleSinceNanos;
        private boolean keepAlive, closing, lastResponse, http10, closeScheduled;

        ClientConnection(RequestTimeout requestTimeout, HeadMemory.ConnectionShare heads, ClientInput input) {
            super(false);
            this.input = input;
            this.requestTimeout = requestTimeout;
            this.heads = heads;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            inputProbe = new InputProbe(channel.eventLoop(), input, this::inputObserved);
            presenceWaiters = new PresenceWaiters(inputProbe, this::clientPresence);
            idleSinceNanos = System.nanoTime();
            connections.add(this);
            counters.increment(Count.ACCEPTED);
            enforceConnectionLimit();
        }

        /**
         * Marks this connection as idle, so that it may be closed to make room. A connection is not marked
         * when it is accepted, because its first request may still be unread and closing it would lose that
         * request; one that never sends a request is closed by its timeout.
         */
        private void markIdle() {
            if (inFlightId == null && requestHead == null && !closing && channel.isActive()) {
                if (idleConnections.add(this)) {
                    idleSinceNanos = System.nanoTime();
                }
                if (!listener.config().isAutoRead()) {
                    enforceConnectionLimit();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            idleConnections.remove(this);
            enforceConnectionLimit();
            presenceWaiters.clear();
            releasePipelined();
            dropRequest();
            if (responseBody != null) {
                responseBody.release();
                responseBody = null;
            }
            heads.close();
            checkAllClosed();
        }

        /** Drops the request that is in flight or being received, without a response. */
        private void dropRequest() {
            if (completeRequest != null) {
                completeRequest.message.release();
                completeRequest = null;
                counters.increment(Count.GONE);
            }
            if (bufferedBody != null) {
                bufferedBody.release();
                bufferedBody = null;
            }
            if (inFlightId != null) {
                requestTable.clientDisconnected(inFlightId);
                inFlightId = null;
            }
            if (upload != null) {
                upload.release();
                upload.body().abort();
                upload = null;
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof RequestTimeout.TimeoutEvent timeoutEvent && !closing) {
                if (inFlightId != null && upload == null) {
                    requestTimeout.restart(); // pipelined data is timed after the request in flight
                } else if (timeoutEvent == RequestTimeout.TimeoutEvent.INCOMPLETE_REQUEST
                    && responseBody == null) {
                    counters.increment(Count.LATE);
                    respondAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
                } else if (responseBody == null) {
                    counters.increment(Count.LATE);
                    closeGracefully(false); // the first request may be on its way just now
                } else {
                    counters.increment(Count.LATE);
                    logClose("its request stood still while the answer was streamed");
                    context.close();
                }
            }
            context.fireUserEventTriggered(event);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject httpObject) {
            if (closing) {
                drop(httpObject);
                return;
            }
            if (httpObject instanceof HttpRequest newHead) {
                BoundedHeaders.countTarget(newHead);
            }
            if (inFlightId != null && upload == null) {
                queuePipelined(httpObject);
            } else {
                handle(httpObject);
            }
        }

        /**
         * Queues pipelined data until the request in flight is answered. It is read nevertheless, because
         * only reading reveals that the client has closed the connection. Data beyond the bound is discarded.
         */
        private void queuePipelined(HttpObject httpObject) {
            if (requestTimeout.isDiscarding()) {
                drop(httpObject);
                return;
            }
            pipeline.add(httpObject);
            int maxBytes = Math.min(MAX_PIPELINED_BYTES, bufferLimit.maxBufferedMessageBytes());
            if (pipeline.sizeInBytes() > maxBytes) {
                discardExcessInput();
            }
        }

        /** Discards all further input; the response to the request in flight closes the connection. */
        private void discardExcessInput() {
            counters.increment(Count.IMPROPER);
            Log.write("improper", "too much pipelined data behind a request, from "
                + channel.remoteAddress());
            keepAlive = false;
            requestTimeout.discard();
            releasePipelined();
            if (NEXT_REQUEST.equals(inFlightId)) {
                inFlightId = null;
                beginClose().closeOutput();
            }
        }

        private void releasePipelined() {
            pipeline.drainTo(this::drop);
        }

        /** Releases the memory of an object that is not handled. */
        private void drop(HttpObject httpObject) {
            heads.release(httpObject);
            ReferenceCountUtil.release(httpObject);
        }

        /**
         * Closes a connection without a request in flight gracefully. Requests that have already arrived are
         * read and served first. Bytes that cross the close are read and discarded: the client sees the end
         * of the stream and sends its request again, whereas closing with unread bytes would reset the
         * connection. A connection with a partly received request is left open unless {@code evenIfPartial}
         * is set.
         */
        private void closeGracefully(boolean evenIfPartial) {
            idleConnections.remove(this);
            if (closeScheduled) {
                return;
            }
            closeScheduled = true;
            // Scheduled rather than run at once: the event loop handles socket events before due tasks.
            channel.eventLoop().schedule(() -> {
                closeScheduled = false;
                if (hasNoRequestInFlight() && channel.isActive()
                    && (evenIfPartial || requestHead == null && !requestTimeout.isRequestIncomplete())) {
                    dropRequest();
                    beginClose().closeOutput(IDLE_LINGER_MILLIS);
                }
            }, 1, TimeUnit.MILLISECONDS);
        }

        private void handle(HttpObject httpObject) {
            if (httpObject instanceof HttpRequest newHead) {
                handleHead(newHead);
            }
            if (httpObject instanceof HttpContent content) {
                if (requestHead == null || closing) {
                    drop(content);
                } else if (content.decoderResult().isFailure()) {
                    content.release();
                    Throwable cause = content.decoderResult().cause();
                    reject(RequestParser.statusForDecodingError(cause), cause);
                } else {
                    handleContent(content);
                }
            }
        }

        private void handleHead(HttpRequest newHead) {
            idleConnections.remove(this);
            requestHead = newHead;
            latestHead = newHead;
            receivedBytes = 0;
            keepAlive = HttpUtil.isKeepAlive(newHead);
            http10 = newHead.protocolVersion().equals(HttpVersion.HTTP_1_0);
            HttpResponseStatus errorStatus;
            try {
                errorStatus = requestParser.validateHead(newHead);
            } catch (RuntimeException e) {
                Log.error("client", e); // a faulty request must not end the event loop
                errorStatus = HttpResponseStatus.INTERNAL_SERVER_ERROR;
            }
            if (errorStatus != null) {
                reject(errorStatus, newHead.decoderResult().cause());
                return;
            }
            if (HttpUtil.is100ContinueExpected(newHead)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            if (HttpUtil.getContentLength(newHead, 0L) > bufferLimit.maxBufferedMessageBytes()) {
                startStreaming();
            }
        }

        private void handleContent(HttpContent content) {
            heads.release(content); // trailers are not forwarded
            receivedBytes += content.content().readableBytes();
            boolean isLast = content instanceof LastHttpContent;
            if (receivedBytes > RequestParser.MAX_BODY_BYTES) {
                content.release();
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, null);
            } else if (upload != null) {
                handleUploadContent(upload, content, isLast);
            } else {
                bufferedBody = Body.append(bufferedBody, content, channel.alloc());
                if (isLast) {
                    requestTimeout.requestReceived();
                    handleBufferedRequest();
                } else if (receivedBytes > bufferLimit.maxBufferedMessageBytes()) {
                    startStreaming();
                }
            }
        }

        private void handleUploadContent(ClientUpload receiving, HttpContent content, boolean isLast) {
            receiving.received(content);
            if (isLast) {
                requestTimeout.requestReceived();
                requestHead = null;
                upload = null;
                requestTable.requestReceived(inFlightId);
            }
            receiving.body().add(content);
            if (isLast) {
                receiving.stop();
            } else {
                receiving.afterRead();
            }
        }

        /** Handles a request that has been received and buffered completely. */
        private void handleBufferedRequest() {
            FullHttpRequest message = new DefaultFullHttpRequest(requestHead.protocolVersion(),
                requestHead.method(), requestHead.uri(),
                bufferedBody == null ? Unpooled.EMPTY_BUFFER : bufferedBody, requestHead.headers(),
                EmptyHttpHeaders.INSTANCE);
            bufferedBody = null;
            requestHead = null;
            if (RequestParser.isHealthCheck(message)) {
                message.release();
                respond(RequestTable.emptyResponse(
                    readiness.getAsBoolean() ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE));
                return;
            }
            HttpResponseStatus errorStatus = validateBody(message);
            if (errorStatus != null) {
                message.release();
                reject(errorStatus, null);
                return;
            }
            completeRequest = new BufferedRequest(toRequest(message, false), message,
                input.lastEmptyNanos(System.nanoTime()));
            inFlightId = completeRequest.request.id();
            channel.eventLoop().execute(this::forwardCompleteRequest);
        }

        /**
         * Passes the request on once all received bytes have been read. If the client has disconnected by
         * then, nothing is forwarded.
         */
        private void forwardCompleteRequest() {
            BufferedRequest bufferedRequest = completeRequest;
            completeRequest = null;
            if (bufferedRequest == null) {
                return;
            }
            if (!channel.isActive()) {
                counters.increment(Count.GONE);
                bufferedRequest.message.release();
            } else if (requestTable.conflictsWithEarlier(bufferedRequest.request.id(),
                bufferedRequest.request.serviceClass())) {
                bufferedRequest.message.release();
                inFlightId = null;
                reject(HttpResponseStatus.CONFLICT, null);
            } else {
                requestTable.accept(bufferedRequest.request, bufferedRequest.message, TimeUnit.NANOSECONDS
                    .toMicros(System.nanoTime() - bufferedRequest.arrivedNanos), this);
            }
        }

        /** Switches to streaming: a long request is forwarded as it arrives. */
        private void startStreaming() {
            HttpResponseStatus errorStatus = RequestParser.isHealthCheck(requestHead)
                ? HttpResponseStatus.BAD_REQUEST : validateBody(requestHead);
            if (errorStatus != null) {
                reject(errorStatus, null);
                return;
            }
            Request request = toRequest(requestHead, true);
            inFlightId = request.id();
            upload = new ClientUpload(channel, input, inputProbe, bufferLimit, counters,
                request.timeBudget(), HttpUtil.getContentLength(requestHead, -1L), receivedBytes);
            if (bufferedBody != null) {
                upload.body().add(new DefaultHttpContent(bufferedBody));
                bufferedBody = null;
            }
            requestTable.accept(request, new DefaultFullHttpRequest(requestHead.protocolVersion(),
                requestHead.method(), requestHead.uri(), Unpooled.EMPTY_BUFFER, requestHead.headers(),
                EmptyHttpHeaders.INSTANCE), upload.body(), upload, this);
        }

        /** Checks that need the body or a complete request; returns the error status, or null. */
        private HttpResponseStatus validateBody(HttpRequest message) {
            boolean hasBody = receivedBytes > 0 || HttpUtil.getContentLength(message, 0L) > 0;
            if (hasBody && HttpMethod.GET.equals(message.method())) {
                return HttpResponseStatus.BAD_REQUEST;
            }
            HttpHeaders headers = message.headers();
            return requestTable.conflictsWithEarlier(headers.get(Headers.REQUEST_ID),
                headers.get(Headers.SERVICE_CLASS))
                ? HttpResponseStatus.CONFLICT : null; // request ids must be unique
        }

        private Request toRequest(HttpRequest message, boolean streamed) {
            long timeBudgetMicros = timeBudget(RequestParser.timeoutMicros(message));
            return RequestParser.toRequest(message, timeBudgetMicros, streamed);
        }

        /**
         * The time budget of a request, in microseconds. While draining it ends before this process does: a
         * request that is still in flight when the process is killed would be lost.
         */
        private long timeBudget(long requestedMicros) {
            return drainPolicy == null ? requestedMicros
                : drainPolicy.timeBudgetMicros(requestedMicros, System.nanoTime());
        }

        private void closeForMemory() {
            counters.increment(Count.CLOSED_FOR_MEMORY);
            logClose("memory is short, and this connection holds " + heads.usedBytes() + " bytes of heads");
            closeGracefully(true);
        }

        /** Whether every byte that was read belongs to a request that has been answered. */
        private boolean isIdle() {
            return inFlightId == null && requestHead == null && pipeline.isEmpty() && !closing;
        }

        /** Whether no request is in flight: the client has sent none, or only a part of one. */
        private boolean hasNoRequestInFlight() {
            return inFlightId == null && !closing;
        }

        private void reject(HttpResponseStatus status, Throwable cause) {
            counters.increment(cause instanceof HeadMemoryExhaustedException ? Count.HEADS_REJECTED
                : Count.IMPROPER);
            Log.write("improper",
                status + " to " + channel.remoteAddress() + (cause == null ? "" : ": " + cause));
            respondAndClose(status);
        }

        /**
         * Sends an error status and closes the connection, since a misbehaving client should not hold a slot.
         */
        private void respondAndClose(HttpResponseStatus status) {
            keepAlive = false;
            dropRequest();
            if (responseBody == null) {
                respond(RequestTable.emptyResponse(status));
            } else {
                logClose(status + " after its answer had begun");
                channel.close(); // a streamed response has begun, so that no other can be sent
            }
        }

        /** Logs why this connection is closed without a complete answer. */
        private void logClose(String reason) {
            Log.write("close", () -> "client " + channel.remoteAddress() + ", request " + inFlightId + ": "
                + reason);
        }

        /** Whether the next response closes the connection; always so if its request is not yet complete. */
        private boolean isLastResponse() {
            boolean closesConnection = !keepAlive || drainPolicy != null || requestHead != null;
            if (!closesConnection && isNearLimit() && !closeLongestIdle()) {
                counters.increment(Count.CROWDED);
                closesConnection = true;
            }
            return closesConnection;
        }

        @Override
        public void respond(FullHttpResponse response) {
            Headers.removeHopByHop(response.headers());
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            lastResponse = isLastResponse();
            if (lastResponse) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            finishResponse(channel.writeAndFlush(response));
        }

        @Override
        public boolean reserveSendBuffer(long bytes) {
            if (!(channel instanceof SocketChannel socketChannel)) {
                return true; // there is no system in between
            }
            SocketChannelConfig config = socketChannel.config();
            if (DrainPolicy.maxWholeAnswerBytes(config.getSendBufferSize()) < bytes) {
                config.setSendBufferSize((int) bytes); // the system sets a limit to it
            }
            return DrainPolicy.maxWholeAnswerBytes(config.getSendBufferSize()) >= bytes;
        }

        @Override
        public void beginStreaming(HttpResponse streamedHead, Body body) {
            HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, streamedHead.status(),
                    streamedHead.headers().copy());
            Headers.removeHopByHop(response.headers());
            boolean unknownLength = !HttpUtil.isContentLengthSet(response);
            HttpUtil.setTransferEncodingChunked(response, unknownLength && !http10);
            keepAlive &= !(unknownLength && http10); // in HTTP/1.0 the end of the connection ends such a body
            lastResponse = isLastResponse();
            if (lastResponse) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            responseBody = body;
            channel.write(response);
            body.attach(this);
            channel.flush();
        }

        @Override
        public void onContent(HttpContent content) {
            ChannelFuture writeFuture = channel.writeAndFlush(content);
            if (content instanceof LastHttpContent) {
                responseBody.release();
                responseBody = null;
                finishResponse(writeFuture);
            } else if (!channel.isWritable()) {
                responseBody.setSinkWritable(false);
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

        /** Resets the connection, so that the client notices that the response is incomplete. */
        @Override
        public void onAborted() {
            logClose("the backend's answer broke off, or the client left");
            ConnectionClose.reset(channel); // a FIN could pass for the body's end
        }

        /** Prepares the connection for its next request, or closes it, after a complete response. */
        private void finishResponse(ChannelFuture writeFuture) {
            inFlightId = null;
            if (requestHead == null && latestHead != null) {
                heads.release(latestHead);
                latestHead = null;
            }
            if (lastResponse || !keepAlive) {
                if (upload != null) {
                    upload.body().release();
                    upload.stop();
                    upload = null;
                }
                LingeringClose close = beginClose();
                writeFuture.addListener((ChannelFutureListener) done -> close.closeOutput());
            } else if (!pipeline.isEmpty()) {
                // Scheduled rather than called, so that a long pipeline does not deepen the stack.
                inFlightId = NEXT_REQUEST;
                channel.eventLoop().execute(this::handlePipelined);
            } else {
                channel.config().setAutoRead(true);
                writeFuture.addListener(done -> markIdle()); // only after the response was written
            }
        }

        private void handlePipelined() {
            if (!channel.isActive()) {
                return;
            }
            inFlightId = null;
            while (!pipeline.isEmpty() && (inFlightId == null || upload != null)) {
                handle(pipeline.remove());
            }
            if (pipeline.isEmpty() && !closing) {
                channel.config().setAutoRead(true);
            }
        }

        /** No further request is read, and nothing is held of those that were. */
        private LingeringClose beginClose() {
            closing = true;
            LingeringClose close = new LingeringClose(channel, discardQueue, missingBytes());
            close.replaceDecoder(HttpServerCodec.class, ContentMerger.class);
            releasePipelined();
            requestHead = null;
            latestHead = null;
            heads.close();
            return close;
        }

        /** How much of the request that is being received is still to come. */
        private long missingBytes() {
            if (requestHead == null) {
                return 0;
            }
            return HttpUtil.isTransferEncodingChunked(requestHead) ? LingeringClose.UNKNOWN_LENGTH
                : Math.max(0, HttpUtil.getContentLength(requestHead, 0L) - receivedBytes);
        }

        /** Notes whether the input is empty now, after the decoder has handled what was read. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            inputObserved();
            context.fireChannelReadComplete();
        }

        private void inputObserved() {
            if (upload != null && input.isEmpty()) {
                upload.inputEmpty();
            }
            presenceWaiters.settle();
        }

        /**
         * Whether the client is still connected, as far as its input tells. Its close stands behind all that
         * it has sent, so that this must be read first; of a long request, only a part is read at a time.
         */
        private Presence clientPresence() {
            if (upload != null) {
                return upload.clientPresence();
            }
            return input.isEmpty() ? Presence.PRESENT : Presence.PENDING;
        }

        @Override
        public void whenClientPresent(Runnable present, Runnable unknown) {
            presenceWaiters.await(present, unknown);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (responseBody != null) {
                responseBody.setSinkWritable(channel.isWritable());
            }
            context.fireChannelWritabilityChanged();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof CodecException && inFlightId != null && upload == null && !closing) {
                if (!requestTimeout.isDiscarding()) {
                    discardExcessInput(); // the request in flight still gets its response
                }
                return;
            }
            if (!(cause instanceof IOException)) {
                Log.error("client", cause);
            }
            if (inFlightId != null) {
                logClose(cause.toString());
            }
            context.close();
        }
    }
}
