package dockrelay.proxy;

import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.Request;
import dockrelay.Balancer.ServiceClass;
import dockrelay.proxy.Counters.Count;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
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
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/** The listener and the clients' connections. What is no proper request is answered here, at once. */
final class ClientFrontend {
    /** After an answer that ends a connection: closing with bytes unread would take the answer with it. */
    private static final long LINGER_MILLIS = 500;
    /** From this share of the connections on, the one longest at rest is closed, else answers end theirs. */
    private static final double NEAR_LIMIT_RATIO = 0.75;
    /** A connection with no request open may be closed after 2 s. */
    private static final long MIN_IDLE_NANOS =
        TimeUnit.MILLISECONDS.toNanos(RequestTimeout.HEAD_TIMEOUT_MILLIS);
    /**
     * A connection at rest that is told to end, and whose peer says nothing to that, is closed after
     * this.
     */
    private static final long IDLE_LINGER_MILLIS = 100;
    /** ...and after one that came before its request was whole: what is on its way is read first. */
    private static final long UPLOAD_LINGER_MILLIS = 2_500;
    private static final long MAX_BODY_BYTES = 32 << 20;
    /**
     * Short of places, one that was silent this long within a request, or before its first, makes room. A
     * slow client, with 2 s for a head, is heard of in between; one that holds a place for nothing is not.
     */
    private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Short of places, this part of them is freed at once: each takes a moment to end in good order. */
    private static final int EVICTION_DIVISOR = 16;
    /** What comes behind a request may wait up to this; the decoder takes 128 requests at most. */
    private static final int MAX_PIPELINED_BYTES = 32 * 1024;
    /** What one more part of a pipelined request takes beside its bytes. */
    private static final int PIPELINED_OBJECT_OVERHEAD_BYTES = 256;
    /** Looks at a connection that has something to read; one more than most requests need. */
    private static final int MAX_READS_PER_EVENT = 4;
    private static final int MAX_REQUEST_ID_LENGTH = 128;
    private static final Pattern SECONDS_PATTERN = Pattern.compile("\\d{1,4}(\\.\\d{0,9})?|\\.\\d{1,9}");
    private static final Pattern MICROS_PATTERN = Pattern.compile("\\d{1,12}(\\.\\d{0,9})?");
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final String ABSOLUTE_FORM_PREFIX = "http://";
    /** Stands for the pipelined request that comes next. */
    private static final String NEXT_REQUEST = "";

    private final RequestTable requestTable;
    private final Counters counters;
    private final BufferLimit bufferLimit;
    private final int configuredMaxConnections;
    private int maxConnections;
    private final BooleanSupplier readiness;
    private final Map<String, ServiceClass> serviceClasses = new HashMap<>();
    private final Set<ClientConnection> connections = new HashSet<>();
    private final Set<ClientConnection> idleConnections =
        new LinkedHashSet<>(); // the one that was idle longest is first
    private Channel listener;
    private boolean draining, evictionScheduled;
    private long drainDeadlineNanos;
    private int acceptPauses; // in accepting, for want of room
    private Runnable allClosedAction;

    ClientFrontend(RequestTable requestTable, Iterable<ServiceClass> serviceClasses, int maxConnections,
        BooleanSupplier readiness,
               Counters counters, BufferLimit bufferLimit) {
        this.bufferLimit = bufferLimit;
        this.requestTable = requestTable;
        this.counters = counters;
        counters.registerGauge("clients", connections::size);
        this.configuredMaxConnections = maxConnections;
        this.maxConnections = maxConnections;
        this.readiness = readiness;
        for (ServiceClass serviceClass : serviceClasses) {
            this.serviceClasses.put(serviceClass.name(), serviceClass);
        }
    }

    /** Listens at an address; with none, the bootstrap's channel is a listening socket as it comes. */
    ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
        bootstrap.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimit.WATER_MARKS)
            // Read on until nothing is there: an end behind a request is seen before that is sent on.
            .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                BufferLimit.receiveAllocator().respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS_PER_EVENT))
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    RequestTimeout requestTimeout = new RequestTimeout();
                    channel.pipeline()
                        .addLast(requestTimeout, new HttpServerCodec(), new ClientConnection(requestTimeout));
                }
            });
        ChannelFuture bindFuture = address == null ? bootstrap.register() : bootstrap.bind(address);
        listener = bindFuture.channel();
        return bindFuture;
    }

    int connectionCount() {
        return connections.size();
    }

    /** Keeps to so many connections, as there are no more descriptors. */
    void limitConnections(int availableDescriptors) {
        maxConnections = Math.max(1, Math.min(configuredMaxConnections, availableDescriptors));
        enforceConnectionLimit();
    }

    /** From now on each answer ends its connection; none is of use after this time of the nano clock. */
    void startDraining(long deadlineNanos) {
        draining = true;
        drainDeadlineNanos = deadlineNanos;
    }

    /**
     * Leaves the listening socket to another process. It stays open: closing an inherited one makes the
     * runtime point the log at nothing.
     */
    void releaseListener() {
        listener.deregister();
    }

    /** Runs this once no connection is left. */
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
     * Stops accepting once there was room for so long that all that had come is accepted: closing the
     * listener would reset what is in its backlog, requests and all.
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

    /** Ends what has rested for so long that it may be ended: on the others a request may be coming. */
    void closeLongIdle() {
        long now = System.nanoTime();
        for (ClientConnection connection : Set.copyOf(connections)) {
            if (connection.isIdle() && now - connection.idleSinceNanos >= MIN_IDLE_NANOS) {
                connection.closeGracefully(false);
            }
        }
    }

    /** Ends what has no request in hand or coming in. */
    void closeIdle() {
        for (ClientConnection connection : Set.copyOf(connections)) {
            if (connection.isIdle()) {
                connection.closeGracefully(true);
            }
        }
    }

    /** Where clients connect. */
    SocketAddress localAddress() {
        return listener.localAddress();
    }

    /**
     * Guards against running out of descriptors: a connection between requests may be closed at any time,
     * and while none is to be had, new ones wait in the backlog.
     */
    private void enforceConnectionLimit() {
        boolean hasRoom = connections.size() < maxConnections;
        if (listener == null || !listener.isRegistered()) {
            return; // it is not this process's yet, or another one's now
        }
        if (listener.config().isAutoRead() != hasRoom) {
            listener.config().setAutoRead(hasRoom);
            acceptPauses += hasRoom ? 0 : 1;
        }
        if (!hasRoom && !evictionScheduled) {
            evictionScheduled = true;
            listener.eventLoop().execute(this::evictConnections); // what has come in by now is read first
        }
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
            if (connection.hasNoRequestInFlight() && (longestSilent == null
                || connection.requestTimeout.lastReadNanos() - longestSilent.requestTimeout.lastReadNanos()
                < 0)) {
                longestSilent = connection;
            }
        }
        if (longestSilent == null) {
            return; // all are in use
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

    /** Guards against ending connections in use while others that nobody uses keep their places. */
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

    /** Ends connections with their answers well before any must be closed: no request crosses that. */
    private boolean isNearLimit() {
        return connections.size() >= maxConnections * NEAR_LIMIT_RATIO;
    }

    /** A request with its message. */
    private record BufferedRequest(Request request, FullHttpRequest message) {
    }

    /** One client connection: one request in hand, pipelined ones wait. */
    private final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements RequestTable.ResponseWriter, Body.Source, Body.Sink {
        private final Deque<HttpObject> pipelinedObjects = new ArrayDeque<>();
        private final RequestTimeout requestTimeout;
        private Channel channel;
        private HttpRequest requestHead; // of the request that is coming in, else null
        private ByteBuf bufferedBody;
        private long receivedBytes;
        private Body upload; // of the request that is coming in, where it is passed on as it comes
        private BufferLimit.FlowControl uploadFlow; // of the upload
        private Body responseBody; // that is passed on as it comes
        private String inFlightId;
        private BufferedRequest completeRequest; // not handed on before all that has come is read
        private long idleSinceNanos;
        private int pipelinedBytes;
        private boolean keepAlive, closing, lastResponse, http10, closeScheduled;

        ClientConnection(RequestTimeout requestTimeout) {
            super(false);
            this.requestTimeout = requestTimeout;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            idleSinceNanos = System.nanoTime();
            connections.add(this);
            counters.increment(Count.ACCEPTED);
            enforceConnectionLimit();
        }

        /**
         * From here on this connection may be closed to make room. Guards against closing one that has just
         * been accepted: its first request may be there unread, and ending it would lose the request.
         * One that never sends any is closed by its timeout.
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
            releasePipelined();
            dropRequest();
            if (responseBody != null) {
                responseBody.release();
                responseBody = null;
            }
            checkAllClosed();
        }

        /** Ends the request that is in hand or coming in, without an answer. */
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
                upload.abort();
                upload = null;
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof RequestTimeout.TimeoutEvent timeoutEvent && !closing) {
                if (inFlightId != null && upload == null) {
                    requestTimeout.restart(); // what came behind the request in hand has its time after that
                } else if (timeoutEvent == RequestTimeout.TimeoutEvent.INCOMPLETE_REQUEST
                && responseBody == null) {
                    counters.increment(Count.LATE);
                    respondAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
                } else if (responseBody == null) {
                    counters.increment(Count.LATE);
                    closeGracefully(false); // its first request may be on its way just now
                } else {
                    counters.increment(Count.LATE);
                    context.close();
                }
            }
            context.fireUserEventTriggered(event);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject httpObject) {
            if (closing) {
                discard(httpObject);
            } else if (inFlightId != null && upload == null) {
                queuePipelined(httpObject);
            } else {
                handle(httpObject);
            }
        }

        /**
         * One request at a time: what comes behind it waits. It is read all the same, as a client that leaves
         * is seen by reading only; one that sends more than there is room for has no claim to what it sends.
         */
        private void queuePipelined(HttpObject httpObject) {
            if (requestTimeout.isDiscarding()) {
                ReferenceCountUtil.release(httpObject);
                return;
            }
            pipelinedObjects.add(httpObject);
            pipelinedBytes += sizeInBytes(httpObject);
            if (pipelinedBytes > Math.min(MAX_PIPELINED_BYTES, bufferLimit.maxBufferedMessageBytes())) {
                discardExcessInput();
            }
        }

        /** From here on its bytes are dropped as they come, and the answer that is due ends it. */
        private void discardExcessInput() {
            counters.increment(Count.IMPROPER);
            Log.write("improper", "more behind a request than there is room for, from "
                + channel.remoteAddress());
            keepAlive = false;
            requestTimeout.discard();
            releasePipelined();
            if (NEXT_REQUEST.equals(inFlightId)) {
                inFlightId = null;
                closing = true;
                closeAfterLinger();
            }
        }

        private static int sizeInBytes(HttpObject httpObject) {
            return PIPELINED_OBJECT_OVERHEAD_BYTES
                + (httpObject instanceof HttpContent content ? content.content().readableBytes() : 0);
        }

        private HttpObject pollPipelined() {
            HttpObject next = pipelinedObjects.poll();
            pipelinedBytes -= sizeInBytes(next);
            return next;
        }

        private void releasePipelined() {
            pipelinedObjects.forEach(ReferenceCountUtil::release);
            pipelinedObjects.clear();
            pipelinedBytes = 0;
        }

        /**
         * Ends a connection that carries nothing, in good order: what has come by now is read and served
         * first, and what crosses the end is read and goes nowhere; its client sees the end and sends it
         * anew. Closing over unread bytes would reset the connection in place of that. One on which a part
         * of a request has come is left alone, unless there is no time for the rest of it.
         */
        private void closeGracefully(boolean evenIfPartial) {
            idleConnections.remove(this);
            if (closeScheduled) {
                return;
            }
            closeScheduled = true;
            // Later than now, as sockets are looked at before what is due.
            channel.eventLoop().schedule(() -> {
                closeScheduled = false;
                if (hasNoRequestInFlight() && channel.isActive()
                    && (evenIfPartial || requestHead == null && !requestTimeout.isRequestIncomplete())) {
                    closing = true;
                    dropRequest();
                    closeAfterLinger(IDLE_LINGER_MILLIS);
                }
            }, 1, TimeUnit.MILLISECONDS);
        }

        /** What comes after the answer is read: closing with bytes unread would take the answer with it. */
        private void discard(HttpObject httpObject) {
            ReferenceCountUtil.release(httpObject);
            if (httpObject instanceof LastHttpContent && requestHead != null) {
                requestHead = null;
                channel.eventLoop().execute(this::closeAfterLinger);
            }
        }

        private void handle(HttpObject httpObject) {
            if (httpObject instanceof HttpRequest newHead) {
                handleHead(newHead);
            }
            if (httpObject instanceof HttpContent content) {
                if (requestHead == null || closing) {
                    discard(content);
                } else if (content.decoderResult().isFailure()) {
                    content.release();
                    reject(HttpResponseStatus.BAD_REQUEST, content.decoderResult().cause());
                } else {
                    handleContent(content);
                }
            }
        }

        private void handleHead(HttpRequest newHead) {
            idleConnections.remove(this);
            requestHead = newHead;
            receivedBytes = 0;
            keepAlive = HttpUtil.isKeepAlive(newHead);
            http10 = newHead.protocolVersion().equals(HttpVersion.HTTP_1_0);
            HttpResponseStatus errorStatus;
            try {
                errorStatus = validateHead(newHead);
            } catch (RuntimeException e) {
                Log.error("client", e); // guards against one bad request taking the loop along
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
            receivedBytes += content.content().readableBytes();
            boolean isLast = content instanceof LastHttpContent;
            if (receivedBytes > MAX_BODY_BYTES) {
                content.release();
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, null);
            } else if (upload != null) {
                Body body = upload;
                if (isLast) {
                    requestTimeout.requestReceived();
                    requestHead = null;
                    upload = null;
                    requestTable.requestReceived(inFlightId);
                }
                body.add(content);
                if (isLast) {
                    uploadFlow.stop();
                } else {
                    uploadFlow.afterRead();
                }
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

        /** The request is there whole. */
        private void handleBufferedRequest() {
            FullHttpRequest message =
                new DefaultFullHttpRequest(requestHead.protocolVersion(), requestHead.method(),
                requestHead.uri(), bufferedBody == null ? Unpooled.EMPTY_BUFFER : bufferedBody,
                requestHead.headers(),
                EmptyHttpHeaders.INSTANCE);
            bufferedBody = null;
            requestHead = null;
            if (isHealthCheck(message)) {
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
            completeRequest = new BufferedRequest(toRequest(message, false), message);
            inFlightId = completeRequest.request.id();
            channel.eventLoop().execute(this::forwardCompleteRequest);
        }

        /**
         * All that has come is read: a client that has left by now is owed nothing, and nothing is sent
         * on.
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
            } else if (requestTable.isInFlight(bufferedRequest.request.id())) {
                bufferedRequest.message.release();
                inFlightId = null;
                reject(HttpResponseStatus.CONFLICT, null);
            } else {
                requestTable.accept(bufferedRequest.request, bufferedRequest.message, this);
            }
        }

        /** The request is long: it goes on as it comes. */
        private void startStreaming() {
            HttpResponseStatus errorStatus = isHealthCheck(requestHead) ? HttpResponseStatus.BAD_REQUEST
                : validateBody(requestHead);
            if (errorStatus != null) {
                reject(errorStatus, null);
                return;
            }
            uploadFlow = bufferLimit.new FlowControl(channel);
            Body body = new Body(this, BufferLimit.MAX_BUFFERED_MESSAGE_BYTES);
            if (bufferedBody != null) {
                body.add(new DefaultHttpContent(bufferedBody));
                bufferedBody = null;
            }
            upload = body;
            Request request = toRequest(requestHead, true);
            inFlightId = request.id();
            requestTable.accept(request, new DefaultFullHttpRequest(requestHead.protocolVersion(),
                requestHead.method(), requestHead.uri(),
                Unpooled.EMPTY_BUFFER, requestHead.headers(), EmptyHttpHeaders.INSTANCE), body, this);
        }

        private static boolean isHealthCheck(HttpRequest message) {
            return "/healthz".equals(path(message));
        }

        private static String path(HttpRequest message) {
            int queryStart = message.uri().indexOf('?');
            return queryStart < 0 ? message.uri() : message.uri().substring(0, queryStart);
        }

        /** The status that says what is wrong with a request by its head alone; null where nothing is. */
        private HttpResponseStatus validateHead(HttpRequest message) {
            if (message.decoderResult().isFailure()) {
                return statusForDecodingError(message.decoderResult().cause());
            }
            HttpVersion version = message.protocolVersion();
            if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
                return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
            }
            HttpHeaders headers = message.headers();
            List<String> transferCodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
            if (!transferCodings.isEmpty() && (transferCodings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.get(0).trim()))) {
                return HttpResponseStatus.BAD_REQUEST; // where its body ends cannot be known for sure
            }
            String expectation = headers.get(HttpHeaderNames.EXPECT);
            if (expectation != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
                return HttpResponseStatus.EXPECTATION_FAILED;
            }
            if (HttpUtil.getContentLength(message, 0L) > MAX_BODY_BYTES) {
                return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
            }
            message.setUri(originForm(message.uri()));
            if (isHealthCheck(message)) {
                return null;
            }
            String path = path(message);
            int segmentEnd = path.indexOf('/', 1);
            String className = path.isEmpty() ? ""
                : path.substring(1, segmentEnd < 0 ? path.length() : segmentEnd);
            ServiceClass serviceClass = serviceClasses.get(className);
            if (serviceClass == null || path.charAt(0) != '/') {
                return HttpResponseStatus.NOT_FOUND;
            }
            boolean hasIdempotencyKey = headers.contains(Headers.IDEMPOTENCY_KEY);
            boolean idempotent = serviceClass.idempotency() == Idempotency.IDEMPOTENT;
            if (!message.method().equals(idempotent ? HttpMethod.GET : HttpMethod.POST)) {
                return HttpResponseStatus.METHOD_NOT_ALLOWED;
            }
            String requestId = headers.get(Headers.REQUEST_ID);
            String timeoutText = headers.get(Headers.TIMEOUT);
            String costText = headers.get(Headers.COST);
            boolean hasHost = version.equals(HttpVersion.HTTP_1_0) || headers.contains(HttpHeaderNames.HOST);
            if (!hasHost || Headers.hasDuplicates(headers)) {
                return HttpResponseStatus.BAD_REQUEST;
            }
            if (!className.equals(headers.get(Headers.SERVICE_CLASS)) || requestId == null
                || requestId.isEmpty()
                || requestId.length() > MAX_REQUEST_ID_LENGTH || timeoutText == null
                || !SECONDS_PATTERN.matcher(timeoutText).matches()
                || costText != null && !MICROS_PATTERN.matcher(costText).matches()
                || serviceClass.idempotency() == Idempotency.DEDUPLICATED && !hasIdempotencyKey) {
                return HttpResponseStatus.BAD_REQUEST;
            }
            return null;
        }

        /** The absolute form is as good as the usual one (RFC 9112, 3.2.2); backends get the usual one. */
        private static String originForm(String uri) {
            if (!uri.regionMatches(true, 0, ABSOLUTE_FORM_PREFIX, 0, ABSOLUTE_FORM_PREFIX.length())) {
                return uri;
            }
            for (int i = ABSOLUTE_FORM_PREFIX.length(); i < uri.length(); i++) {
                if (uri.charAt(i) == '/' || uri.charAt(i) == '?') {
                    return (uri.charAt(i) == '?' ? "/" : "") + uri.substring(i);
                }
            }
            return "/";
        }

        /** What is wrong with a request now that it has a body, or has come whole. */
        private HttpResponseStatus validateBody(HttpRequest message) {
            boolean hasBody = receivedBytes > 0 || HttpUtil.getContentLength(message, 0L) > 0;
            if (hasBody && HttpMethod.GET.equals(message.method())) {
                return HttpResponseStatus.BAD_REQUEST;
            }
            return requestTable.isInFlight(message.headers().get(Headers.REQUEST_ID))
                ? HttpResponseStatus.CONFLICT : null; // ids are new with every request
        }

        private Request toRequest(HttpRequest message, boolean streamed) {
            HttpHeaders headers = message.headers();
            String path = path(message);
            int segmentEnd = path.indexOf('/', 1);
            String costText = headers.get(Headers.COST);
            return new Request(headers.get(Headers.REQUEST_ID), headers.get(Headers.SERVICE_CLASS),
                headers.get(Headers.TENANT),
                segmentEnd < 0 ? null : path.substring(path.lastIndexOf('/') + 1),
                timeBudget((long) (Double.parseDouble(headers.get(Headers.TIMEOUT)) * MICROS_PER_SECOND)),
                costText == null ? 0 : (long) Double.parseDouble(costText),
                "1".equals(headers.get(Headers.RETRIED)), streamed);
        }

        /** Guards against a request that is still in hand when this process is killed: that one is lost. */
        private long timeBudget(long requestedMicros) {
            return draining && drainDeadlineNanos != Long.MAX_VALUE
                ? Math.min(requestedMicros,
                TimeUnit.NANOSECONDS.toMicros(drainDeadlineNanos - System.nanoTime())) : requestedMicros;
        }

        /** Whether nothing of a request has been read that is not answered. */
        private boolean isIdle() {
            return inFlightId == null && requestHead == null && pipelinedObjects.isEmpty() && !closing;
        }

        /** Whether no request of this one is in hand: its peer has sent none, or only a part of one. */
        private boolean hasNoRequestInFlight() {
            return inFlightId == null && !closing;
        }

        private HttpResponseStatus statusForDecodingError(Throwable cause) {
            if (cause instanceof TooLongHttpLineException) {
                return HttpResponseStatus.REQUEST_URI_TOO_LONG;
            } else if (cause instanceof TooLongHttpHeaderException) {
                return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
            }
            return HttpResponseStatus.BAD_REQUEST;
        }

        private void reject(HttpResponseStatus status, Throwable cause) {
            counters.increment(Count.IMPROPER);
            Log.write("improper",
                status + " to " + channel.remoteAddress() + (cause == null ? "" : ": " + cause));
            respondAndClose(status);
        }

        /** Ends the connection with this: a peer that speaks badly has no claim to a place. */
        private void respondAndClose(HttpResponseStatus status) {
            keepAlive = false;
            dropRequest();
            if (responseBody == null) {
                respond(RequestTable.emptyResponse(status));
            } else {
                channel.close(); // in the middle of an answer there is no place for another
            }
        }

        /** Whether the next answer ends the connection; it does while the rest of its request is to come. */
        private boolean isLastResponse() {
            boolean closesConnection = !keepAlive || draining || requestHead != null;
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
        public void beginStreaming(HttpResponse streamedHead, Body body) {
            HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, streamedHead.status(),
                streamedHead.headers().copy());
            Headers.removeHopByHop(response.headers());
            boolean unknownLength = !HttpUtil.isContentLengthSet(streamedHead);
            HttpUtil.setTransferEncodingChunked(response, unknownLength && !http10);
            keepAlive &= !(unknownLength && http10); // an old client knows the end by that of the connection
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

        /** The client is to see that its answer is not whole. */
        @Override
        public void onAborted() {
            channel.config().setOption(ChannelOption.SO_LINGER, 0); // an end may pass for the body's
            channel.close();
        }

        /** The answer is on its way whole. */
        private void finishResponse(ChannelFuture writeFuture) {
            inFlightId = null;
            if (lastResponse || !keepAlive) {
                closing = true;
                if (upload != null) {
                    upload.release();
                    upload = null;
                    uploadFlow.stop();
                    channel.config().setAutoRead(true);
                }
                writeFuture.addListener((ChannelFutureListener) done -> closeAfterLinger());
            } else if (!pipelinedObjects.isEmpty()) {
                // Not from within the answer: a long pipeline must not deepen the stack.
                inFlightId = NEXT_REQUEST;
                channel.eventLoop().execute(this::handlePipelined);
            } else {
                channel.config().setAutoRead(true);
                writeFuture.addListener(done -> markIdle()); // not before the answer is out whole
            }
        }

        private void handlePipelined() {
            if (!channel.isActive()) {
                return;
            }
            inFlightId = null;
            while (!pipelinedObjects.isEmpty() && (closing || inFlightId == null || upload != null)) {
                if (closing) {
                    discard(pollPipelined());
                } else {
                    handle(pollPipelined());
                }
            }
            if (pipelinedObjects.isEmpty()) {
                channel.config().setAutoRead(true);
            }
        }

        private void closeAfterLinger() {
            closeAfterLinger(requestHead == null ? LINGER_MILLIS : UPLOAD_LINGER_MILLIS);
        }

        private void closeAfterLinger(long lingerMillis) {
            if (channel instanceof DuplexChannel duplex && channel.isActive()) {
                duplex.shutdownOutput();
                channel.config().setAutoRead(true);
                channel.eventLoop().schedule(() -> channel.close(), lingerMillis, TimeUnit.MILLISECONDS);
            } else {
                channel.close();
            }
        }

        @Override
        public void setReadEnabled(boolean enabled) {
            uploadFlow.setReadEnabled(enabled);
        }

        @Override
        public void onDiscarded() {
            // the answer says so
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
                    discardExcessInput(); // the request before is owed its answer all the same
                }
                return;
            }
            if (!(cause instanceof IOException)) {
                Log.error("client", cause);
            }
            context.close();
        }
    }
}
