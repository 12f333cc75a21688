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
    private static final long ATTEMPT_MARGIN_MICROS = 12_000;
    /** The host's own answer, where the module gave none; the way back to the client takes some of it. */
    private static final long RESPONSE_MARGIN_MICROS = 6_000;
    /** ...but of a short time budget each takes this part at most: else a hasty client's is all margin. */
    private static final long ATTEMPT_MARGIN_DIVISOR = 10;
    private static final long RESPONSE_MARGIN_DIVISOR = 20;
    /** A repeat takes a moment to the backend, which forgets the first attempt when its window is over. */
    private static final long DEDUP_MARGIN_MICROS = 10_000;
    private static final long DEDUP_MARGIN_DIVISOR = 10;
    private static final double MICROS_PER_SECOND = 1_000_000;
    /** An answer is passed on for so long past its time: a body may stand still for as long. */
    private static final long STREAMING_GRACE_MICROS = 10_000_000;

    private final EventLoop eventLoop;
    private final BackendConnectionPool connectionPool;
    private final Counters counters;
    private final LongSupplier clockMicros;
    private final int maxAttempts;
    private final boolean sendsRetryAfter;
    private final long probeTimeoutMicros;
    private final Map<String, ServiceClass> serviceClasses = new HashMap<>();
    private final Set<String> streamingClasses;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Deque<Event> queuedEvents = new ArrayDeque<>();
    private boolean dispatching;
    private Balancer decisionModule;
    private Runnable subscribeCallback;
    private Consumer<String> broadcastCallback;
    private Runnable emptyAction;

    /** Where a request's one answer goes. */
    interface ResponseWriter {
        void respond(FullHttpResponse response);

        /** A long answer begins, and is the reply's to pass on. */
        default void beginStreaming(HttpResponse head, Body body) {
            body.discard();
        }
    }

    /** A backend as discovery has it; the address is null where the entry gives none. */
    record ListedBackend(String name, Backend backend, SocketAddress address) {
        /** One that has no name. */
        ListedBackend(Backend backend, SocketAddress address) {
            this("", backend, address);
        }
    }

    private record Event(Entry entry, Runnable action) {
    }

    /** A request in hand, until it is answered and none of its attempts is out. */
    private static final class Entry {
        final Request request;
        final FullHttpRequest message;
        final Body body; // of a request that is passed on as it comes, else null
        final ResponseWriter responseWriter;
        long deadlineMicros;
        long receivedAtMicros, responseStartMicros;
        BackendConnectionPool.Exchange streamingExchange;
        final List<BackendConnectionPool.Exchange> attempts = new ArrayList<>(2);
        Future<?> timer;
        int openAttempts;
        boolean answered;

        /** The attempts that the pool has taken so far. */
        List<BackendConnectionPool.Exchange> startedExchanges() {
            return attempts.stream().filter(Objects::nonNull).toList();
        }

        Entry(Request request, FullHttpRequest message, Body body, ResponseWriter responseWriter) {
            this.request = request;
            this.message = message;
            this.body = body;
            this.responseWriter = responseWriter;
        }
    }

    RequestTable(EventLoop eventLoop, BackendConnectionPool connectionPool, LongSupplier clockMicros,
        Config config, Counters counters) {
        this.eventLoop = eventLoop;
        this.connectionPool = connectionPool;
        this.counters = counters;
        counters.registerGauge("in-hand", entries::size);
        this.clockMicros = clockMicros;
        this.maxAttempts = config.settings().limits().maxAttempts();
        this.sendsRetryAfter = config.sendsRetryAfter();
        this.probeTimeoutMicros = config.connectTimeoutMicros();
        this.streamingClasses = config.streamingClasses();
        for (ServiceClass serviceClass : config.settings().classes()) {
            serviceClasses.put(serviceClass.name(), serviceClass);
        }
    }

    /** The module that decides; it is made with this table as its actions. */
    void attachBalancer(Balancer balancer, Runnable onSubscribe, Consumer<String> onBroadcast) {
        decisionModule = balancer;
        subscribeCallback = onSubscribe;
        broadcastCallback = onBroadcast;
    }

    /**
     * Hands one event to the module. An event that comes up while the module acts waits until it has
     * returned, as it must not be entered again. A fault fails the request it was about and nothing else.
     */
    private void dispatch(Entry entry, Runnable action) {
        queuedEvents.add(new Event(entry, action));
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            Event event = queuedEvents.poll();
            while (event != null) {
                try {
                    event.action.run();
                } catch (RuntimeException e) {
                    Log.error("module", e);
                    if (event.entry != null) {
                        finish(event.entry, emptyResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR));
                    }
                }
                event = queuedEvents.poll();
            }
        } finally {
            dispatching = false;
        }
    }

    boolean isInFlight(String requestId) {
        return entries.containsKey(requestId);
    }

    String balancerStatus() {
        return decisionModule.status(clockMicros.getAsLong());
    }

    int inFlightCount() {
        return entries.size();
    }

    /** Runs this once nothing is in hand any more. */
    void whenEmpty(Runnable action) {
        emptyAction = action;
        checkEmpty();
    }

    private void checkEmpty() {
        if (emptyAction != null && entries.isEmpty()) {
            Runnable action = emptyAction;
            emptyAction = null;
            action.run();
        }
    }

    /** Takes a request whose last byte came just now. The message is this table's to keep. */
    void accept(Request request, FullHttpRequest message, ResponseWriter responseWriter) {
        Entry entry = new Entry(request, message, null, responseWriter);
        startDeadline(entry);
        accept(entry);
    }

    /** Takes a request of which more is to come; its time starts with {@link #whole}. */
    void accept(Request request, FullHttpRequest message, Body body, ResponseWriter responseWriter) {
        counters.increment(Count.UPLOADED);
        accept(new Entry(request, message, body, responseWriter));
    }

    private void accept(Entry entry) {
        entries.put(entry.request.id(), entry);
        counters.increment(Count.TAKEN);
        dispatch(entry, () -> decisionModule.onRequest(clockMicros.getAsLong(), entry.request));
    }

    private void startDeadline(Entry entry) {
        entry.receivedAtMicros = clockMicros.getAsLong();
        entry.deadlineMicros = entry.receivedAtMicros + entry.request.timeBudget();
        long remainingMicros = Math.max(0, responseDeadline(entry.request.timeBudget()));
        entry.timer = eventLoop.schedule(() -> timeOut(entry), remainingMicros, TimeUnit.MICROSECONDS);
    }

    /** The last byte of a request that was taken before has come just now. */
    void requestReceived(String requestId) {
        Entry entry = entries.get(requestId);
        if (entry != null && !entry.answered) {
            startDeadline(entry);
        }
    }

    /** When attempts end, from the start of a request with this time budget. */
    static long attemptDeadline(long budgetMicros) {
        return budgetMicros - Math.min(ATTEMPT_MARGIN_MICROS, budgetMicros / ATTEMPT_MARGIN_DIVISOR);
    }

    /** When the host answers itself. */
    static long responseDeadline(long budgetMicros) {
        return budgetMicros - Math.min(RESPONSE_MARGIN_MICROS, budgetMicros / RESPONSE_MARGIN_DIVISOR);
    }

    /** The host's own deadline: the module has let the client's time run out. */
    private void timeOut(Entry entry) {
        if (!entry.answered) {
            counters.increment(Count.OVERDUE);
            finish(entry, emptyResponse(HttpResponseStatus.GATEWAY_TIMEOUT));
            dispatch(entry, () ->
                decisionModule.onClientDisconnected(clockMicros.getAsLong(), entry.request.id()));
            cancelUnsentAttempts(entry);
        }
    }

    /** The client closed its connection: nothing is owed any more. */
    void clientDisconnected(String requestId) {
        Entry entry = entries.get(requestId);
        if (entry == null || entry.answered && entry.streamingExchange == null) {
            return;
        }
        counters.increment(Count.GONE);
        finish(entry, null);
        dispatch(entry, () -> decisionModule.onClientDisconnected(clockMicros.getAsLong(), requestId));
        cancelUnsentAttempts(entry);
        if (entry.streamingExchange != null) {
            entry.streamingExchange.cancel();
        }
    }

    void updateBackends(ListUpdateType updateType, List<ListedBackend> listedBackends) {
        List<Backend> backends = new ArrayList<>(listedBackends.size());
        if (updateType == ListUpdateType.FULL || updateType == ListUpdateType.CACHED) {
            connectionPool.replaceBackends(listedBackends);
        } else {
            listedBackends.forEach(connectionPool::updateBackend);
        }
        for (ListedBackend listed : listedBackends) {
            backends.add(listed.backend);
        }
        dispatch(null, () -> decisionModule.onBackendList(clockMicros.getAsLong(), updateType, backends));
    }

    /** The final answer, the first time only; null where the client is gone. */
    private void finish(Entry entry, FullHttpResponse response) {
        if (entry.answered) {
            if (response != null) {
                response.release();
            }
            return;
        }
        entry.answered = true;
        cancelTimer(entry);
        if (response != null) {
            counters.increment(resultCounter(response.status()));
            entry.responseWriter.respond(response);
        }
        removeIfDone(entry);
    }

    /** Whatever the settings say of calling off: of a request that is over nothing begins any more. */
    private static void cancelUnsentAttempts(Entry entry) {
        for (BackendConnectionPool.Exchange attempt : List.copyOf(entry.startedExchanges())) {
            attempt.cancelIfUnsent();
        }
    }

    private static void cancelTimer(Entry entry) {
        if (entry.timer != null) {
            entry.timer.cancel(false);
        }
    }

    private static Count resultCounter(HttpResponseStatus status) {
        if (status.equals(HttpResponseStatus.OK)) {
            return Count.SERVED;
        }
        return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? Count.REFUSED : Count.FAILED;
    }

    private void removeIfDone(Entry entry) {
        if (entry.answered && entry.openAttempts == 0 && entries.remove(entry.request.id(), entry)) {
            cancelTimer(entry);
            entry.message.release();
            if (entry.body != null) {
                entry.body.release();
            }
            checkEmpty();
        }
    }

    /** A long answer begins: the request is this attempt's from here on. */
    private void streamingStarted(Entry entry, int attempt, long backend, long sentAtMicros,
        HttpResponse head, Body body) {
        if (entry.answered) {
            body.discard();
            return;
        }
        entry.answered = true;
        cancelTimer(entry);
        entry.responseStartMicros = clockMicros.getAsLong();
        entry.streamingExchange = entry.attempts.get(attempt);
        counters.increment(Count.SERVED);
        entry.responseWriter.beginStreaming(head, body);
        dispatch(entry, () ->
            decisionModule.onStreamStart(clockMicros.getAsLong(), entry.request.id(), attempt, backend,
            latency(entry, sentAtMicros, entry.responseStartMicros)));
        cancelUnsentAttempts(entry);
        scheduleStreamingTimeout(entry);
    }

    /**
     * One that goes on for ever must not keep its client waiting for an end; the client sees that it was
     * broken off. Not as soon as its time is up: a long answer may come in pieces with seconds between, and
     * until 64 kB of it have come nothing tells the two apart.
     */
    private void scheduleStreamingTimeout(Entry entry) {
        if (entry.receivedAtMicros == 0 || streamingClasses.contains(entry.request.serviceClass())) {
            return;
        }
        entry.timer = eventLoop.schedule(() -> {
            if (!entry.streamingExchange.hasEnded() && !entry.streamingExchange.isLongResponse()) {
                counters.increment(Count.OVERDUE);
                entry.streamingExchange.timeOut();
            }
        }, Math.max(0, entry.deadlineMicros - clockMicros.getAsLong()) + STREAMING_GRACE_MICROS,
            TimeUnit.MICROSECONDS);
    }

    /** Whether a first byte may go out now that was decided on some time ago. */
    private boolean maySend(Entry entry, int attempt) {
        ServiceClass serviceClass = serviceClasses.get(entry.request.serviceClass());
        if (entry.answered) {
            return false;
        }
        for (int i = 0; i < entry.attempts.size(); i++) {
            BackendConnectionPool.Exchange other = entry.attempts.get(i);
            if (i == attempt || other == null || !other.mayHaveExecuted() || serviceClass == null) {
                continue;
            }
            long windowMicros = serviceClass.dedupWindow();
            long marginMicros = Math.min(DEDUP_MARGIN_MICROS, windowMicros / DEDUP_MARGIN_DIVISOR);
            if (serviceClass.idempotency() == Idempotency.AT_MOST_ONCE
                || serviceClass.idempotency() == Idempotency.DEDUPLICATED
                && other.microsSinceSendStart() > windowMicros - marginMicros) {
                return false;
            }
        }
        return true;
    }

    /** How long the backend took; what the client took to send its request is not the backend's time. */
    private static long latency(Entry entry, long sentAtMicros, long endMicros) {
        return Math.max(0, endMicros - Math.max(sentAtMicros, entry.receivedAtMicros));
    }

    private void attemptEnded(Entry entry, int attempt, long backend, long sentAtMicros, Outcome outcome,
                       LoadReport report, FullHttpResponse response) {
        if (outcome == Outcome.OK && response != null) {
            finish(entry, response);
        }
        boolean answeredBefore = entry.answered;
        dispatch(entry, () -> {
            long nowMicros = clockMicros.getAsLong();
            entry.openAttempts--;
            boolean streamed = entry.streamingExchange != null
                && entry.streamingExchange == entry.attempts.get(attempt);
            // While an answer is being passed on, the end of another attempt does not close the request.
            boolean closesRequest = streamed || entry.streamingExchange == null
                && (answeredBefore || entry.answered);
            decisionModule.onOutcome(nowMicros, entry.request.id(), attempt, backend, outcome,
                latency(entry, sentAtMicros, streamed ? entry.responseStartMicros : nowMicros),
                closesRequest, report);
            removeIfDone(entry);
        });
        if (entry.answered) {
            cancelUnsentAttempts(entry); // after the event: the module is to hear of the winner first
        }
    }

    @Override
    public void send(String requestId, long backend, long timeoutMicros) {
        Entry entry = entries.get(requestId);
        if (entry == null) {
            Log.write("module", "a send for a request that is not in hand");
            return;
        }
        int attempt = entry.attempts.size();
        long nowMicros = clockMicros.getAsLong();
        long remainingMicros = attemptDeadline(entry.request.timeBudget());
        if (entry.receivedAtMicros > 0) {
            remainingMicros -= nowMicros - entry.receivedAtMicros;
        }
        remainingMicros = timeoutMicros == 0 ? remainingMicros : Math.min(remainingMicros, timeoutMicros);
        if (entry.answered || attempt >= maxAttempts || entry.body != null && !entry.body.isReplayable()) {
            remainingMicros = 0; // nothing goes out for a request that is over, or whose first bytes are gone
        }
        entry.attempts.add(null);
        entry.openAttempts++;
        BackendConnectionPool.Exchange exchange = connectionPool.send(backend,
            toBackendRequest(entry, remainingMicros), entry.body, remainingMicros,
            new BackendConnectionPool.ExchangeListener() {
                @Override
                public void onStreamStart(HttpResponse head, Body body) {
                    RequestTable.this.streamingStarted(entry, attempt, backend, nowMicros, head, body);
                }

                @Override
                public boolean maySend() {
                    return RequestTable.this.maySend(entry, attempt);
                }

                @Override
                public void onEnd(Outcome outcome, LoadReport report, FullHttpResponse response) {
                    RequestTable.this.attemptEnded(entry, attempt, backend, nowMicros, outcome, report,
                        response);
                }
            });
        entry.attempts.set(attempt, exchange);
    }

    /** The request as the backend gets it: all as it came but what is between the client and this proxy. */
    private static HttpRequest toBackendRequest(Entry entry, long remainingMicros) {
        FullHttpRequest message = entry.message;
        HttpHeaders headers = message.headers().copy();
        HttpRequest copy = entry.body != null
            ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(), headers)
            : new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(),
                message.content().retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
        Headers.removeHopByHop(headers);
        if (entry.body != null) {
            HttpUtil.setTransferEncodingChunked(copy, !HttpUtil.isContentLengthSet(message));
        } else if (message.content().isReadable() || !HttpMethod.GET.equals(message.method())) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
        }
        if (entry.body != null) {
            Headers.setTimeout(copy, remainingMicros); // a whole one is told as it is written
        }
        return copy;
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Entry entry = entries.get(requestId);
        if (entry != null && attempt < entry.attempts.size() && entry.attempts.get(attempt) != null) {
            entry.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        FullHttpResponse response = emptyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE);
        if (retryAfterMicros > 0 && sendsRetryAfter) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", retryAfterMicros / MICROS_PER_SECOND));
        }
        finish(requestId, response);
    }

    @Override
    public void fail(String requestId) {
        finish(requestId, emptyResponse(HttpResponseStatus.BAD_GATEWAY));
    }

    private void finish(String requestId, FullHttpResponse response) {
        Entry entry = entries.get(requestId);
        if (entry != null) {
            finish(entry, response);
            cancelUnsentAttempts(entry);
        }
    }

    @Override
    public void setTimer(long delayMicros, long token) {
        eventLoop.schedule(() ->
            dispatch(null, () -> decisionModule.onTimer(clockMicros.getAsLong(), token)), delayMicros,
            TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(long backend) {
        long sentAtMicros = clockMicros.getAsLong();
        FullHttpRequest request =
            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/healthz");
        connectionPool.send(backend, request, probeTimeoutMicros, (outcome, report, response) -> {
            if (response != null) {
                response.release();
            }
            dispatch(null, () -> {
                long endedAtMicros = clockMicros.getAsLong();
                decisionModule.onProbeResult(endedAtMicros, backend, outcome, endedAtMicros - sentAtMicros,
                    report);
            });
        });
    }

    @Override
    public void closeIdleConnections(long backend) {
        connectionPool.closeIdleConnections(backend);
    }

    @Override
    public void subscribe() {
        subscribeCallback.run();
    }

    @Override
    public void broadcastToPeers(String message) {
        broadcastCallback.accept(message);
    }

    void updateFleetView(FleetView fleet) {
        dispatch(null, () -> decisionModule.onFleetView(clockMicros.getAsLong(), fleet));
    }

    /** What may be spent of the fleet's budgets, for so many microseconds from now. */
    void budgets(long updateNumber, long validMicros, List<BudgetShare> shares) {
        dispatch(null, () -> decisionModule.onBudgetShares(clockMicros.getAsLong(), updateNumber,
            clockMicros.getAsLong() + validMicros, shares));
    }

    List<BudgetUse> budgets() {
        return decisionModule.budgetUsage(clockMicros.getAsLong());
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    void deliverPeerMessage(int sender, String message) {
        dispatch(null, () -> decisionModule.onPeerMessage(clockMicros.getAsLong(), sender, message));
    }

    /** An answer of this proxy's own: the status alone says it. */
    static FullHttpResponse emptyResponse(HttpResponseStatus status) {
        ByteBuf body = Unpooled.EMPTY_BUFFER;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        return response;
    }
}
