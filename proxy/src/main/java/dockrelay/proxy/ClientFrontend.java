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
    private static final double CROWDED = 0.75;
    /** A connection with no request open may be closed after 2 s. */
    private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(RequestTimeout.MILLIS);
    /**
     * A connection at rest that is told to end, and whose peer says nothing to that, is closed after
     * this.
     */
    private static final long LINGER_REST_MILLIS = 100;
    /** ...and after one that came before its request was whole: what is on its way is read first. */
    private static final long LINGER_UPLOAD_MILLIS = 2_500;
    private static final long MOST_BODY = 32 << 20;
    /**
     * Short of places, one that was silent this long within a request, or before its first, makes room. A
     * slow client, with 2 s for a head, is heard of in between; one that holds a place for nothing is not.
     */
    private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Short of places, this part of them is freed at once: each takes a moment to end in good order. */
    private static final int EVICTED_PART = 16;
    /** What comes behind a request may wait up to this; the decoder takes 128 requests at most. */
    private static final int MOST_EARLY = 32 * 1024;
    /** What one more part of a pipelined request takes beside its bytes. */
    private static final int EARLY_PART = 256;
    /** Looks at a connection that has something to read; one more than most requests need. */
    private static final int READS = 4;
    private static final int LONGEST_ID = 128;
    private static final Pattern SECONDS = Pattern.compile("\\d{1,4}(\\.\\d{0,9})?|\\.\\d{1,9}");
    private static final Pattern WHOLE_MICROS = Pattern.compile("\\d{1,12}(\\.\\d{0,9})?");
    private static final double MICROS = 1_000_000;
    private static final String ABSOLUTE = "http://";
    /** Stands for the pipelined request that comes next. */
    private static final String NEXT = "";

    private final RequestTable table;
    private final Counters counters;
    private final BufferLimit buffers;
    private final int fullMost;
    private int most;
    private final BooleanSupplier ready;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Set<Connection> connections = new HashSet<>();
    private final Set<Connection> idle = new LinkedHashSet<>(); // the one that was idle longest is first
    private Channel listener;
    private boolean closing, evicting;
    private long lastAnswer;
    private int pauses; // in accepting, for want of room
    private Runnable whenEmpty;

    ClientFrontend(RequestTable table, Iterable<ServiceClass> classes, int most, BooleanSupplier ready,
               Counters counters, BufferLimit buffers) {
        this.buffers = buffers;
        this.table = table;
        this.counters = counters;
        counters.registerGauge("clients", connections::size);
        this.fullMost = most;
        this.most = most;
        this.ready = ready;
        for (ServiceClass spec : classes) {
            this.classes.put(spec.name(), spec);
        }
    }

    /** Listens at an address; with none, the bootstrap's channel is a listening socket as it comes. */
    ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
        bootstrap.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimit.WATER_MARKS)
            // Read on until nothing is there: an end behind a request is seen before that is sent on.
            .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                BufferLimit.reads().respectMaybeMoreData(false).maxMessagesPerRead(READS))
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    RequestTimeout timeout = new RequestTimeout();
                    channel.pipeline().addLast(timeout, new HttpServerCodec(), new Connection(timeout));
                }
            });
        ChannelFuture bound = address == null ? bootstrap.register() : bootstrap.bind(address);
        listener = bound.channel();
        return bound;
    }

    int connectionCount() {
        return connections.size();
    }

    /** Keeps to so many connections, as there are no more descriptors. */
    void limitConnections(int left) {
        most = Math.max(1, Math.min(fullMost, left));
        makeRoom();
    }

    /** From now on each answer ends its connection; none is of use after this time of the nano clock. */
    void startDraining(long until) {
        closing = true;
        lastAnswer = until;
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
        whenEmpty = action;
        checkEmpty();
    }

    private void checkEmpty() {
        if (whenEmpty != null && connections.isEmpty()) {
            Runnable action = whenEmpty;
            whenEmpty = null;
            action.run();
        }
    }

    /**
     * Stops accepting once there was room for so long that all that had come is accepted: closing the
     * listener would reset what is in its backlog, requests and all.
     */
    void stopAcceptingOnceBacklogEmpty(long lookMillis, Runnable then) {
        int before = pauses;
        listener.eventLoop().schedule(() -> {
            if (pauses == before && listener.config().isAutoRead()) {
                listener.close();
                then.run();
            } else {
                stopAcceptingOnceBacklogEmpty(lookMillis, then);
            }
        }, lookMillis, TimeUnit.MILLISECONDS);
    }

    /** Ends what has rested for so long that it may be ended: on the others a request may be coming. */
    void closeLongIdle() {
        long now = System.nanoTime();
        for (Connection connection : Set.copyOf(connections)) {
            if (connection.rests() && now - connection.restingSince >= REST_NANOS) {
                connection.retire(false);
            }
        }
    }

    /** Ends what has no request in hand or coming in. */
    void closeIdle() {
        for (Connection connection : Set.copyOf(connections)) {
            if (connection.rests()) {
                connection.retire(true);
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
    private void makeRoom() {
        boolean room = connections.size() < most;
        if (listener == null || !listener.isRegistered()) {
            return; // it is not this process's yet, or another one's now
        }
        if (listener.config().isAutoRead() != room) {
            listener.config().setAutoRead(room);
            pauses += room ? 0 : 1;
        }
        if (!room && !evicting) {
            evicting = true;
            listener.eventLoop().execute(this::evict); // what has come in by now is read first
        }
    }

    private void evict() {
        evicting = false;
        if (connections.size() < most || !listener.isRegistered()) {
            return;
        }
        if (!idle.isEmpty()) {
            long now = System.nanoTime();
            int left = Math.max(1, most / EVICTED_PART);
            boolean first = true;
            for (Connection longest : List.copyOf(idle)) {
                if (left-- == 0 || !first && now - longest.restingSince < REST_NANOS) {
                    return;
                }
                first = false;
                counters.increment(Count.EVICTED);
                longest.retire(false);
            }
            return;
        }
        Connection quietest = null;
        for (Connection connection : connections) {
            if (connection.isWaiting() && (quietest == null
                || connection.timeout.heardAt() - quietest.timeout.heardAt() < 0)) {
                quietest = connection;
            }
        }
        if (quietest == null) {
            return; // all are in use
        }
        long left = quietest.timeout.heardAt() + QUIET_NANOS - System.nanoTime();
        if (left <= 0) {
            counters.increment(Count.EVICTED);
            quietest.retire(true);
        } else {
            evicting = true;
            listener.eventLoop().schedule(this::evict, left, TimeUnit.NANOSECONDS);
        }
    }

    /** Guards against ending connections in use while others that nobody uses keep their places. */
    private boolean closeLongestAtRest() {
        Iterator<Connection> resting = idle.iterator();
        if (!resting.hasNext()) {
            return false;
        }
        Connection longest = resting.next();
        if (System.nanoTime() - longest.restingSince < REST_NANOS) {
            return false;
        }
        counters.increment(Count.EVICTED);
        longest.retire(false);
        return true;
    }

    /** Ends connections with their answers well before any must be closed: no request crosses that. */
    private boolean crowded() {
        return connections.size() >= most * CROWDED;
    }

    /** A request with its message. */
    private record Whole(Request request, FullHttpRequest message) {
    }

    /** One client connection: one request in hand, pipelined ones wait. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject>
        implements RequestTable.Reply, Body.Source, Body.Sink {
        private final Deque<HttpObject> early = new ArrayDeque<>();
        private final RequestTimeout timeout;
        private Channel channel;
        private HttpRequest head; // of the request that is coming in, else null
        private ByteBuf gathered;
        private long received;
        private Body upload; // of the request that is coming in, where it is passed on as it comes
        private BufferLimit.Reading reading; // of the upload
        private Body answer; // that is passed on as it comes
        private String inHand;
        private Whole whole; // not handed on before all that has come is read
        private long restingSince;
        private int earlyBytes;
        private boolean keep, ending, last, old, retiring;

        Connection(RequestTimeout timeout) {
            super(false);
            this.timeout = timeout;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            restingSince = System.nanoTime();
            connections.add(this);
            counters.increment(Count.ACCEPTED);
            makeRoom();
        }

        /**
         * From here on this connection may be closed to make room. Guards against closing one that has just
         * been accepted: its first request may be there unread, and ending it would lose the request.
         * One that never sends any is closed by its timeout.
         */
        private void rest() {
            if (inHand == null && head == null && !ending && channel.isActive()) {
                if (idle.add(this)) {
                    restingSince = System.nanoTime();
                }
                if (!listener.config().isAutoRead()) {
                    makeRoom();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            idle.remove(this);
            makeRoom();
            releaseEarly();
            drop();
            if (answer != null) {
                answer.release();
                answer = null;
            }
            checkEmpty();
        }

        /** Ends the request that is in hand or coming in, without an answer. */
        private void drop() {
            if (whole != null) {
                whole.message.release();
                whole = null;
                counters.increment(Count.GONE);
            }
            if (gathered != null) {
                gathered.release();
                gathered = null;
            }
            if (inHand != null) {
                table.clientGone(inHand);
                inHand = null;
            }
            if (upload != null) {
                upload.fail();
                upload = null;
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof RequestTimeout.Late late && !ending) {
                if (inHand != null && upload == null) {
                    timeout.again(); // what came behind the request in hand has its time after that
                } else if (late == RequestTimeout.Late.NOT_WHOLE && answer == null) {
                    counters.increment(Count.LATE);
                    end(HttpResponseStatus.REQUEST_TIMEOUT);
                } else if (answer == null) {
                    counters.increment(Count.LATE);
                    retire(false); // its first request may be on its way just now
                } else {
                    counters.increment(Count.LATE);
                    context.close();
                }
            }
            context.fireUserEventTriggered(event);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (ending) {
                discard(part);
            } else if (inHand != null && upload == null) {
                wait(part);
            } else {
                read(part);
            }
        }

        /**
         * One request at a time: what comes behind it waits. It is read all the same, as a client that leaves
         * is seen by reading only; one that sends more than there is room for has no claim to what it sends.
         */
        private void wait(HttpObject part) {
            if (timeout.isDiscarding()) {
                ReferenceCountUtil.release(part);
                return;
            }
            early.add(part);
            earlyBytes += bytes(part);
            if (earlyBytes > Math.min(MOST_EARLY, buffers.mostWhole())) {
                overrun();
            }
        }

        /** From here on its bytes are dropped as they come, and the answer that is due ends it. */
        private void overrun() {
            counters.increment(Count.IMPROPER);
            Log.write("improper", "more behind a request than there is room for, from "
                + channel.remoteAddress());
            keep = false;
            timeout.discard();
            releaseEarly();
            if (NEXT.equals(inHand)) {
                inHand = null;
                ending = true;
                endSending();
            }
        }

        private static int bytes(HttpObject part) {
            return EARLY_PART + (part instanceof HttpContent content ? content.content().readableBytes() : 0);
        }

        private HttpObject nextEarly() {
            HttpObject next = early.poll();
            earlyBytes -= bytes(next);
            return next;
        }

        private void releaseEarly() {
            early.forEach(ReferenceCountUtil::release);
            early.clear();
            earlyBytes = 0;
        }

        /**
         * Ends a connection that carries nothing, in good order: what has come by now is read and served
         * first, and what crosses the end is read and goes nowhere; its client sees the end and sends it
         * anew. Closing over unread bytes would reset the connection in place of that. One on which a part
         * of a request has come is left alone, unless there is no time for the rest of it.
         */
        private void retire(boolean halfAsWell) {
            idle.remove(this);
            if (retiring) {
                return;
            }
            retiring = true;
            // Later than now, as sockets are looked at before what is due.
            channel.eventLoop().schedule(() -> {
                retiring = false;
                if (isWaiting() && channel.isActive()
                    && (halfAsWell || head == null && !timeout.isPartial())) {
                    ending = true;
                    drop();
                    endSending(LINGER_REST_MILLIS);
                }
            }, 1, TimeUnit.MILLISECONDS);
        }

        /** What comes after the answer is read: closing with bytes unread would take the answer with it. */
        private void discard(HttpObject part) {
            ReferenceCountUtil.release(part);
            if (part instanceof LastHttpContent && head != null) {
                head = null;
                channel.eventLoop().execute(this::endSending);
            }
        }

        private void read(HttpObject part) {
            if (part instanceof HttpRequest start) {
                begin(start);
            }
            if (part instanceof HttpContent content) {
                if (head == null || ending) {
                    discard(content);
                } else if (content.decoderResult().isFailure()) {
                    content.release();
                    improper(HttpResponseStatus.BAD_REQUEST, content.decoderResult().cause());
                } else {
                    take(content);
                }
            }
        }

        private void begin(HttpRequest start) {
            idle.remove(this);
            head = start;
            received = 0;
            keep = HttpUtil.isKeepAlive(start);
            old = start.protocolVersion().equals(HttpVersion.HTTP_1_0);
            HttpResponseStatus wrong;
            try {
                wrong = wrong(start);
            } catch (RuntimeException e) {
                Log.error("client", e); // guards against one bad request taking the loop along
                wrong = HttpResponseStatus.INTERNAL_SERVER_ERROR;
            }
            if (wrong != null) {
                improper(wrong, start.decoderResult().cause());
                return;
            }
            if (HttpUtil.is100ContinueExpected(start)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            if (HttpUtil.getContentLength(start, 0L) > buffers.mostWhole()) {
                stream();
            }
        }

        private void take(HttpContent content) {
            received += content.content().readableBytes();
            boolean whole = content instanceof LastHttpContent;
            if (received > MOST_BODY) {
                content.release();
                improper(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, null);
            } else if (upload != null) {
                Body body = upload;
                if (whole) {
                    timeout.arrived();
                    head = null;
                    upload = null;
                    table.whole(inHand);
                }
                body.add(content);
                if (whole) {
                    reading.end();
                } else {
                    reading.read();
                }
            } else {
                gathered = Body.gather(gathered, content, channel.alloc());
                if (whole) {
                    timeout.arrived();
                    accept();
                } else if (received > buffers.mostWhole()) {
                    stream();
                }
            }
        }

        /** The request is there whole. */
        private void accept() {
            FullHttpRequest message = new DefaultFullHttpRequest(head.protocolVersion(), head.method(),
                head.uri(), gathered == null ? Unpooled.EMPTY_BUFFER : gathered, head.headers(),
                EmptyHttpHeaders.INSTANCE);
            gathered = null;
            head = null;
            if (isHealthCheck(message)) {
                message.release();
                answer(RequestTable.plain(
                    ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE));
                return;
            }
            HttpResponseStatus wrong = bodyWrong(message);
            if (wrong != null) {
                message.release();
                improper(wrong, null);
                return;
            }
            whole = new Whole(request(message, false), message);
            inHand = whole.request.id();
            channel.eventLoop().execute(this::handOn);
        }

        /**
         * All that has come is read: a client that has left by now is owed nothing, and nothing is sent
         * on.
         */
        private void handOn() {
            Whole next = whole;
            whole = null;
            if (next == null) {
                return;
            }
            if (!channel.isActive()) {
                counters.increment(Count.GONE);
                next.message.release();
            } else if (table.holds(next.request.id())) {
                next.message.release();
                inHand = null;
                improper(HttpResponseStatus.CONFLICT, null);
            } else {
                table.take(next.request, next.message, this);
            }
        }

        /** The request is long: it goes on as it comes. */
        private void stream() {
            HttpResponseStatus wrong = isHealthCheck(head) ? HttpResponseStatus.BAD_REQUEST : bodyWrong(head);
            if (wrong != null) {
                improper(wrong, null);
                return;
            }
            reading = buffers.new Reading(channel);
            Body body = new Body(this, BufferLimit.MAX_BUFFERED_MESSAGE_BYTES);
            if (gathered != null) {
                body.add(new DefaultHttpContent(gathered));
                gathered = null;
            }
            upload = body;
            Request request = request(head, true);
            inHand = request.id();
            table.take(request, new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(),
                Unpooled.EMPTY_BUFFER, head.headers(), EmptyHttpHeaders.INSTANCE), body, this);
        }

        private static boolean isHealthCheck(HttpRequest message) {
            return "/healthz".equals(path(message));
        }

        private static String path(HttpRequest message) {
            int query = message.uri().indexOf('?');
            return query < 0 ? message.uri() : message.uri().substring(0, query);
        }

        /** The status that says what is wrong with a request by its head alone; null where nothing is. */
        private HttpResponseStatus wrong(HttpRequest message) {
            if (message.decoderResult().isFailure()) {
                return unparsable(message.decoderResult().cause());
            }
            HttpVersion version = message.protocolVersion();
            if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
                return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
            }
            HttpHeaders headers = message.headers();
            List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
            if (!codings.isEmpty() && (codings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim()))) {
                return HttpResponseStatus.BAD_REQUEST; // where its body ends cannot be known for sure
            }
            String expected = headers.get(HttpHeaderNames.EXPECT);
            if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
                return HttpResponseStatus.EXPECTATION_FAILED;
            }
            if (HttpUtil.getContentLength(message, 0L) > MOST_BODY) {
                return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
            }
            message.setUri(originForm(message.uri()));
            if (isHealthCheck(message)) {
                return null;
            }
            String path = path(message);
            int end = path.indexOf('/', 1);
            String first = path.isEmpty() ? "" : path.substring(1, end < 0 ? path.length() : end);
            ServiceClass spec = classes.get(first);
            if (spec == null || path.charAt(0) != '/') {
                return HttpResponseStatus.NOT_FOUND;
            }
            boolean keyed = headers.contains(Headers.IDEMPOTENCY_KEY);
            boolean safe = spec.idempotency() == Idempotency.IDEMPOTENT;
            if (!message.method().equals(safe ? HttpMethod.GET : HttpMethod.POST)) {
                return HttpResponseStatus.METHOD_NOT_ALLOWED;
            }
            String id = headers.get(Headers.REQUEST_ID);
            String asked = headers.get(Headers.TIMEOUT);
            String cost = headers.get(Headers.COST);
            boolean hosted = version.equals(HttpVersion.HTTP_1_0) || headers.contains(HttpHeaderNames.HOST);
            if (!hosted || Headers.isAmbiguous(headers)) {
                return HttpResponseStatus.BAD_REQUEST;
            }
            if (!first.equals(headers.get(Headers.SERVICE_CLASS)) || id == null || id.isEmpty()
                || id.length() > LONGEST_ID || asked == null || !SECONDS.matcher(asked).matches()
                || cost != null && !WHOLE_MICROS.matcher(cost).matches()
                || spec.idempotency() == Idempotency.DEDUPLICATED && !keyed) {
                return HttpResponseStatus.BAD_REQUEST;
            }
            return null;
        }

        /** The absolute form is as good as the usual one (RFC 9112, 3.2.2); backends get the usual one. */
        private static String originForm(String uri) {
            if (!uri.regionMatches(true, 0, ABSOLUTE, 0, ABSOLUTE.length())) {
                return uri;
            }
            for (int i = ABSOLUTE.length(); i < uri.length(); i++) {
                if (uri.charAt(i) == '/' || uri.charAt(i) == '?') {
                    return (uri.charAt(i) == '?' ? "/" : "") + uri.substring(i);
                }
            }
            return "/";
        }

        /** What is wrong with a request now that it has a body, or has come whole. */
        private HttpResponseStatus bodyWrong(HttpRequest message) {
            boolean body = received > 0 || HttpUtil.getContentLength(message, 0L) > 0;
            if (body && HttpMethod.GET.equals(message.method())) {
                return HttpResponseStatus.BAD_REQUEST;
            }
            return table.holds(message.headers().get(Headers.REQUEST_ID))
                ? HttpResponseStatus.CONFLICT : null; // ids are new with every request
        }

        private Request request(HttpRequest message, boolean streamed) {
            HttpHeaders headers = message.headers();
            String path = path(message);
            int end = path.indexOf('/', 1);
            String cost = headers.get(Headers.COST);
            return new Request(headers.get(Headers.REQUEST_ID), headers.get(Headers.SERVICE_CLASS),
                headers.get(Headers.TENANT), end < 0 ? null : path.substring(path.lastIndexOf('/') + 1),
                budget((long) (Double.parseDouble(headers.get(Headers.TIMEOUT)) * MICROS)),
                cost == null ? 0 : (long) Double.parseDouble(cost),
                "1".equals(headers.get(Headers.RETRIED)), streamed);
        }

        /** Guards against a request that is still in hand when this process is killed: that one is lost. */
        private long budget(long asked) {
            return closing && lastAnswer != Long.MAX_VALUE
                ? Math.min(asked, TimeUnit.NANOSECONDS.toMicros(lastAnswer - System.nanoTime())) : asked;
        }

        /** Whether nothing of a request has been read that is not answered. */
        private boolean rests() {
            return inHand == null && head == null && early.isEmpty() && !ending;
        }

        /** Whether no request of this one is in hand: its peer has sent none, or only a part of one. */
        private boolean isWaiting() {
            return inHand == null && !ending;
        }

        private HttpResponseStatus unparsable(Throwable cause) {
            if (cause instanceof TooLongHttpLineException) {
                return HttpResponseStatus.REQUEST_URI_TOO_LONG;
            } else if (cause instanceof TooLongHttpHeaderException) {
                return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
            }
            return HttpResponseStatus.BAD_REQUEST;
        }

        private void improper(HttpResponseStatus status, Throwable cause) {
            counters.increment(Count.IMPROPER);
            Log.write("improper",
                status + " to " + channel.remoteAddress() + (cause == null ? "" : ": " + cause));
            end(status);
        }

        /** Ends the connection with this: a peer that speaks badly has no claim to a place. */
        private void end(HttpResponseStatus status) {
            keep = false;
            drop();
            if (answer == null) {
                answer(RequestTable.plain(status));
            } else {
                channel.close(); // in the middle of an answer there is no place for another
            }
        }

        /** Whether the next answer ends the connection; it does while the rest of its request is to come. */
        private boolean isLast() {
            boolean ends = !keep || closing || head != null;
            if (!ends && crowded() && !closeLongestAtRest()) {
                counters.increment(Count.CROWDED);
                ends = true;
            }
            return ends;
        }

        @Override
        public void answer(FullHttpResponse response) {
            Headers.dropHopByHop(response.headers());
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            last = isLast();
            if (last) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            finish(channel.writeAndFlush(response));
        }

        @Override
        public void begin(HttpResponse start, Body body) {
            HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, start.status(), start.headers().copy());
            Headers.dropHopByHop(response.headers());
            boolean unending = !HttpUtil.isContentLengthSet(start);
            HttpUtil.setTransferEncodingChunked(response, unending && !old);
            keep &= !(unending && old); // an old client knows the end by that of the connection
            last = isLast();
            if (last) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            answer = body;
            channel.write(response);
            body.to(this);
            channel.flush();
        }

        @Override
        public void part(HttpContent part) {
            ChannelFuture written = channel.writeAndFlush(part);
            if (part instanceof LastHttpContent) {
                answer.release();
                answer = null;
                finish(written);
            } else if (!channel.isWritable()) {
                answer.flow(false);
            }
        }

        /** The client is to see that its answer is not whole. */
        @Override
        public void broken() {
            channel.config().setOption(ChannelOption.SO_LINGER, 0); // an end may pass for the body's
            channel.close();
        }

        /** The answer is on its way whole. */
        private void finish(ChannelFuture written) {
            inHand = null;
            if (last || !keep) {
                ending = true;
                if (upload != null) {
                    upload.release();
                    upload = null;
                    reading.end();
                    channel.config().setAutoRead(true);
                }
                written.addListener((ChannelFutureListener) done -> endSending());
            } else if (!early.isEmpty()) {
                // Not from within the answer: a long pipeline must not deepen the stack.
                inHand = NEXT;
                channel.eventLoop().execute(this::readEarly);
            } else {
                channel.config().setAutoRead(true);
                written.addListener(done -> rest()); // not before the answer is out whole
            }
        }

        private void readEarly() {
            if (!channel.isActive()) {
                return;
            }
            inHand = null;
            while (!early.isEmpty() && (ending || inHand == null || upload != null)) {
                if (ending) {
                    discard(nextEarly());
                } else {
                    read(nextEarly());
                }
            }
            if (early.isEmpty()) {
                channel.config().setAutoRead(true);
            }
        }

        private void endSending() {
            endSending(head == null ? LINGER_MILLIS : LINGER_UPLOAD_MILLIS);
        }

        private void endSending(long lingerMillis) {
            if (channel instanceof DuplexChannel duplex && channel.isActive()) {
                duplex.shutdownOutput();
                channel.config().setAutoRead(true);
                channel.eventLoop().schedule(() -> channel.close(), lingerMillis, TimeUnit.MILLISECONDS);
            } else {
                channel.close();
            }
        }

        @Override
        public void flow(boolean on) {
            reading.flow(on);
        }

        @Override
        public void dropped() {
            // the answer says so
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (answer != null) {
                answer.flow(channel.isWritable());
            }
            context.fireChannelWritabilityChanged();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof CodecException && inHand != null && upload == null && !ending) {
                if (!timeout.isDiscarding()) {
                    overrun(); // the request before is owed its answer all the same
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
