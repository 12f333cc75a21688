package dockrelay.proxy;

import dockrelay.Balancer;
import dockrelay.Balancer.Backend;
import dockrelay.Balancer.BudgetShare;
import dockrelay.Balancer.BudgetUse;
import dockrelay.Balancer.FleetView;
import dockrelay.Balancer.Idempotency;
import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.LoadReport;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Request;
import dockrelay.Balancer.ServiceClass;
import dockrelay.proxy.Counters.Count;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The module's host: the requests in hand, their attempts, deadlines and timers. Socket events become the
 * module's events here and its actions become sends and answers. This is the one place that sees to it that
 * each request gets exactly one final answer, in time, whatever the module does.
 */
final class RequestTable implements Balancer.Actions {
    /** Attempts end this long before the client stops waiting, so that the module still can answer. */
    private static final long ATTEMPT_MARGIN = 12_000;
    /** The host's own answer, where the module gave none; the way back to the client takes some of it. */
    private static final long ANSWER_MARGIN = 6_000;
    /** ...but of a short time budget each takes this part at most: else a hasty client's is all margin. */
    private static final long ATTEMPT_MARGIN_PART = 10;
    private static final long ANSWER_MARGIN_PART = 20;
    /** A repeat takes a moment to the backend, which forgets the first attempt when its window is over. */
    private static final long WINDOW_MARGIN = 10_000;
    private static final long WINDOW_MARGIN_PART = 10;
    private static final double MICROS = 1_000_000;
    /** An answer is passed on for so long past its time: a body may stand still for as long. */
    private static final long UNENDING = 10_000_000;

    private final EventLoop loop;
    private final BackendConnectionPool pool;
    private final Counters counters;
    private final LongSupplier clock;
    private final int maxAttempts;
    private final boolean retryAfter;
    private final long probeTimeout;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Set<String> streaming;
    private final Map<String, Pending> pending = new HashMap<>();
    private final Deque<Event> events = new ArrayDeque<>();
    private boolean inside;
    private Balancer module;
    private Runnable subscriber;
    private Consumer<String> messenger;
    private Runnable whenEmpty;

    /** Where a request's one answer goes. */
    interface Reply {
        void answer(FullHttpResponse response);

        /** A long answer begins, and is the reply's to pass on. */
        default void begin(HttpResponse head, Body body) {
            body.drop();
        }
    }

    /** A backend as discovery has it; the address is null where the entry gives none. */
    record ListedBackend(String name, Backend backend, SocketAddress address) {
        /** One that has no name. */
        ListedBackend(Backend backend, SocketAddress address) {
            this("", backend, address);
        }
    }

    private record Event(Pending about, Runnable body) {
    }

    /** A request in hand, until it is answered and none of its attempts is out. */
    private static final class Pending {
        final Request request;
        final FullHttpRequest message;
        final Body body; // of a request that is passed on as it comes, else null
        final Reply reply;
        long deadline;
        long wholeAt, beganAt;
        BackendConnectionPool.Exchange streaming;
        final List<BackendConnectionPool.Exchange> attempts = new ArrayList<>(2);
        Future<?> timer;
        int out;
        boolean answered;

        /** The attempts that the pool has taken so far. */
        List<BackendConnectionPool.Exchange> exchanges() {
            return attempts.stream().filter(Objects::nonNull).toList();
        }

        Pending(Request request, FullHttpRequest message, Body body, Reply reply) {
            this.request = request;
            this.message = message;
            this.body = body;
            this.reply = reply;
        }
    }

    RequestTable(EventLoop loop, BackendConnectionPool pool, LongSupplier clock, Config config, Counters counters) {
        this.loop = loop;
        this.pool = pool;
        this.counters = counters;
        counters.registerGauge("in-hand", pending::size);
        this.clock = clock;
        this.maxAttempts = config.settings().limits().maxAttempts();
        this.retryAfter = config.sendsRetryAfter();
        this.probeTimeout = config.connectTimeoutMicros();
        this.streaming = config.streamingClasses();
        for (ServiceClass spec : config.settings().classes()) {
            classes.put(spec.name(), spec);
        }
    }

    /** The module that decides; it is made with this table as its actions. */
    void attachBalancer(Balancer balancer, Runnable subscribe, Consumer<String> tell) {
        module = balancer;
        subscriber = subscribe;
        messenger = tell;
    }

    /**
     * Hands one event to the module. An event that comes up while the module acts waits until it has
     * returned, as it must not be entered again. A fault fails the request it was about and nothing else.
     */
    private void enter(Pending about, Runnable body) {
        events.add(new Event(about, body));
        if (inside) {
            return;
        }
        inside = true;
        try {
            Event event = events.poll();
            while (event != null) {
                try {
                    event.body.run();
                } catch (RuntimeException e) {
                    Log.error("module", e);
                    if (event.about != null) {
                        conclude(event.about, plain(HttpResponseStatus.INTERNAL_SERVER_ERROR));
                    }
                }
                event = events.poll();
            }
        } finally {
            inside = false;
        }
    }

    boolean holds(String requestId) {
        return pending.containsKey(requestId);
    }

    String balancerStatus() {
        return module.status(clock.getAsLong());
    }

    int inFlightCount() {
        return pending.size();
    }

    /** Runs this once nothing is in hand any more. */
    void whenEmpty(Runnable action) {
        whenEmpty = action;
        checkEmpty();
    }

    private void checkEmpty() {
        if (whenEmpty != null && pending.isEmpty()) {
            Runnable action = whenEmpty;
            whenEmpty = null;
            action.run();
        }
    }

    /** Takes a request whose last byte came just now. The message is this table's to keep. */
    void take(Request request, FullHttpRequest message, Reply reply) {
        Pending p = new Pending(request, message, null, reply);
        startTime(p);
        take(p);
    }

    /** Takes a request of which more is to come; its time starts with {@link #whole}. */
    void take(Request request, FullHttpRequest message, Body body, Reply reply) {
        counters.increment(Count.UPLOADED);
        take(new Pending(request, message, body, reply));
    }

    private void take(Pending p) {
        pending.put(p.request.id(), p);
        counters.increment(Count.TAKEN);
        enter(p, () -> module.onRequest(clock.getAsLong(), p.request));
    }

    private void startTime(Pending p) {
        p.wholeAt = clock.getAsLong();
        p.deadline = p.wholeAt + p.request.timeBudget();
        long left = Math.max(0, answerBy(p.request.timeBudget()));
        p.timer = loop.schedule(() -> overdue(p), left, TimeUnit.MICROSECONDS);
    }

    /** The last byte of a request that was taken before has come just now. */
    void whole(String requestId) {
        Pending p = pending.get(requestId);
        if (p != null && !p.answered) {
            startTime(p);
        }
    }

    /** When attempts end, from the start of a request with this time budget. */
    static long attemptsUntil(long budget) {
        return budget - Math.min(ATTEMPT_MARGIN, budget / ATTEMPT_MARGIN_PART);
    }

    /** When the host answers itself. */
    static long answerBy(long budget) {
        return budget - Math.min(ANSWER_MARGIN, budget / ANSWER_MARGIN_PART);
    }

    /** The host's own deadline: the module has let the client's time run out. */
    private void overdue(Pending p) {
        if (!p.answered) {
            counters.increment(Count.OVERDUE);
            conclude(p, plain(HttpResponseStatus.GATEWAY_TIMEOUT));
            enter(p, () -> module.onClientDisconnected(clock.getAsLong(), p.request.id()));
            callOffUnsent(p);
        }
    }

    /** The client closed its connection: nothing is owed any more. */
    void clientGone(String requestId) {
        Pending p = pending.get(requestId);
        if (p == null || p.answered && p.streaming == null) {
            return;
        }
        counters.increment(Count.GONE);
        conclude(p, null);
        enter(p, () -> module.onClientDisconnected(clock.getAsLong(), requestId));
        callOffUnsent(p);
        if (p.streaming != null) {
            p.streaming.cancel();
        }
    }

    void updateBackends(ListUpdateType scope, List<ListedBackend> members) {
        List<Backend> entries = new ArrayList<>(members.size());
        if (scope == ListUpdateType.FULL || scope == ListUpdateType.CACHED) {
            pool.learnAll(members);
        } else {
            members.forEach(pool::learn);
        }
        for (ListedBackend member : members) {
            entries.add(member.backend);
        }
        enter(null, () -> module.onBackendList(clock.getAsLong(), scope, entries));
    }

    /** The final answer, the first time only; null where the client is gone. */
    private void conclude(Pending p, FullHttpResponse response) {
        if (p.answered) {
            if (response != null) {
                response.release();
            }
            return;
        }
        p.answered = true;
        stopTime(p);
        if (response != null) {
            counters.increment(answer(response.status()));
            p.reply.answer(response);
        }
        retire(p);
    }

    /** Whatever the settings say of calling off: of a request that is over nothing begins any more. */
    private static void callOffUnsent(Pending p) {
        for (BackendConnectionPool.Exchange attempt : List.copyOf(p.exchanges())) {
            attempt.cancelUnlessBegun();
        }
    }

    private static void stopTime(Pending p) {
        if (p.timer != null) {
            p.timer.cancel(false);
        }
    }

    private static Count answer(HttpResponseStatus status) {
        if (status.equals(HttpResponseStatus.OK)) {
            return Count.SERVED;
        }
        return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? Count.REFUSED : Count.FAILED;
    }

    private void retire(Pending p) {
        if (p.answered && p.out == 0 && pending.remove(p.request.id(), p)) {
            stopTime(p);
            p.message.release();
            if (p.body != null) {
                p.body.release();
            }
            checkEmpty();
        }
    }

    /** A long answer begins: the request is this attempt's from here on. */
    private void began(Pending p, int attempt, long backend, long sentAt, HttpResponse head, Body body) {
        if (p.answered) {
            body.drop();
            return;
        }
        p.answered = true;
        stopTime(p);
        p.beganAt = clock.getAsLong();
        p.streaming = p.attempts.get(attempt);
        counters.increment(Count.SERVED);
        p.reply.begin(head, body);
        enter(p, () -> module.onStreamStart(clock.getAsLong(), p.request.id(), attempt, backend,
            latency(p, sentAt, p.beganAt)));
        callOffUnsent(p);
        endByItsTime(p);
    }

    /**
     * One that goes on for ever must not keep its client waiting for an end; the client sees that it was
     * broken off. Not as soon as its time is up: a long answer may come in pieces with seconds between, and
     * until 64 kB of it have come nothing tells the two apart.
     */
    private void endByItsTime(Pending p) {
        if (p.wholeAt == 0 || streaming.contains(p.request.serviceClass())) {
            return;
        }
        p.timer = loop.schedule(() -> {
            if (!p.streaming.hasEnded() && !p.streaming.isLong()) {
                counters.increment(Count.OVERDUE);
                p.streaming.timeOut();
            }
        }, Math.max(0, p.deadline - clock.getAsLong()) + UNENDING, TimeUnit.MICROSECONDS);
    }

    /** Whether a first byte may go out now that was decided on some time ago. */
    private boolean mayBegin(Pending p, int attempt) {
        ServiceClass spec = classes.get(p.request.serviceClass());
        if (p.answered) {
            return false;
        }
        for (int i = 0; i < p.attempts.size(); i++) {
            BackendConnectionPool.Exchange other = p.attempts.get(i);
            if (i == attempt || other == null || !other.mayHaveRun() || spec == null) {
                continue;
            }
            long window = spec.dedupWindow();
            long margin = Math.min(WINDOW_MARGIN, window / WINDOW_MARGIN_PART);
            if (spec.idempotency() == Idempotency.AT_MOST_ONCE
                || spec.idempotency() == Idempotency.DEDUPLICATED && other.sinceBegun() > window - margin) {
                return false;
            }
        }
        return true;
    }

    /** How long the backend took; what the client took to send its request is not the backend's time. */
    private static long latency(Pending p, long sentAt, long until) {
        return Math.max(0, until - Math.max(sentAt, p.wholeAt));
    }

    private void ended(Pending p, int attempt, long backend, long sentAt, Outcome outcome,
                       LoadReport report, FullHttpResponse response) {
        if (outcome == Outcome.OK && response != null) {
            conclude(p, response);
        }
        boolean closed = p.answered;
        enter(p, () -> {
            long now = clock.getAsLong();
            p.out--;
            boolean streamed = p.streaming != null && p.streaming == p.attempts.get(attempt);
            // While an answer is being passed on, the end of another attempt does not close the request.
            boolean over = streamed || p.streaming == null && (closed || p.answered);
            module.onOutcome(now, p.request.id(), attempt, backend, outcome,
                latency(p, sentAt, streamed ? p.beganAt : now), over, report);
            retire(p);
        });
        if (p.answered) {
            callOffUnsent(p); // after the event: the module is to hear of the winner first
        }
    }

    @Override
    public void send(String requestId, long backend, long timeout) {
        Pending p = pending.get(requestId);
        if (p == null) {
            Log.write("module", "a send for a request that is not in hand");
            return;
        }
        int attempt = p.attempts.size();
        long now = clock.getAsLong();
        long left = attemptsUntil(p.request.timeBudget());
        if (p.wholeAt > 0) {
            left -= now - p.wholeAt;
        }
        left = timeout == 0 ? left : Math.min(left, timeout);
        if (p.answered || attempt >= maxAttempts || p.body != null && !p.body.isReplayable()) {
            left = 0; // nothing goes out for a request that is over, or whose first bytes are gone
        }
        p.attempts.add(null);
        p.out++;
        BackendConnectionPool.Exchange exchange = pool.send(backend, outgoing(p, left), p.body, left,
            new BackendConnectionPool.Listener() {
                @Override
                public void began(HttpResponse head, Body body) {
                    RequestTable.this.began(p, attempt, backend, now, head, body);
                }

                @Override
                public boolean mayBegin() {
                    return RequestTable.this.mayBegin(p, attempt);
                }

                @Override
                public void ended(Outcome outcome, LoadReport report, FullHttpResponse response) {
                    RequestTable.this.ended(p, attempt, backend, now, outcome, report, response);
                }
            });
        p.attempts.set(attempt, exchange);
    }

    /** The request as the backend gets it: all as it came but what is between the client and this proxy. */
    private static HttpRequest outgoing(Pending p, long left) {
        FullHttpRequest message = p.message;
        HttpHeaders headers = message.headers().copy();
        HttpRequest copy = p.body != null
            ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(), headers)
            : new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(),
                message.content().retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
        Headers.dropHopByHop(headers);
        if (p.body != null) {
            HttpUtil.setTransferEncodingChunked(copy, !HttpUtil.isContentLengthSet(message));
        } else if (message.content().isReadable() || !HttpMethod.GET.equals(message.method())) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
        }
        if (p.body != null) {
            Headers.timeout(copy, left); // a whole one is told as it is written
        }
        return copy;
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Pending p = pending.get(requestId);
        if (p != null && attempt < p.attempts.size() && p.attempts.get(attempt) != null) {
            p.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        FullHttpResponse response = plain(HttpResponseStatus.SERVICE_UNAVAILABLE);
        if (retryAfterMicros > 0 && retryAfter) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", retryAfterMicros / MICROS));
        }
        conclude(requestId, response);
    }

    @Override
    public void fail(String requestId) {
        conclude(requestId, plain(HttpResponseStatus.BAD_GATEWAY));
    }

    private void conclude(String requestId, FullHttpResponse response) {
        Pending p = pending.get(requestId);
        if (p != null) {
            conclude(p, response);
            callOffUnsent(p);
        }
    }

    @Override
    public void setTimer(long delay, long token) {
        loop.schedule(() -> enter(null, () -> module.onTimer(clock.getAsLong(), token)), delay,
            TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(long backend) {
        long now = clock.getAsLong();
        FullHttpRequest request =
            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/healthz");
        pool.send(backend, request, probeTimeout, (outcome, report, response) -> {
            if (response != null) {
                response.release();
            }
            enter(null, () -> {
                long then = clock.getAsLong();
                module.onProbeResult(then, backend, outcome, then - now, report);
            });
        });
    }

    @Override
    public void closeIdleConnections(long backend) {
        pool.hangUp(backend);
    }

    @Override
    public void subscribe() {
        subscriber.run();
    }

    @Override
    public void broadcastToPeers(String message) {
        messenger.accept(message);
    }

    void updateFleetView(FleetView fleet) {
        enter(null, () -> module.onFleetView(clock.getAsLong(), fleet));
    }

    /** What may be spent of the fleet's budgets, for so many microseconds from now. */
    void budgets(long telling, long lasts, List<BudgetShare> parts) {
        enter(null, () -> module.onBudgetShares(clock.getAsLong(), telling, clock.getAsLong() + lasts, parts));
    }

    List<BudgetUse> budgets() {
        return module.budgetUsage(clock.getAsLong());
    }

    EventLoop eventLoop() {
        return loop;
    }

    void deliverPeerMessage(int from, String message) {
        enter(null, () -> module.onPeerMessage(clock.getAsLong(), from, message));
    }

    /** An answer of this proxy's own: the status alone says it. */
    static FullHttpResponse plain(HttpResponseStatus status) {
        ByteBuf body = Unpooled.EMPTY_BUFFER;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        return response;
    }
}
