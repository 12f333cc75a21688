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

/** A planner node: its model played on sockets, with a listener for each proxy. One loop's thread owns it. */
public final class Node {
    private static final int LONGEST = 64 << 10;
    /** An attempt comes with the time that the proxy will wait; it is no use after that. */
    private static final String TIMEOUT = "X-Timeout";

    private record Held(Attempt attempt, Channel channel, boolean keepAlive) {
    }

    private final Plan.Node plan;
    private final EmulatorNetwork net;
    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    private final long idleMillis;
    private final boolean probes;
    private final int askers;
    private final List<Listener> listeners = new ArrayList<>();
    private final List<Break> faults = new ArrayList<>();
    private final Set<Channel> open = new HashSet<>();
    private final Map<Long, Held> held = new HashMap<>();
    private final Deque<Referee.ReceivedWork> recent = new ArrayDeque<>();
    private final RandomGenerator random;
    private NodeModel model;
    private Future<?> wake;
    private long wakeAt, wakes, numbers, startedMillis, reportAt = Long.MIN_VALUE, errorsAt;
    private boolean up, draining, fell;
    private double slower = 1, stolen, failing, errors;
    private String report = "";

    Node(Plan.Node plan, long seed, int askers, EmulatorNetwork net, Clock clock, Referee referee, long idle,
        boolean probes) {
        this.plan = plan;
        this.net = net;
        this.loop = net.emulatorLoop();
        this.clock = clock;
        this.referee = referee;
        this.idleMillis = idle / 1000;
        this.probes = probes;
        this.askers = askers;
        this.random = RandomStreams.stream(seed, "node " + plan.name());
    }

    /** Takes connections from now on; cold where it was down before. */
    void start(boolean cold) {
        up = true;
        fell = false;
        startedMillis = cold ? clock.unixMillis(clock.nowMicros()) : 0;
        model = new NodeModel(plan.figures(), clock.nowMicros(), cold);
        model.trouble(clock.nowMicros(), slower, stolen, new ArrayList<>());
        recent.clear();
        settle();
    }

    /** Takes its addresses. To be called once, and not on the loop. */
    void reserve() {
        for (int i = 0; i < askers; i++) {
            int asker = i;
            listeners.add(new Listener(net, loop, LoopbackAddresses.node(i), () -> new ChannelHandler[] {
                net.link(plan.name(), "n" + asker, clock), new IdleStateHandler(0, 0, idleMillis,
                TimeUnit.MILLISECONDS), new HttpServerCodec(), new HttpObjectAggregator(LONGEST),
                new Connection(asker)}));
        }
        net.links().watch(() -> loop.execute(this::settle));
    }

    /** Whether its addresses take, refuse or swallow connections now. */
    private void settle() {
        for (int i = 0; i < listeners.size(); i++) {
            listeners.get(i).state(!net.links().connects("n" + i, plan.name()) ? Listener.State.DARK
                : up ? Listener.State.TAKING : Listener.State.REFUSING);
        }
    }

    /** Dies: its connections are reset and new ones refused. */
    void crash() {
        up = false;
        settle();
        for (Channel channel : new ArrayList<>(open)) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
        long now = clock.nowMicros();
        for (long id : new ArrayList<>(held.keySet())) {
            stop(id, now);
        }
    }

    /** A fault sets in. Those in overlap add up: it is as slow as all of them together make it. */
    void begin(Break fault) {
        faults.add(fault);
        suffer();
    }

    void end(Break fault) {
        faults.remove(fault);
        suffer();
    }

    /** Whether a fault of this kind lies on it. */
    boolean suffers(FaultKind kind) {
        return faults.stream().anyMatch(one -> one.kind() == kind);
    }

    private void suffer() {
        slower = 1;
        double left = 1;
        failing = 0;
        for (Break fault : faults) {
            slower *= fault.kind() == FaultKind.SLOW ? fault.size() : 1;
            left *= fault.kind() == FaultKind.NEIGHBOUR ? 1 - fault.size() : 1;
            failing = fault.kind() == FaultKind.FAST_ERRORS ? Math.max(failing, fault.size()) : failing;
        }
        stolen = 1 - left;
        draining = suffers(FaultKind.DRAIN);
        if (up) {
            List<Long> ended = new ArrayList<>();
            model.trouble(clock.nowMicros(), slower, stolen, ended);
            finish(ended);
        }
    }

    public String name() {
        return plan.name();
    }

    public Plan.Node plan() {
        return plan;
    }

    boolean up() {
        return up;
    }

    long startedMillis() {
        return startedMillis;
    }

    InetSocketAddress address(int asker) {
        return listeners.get(asker).address();
    }

    /** For the report: what it holds, below 0 where it is down. */
    int heldNow() {
        return up ? model.held() : -1;
    }

    boolean crowded() {
        return up && model.choked();
    }

    boolean fell() {
        return fell;
    }

    private void finish(List<Long> ended) {
        long now = clock.nowMicros();
        for (long id : ended) {
            Held done = held.remove(id);
            if (done != null) {
                boolean wrong = random.nextDouble() < plan.figures().errorRate();
                errors += wrong ? 1 : 0;
                referee.attemptEnded(done.attempt, wrong ? Attempt.State.ERROR : Attempt.State.SERVED,
                    done.attempt.workMicros);
                answer(done, wrong ? HttpResponseStatus.INTERNAL_SERVER_ERROR : HttpResponseStatus.OK,
                    wrong ? "error\n" : done.attempt.expectedBody(), false);
            }
        }
        if (model.fallen() && !fell) {
            fell = true;
            referee.coldBackendCollapsed(plan.index(), startedMillis, new ArrayList<>(recent), now);
            loop.execute(this::crash);
            return;
        }
        schedule();
    }

    private void schedule() {
        long next = up ? model.next() : Long.MAX_VALUE;
        if (wake != null && wakeAt == next) {
            return;
        }
        if (wake != null) {
            wake.cancel(false);
            wake = null;
        }
        if (next != Long.MAX_VALUE) {
            wakeAt = next;
            long mine = ++wakes;
            wake = net.schedule(loop, next - clock.nowMicros(), () -> {
                if (mine != wakes) {
                    return; // it was on its way when it was called off
                }
                wake = null;
                List<Long> ended = new ArrayList<>();
                if (up) {
                    model.advance(clock.nowMicros(), ended);
                    finish(ended);
                }
            });
        }
    }

    private void stop(long id, long now) {
        Held one = held.remove(id);
        if (one == null) {
            return;
        }
        List<Long> ended = new ArrayList<>();
        if (plan.figures().stopsOnCancel() || !up) {
            double had = model.cancel(now, id, ended);
            referee.attemptEnded(one.attempt, Attempt.State.CANCELLED, had);
        } else {
            referee.attemptEnded(one.attempt, Attempt.State.CANCELLED, one.attempt.workMicros); // it runs on for nobody
        }
        finish(ended);
    }

    private static void answer(Held to, HttpResponseStatus status, String body, boolean unprocessed) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (unprocessed) {
            response.headers().set("X-Not-Processed", "1");
        }
        if (!to.keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        to.channel.writeAndFlush(response).addListener(to.keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE
            : ChannelFutureListener.CLOSE);
    }

    /** What it says of its load: some time old and not exact. */
    private String report(long now) {
        Figures figures = plan.figures();
        if (now - reportAt >= figures.reportPeriod()) {
            double noise = 1 + figures.reportNoise() * random.nextGaussian();
            double seconds = Math.max(1e-3, (now - errorsAt) / 1e6);
            report = String.format(Locale.ROOT, "TEXT inflight=%d, eps=%.2f",
                Math.max(0, Math.round(model.held() * noise)), errors / seconds);
            reportAt = now;
            errorsAt = now;
            errors = 0;
        }
        return report;
    }

    /** One connection of a proxy's. One request is on it at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int asker;
        private long readyAt;
        private long current = -1;

        Connection(int asker) {
            this.asker = asker;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!up || open.size() >= plan.figures().connections()) {
                context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                context.close();
                return;
            }
            open.add(context.channel());
            referee.connectionOpened();
            long now = clock.nowMicros();
            readyAt = now + plan.figures().handshakeDelay();
            List<Long> ended = new ArrayList<>();
            model.connections(now, open.size(), ended);
            model.overhead(now, plan.figures().handshakeWork(), ended);
            finish(ended);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (open.remove(context.channel()) && up) {
                long now = clock.nowMicros();
                List<Long> ended = new ArrayList<>();
                model.connections(now, open.size(), ended);
                finish(ended);
                if (current >= 0) {
                    stop(current, now);
                }
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof io.netty.handler.timeout.IdleStateEvent && !held.containsKey(current)) {
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
            boolean keep = HttpUtil.isKeepAlive(request);
            if (id == null) {
                probe(context, request, keep, now);
                return;
            }
            Attempt attempt = referee.attemptArrived(asker, plan.index(), now, id, request.method().name(),
                request.uri(),
                request.headers().get("Idempotency-Key"), request.content().toString(StandardCharsets.UTF_8));
            if (attempt == null) {
                answer(new Held(null, context.channel(), keep), HttpResponseStatus.BAD_REQUEST, "unknown\n",
                    false);
                return;
            }
            long wait = readyAt - now; // the first request on a new connection waits for its handshake
            if (wait > 0) {
                net.schedule(loop, wait,
                    () -> take(context, attempt, keep, clock.nowMicros(), request.headers().get(TIMEOUT)));
            } else {
                take(context, attempt, keep, now, request.headers().get(TIMEOUT));
            }
        }

        private void take(ChannelHandlerContext context, Attempt attempt, boolean keep, long now,
            String timeout) {
            Held one = new Held(attempt, context.channel(), keep);
            if (!up || !context.channel().isActive()) {
                referee.attemptEnded(attempt, Attempt.State.CANCELLED, 0);
                return;
            }
            if (random.nextDouble() < failing) {
                errors++;
                referee.attemptEnded(attempt, Attempt.State.ERROR, 0);
                answer(one, HttpResponseStatus.INTERNAL_SERVER_ERROR, "error\n", false);
                return;
            }
            if (model.cold()) {
                recent.add(new Referee.ReceivedWork(asker, now, attempt.workMicros));
                while (recent.peek().receivedAtMicros() <= now - plan.figures().fallTime()) {
                    recent.poll();
                }
            }
            boolean over = plan.figures().dropsExpired() && (now > attempt.request.sentAtMicros + attempt.request.timeoutMicros
                || timeout != null && now > attempt.arrivedAtMicros + seconds(timeout));
            List<Long> ended = new ArrayList<>();
            long number = numbers++;
            if (draining || over || !model.offer(now, number, attempt.workMicros, ended)) {
                referee.attemptEnded(attempt, Attempt.State.REJECTED, 0);
                answer(one, over ? HttpResponseStatus.GATEWAY_TIMEOUT
                    : HttpResponseStatus.SERVICE_UNAVAILABLE, "not processed\n", true);
            } else {
                current = number;
                held.put(number, one);
            }
            finish(ended);
        }

        private void probe(ChannelHandlerContext context, FullHttpRequest request, boolean keep, long now) {
            Held one = new Held(null, context.channel(), keep);
            boolean known = request.uri().equals("/healthz") || request.uri().equals("/load");
            if (!probes || !known || !request.method().equals(HttpMethod.GET)) {
                answer(one, HttpResponseStatus.NOT_FOUND, "", false);
                return;
            }
            referee.probeReceived();
            List<Long> ended = new ArrayList<>();
            model.overhead(now, plan.figures().probeWork(), ended);
            String text = report(now);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                draining ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                Unpooled.copiedBuffer(request.uri().equals("/load") ? text : "", StandardCharsets.UTF_8));
            response.headers().set("X-Server-Load", text);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            context.writeAndFlush(response);
            finish(ended);
        }

        private long seconds(String text) {
            try {
                return Math.round(Double.parseDouble(text) * 1e6);
            } catch (NumberFormatException e) {
                return Long.MAX_VALUE / 2;
            }
        }
    }
}
