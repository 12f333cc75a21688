package dockrelay.proxy;

import dockrelay.Balancer;
import dockrelay.Balancer.Backend;
import dockrelay.Balancer.BudgetShare;
import dockrelay.Balancer.BudgetUse;
import dockrelay.Balancer.FleetView;
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
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The requests in flight with their attempts, deadlines and timers. It hosts the decision module: socket
 * events are passed to the module, and the module's actions are carried out here. This class alone guarantees
 * that each request gets exactly one final response in time, whatever the module does. All on the event
 * loop's thread.
 */
final class RequestTable implements Balancer.Actions {
    /** Attempts end this long before the client's deadline, so that the module can still respond. */
    private static final long ATTEMPT_MARGIN_MICROS = 12_000;
    /**
     * If the module has not responded this long before the client's deadline, this class does; the margin
     * also covers the way back to the client.
     */
    private static final long RESPONSE_MARGIN_MICROS = 6_000;
    /**
     * Each margin is at most the time budget divided by this number; otherwise the margins would use up a
     * short time budget.
     */
    private static final long ATTEMPT_MARGIN_DIVISOR = 10;
    private static final long RESPONSE_MARGIN_DIVISOR = 20;
    private static final double MICROS_PER_SECOND = 1_000_000;
    /** A response is streamed for this long past its deadline, as a body may stall for as long. */
    private static final long STREAMING_GRACE_MICROS = 10_000_000;

    private final EventLoop eventLoop;
    private final BackendConnectionPool connectionPool;
    private final Counters counters;
    private final LongSupplier clockMicros;
    private final int maxAttempts;
    private final boolean sendsRetryAfter;
    private final long probeTimeoutMicros;
    private final Map<String, RepeatGuard> repeatGuards = new HashMap<>();
    private final RepeatGuard unknownClassGuard = new RepeatGuard(null);
    private final Set<String> streamingClasses;
    private final Map<String, Entry> entries = new HashMap<>();
    private final AbandonedRequests abandonedRequests = new AbandonedRequests();
    private final Deque<Event> queuedEvents = new ArrayDeque<>();
    private boolean dispatching;
    private boolean logsRequests = true;
    private DrainPolicy drainPolicy; // null until this process is asked to stop
    private Balancer decisionModule;
    private Runnable subscribeCallback;
    private Consumer<String> broadcastCallback;
    private Runnable emptyAction;

    /** Receives the single response to a request. */
    interface ResponseWriter {
        /** The writer of a request whose client is not concerned with it any more. */
        ResponseWriter DETACHED = FullHttpResponse::release;

        void respond(FullHttpResponse response);

        /**
         * Runs the first action when it is known that the client is still connected, and the second one if
         * that can't be found out. Neither runs if the client has closed its connection.
         */
        default void whenClientPresent(Runnable present, Runnable unknown) {
            present.run();
        }

        /** Whether the system can keep so many bytes of an answer until the client reads them. */
        default boolean reserveSendBuffer(long bytes) {
            return true;
        }

        /** Begins a streamed response, whose body this writer forwards. */
        default void beginStreaming(HttpResponse head, Body body) {
            body.discard();
        }
    }

    /** How the streamed body of a request arrives, and what its time demands meanwhile. */
    interface Arrival {
        /** The time for which the request may have been written completely, at most, in microseconds. */
        long maxMicrosSinceEnd();

        /** What the request's time demands now. */
        UploadMonitor.Step checkTime();

        /** The time until {@link #checkTime} is due again. */
        long nanosUntilNextCheck();
    }

    /** A backend as listed by discovery; the address is null if the entry has none. */
    record ListedBackend(String name, Backend backend, SocketAddress address) {
        /** A backend without a name. */
        ListedBackend(Backend backend, SocketAddress address) {
            this("", backend, address);
        }
    }

    /** An event for the decision module; the entry is the request that it is about, or null. */
    private record Event(Entry entry, Runnable action) {
    }

    /** A request that is unanswered or still has attempts in flight. */
    private static final class Entry {
        final Request request;
        private FullHttpRequest message; // null once the request is answered: no attempt begins any more
        final Body body; // of a streamed request, else null
        final Arrival arrival; // of a streamed request, else null
        ResponseWriter responseWriter; // a detached one once the request is answered
        long deadlineMicros;
        long receivedAtMicros, responseStartMicros; // received: when the client can have written the end
        OptionalLong readNanos = OptionalLong.empty(); // when the end of the request was read
        BackendConnectionPool.Exchange streamingExchange;
        final List<BackendConnectionPool.Exchange> attempts = new ArrayList<>(2);
        Future<?> timer, windowTimer;
        int openAttempts;
        boolean answered;

        /** The attempts that the connection pool has accepted so far. */
        List<BackendConnectionPool.Exchange> startedExchanges() {
            return attempts.stream().filter(Objects::nonNull).toList();
        }

        /** Answered, or left by its client: attempts that still run need neither message nor client. */
        void setAnswered() {
            answered = true;
            responseWriter = ResponseWriter.DETACHED;
            message.release();
            message = null;
        }

        Entry(Request request, FullHttpRequest message, Body body, Arrival arrival,
              ResponseWriter responseWriter) {
            this.request = request;
            this.message = message;
            this.body = body;
            this.arrival = arrival;
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
            repeatGuards.put(serviceClass.name(), new RepeatGuard(serviceClass));
        }
    }

    /**
     * Sets the decision module, which was created with this table as its actions, and the callbacks that
     * subscribe to discovery and broadcast a message to the peers on behalf of the module.
     */
    void attachBalancer(Balancer balancer, Runnable onSubscribe, Consumer<String> onBroadcast) {
        decisionModule = balancer;
        subscribeCallback = onSubscribe;
        broadcastCallback = onBroadcast;
    }

    /** Leaves single requests and attempts out of the log, as those of the warm-up are no client's. */
    void disableRequestLog() {
        logsRequests = false;
    }

    /**
     * Passes one event to the module. The module is not reentrant: an event that arises while it runs is
     * queued until it has returned. An exception fails only the request that the event is about.
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
                        removeIfDone(event.entry);
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

    /**
     * Whether a request must not be accepted because of an earlier one with its id, which is in flight, or
     * whose client has left and which would run again.
     */
    boolean conflictsWithEarlier(String requestId, String serviceClass) {
        return isInFlight(requestId) || runsAbandonedRequestAgain(requestId, serviceClass);
    }

    String balancerStatus() {
        return decisionModule.status(clockMicros.getAsLong());
    }

    int inFlightCount() {
        return entries.size();
    }

    /** The number of ids that are remembered of requests whose clients have left. */
    int rememberedIdCount() {
        return abandonedRequests.size();
    }

    /** Runs the action once, when no request is in flight any more. */
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

    /**
     * Accepts a request whose last byte has just been received. The table takes over the message's reference.
     */
    void accept(Request request, FullHttpRequest message, ResponseWriter responseWriter) {
        accept(request, message, 0, responseWriter);
    }

    /** Accepts a request whose last byte may have arrived this long ago, in microseconds. */
    void accept(Request request, FullHttpRequest message, long ageMicros, ResponseWriter responseWriter) {
        Entry entry = new Entry(request, message, null, null, responseWriter);
        entry.readNanos = OptionalLong.of(System.nanoTime());
        startDeadline(entry, ageMicros);
        accept(entry);
    }

    /**
     * Accepts a request whose body is still being received. Its time budget starts when its client can have
     * written its end, which the arrival tells.
     */
    void accept(Request request, FullHttpRequest message, Body body, Arrival arrival,
                ResponseWriter responseWriter) {
        counters.increment(Count.UPLOADED);
        Entry entry = new Entry(request, message, body, arrival, responseWriter);
        accept(entry);
        watchTime(entry);
    }

    private void accept(Entry entry) {
        entries.put(entry.request.id(), entry);
        counters.increment(Count.TAKEN);
        dispatch(entry, () -> decisionModule.onRequest(clockMicros.getAsLong(), entry.request));
    }

    private void startDeadline(Entry entry, long ageMicros) {
        entry.receivedAtMicros = clockMicros.getAsLong() - ageMicros;
        entry.deadlineMicros = entry.receivedAtMicros + entry.request.timeBudget();
        long remainingMicros = Math.max(0, responseDeadline(entry.request.timeBudget()) - ageMicros);
        entry.timer = eventLoop.schedule(() -> timeOut(entry), remainingMicros, TimeUnit.MICROSECONDS);
    }

    /** The last byte of a streamed request has just been received. */
    void requestReceived(String requestId) {
        Entry entry = entries.get(requestId);
        if (entry != null && entry.arrival != null && !entry.answered) {
            entry.readNanos = OptionalLong.of(System.nanoTime());
            entry.receivedAtMicros = clockMicros.getAsLong() - entry.arrival.maxMicrosSinceEnd();
            entry.deadlineMicros = entry.receivedAtMicros + entry.request.timeBudget();
            cancelTimer(entry);
            watchTime(entry);
        }
    }

    /** Does what the time of a streamed request demands, now and whenever it is due again. */
    private void watchTime(Entry entry) {
        if (entry.answered) {
            return;
        }
        UploadMonitor.Step step = entry.arrival.checkTime();
        if (step != UploadMonitor.Step.NONE) {
            endAttempts(entry);
        }
        if (step == UploadMonitor.Step.RESPOND) {
            timeOut(entry);
        }
        if (!entry.answered) {
            entry.timer = eventLoop.schedule(() -> watchTime(entry), entry.arrival.nanosUntilNextCheck(),
                TimeUnit.NANOSECONDS);
        }
    }

    private static void endAttempts(Entry entry) {
        for (BackendConnectionPool.Exchange attempt : entry.startedExchanges()) {
            attempt.timeOut();
        }
    }

    /** The time since the end of the request, which a streamed one may not have reached yet. */
    private long microsSinceEnd(Entry entry) {
        return entry.receivedAtMicros > 0 ? clockMicros.getAsLong() - entry.receivedAtMicros
            : entry.arrival.maxMicrosSinceEnd();
    }

    /** The time after the start of a request at which its attempts end, in microseconds like the budget. */
    static long attemptDeadline(long budgetMicros) {
        return budgetMicros - Math.min(ATTEMPT_MARGIN_MICROS, budgetMicros / ATTEMPT_MARGIN_DIVISOR);
    }

    /** The time after the start of a request at which this class responds itself, in microseconds. */
    static long responseDeadline(long budgetMicros) {
        return budgetMicros - Math.min(RESPONSE_MARGIN_MICROS, budgetMicros / RESPONSE_MARGIN_DIVISOR);
    }

    /** Responds with a time-out, because the module has let the client's time budget run out. */
    private void timeOut(Entry entry) {
        if (!entry.answered) {
            counters.increment(Count.OVERDUE);
            finish(entry, emptyResponse(HttpResponseStatus.GATEWAY_TIMEOUT));
            dispatch(entry, () ->
                decisionModule.onClientDisconnected(clockMicros.getAsLong(), entry.request.id()));
            cancelUnsentAttempts(entry);
        }
    }

    /** Responds to all requests that are unanswered, before the process may be killed. */
    void timeOutAll() {
        for (Entry entry : List.copyOf(entries.values())) {
            if (!entry.answered) {
                endAttempts(entry);
                timeOut(entry);
            }
        }
    }

    /** From now on answers are passed on as this policy permits. */
    void startDraining(DrainPolicy policy) {
        drainPolicy = policy;
    }

    private DrainPolicy.AnswerMode answerMode(Entry entry) {
        return drainPolicy == null ? DrainPolicy.AnswerMode.STREAMED
            : drainPolicy.answerMode(entry.readNanos.orElseGet(System::nanoTime));
    }

    /** Fails a request whose answer can't be passed on before this process may be killed. */
    private void failUndeliverable(Entry entry) {
        counters.increment(Count.UNDELIVERABLE);
        finish(entry, emptyResponse(HttpResponseStatus.BAD_GATEWAY));
        dispatch(entry, () ->
            decisionModule.onClientDisconnected(clockMicros.getAsLong(), entry.request.id()));
        cancelUnsentAttempts(entry);
    }

    /** The client has closed its connection, so that no response is due any more. */
    void clientDisconnected(String requestId) {
        Entry entry = entries.get(requestId);
        if (entry == null || entry.answered && entry.streamingExchange == null) {
            return;
        }
        counters.increment(Count.GONE);
        logEnd(entry, "client left");
        rememberAbandoned(entry);
        finish(entry, null);
        dispatch(entry, () -> decisionModule.onClientDisconnected(clockMicros.getAsLong(), requestId));
        cancelUnsentAttempts(entry);
        if (entry.streamingExchange != null) {
            entry.streamingExchange.cancel();
        }
    }

    /** Passes a list of backends, or changes to the list, to the connection pool and the module. */
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

    private static void respond(ResponseWriter responseWriter, FullHttpResponse response) {
        try {
            responseWriter.respond(response);
        } catch (RuntimeException e) {
            Log.error("client", e); // the request ends all the same
        }
    }

    /** Sends the final response unless one was sent before; null if the client has disconnected. */
    private void finish(Entry entry, FullHttpResponse response) {
        if (entry.answered) {
            if (response != null) {
                response.release();
            }
            return;
        }
        ResponseWriter responseWriter = entry.responseWriter;
        entry.setAnswered();
        cancelTimer(entry);
        if (response != null) {
            counters.increment(resultCounter(response.status()));
            logEnd(entry, response.status());
            respond(responseWriter, response);
        }
        removeIfDone(entry);
    }

    /**
     * Logs the end of a request that was not served, with its attempts, and of each one whose body was read
     * with long pauses.
     */
    private void logEnd(Entry entry, Object end) {
        if (!logsRequests) {
            return;
        }
        boolean failed = !HttpResponseStatus.OK.equals(end);
        UploadStatistics upload = entry.body == null ? null : entry.body.statistics();
        long now = System.nanoTime();
        if (failed || upload != null && upload.isPausedLong(now)) {
            Log.write(upload == null ? "request" : "upload", () -> entry.request.id() + " "
                + entry.request.serviceClass() + " budget-ms=" + entry.request.timeBudget() / 1_000
                + ": " + end + ", attempts=" + entry.attempts.size() + " open=" + entry.openAttempts
                + (upload == null ? "" : " " + upload.describe(now)));
        }
    }

    /**
     * Cancels attempts that have not sent anything yet, whether or not the settings permit cancelling: once a
     * request has ended, none of its attempts may start.
     */
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
            if (entry.windowTimer != null) {
                entry.windowTimer.cancel(false);
            }
            if (entry.body != null) {
                entry.body.release();
            }
            checkEmpty();
        }
    }

    /** A streamed response begins: it is the request's final response. */
    private void streamingStarted(Entry entry, int attempt, long backend, long sentAtMicros,
                                  HttpResponse head, Body body) {
        if (entry.answered) {
            body.discard();
            return;
        }
        ResponseWriter responseWriter = entry.responseWriter;
        entry.setAnswered();
        cancelTimer(entry);
        entry.responseStartMicros = clockMicros.getAsLong();
        entry.streamingExchange = entry.attempts.get(attempt);
        counters.increment(Count.SERVED);
        responseWriter.beginStreaming(head, body);
        dispatch(entry, () -> decisionModule.onStreamStart(clockMicros.getAsLong(), entry.request.id(),
            attempt, backend, latency(entry, attempt, sentAtMicros, entry.responseStartMicros)));
        cancelUnsentAttempts(entry);
        scheduleStreamingTimeout(entry);
    }

    /**
     * Aborts an endless response some time after the deadline, so that its client does not wait forever; the
     * client sees the reset. It is not aborted right at the deadline, because a long response may arrive in
     * pieces with seconds between them, and the two cannot be told apart before 64 kB have arrived.
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

    /** Whether an attempt may still send its first byte, which a slow connect may have delayed. */
    private boolean maySend(Entry entry, int attempt) {
        if (entry.answered || !repeatGuard(entry).maySend(entry.attempts, attempt)
            || runsAbandonedRequestAgain(entry.request.id(), entry.request.serviceClass())) {
            return false;
        }
        boolean promptArrival = entry.body == null
            && entry.message.content().readableBytes() <= RepeatGuard.MAX_PROMPT_BODY_BYTES;
        if (entry.attempts.size() > 1 && !promptArrival && entry.windowTimer == null) {
            // Scheduled rather than called: this attempt has not sent anything yet.
            entry.windowTimer = eventLoop.schedule(() -> endLateRepeats(entry), 0, TimeUnit.MICROSECONDS);
        }
        return true;
    }

    /** Whether an attempt would run a request again whose client has left and has come again with its id. */
    private boolean runsAbandonedRequestAgain(String requestId, String serviceClass) {
        OptionalLong microsSinceSendStart =
            abandonedRequests.microsSinceSendStart(requestId, System.nanoTime());
        return microsSinceSendStart.isPresent()
            && !repeatGuard(serviceClass).isRepeatHarmless(microsSinceSendStart.getAsLong());
    }

    /** Remembers a request whose client has left if one of its attempts may have executed. */
    private void rememberAbandoned(Entry entry) {
        long now = System.nanoTime();
        for (BackendConnectionPool.Exchange attempt : entry.startedExchanges()) {
            if (attempt.mayHaveExecuted() && attempt.isRequestWritten()) {
                abandonedRequests.add(entry.request.id(),
                    now - TimeUnit.MICROSECONDS.toNanos(attempt.microsSinceSendStart()), now);
                return;
            }
        }
    }

    private RepeatGuard repeatGuard(Entry entry) {
        return repeatGuard(entry.request.serviceClass());
    }

    private RepeatGuard repeatGuard(String serviceClass) {
        return repeatGuards.getOrDefault(serviceClass, unknownClassGuard);
    }

    /**
     * Ends the attempts that may still be on their way when the deduplication window ends, if another one may
     * have executed. An attempt whose response has begun has arrived.
     */
    private void endLateRepeats(Entry entry) {
        entry.windowTimer = null;
        OptionalLong remainingMicros = repeatGuard(entry).microsUntilRepeatsRunAgain(entry.attempts);
        if (entry.answered || remainingMicros.isEmpty()) {
            return;
        }
        if (remainingMicros.getAsLong() > 0) {
            entry.windowTimer = eventLoop.schedule(() -> endLateRepeats(entry), remainingMicros.getAsLong(),
                TimeUnit.MICROSECONDS);
            return;
        }
        for (BackendConnectionPool.Exchange attempt : entry.startedExchanges()) {
            if (attempt.mayHaveExecuted() && !attempt.hasEnded() && !attempt.hasResponseBegun()) {
                attempt.timeOut();
            }
        }
    }

    /** The backend's latency, which excludes the time until a streamed request was written to it. */
    private long latency(Entry entry, int attempt, long sentAtMicros, long endMicros) {
        long startMicros = sentAtMicros;
        if (entry.body != null && entry.attempts.get(attempt) != null) {
            startMicros = Math.max(startMicros,
                clockMicros.getAsLong() - entry.attempts.get(attempt).microsSinceRequestWritten());
        }
        return Math.max(0, endMicros - startMicros);
    }

    private void attemptEnded(Entry entry, int attempt, long backend, long sentAtMicros, Outcome outcome,
                       LoadReport report, FullHttpResponse response) {
        if (outcome == Outcome.OK && response != null) {
            finish(entry, response);
        }
        if (logsRequests && outcome != Outcome.OK && outcome != Outcome.CANCELLED) {
            Log.write("attempt", () -> entry.request.id() + " attempt " + attempt + " to backend " + backend
                + ": " + outcome + " after " + (clockMicros.getAsLong() - sentAtMicros) / 1_000 + " ms");
        }
        boolean answeredBefore = entry.answered;
        dispatch(entry, () -> {
            long nowMicros = clockMicros.getAsLong();
            entry.openAttempts--;
            boolean streamed = entry.streamingExchange != null
                && entry.streamingExchange == entry.attempts.get(attempt);
            // While a response is being streamed, the end of another attempt does not close the request.
            boolean closesRequest = streamed || entry.streamingExchange == null
                && (answeredBefore || entry.answered);
            decisionModule.onOutcome(nowMicros, entry.request.id(), attempt, backend, outcome,
                latency(entry, attempt, sentAtMicros, streamed ? entry.responseStartMicros : nowMicros),
                closesRequest, report);
            removeIfDone(entry);
        });
        if (entry.answered) {
            cancelUnsentAttempts(entry); // after the event: the module is notified of the success first
        }
    }

    @Override
    public void send(String requestId, long backend, long timeoutMicros) {
        Entry entry = entries.get(requestId);
        if (entry == null) {
            Log.write("module", "attempt ignored: the request is not in flight");
            return;
        }
        int attempt = entry.attempts.size();
        long nowMicros = clockMicros.getAsLong();
        long remainingMicros = attemptDeadline(entry.request.timeBudget()) - microsSinceEnd(entry);
        remainingMicros = timeoutMicros == 0 ? remainingMicros : Math.min(remainingMicros, timeoutMicros);
        if (entry.answered || attempt >= maxAttempts || entry.body != null && !entry.body.isReplayable()) {
            remainingMicros = 0; // not sent: the request has ended or the start of its body is gone
        }
        entry.attempts.add(null);
        entry.openAttempts++;
        BackendConnectionPool.Exchange exchange = connectionPool.send(backend,
            () -> toBackendRequest(entry), entry.body, remainingMicros,
            new ExchangeListener() {
                @Override
                public void onStreamStart(HttpResponse head, Body body) {
                    RequestTable.this.streamingStarted(entry, attempt, backend, nowMicros, head, body);
                }

                @Override
                public long remainingMicros() {
                    return attemptDeadline(entry.request.timeBudget()) - microsSinceEnd(entry);
                }

                @Override
                public DrainPolicy.AnswerMode answerMode() {
                    return RequestTable.this.answerMode(entry);
                }

                @Override
                public boolean reserveSendBuffer(long bytes) {
                    return entry.responseWriter.reserveSendBuffer(bytes);
                }

                @Override
                public void onUndeliverable() {
                    failUndeliverable(entry);
                }

                @Override
                public void whenClientPresent(Runnable present, Runnable unknown) {
                    entry.responseWriter.whenClientPresent(present, unknown);
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

    /** The request as sent to the backend: unchanged except for hop-by-hop headers and framing. */
    private static HttpRequest toBackendRequest(Entry entry) {
        FullHttpRequest message = entry.message;
        HttpHeaders headers = message.headers().copy();
        HttpRequest copy = entry.body != null
            ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(), headers)
            : new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(),
                message.content().retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
        Headers.removeHopByHop(headers);
        if (entry.body != null) {
            HttpUtil.setTransferEncodingChunked(copy, !HttpUtil.isContentLengthSet(copy));
        } else if (message.content().isReadable() || !HttpMethod.GET.equals(message.method())) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
        }
        return copy; // the pool states the time that is left as it writes the request
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
        if (abandonedRequests.microsSinceSendStart(requestId, System.nanoTime()).isPresent()) {
            fail(requestId); // a refusal would promise that the request has never run
            return;
        }
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
        eventLoop.schedule(
            () -> dispatch(null, () -> decisionModule.onTimer(clockMicros.getAsLong(), token)),
            delayMicros, TimeUnit.MICROSECONDS);
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

    /**
     * Tells the module which shares of the fleet's budgets this proxy may spend.
     *
     * @param updateNumber number of this update
     * @param validMicros how long the shares are valid from now, in microseconds
     */
    void budgets(long updateNumber, long validMicros, List<BudgetShare> shares) {
        dispatch(null, () -> decisionModule.onBudgetShares(clockMicros.getAsLong(), updateNumber,
            clockMicros.getAsLong() + validMicros, shares));
    }

    /** What this proxy has spent and requested of the fleet's budgets. */
    List<BudgetUse> budgets() {
        return decisionModule.budgetUsage(clockMicros.getAsLong());
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    void deliverPeerMessage(int sender, String message) {
        dispatch(null, () -> decisionModule.onPeerMessage(clockMicros.getAsLong(), sender, message));
    }

    /** An empty response with the given status, sent by the proxy itself. */
    static FullHttpResponse emptyResponse(HttpResponseStatus status) {
        ByteBuf body = Unpooled.EMPTY_BUFFER;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        return response;
    }
}
