package dockrelay.lab.world;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dockrelay.lab.plan.RandomStreams;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.spec.Experiment;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The emulated discovery service: answers calls for the full backend list and watches for changes, serves
 * calls one at a time and learns of changes with a delay. Owned by the emulator's event loop.
 */
public final class DiscoveryService {
    private static final String ENDPOINT = "discovery";
    private static final long KEEP_ALIVE_MILLIS = 2_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_REQUEST_BYTES = 64 << 10;
    /**
     * A proxy counts as informed of a change once it has been able to reach discovery for this long after the
     * change, whether or not it asked.
     */
    private static final long INFORMED_AFTER_MICROS = 6_000_000;
    private static final long UNREACHABLE = Long.MAX_VALUE;
    private static final long REACHABILITY_CHECK_MICROS = 100_000;

    /** A backend's entry in the list, with the list version that last changed it. */
    private record ListEntry(EmulatedBackend backend, String state, long startedMillis, long version) {
    }

    /** An open watch of a proxy, with the list version last sent on it. */
    private static final class Watch {
        final Channel channel;
        final int proxy;
        long version;

        Watch(Channel channel, int proxy, long version) {
            this.channel = channel;
            this.proxy = proxy;
            this.version = version;
        }
    }

    private final EmulatorNetwork network;
    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    /** The backend list as each proxy sees it: some proxies see changes later than others. */
    private final List<List<ListEntry>> views = new ArrayList<>();
    private final long[] visibleVersions, propagationDelays;
    private final List<Watch> watches = new ArrayList<>();
    private final List<Channel> connections = new ArrayList<>();
    private final List<Listener> listeners = new ArrayList<>();
    private final RandomGenerator random;
    private final double callServiceMicros, entryServiceMicros;
    private final Experiment.Discovery spec;
    private final CallQueue queue;
    private final long[] reachableSince; // per proxy; UNREACHABLE while it cannot reach discovery
    private long version = 1, entriesSent;
    private boolean inOutage;

    DiscoveryService(Experiment.Discovery spec, long seed, int proxyCount, List<EmulatedBackend> backends,
        EmulatorNetwork network, Clock clock, Referee referee) {
        this.spec = spec;
        this.network = network;
        this.loop = network.emulatorLoop();
        this.clock = clock;
        this.referee = referee;
        this.random = RandomStreams.stream(seed, "discovery");
        this.callServiceMicros = spec.callServiceTime().draw(random);
        this.entryServiceMicros = spec.entryServiceTime().draw(random);
        this.queue = new CallQueue(spec.callTimeout());
        this.reachableSince = new long[proxyCount];
        this.visibleVersions = new long[proxyCount];
        this.propagationDelays = new long[proxyCount];
        for (int i = 0; i < proxyCount; i++) {
            List<ListEntry> view = new ArrayList<>();
            for (EmulatedBackend backend : backends) {
                view.add(new ListEntry(backend, "active", 0, version));
            }
            views.add(view);
            visibleVersions[i] = version;
            propagationDelays[i] = Math.round(spec.propagationDelay().draw(random));
            listeners.add(newListener(i));
        }
        network.links().addListener(() -> loop.execute(this::updateListeners));
        loop.scheduleWithFixedDelay(this::sendKeepAlives, KEEP_ALIVE_MILLIS, KEEP_ALIVE_MILLIS,
            TimeUnit.MILLISECONDS);
    }

    private Listener newListener(int proxy) {
        return new Listener(network, loop, LoopbackAddresses.discoveryAddress(proxy),
            () -> new ChannelHandler[] {
                network.newLinkHandler(ENDPOINT, "n" + proxy, clock), new HttpServerCodec(),
                new HttpObjectAggregator(MAX_REQUEST_BYTES), new CallHandler(proxy)});
    }

    /** Moves to new addresses; the old ones refuse connections afterwards. Must not run on the event loop. */
    void move() {
        List<Listener> newListeners = new ArrayList<>();
        for (int i = 0; i < listeners.size(); i++) {
            newListeners.add(newListener(i));
        }
        loop.submit(() -> {
            listeners.forEach(listener -> listener.setState(Listener.State.REFUSING));
            listeners.clear();
            listeners.addAll(newListeners);
            Arrays.fill(reachableSince, inOutage ? UNREACHABLE : clock.nowMicros());
            new ArrayList<>(connections).forEach(Channel::close);
        }).syncUninterruptibly();
    }

    /** Silences the listeners of the proxies that cannot reach discovery over their link. */
    private void updateListeners() {
        for (int i = 0; i < listeners.size(); i++) {
            listeners.get(i).setState(network.links().canConnect("n" + i, ENDPOINT) ? Listener.State.ACCEPTING
                : Listener.State.SILENT);
        }
        updateReachability();
    }

    private void updateReachability() {
        for (int i = 0; i < reachableSince.length; i++) {
            boolean reachable = !inOutage && network.links().canConnect("n" + i, ENDPOINT);
            long since = reachableSince[i] == UNREACHABLE ? clock.nowMicros() : reachableSince[i];
            reachableSince[i] = reachable ? since : UNREACHABLE;
        }
    }

    /**
     * Reports a change to the referee as known to the proxy once the proxy could have asked for it for
     * {@link #INFORMED_AFTER_MICROS}, unless a later change has replaced it.
     */
    private void reportWhenInformed(int proxy, ListEntry entry, long changedAt) {
        if (views.get(proxy).get(entry.backend.plan().index()) != entry) {
            return;
        }
        boolean reachable = reachableSince[proxy] != UNREACHABLE;
        long delayMicros = reachable
            ? Math.max(changedAt, reachableSince[proxy]) + INFORMED_AFTER_MICROS - clock.nowMicros()
            : REACHABILITY_CHECK_MICROS;
        if (reachable && delayMicros <= 0) {
            reportInformed(List.of(entry), proxy);
        } else {
            schedule(delayMicros, () -> reportWhenInformed(proxy, entry, changedAt));
        }
    }

    InetSocketAddress addressFor(int proxy) {
        return listeners.get(proxy).address();
    }

    /** Removes a crashed backend from the list after the detection delay, if it is still down. */
    void onCrash(EmulatedBackend backend) {
        schedule(spec.deathDetectionDelay().draw(random), () -> {
            if (!backend.isUp()) {
                recordChange(backend, "left");
            }
        });
    }

    /** Lists a restarted backend after the detection delay, if it is still up. */
    void onRestart(EmulatedBackend backend) {
        schedule(spec.startDetectionDelay().draw(random), () -> {
            if (backend.isUp()) {
                recordChange(backend, "active");
            }
        });
    }

    /** Marks a backend as draining or active again; an operator's change is listed without delay. */
    void setDraining(EmulatedBackend backend, boolean draining) {
        recordChange(backend, draining ? "leaving" : "active");
    }

    private void schedule(double delayMicros, Runnable action) {
        network.schedule(loop, Math.round(delayMicros), action);
    }

    /** Gives a backend's entry a new version, which each proxy sees after its propagation delay. */
    private void recordChange(EmulatedBackend backend, String state) {
        ListEntry entry = new ListEntry(backend, state, backend.startedMillis(), ++version);
        for (int i = 0; i < propagationDelays.length; i++) {
            int proxy = i;
            if (propagationDelays[i] <= 0) {
                applyChange(proxy, entry);
            } else {
                schedule(propagationDelays[i], () -> applyChange(proxy, entry));
            }
        }
    }

    /** Makes a changed entry visible to a proxy and sends it on the proxy's watches. */
    private void applyChange(int proxy, ListEntry entry) {
        views.get(proxy).set(entry.backend.plan().index(), entry);
        visibleVersions[proxy] = entry.version;
        reportWhenInformed(proxy, entry, clock.nowMicros());
        for (Watch watch : new ArrayList<>(watches)) {
            if (watch.proxy == proxy) {
                sendEntries(watch, views.get(proxy).stream().filter(listed -> listed.version > watch.version)
                    .toList(), false);
            }
        }
    }

    private void sendEntries(Watch watch, List<ListEntry> entries, boolean full) {
        watch.version = visibleVersions[watch.proxy];
        watch.channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(
            toJson(entries, full, watch.proxy) + "\n", StandardCharsets.UTF_8)));
        reportInformed(entries, watch.proxy);
    }

    /** Tells the referee which entries a proxy knows from now on. */
    private void reportInformed(List<ListEntry> entries, int proxy) {
        long now = clock.nowMicros();
        for (ListEntry entry : entries) {
            referee.discoveryEntrySent(proxy, entry.backend.plan().index(), entry.state.equals("active"),
                entry.startedMillis, now);
        }
    }

    /** Serializes list entries as JSON for a proxy. */
    private String toJson(List<ListEntry> entries, boolean full, int proxy) {
        entriesSent += entries.size();
        try {
            return JSON.writeValueAsString(toListDocument(entries, full, proxy));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private List<ListEntry> listedEntries(int proxy) {
        return views.get(proxy).stream().filter(entry -> !entry.state.equals("left")).toList();
    }

    /**
     * Returns the full current list for a proxy's configuration.
     *
     * @param usedAtStart whether the proxy starts with this list; the referee then counts it as known to it
     */
    Map<String, Object> backendListFor(int proxy, boolean usedAtStart) {
        List<ListEntry> entries = listedEntries(proxy);
        if (usedAtStart) {
            reportInformed(entries, proxy);
            reachableSince[proxy] = reachableSince[proxy] == UNREACHABLE ? UNREACHABLE : clock.nowMicros();
        }
        return toListDocument(entries, true, proxy);
    }

    /** Builds the list in the format of the discovery API. */
    private Map<String, Object> toListDocument(List<ListEntry> entries, boolean full, int proxy) {
        List<Map<String, Object>> servers = new ArrayList<>();
        for (ListEntry entry : entries) {
            Map<String, Object> server = new LinkedHashMap<>();
            server.put("id", entry.backend.name());
            server.put("addr", LoopbackAddresses.hostAndPort(entry.backend.addressFor(proxy)));
            server.put("zone", entry.backend.plan().zone());
            server.put("kind", entry.backend.plan().kind());
            server.put("cell", entry.backend.plan().cell());
            server.put("state", entry.state);
            server.put("weight", entry.backend.plan().figures().cores());
            server.put("started_ms", entry.startedMillis);
            servers.add(server);
        }
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("version", visibleVersions[proxy]);
        document.put("full", full);
        document.put("servers", servers);
        return document;
    }

    /** Starts or ends an outage: calls fail and watches close; changes remain available for later calls. */
    void setOutage(boolean active) {
        inOutage = active;
        updateReachability();
        if (active) {
            new ArrayList<>(connections).forEach(Channel::close);
        }
    }

    long entriesSent() {
        return entriesSent;
    }

    /** Sends an empty line on each watch as a keep-alive. */
    private void sendKeepAlives() {
        for (Watch watch : watches) {
            watch.channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer("\n",
                StandardCharsets.UTF_8)));
        }
    }

    /** A proxy's connection to discovery. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int proxy;

        CallHandler(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (inOutage) {
                context.close();
            } else {
                connections.add(context.channel());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(context.channel());
            watches.removeIf(watch -> watch.channel == context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.path().equals("/v1/servers")) {
                respondWithError(context, HttpResponseStatus.NOT_FOUND);
                return;
            }
            boolean isWatch = query.parameters().containsKey("watch");
            long afterVersion = isWatch && query.parameters().containsKey("after")
                ? Long.parseLong(query.parameters().get("after").get(0)) : 0;
            long serviceMicros = Math.round(callServiceMicros + entryServiceMicros * views.get(proxy).size());
            CallQueue.CallOutcome outcome = queue.enqueue(clock.nowMicros(), serviceMicros);
            network.schedule(loop, outcome.delayMicros(), () -> {
                if (outcome.served()) {
                    respond(context, isWatch, afterVersion);
                } else {
                    respondWithError(context, HttpResponseStatus.SERVICE_UNAVAILABLE);
                }
            });
        }

        private void respond(ChannelHandlerContext context, boolean isWatch, long afterVersion) {
            if (inOutage) {
                respondWithError(context, HttpResponseStatus.SERVICE_UNAVAILABLE);
                return;
            }
            List<ListEntry> entries = listedEntries(proxy);
            if (!isWatch) {
                FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(toJson(entries, true, proxy), StandardCharsets.UTF_8));
                HttpUtil.setContentLength(response, response.content().readableBytes());
                context.writeAndFlush(response);
                reportInformed(entries, proxy);
                return;
            }
            HttpResponse responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            HttpUtil.setTransferEncodingChunked(responseHead, true);
            context.writeAndFlush(responseHead);
            Watch newWatch = new Watch(context.channel(), proxy, afterVersion);
            boolean full = afterVersion <= 0;
            sendEntries(newWatch, full ? entries
                : views.get(proxy).stream().filter(entry -> entry.version > afterVersion).toList(), full);
            watches.add(newWatch);
        }

        private void respondWithError(ChannelHandlerContext context, HttpResponseStatus status) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.EMPTY_BUFFER);
            HttpUtil.setContentLength(response, 0);
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
