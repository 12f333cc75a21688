package dockrelay.proxy;

import dockrelay.Balancer.LoadReport;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Phase;
import dockrelay.proxy.Counters.Count;
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
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Connections to the backends: kept alive, one request each, at most so many in all. A request goes out once;
 * what became of it is told by one outcome. All on the event loop's thread.
 */
final class BackendConnectionPool {
    /** A kept connection is dropped this share of its idle time before the backend may drop it. */
    private static final double IDLE_SHARE = 0.85;
    private static final long SWEEP_MICROS = 500_000;
    /**
     * A backend may answer twice, the second time some milliseconds later: a connection is used again once it
     * has been quiet for so long after its answer, as nothing would tell such an answer from the next one's.
     */
    static final long SETTLED_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    /** ...for so long where an answer that could not be read has come of late from any of them. */
    private static final long SETTLED_SPOILT_NANOS = TimeUnit.MILLISECONDS.toNanos(12);
    /** ...and for so long where it came from this one, and nobody had asked for it. */
    private static final long SETTLED_STRAY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long SPOILT_NANOS = TimeUnit.SECONDS.toNanos(30);
    /** A long answer is not longer than that. */
    private static final long MOST_BODY = 32 << 20;
    /** An answer of unknown length is held for this part of its time at most, to see whether it is short. */
    private static final long HELD_PART = 8;
    /** Peers take seconds to read or write, and no longer: what stands still keeps its place from others. */
    private static final long STILL_SECONDS = 10;
    private static final Pattern FIGURE = Pattern.compile("(\\w+)=(\\d{1,12}(?:\\.\\d{1,12})?)");

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final Counters counters;
    private final BufferLimit buffers;
    private final int fullMost;
    private int most;
    private final long idleNanos, settledNanos;
    private LongObjectMap<RequestTable.ListedBackend> listed = BackendRegistry.newIdMap(0);
    private final LongObjectMap<Peer> peers = BackendRegistry.newIdMap(0); // those of them that were sent to
    private final Set<Connection> idle = new LinkedHashSet<>(); // the first one was used first
    private int connections;
    private boolean spoilt;
    private long spoiltAt; // when an answer last could not be read

    /** Told once how an exchange ended; the response comes with OK only and is the listener's to release. */
    interface Listener {
        /** A good answer that is too long to be kept whole begins; with its body's end comes OK alone. */
        default void began(HttpResponse head, Body body) {
            body.drop();
        }

        /** Asked right before its first byte goes out, which a late connection may have put off. */
        default boolean mayBegin() {
            return true;
        }

        void ended(Outcome outcome, LoadReport report, FullHttpResponse response);
    }

    private static final class Peer {
        final long id;
        SocketAddress address;
        boolean ready, stray;
        long strayAt;
        int open;
        final Deque<Connection> idle = new ArrayDeque<>(); // the last one was used last

        Peer(long id) {
            this.id = id;
        }
    }

    BackendConnectionPool(Bootstrap template, EventLoop loop, int most, long connectTimeout, long connectionIdle,
                Counters counters, BufferLimit buffers) {
        this(template, loop, most, connectTimeout, connectionIdle, counters, buffers, SETTLED_NANOS);
    }

    BackendConnectionPool(Bootstrap template, EventLoop loop, int most, long connectTimeout, long connectionIdle,
                Counters counters, BufferLimit buffers, long settledNanos) {
        this.settledNanos = settledNanos;
        this.buffers = buffers;
        this.loop = loop;
        this.counters = counters;
        counters.registerGauge("backend-connections", () -> connections);
        this.fullMost = most;
        this.most = most;
        this.idleNanos = (long) (connectionIdle * IDLE_SHARE * 1000);
        this.bootstrap = template.clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeout / 1000))
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimit.WATER_MARKS)
            .option(ChannelOption.RECVBUF_ALLOCATOR, BufferLimit.reads())
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new ResponseDecoder(), new HttpRequestEncoder(),
                        new Connection());
                }
            });
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MICROS, SWEEP_MICROS, TimeUnit.MICROSECONDS);
    }

    int connectionCount() {
        return connections;
    }

    /** Keeps to so many connections, as there are no more descriptors. */
    void limitConnections(int left) {
        most = Math.max(1, Math.min(fullMost, left));
        int over = connections - most;
        while (over-- > 0 && evict()) {
            continue; // what is idle goes now, what is busy with its answer
        }
    }

    /** Where a backend listens now, and whether it may be sent anything new. */
    void learn(RequestTable.ListedBackend member) {
        long id = member.backend().id();
        if (member.backend().phase() == Phase.GONE) {
            listed.remove(id);
        } else {
            listed.put(id, member);
        }
        Peer peer = peers.get(id);
        if (peer != null) {
            update(peer, member);
        }
    }

    /** Likewise of all there are: none but these may be sent anything. */
    void learnAll(List<RequestTable.ListedBackend> members) {
        listed = BackendRegistry.newIdMap(members.size());
        for (RequestTable.ListedBackend member : members) {
            learn(member);
        }
        for (Peer peer : List.copyOf(peers.values())) {
            if (!listed.containsKey(peer.id)) {
                peer.ready = false;
                closeIdle(peer);
                forget(peer);
            }
        }
    }

    private void update(Peer peer, RequestTable.ListedBackend member) {
        boolean moved = member.address() != null && !member.address().equals(peer.address);
        peer.address = member.address() == null ? peer.address : member.address();
        peer.ready = member.backend().phase() == Phase.READY;
        if (!peer.ready || moved) {
            closeIdle(peer);
        }
        forget(peer);
    }

    /** What is listed is there to be sent to at any time; of what is not, only what is open still matters. */
    private void forget(Peer peer) {
        if (peer.open == 0 && !listed.containsKey(peer.id) && peers.get(peer.id) == peer) {
            peers.remove(peer.id);
        }
    }

    /** One that is sent to; null where no list has it. */
    private Peer peer(long backend) {
        Peer peer = peers.get(backend);
        RequestTable.ListedBackend member = peer == null ? listed.get(backend) : null;
        if (member != null) {
            peer = new Peer(backend);
            peers.put(backend, peer);
            update(peer, member);
        }
        return peer;
    }

    /** Backends that it knows more of than where they are. */
    int used() {
        return peers.size();
    }

    /** Closes the connections to a backend that carry nothing now. */
    void hangUp(long backend) {
        Peer peer = peers.get(backend);
        if (peer != null) {
            closeIdle(peer);
        }
    }

    private void closeIdle(Peer peer) {
        Connection next = peer.idle.peekFirst();
        while (next != null) {
            drop(next);
            next = peer.idle.peekFirst();
        }
    }

    private void drop(Connection connection) {
        connection.peer.idle.remove(connection);
        idle.remove(connection);
        connection.channel.close();
    }

    /** Sends a request that is there whole, at once or never; the timeout is in microseconds. */
    Exchange send(long backend, FullHttpRequest request, long timeout, Listener listener) {
        return send(backend, request, null, timeout, listener);
    }

    /** Sends a request whose body, if there is one, goes on as it comes: the timeout starts with its end. */
    Exchange send(long backend, HttpRequest request, Body body, long timeout, Listener listener) {
        Peer peer = peer(backend);
        Exchange exchange = new Exchange(peer, request, body, timeout, listener);
        if (peer == null || peer.address == null || timeout <= 0) {
            exchange.end(Outcome.NOT_SENT, null);
            return exchange;
        }
        if (body == null) {
            exchange.startTimer();
        }
        Connection kept = takeIdle(peer);
        if (kept != null) {
            counters.increment(Count.REUSED);
            exchange.writeTo(kept);
        } else if (connections < most || evict()) {
            connect(exchange);
        } else {
            Log.write("pool", "all " + most + " connections are busy");
            exchange.end(Outcome.NOT_SENT, null); // our own lack, not the backend's
        }
        return exchange;
    }

    private Connection takeIdle(Peer peer) {
        Iterator<Connection> kept = peer.idle.descendingIterator();
        long now = System.nanoTime();
        long settled = peer.stray && now - peer.strayAt < SPOILT_NANOS ? SETTLED_STRAY_NANOS
            : spoilt && now - spoiltAt < SPOILT_NANOS ? Math.max(settledNanos, SETTLED_SPOILT_NANOS)
            : settledNanos;
        while (kept.hasNext()) {
            Connection last = kept.next();
            if (last.reading || now - last.idleSince < Math.min(settled, idleNanos / 2)) {
                continue; // what else comes on it may belong to the answer it just gave
            }
            kept.remove();
            idle.remove(last);
            if (last.channel.isActive() && now - last.idleSince < idleNanos) {
                return last;
            }
            last.channel.close();
        }
        return null;
    }

    /** Makes room for a new connection by closing the one that was idle longest. */
    private boolean evict() {
        Iterator<Connection> oldest = idle.iterator();
        boolean any = oldest.hasNext();
        if (any) {
            drop(oldest.next());
        }
        return any;
    }

    private void connect(Exchange exchange) {
        connections++;
        exchange.peer.open++;
        counters.increment(Count.CONNECTS);
        SocketAddress address = exchange.peer.address;
        ChannelFuture connecting = bootstrap.connect(Endpoint.toInetSocketAddress(address));
        exchange.channel = connecting.channel();
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                closed(exchange.peer);
                // No socket to be had is our own lack: the backend is not to blame.
                exchange.end(done.cause() instanceof ChannelException ? Outcome.NOT_SENT
                    : Outcome.CONNECT_FAILURE, null);
                return;
            }
            Channel channel = connecting.channel();
            channel.closeFuture().addListener(over -> closed(exchange.peer));
            if (exchange.ended) {
                channel.close();
            } else if (!exchange.peer.ready) {
                channel.close(); // guards against a first send after a drain's grace
                exchange.end(Outcome.CONNECT_FAILURE, null);
            } else {
                Connection connection = channel.pipeline().get(Connection.class);
                connection.peer = exchange.peer;
                connection.address = address;
                exchange.writeTo(connection);
            }
        });
    }

    private void closed(Peer peer) {
        connections--;
        peer.open--;
        forget(peer);
    }

    /** Drops what has stood idle so long that the backend may be about to close it. */
    private void sweep() {
        long now = System.nanoTime();
        while (!idle.isEmpty() && now - idle.iterator().next().idleSince >= idleNanos) {
            evict();
        }
    }

    /** A request on its way, up to its one outcome. */
    final class Exchange implements Body.Sink {
        private final Peer peer;
        private final HttpRequest request;
        private final Body body;
        private final long timeout;
        private final Listener listener;
        private Channel channel;
        private Body answer;
        private Future<?> timer;
        private long passed;
        private final long madeAt = System.nanoTime();
        private boolean begun, written, ended, neverRan;
        private long begunAt;

        private Exchange(Peer peer, HttpRequest request, Body body, long timeout, Listener listener) {
            this.peer = peer;
            this.request = request;
            this.body = body;
            this.timeout = timeout;
            this.listener = listener;
        }

        private void startTimer() {
            stopTimer();
            timer = loop.schedule(this::timeOut, timeout, TimeUnit.MICROSECONDS);
        }

        private void stopTimer() {
            if (timer != null) {
                timer.cancel(false);
            }
        }

        private void writeTo(Connection connection) {
            channel = connection.channel;
            if (!listener.mayBegin()) {
                end(Outcome.NOT_SENT, null);
                return;
            }
            connection.current = this;
            begun = true;
            begunAt = System.nanoTime();
            if (body == null) {
                // A connection may come up late: what it is told is what is left now.
                Headers.timeout(request, timeout - TimeUnit.NANOSECONDS.toMicros(begunAt - madeAt));
                channel.writeAndFlush(ReferenceCountUtil.retain(request)).addListener(this::written);
                return;
            }
            channel.write(request).addListener(done -> {
                if (!done.isSuccess()) {
                    written(done);
                }
            });
            watch(body);
            body.to(this);
        }

        private void written(io.netty.util.concurrent.Future<?> done) {
            if (done.isSuccess()) {
                written = true;
            } else {
                channel.close();
                end(Outcome.CONNECT_FAILURE, null);
            }
        }

        @Override
        public void part(HttpContent part) {
            boolean last = part instanceof LastHttpContent;
            if (last && answer == null) {
                startTimer(); // from here on it is the backend's time
            }
            ChannelFuture sent = channel.writeAndFlush(part);
            if (last) {
                sent.addListener(this::written);
                return;
            }
            sent.addListener(done -> {
                if (!done.isSuccess()) {
                    written(done); // a reset, which must not pass for the end of an answer without a length
                }
            });
            if (!channel.isWritable()) {
                body.flow(false);
            }
        }

        @Override
        public void broken() {
            end(Outcome.CANCELLED, null); // the backend must not take it for whole
        }

        /** A body that moves at all may take its time; one that stands still is broken off. */
        private void watch(Body moving) {
            passed = moving.passed();
            stopTimer();
            timer = loop.schedule(() -> {
                if (moving.passed() == passed) {
                    Log.write("pool", "a body stood still for " + STILL_SECONDS + " s");
                    timeOut();
                } else {
                    watch(moving);
                }
            }, STILL_SECONDS, TimeUnit.SECONDS);
        }

        /** Whether its answer is a long one: said to be, or seen to be. */
        boolean isLong() {
            Connection connection = channel == null ? null : channel.pipeline().get(Connection.class);
            return connection != null && connection.current == this && (connection.passedBytes
                > BufferLimit.MAX_BUFFERED_MESSAGE_BYTES || HttpUtil.getContentLength(connection.head, 0L) > BufferLimit.MAX_BUFFERED_MESSAGE_BYTES);
        }

        private void begin(HttpResponse head, Body from) {
            answer = from;
            counters.increment(Count.STREAMED);
            watch(from);
            listener.began(head, from);
        }

        /** Its time is over, whatever has come of an answer. */
        void timeOut() {
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILURE, null);
        }

        /** How long ago its first byte went out, in microseconds. */
        long sinceBegun() {
            return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begunAt);
        }

        /** Whether the backend may have run it, or may yet. */
        boolean mayHaveRun() {
            return begun && !neverRan;
        }

        boolean hasEnded() {
            return ended;
        }

        /** Calls it off unless a byte of it has gone out. */
        void cancelUnlessBegun() {
            if (!begun && !ended) {
                cancel();
            }
        }

        /** Stops waiting and closes the connection, which calls the request off. */
        void cancel() {
            end(Outcome.CANCELLED, null);
        }

        /** Ends it; the connection goes too unless a whole answer came. */
        private void end(Outcome outcome, FullHttpResponse response) {
            if (ended) {
                return;
            }
            ended = true; // before the close: what it ends calls back
            if (response == null && channel != null) {
                channel.close();
            }
            over(outcome, response == null ? null : report(response.headers().get(Headers.LOAD)), response);
        }

        private void over(Outcome outcome, LoadReport report, FullHttpResponse response) {
            ended = true;
            neverRan = outcome.provesNotExecuted();
            if (outcome != Outcome.OK) {
                counters.increment(Count.valueOf(outcome.name()));
            }
            ReferenceCountUtil.release(request);
            stopTimer();
            if (body != null) {
                body.leave(this);
            }
            if (answer != null) {
                answer.fail(); // nothing where it is whole
            }
            listener.ended(outcome, report, outcome == Outcome.OK ? response : null);
            if (outcome != Outcome.OK && response != null) {
                response.release();
            }
        }
    }

    /** One connection to a backend. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements Body.Source {
        private Channel channel;
        private Peer peer;
        private SocketAddress address;
        private Exchange current;
        private HttpResponse head;
        private ByteBuf gathered;
        private Body body;
        private BufferLimit.Reading intake;
        private long idleSince, passedBytes;
        private boolean reading;

        Connection() {
            super(false);
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            Exchange exchange = current;
            if (exchange == null || exchange.ended || part.decoderResult().isFailure()) {
                if (exchange == null && peer != null) {
                    peer.stray = true;
                    peer.strayAt = System.nanoTime();
                }
                if (channel.isOpen()) {
                    unreadable(exchange == null ? "an answer to nothing" : part.decoderResult().toString());
                }
                ReferenceCountUtil.release(part);
                broken(context); // nobody asked, or not HTTP: what was asked ends as a reset
                return;
            }
            if (part instanceof HttpResponse start) {
                begin(start);
            }
            if (part instanceof HttpContent content) {
                take(context, content);
            }
        }

        private void begin(HttpResponse start) {
            head = start;
            boolean good = start.status().code() == 200;
            if (good && HttpUtil.getContentLength(start, 0L) > buffers.mostWhole()) {
                stream();
            } else if (good && !HttpUtil.isContentLengthSet(start)) {
                // Nobody knows how much is to come: its first bytes must not wait for the rest too long.
                Exchange held = current;
                loop.schedule(() -> {
                    if (current == held && head == start && body == null) {
                        stream();
                    }
                }, held.timeout / HELD_PART, TimeUnit.MICROSECONDS);
            }
        }

        private BufferLimit.Reading reading() {
            if (intake == null) {
                intake = buffers.new Reading(channel);
            }
            return intake;
        }

        /** From here on the answer is passed on as it comes. */
        private void stream() {
            body = new Body(this, BufferLimit.MAX_BUFFERED_MESSAGE_BYTES);
            passedBytes = gathered == null ? 0 : gathered.readableBytes();
            if (gathered != null) {
                body.add(new DefaultHttpContent(gathered));
                gathered = null;
            }
            current.begin(head, body);
        }

        private void take(ChannelHandlerContext context, HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            if (head == null) {
                content.release();
            } else if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                content.release();
                head = last ? null : head; // the final answer is yet to come
            } else if (body != null) {
                Body whole = body;
                passedBytes += content.content().readableBytes();
                if (last) {
                    finish(context, whole, content);
                } else if (passedBytes > MOST_BODY) {
                    content.release();
                    unreadable("an answer without end");
                    broken(context);
                } else {
                    whole.add(content);
                    reading().read();
                }
            } else {
                gathered = Body.gather(gathered, content, channel.alloc());
                boolean tooLong = gathered != null && gathered.readableBytes() > buffers.mostWhole();
                if (last) {
                    finish(context);
                } else if (tooLong && head.status().code() == 200) {
                    stream();
                } else if (tooLong) {
                    unreadable("a long answer of " + head.status());
                    current.written = true;
                    broken(context);
                }
            }
        }

        /** The answer is there whole. */
        private void finish(ChannelHandlerContext context) {
            Exchange exchange = current;
            FullHttpResponse response = new DefaultFullHttpResponse(head.protocolVersion(), head.status(),
                gathered == null ? Unpooled.EMPTY_BUFFER : gathered, head.headers(),
                EmptyHttpHeaders.INSTANCE);
            gathered = null;
            keep(context);
            exchange.end(outcome(response), response);
        }

        /** The answer has been passed on whole with this part. */
        private void finish(ChannelHandlerContext context, Body whole, HttpContent last) {
            Exchange exchange = current;
            LoadReport report = report(head.headers().get(Headers.LOAD));
            keep(context);
            whole.add(last);
            if (!exchange.ended) {
                exchange.over(Outcome.OK, report, null);
            }
        }

        private void keep(ChannelHandlerContext context) {
            boolean keep = HttpUtil.isKeepAlive(head) && current.written && peer.ready
                && address.equals(peer.address);
            current = null;
            head = null;
            body = null;
            reading = true;
            if (keep) {
                reading().end();
                channel.config().setAutoRead(true);
                idleSince = System.nanoTime();
                peer.idle.addLast(this);
                idle.add(this);
            } else {
                context.close();
            }
        }

        @Override
        public void flow(boolean on) {
            if (current != null) {
                reading().flow(on);
            }
        }

        @Override
        public void dropped() {
            if (current != null) {
                current.cancel();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (current != null && current.body != null) {
                current.body.flow(channel.isWritable());
            }
            context.fireChannelWritabilityChanged();
        }

        /** Bytes on a connection that waits for no answer are the rest of an earlier one, or nobody's. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (current == null && !reading) {
                context.close();
            }
            reading = false;
            context.fireChannelReadComplete();
        }

        private void unreadable(String why) {
            counters.increment(Count.UNREADABLE);
            spoilt = true;
            spoiltAt = System.nanoTime();
            Log.write("unreadable", "from " + address + ": " + why);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            broken(context);
        }

        /** Ends what was asked at once: what else was read by now must not pass for its answer. */
        private void broken(ChannelHandlerContext context) {
            Exchange exchange = current;
            current = null;
            head = null;
            if (gathered != null) {
                gathered.release();
                gathered = null;
            }
            context.close();
            if (exchange != null) {
                exchange.end(exchange.written ? Outcome.RESET : Outcome.CONNECT_FAILURE, null);
            } else if (peer != null) {
                peer.idle.remove(this);
                idle.remove(this);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof CodecException) {
                unreadable(cause.toString()); // too large, or cut short
            } else if (!(cause instanceof IOException)) {
                Log.error("backend", cause);
            }
            broken(context);
        }
    }

    /** Only a marked refusal proves that the backend did not run the request. */
    private static Outcome outcome(FullHttpResponse response) {
        int status = response.status().code();
        if (status == 200) {
            return Outcome.OK;
        }
        boolean untouched = "1".equals(response.headers().get("X-Not-Processed"));
        return (status == 503 || status == 504) && untouched ? Outcome.REJECTED : Outcome.ERROR;
    }

    /** A report such as {@code TEXT inflight=7, queue=2}; null where there is none. */
    static LoadReport report(String text) {
        if (text == null) {
            return null;
        }
        Map<String, Double> figures = new HashMap<>();
        Matcher matcher = FIGURE.matcher(text);
        while (matcher.find()) {
            figures.put(matcher.group(1), Double.parseDouble(matcher.group(2)));
        }
        return new LoadReport(figure(figures, "inflight", "outstanding"), figure(figures, "queue", "backlog"),
            figure(figures, "util", "utilization"), figure(figures, "latency_ms", "recent_ms"),
            figure(figures, "qps", "throughput"), figure(figures, "eps", "errors_per_s"));
    }

    /** A figure goes by either of two names, the bench's own or the wire's. */
    private static double figure(Map<String, Double> figures, String name, String other) {
        return figures.getOrDefault(name, figures.getOrDefault(other, Double.NaN));
    }
}
