package dockrelay.lab.world;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.plan.Plan.Figures;
import dockrelay.lab.plan.RandomStreams;
import dockrelay.lab.referee.Attempt;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.spec.Experiment.FaultKind;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * An emulated backend: runs its capacity model behind real sockets, with one listener per proxy. Owned by the
 * emulator's event loop.
 */
public final class EmulatedBackend {
    private static final int MAX_REQUEST_BYTES = 64 << 10;
    /** Header with the seconds that the proxy waits for the response; it discards a later one. */
    private static final String TIMEOUT_HEADER = "X-Timeout";

    /** A request in the backend, with the connection that its response goes to. */
    private record ActiveRequest(Attempt attempt, Channel channel, boolean keepAlive) {
    }

    private final Plan.Node plan;
    private final EmulatorNetwork network;
    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    private final long idleTimeoutMillis;
    private final boolean answersProbes;
    private final int proxyCount;
    private final List<Listener> listeners = new ArrayList<>();
    private final List<Break> activeFaults = new ArrayList<>();
    private final Set<Channel> connections = new HashSet<>();
    private final Map<Long, ActiveRequest> activeRequests = new HashMap<>();
    private final Deque<Referee.ReceivedWork> recentColdWork = new ArrayDeque<>();
    private final RandomGenerator random;
    private BackendModel model;
    private Future<?> modelTimer;
    private long modelTimerAt, modelTimerId, nextJobId, startedMillis, reportedAt = Long.MIN_VALUE,
        errorsSince;
    private boolean up, draining, crashedByOverload;
    private double slowdown = 1, stolenCpuShare, fastErrorRate, errorsSinceReport;
    private String loadReport = "";

    EmulatedBackend(Plan.Node plan, long seed, int proxyCount, EmulatorNetwork network, Clock clock,
        Referee referee, long idleTimeoutMicros, boolean answersProbes) {
        this.plan = plan;
        this.network = network;
        this.loop = network.emulatorLoop();
        this.clock = clock;
        this.referee = referee;
        this.idleTimeoutMillis = idleTimeoutMicros / 1000;
        this.answersProbes = answersProbes;
        this.proxyCount = proxyCount;
        this.random = RandomStreams.stream(seed, "node " + plan.name());
    }

    /** Starts accepting connections; cold after a restart, so that it needs a warm-up. */
    void start(boolean cold) {
        up = true;
        crashedByOverload = false;
        startedMillis = cold ? clock.unixMillis(clock.nowMicros()) : 0;
        model = new BackendModel(plan.figures(), clock.nowMicros(), cold);
        model.setSlowdown(clock.nowMicros(), slowdown, stolenCpuShare, new ArrayList<>());
        recentColdWork.clear();
        updateListeners();
    }

    /** Binds the listeners. Must be called once, and not on the event loop. */
    void bindListeners() {
        for (int i = 0; i < proxyCount; i++) {
            int proxy = i;
            listeners.add(new Listener(network, loop, LoopbackAddresses.backendAddress(i),
                () -> new ChannelHandler[] {
                    network.newLinkHandler(plan.name(), "n" + proxy, clock),
                    new IdleStateHandler(0, 0, idleTimeoutMillis, TimeUnit.MILLISECONDS),
                    new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES),
                    new ProxyConnection(proxy)}));
        }
        network.links().addListener(() -> loop.execute(this::updateListeners));
    }

    /** Sets each listener to accept, refuse or drop connections, by the backend's and the links' state. */
    private void updateListeners() {
        for (int i = 0; i < listeners.size(); i++) {
            listeners.get(i).setState(!network.links().canConnect("n" + i, plan.name())
                ? Listener.State.SILENT
                : up ? Listener.State.ACCEPTING : Listener.State.REFUSING);
        }
    }

    /** Crashes the backend: open connections are reset and new ones refused. */
    void crash() {
        up = false;
        updateListeners();
        for (Channel channel : new ArrayList<>(connections)) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
        long now = clock.nowMicros();
        for (long id : new ArrayList<>(activeRequests.keySet())) {
            cancelRequest(id, now);
        }
    }

    /** Starts a fault. Overlapping faults combine: slowdown factors multiply. */
    void startFault(Break fault) {
        activeFaults.add(fault);
        applyFaults();
    }

    void endFault(Break fault) {
        activeFaults.remove(fault);
        applyFaults();
    }

    /** Whether a fault of this kind is active. */
    boolean hasFault(FaultKind kind) {
        return activeFaults.stream().anyMatch(fault -> fault.kind() == kind);
    }

    /** Recomputes the effect of all active faults. */
    private void applyFaults() {
        slowdown = 1;
        double availableShare = 1;
        fastErrorRate = 0;
        for (Break fault : activeFaults) {
            slowdown *= fault.kind() == FaultKind.SLOW ? fault.size() : 1;
            availableShare *= fault.kind() == FaultKind.NEIGHBOUR ? 1 - fault.size() : 1;
            fastErrorRate = fault.kind() == FaultKind.FAST_ERRORS ? Math.max(fastErrorRate, fault.size())
                : fastErrorRate;
        }
        stolenCpuShare = 1 - availableShare;
        draining = hasFault(FaultKind.DRAIN);
        if (up) {
            List<Long> endedJobs = new ArrayList<>();
            model.setSlowdown(clock.nowMicros(), slowdown, stolenCpuShare, endedJobs);
            completeJobs(endedJobs);
        }
    }

    public String name() {
        return plan.name();
    }

    public Plan.Node plan() {
        return plan;
    }

    boolean isUp() {
        return up;
    }

    long startedMillis() {
        return startedMillis;
    }

    InetSocketAddress addressFor(int proxy) {
        return listeners.get(proxy).address();
    }

    /** Returns the number of requests running or queued; -1 while the backend is down. */
    int requestCount() {
        return up ? model.requestCount() : -1;
    }

    boolean isOverloaded() {
        return up && model.isOverloaded();
    }

    boolean isCrashedByOverload() {
        return crashedByOverload;
    }

    /** Responds to the requests whose jobs ended, and crashes the backend if its model has crashed. */
    private void completeJobs(List<Long> endedJobs) {
        long now = clock.nowMicros();
        for (long id : endedJobs) {
            ActiveRequest completed = activeRequests.remove(id);
            if (completed != null) {
                boolean failed = random.nextDouble() < plan.figures().errorRate();
                errorsSinceReport += failed ? 1 : 0;
                referee.attemptEnded(completed.attempt, failed ? Attempt.State.ERROR : Attempt.State.SERVED,
                    completed.attempt.workMicros);
                respond(completed, failed ? HttpResponseStatus.INTERNAL_SERVER_ERROR : HttpResponseStatus.OK,
                    failed ? "error\n" : completed.attempt.expectedBody(), false);
            }
        }
        if (model.isCrashed() && !crashedByOverload) {
            crashedByOverload = true;
            referee.coldBackendCollapsed(plan.index(), startedMillis, new ArrayList<>(recentColdWork), now);
            loop.execute(this::crash);
            return;
        }
        scheduleModelTimer();
    }

    /** Sets the timer to the model's next event. */
    private void scheduleModelTimer() {
        long nextEventAt = up ? model.nextEventAt() : Long.MAX_VALUE;
        if (modelTimer != null && modelTimerAt == nextEventAt) {
            return;
        }
        if (modelTimer != null) {
            modelTimer.cancel(false);
            modelTimer = null;
        }
        if (nextEventAt != Long.MAX_VALUE) {
            modelTimerAt = nextEventAt;
            long timerId = ++modelTimerId;
            modelTimer = network.schedule(loop, nextEventAt - clock.nowMicros(), () -> {
                if (timerId != modelTimerId) {
                    return; // cancelled after the timer had already queued it on the loop
                }
                modelTimer = null;
                List<Long> endedJobs = new ArrayList<>();
                if (up) {
                    model.advance(clock.nowMicros(), endedJobs);
                    completeJobs(endedJobs);
                }
            });
        }
    }

    private void cancelRequest(long id, long now) {
        ActiveRequest request = activeRequests.remove(id);
        if (request == null) {
            return;
        }
        List<Long> endedJobs = new ArrayList<>();
        if (plan.figures().stopsOnCancel() || !up) {
            double workDone = model.cancel(now, id, endedJobs);
            referee.attemptEnded(request.attempt, Attempt.State.CANCELLED, workDone);
        } else {
            // This kind of backend ignores a cancellation and runs the request to completion.
            referee.attemptEnded(request.attempt, Attempt.State.CANCELLED, request.attempt.workMicros);
        }
        completeJobs(endedJobs);
    }

    private static void respond(ActiveRequest request, HttpResponseStatus status, String body,
        boolean notProcessed) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (notProcessed) {
            response.headers().set("X-Not-Processed", "1");
        }
        if (!request.keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        request.channel.writeAndFlush(response)
            .addListener(request.keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE
                : ChannelFutureListener.CLOSE);
    }

    /** Returns the load report, which is up to one report period old and noisy. */
    private String currentLoadReport(long now) {
        Figures figures = plan.figures();
        if (now - reportedAt >= figures.reportPeriod()) {
            double noise = 1 + figures.reportNoise() * random.nextGaussian();
            double elapsedSeconds = Math.max(1e-3, (now - errorsSince) / 1e6);
            loadReport = String.format(Locale.ROOT, "TEXT inflight=%d, eps=%.2f",
                Math.max(0, Math.round(model.requestCount() * noise)), errorsSinceReport / elapsedSeconds);
            reportedAt = now;
            errorsSince = now;
            errorsSinceReport = 0;
        }
        return loadReport;
    }

    /** A proxy's connection to the backend, with at most one request in flight. */
    private final class ProxyConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int proxy;
        private long handshakeDoneAt;
        private long currentJob = -1;

        ProxyConnection(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!up || connections.size() >= plan.figures().connections()) {
                context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                context.close();
                return;
            }
            connections.add(context.channel());
            referee.connectionOpened();
            long now = clock.nowMicros();
            handshakeDoneAt = now + plan.figures().handshakeDelay();
            List<Long> endedJobs = new ArrayList<>();
            model.setConnections(now, connections.size(), endedJobs);
            model.addOverhead(now, plan.figures().handshakeWork(), endedJobs);
            completeJobs(endedJobs);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (connections.remove(context.channel()) && up) {
                long now = clock.nowMicros();
                List<Long> endedJobs = new ArrayList<>();
                model.setConnections(now, connections.size(), endedJobs);
                completeJobs(endedJobs);
                if (currentJob >= 0) {
                    cancelRequest(currentJob, now);
                }
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof io.netty.handler.timeout.IdleStateEvent
                && !activeRequests.containsKey(currentJob)) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!up) {
                context.close();
                return;
            }
            long now = clock.nowMicros();
            String id = request.headers().get("X-Request-ID");
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (id == null) {
                respondToProbe(context, request, keepAlive, now);
                return;
            }
            Attempt attempt = referee.attemptArrived(proxy, plan.index(), now, id, request.method().name(),
                request.uri(), request.headers().get("Idempotency-Key"),
                request.content().toString(StandardCharsets.UTF_8));
            if (attempt == null) {
                respond(new ActiveRequest(null, context.channel(), keepAlive),
                    HttpResponseStatus.BAD_REQUEST, "unknown\n", false);
                return;
            }
            // The first request on a new connection waits for the emulated handshake.
            long handshakeRemaining = handshakeDoneAt - now;
            if (handshakeRemaining > 0) {
                network.schedule(loop, handshakeRemaining,
                    () -> acceptRequest(context, attempt, keepAlive, clock.nowMicros(),
                        request.headers().get(TIMEOUT_HEADER)));
            } else {
                acceptRequest(context, attempt, keepAlive, now, request.headers().get(TIMEOUT_HEADER));
            }
        }

        /** Fails, rejects or starts an attempt whose connection is set up. */
        private void acceptRequest(ChannelHandlerContext context, Attempt attempt, boolean keepAlive,
            long now, String timeout) {
            ActiveRequest request = new ActiveRequest(attempt, context.channel(), keepAlive);
            if (!up || !context.channel().isActive()) {
                referee.attemptEnded(attempt, Attempt.State.CANCELLED, 0);
                return;
            }
            if (random.nextDouble() < fastErrorRate) {
                errorsSinceReport++;
                referee.attemptEnded(attempt, Attempt.State.ERROR, 0);
                respond(request, HttpResponseStatus.INTERNAL_SERVER_ERROR, "error\n", false);
                return;
            }
            if (model.isCold()) {
                recentColdWork.add(new Referee.ReceivedWork(proxy, now, attempt.workMicros));
                while (recentColdWork.peek().receivedAtMicros() <= now - plan.figures().fallTime()) {
                    recentColdWork.poll();
                }
            }
            boolean expired = plan.figures().dropsExpired()
                && (now > attempt.request.sentAtMicros + attempt.request.timeoutMicros
                || timeout != null && now > attempt.arrivedAtMicros + parseSecondsToMicros(timeout));
            List<Long> endedJobs = new ArrayList<>();
            long jobId = nextJobId++;
            if (draining || expired || !model.offer(now, jobId, attempt.workMicros, endedJobs)) {
                referee.attemptEnded(attempt, Attempt.State.REJECTED, 0);
                respond(request, expired ? HttpResponseStatus.GATEWAY_TIMEOUT
                    : HttpResponseStatus.SERVICE_UNAVAILABLE, "not processed\n", true);
            } else {
                currentJob = jobId;
                activeRequests.put(jobId, request);
            }
            completeJobs(endedJobs);
        }

        /** Responds to a health check or load probe; anything else without a request id is not found. */
        private void respondToProbe(ChannelHandlerContext context, FullHttpRequest request,
            boolean keepAlive, long now) {
            ActiveRequest probeRequest = new ActiveRequest(null, context.channel(), keepAlive);
            boolean knownPath = request.uri().equals("/healthz") || request.uri().equals("/load");
            if (!answersProbes || !knownPath || !request.method().equals(HttpMethod.GET)) {
                respond(probeRequest, HttpResponseStatus.NOT_FOUND, "", false);
                return;
            }
            referee.probeReceived();
            List<Long> endedJobs = new ArrayList<>();
            model.addOverhead(now, plan.figures().probeWork(), endedJobs);
            String loadReportText = currentLoadReport(now);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                draining ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                Unpooled.copiedBuffer(request.uri().equals("/load") ? loadReportText : "",
                    StandardCharsets.UTF_8));
            response.headers().set("X-Server-Load", loadReportText);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            context.writeAndFlush(response);
            completeJobs(endedJobs);
        }

        private long parseSecondsToMicros(String text) {
            try {
                return Math.round(Double.parseDouble(text) * 1e6);
            } catch (NumberFormatException e) {
                return Long.MAX_VALUE / 2;
            }
        }
    }
}
