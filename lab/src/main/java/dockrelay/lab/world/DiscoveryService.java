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
 * The one discovery: whole lists and watches, calls one after another, late news. One loop's thread owns it.
 */
public final class DiscoveryService {
    private static final String NAME = "discovery";
    private static final long ALIVE_MILLIS = 2_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LONGEST = 64 << 10;
    /** What discovery has counts as known so long after it could be reached, whether it was asked or not. */
    private static final long KNOWN_AFTER = 6_000_000;
    private static final long UNREACHABLE = Long.MAX_VALUE;
    private static final long REACHABLE_CHECK = 100_000;

    private record Entry(Node node, String state, long startedMillis, long version) {
    }

    private static final class Watch {
        final Channel channel;
        final int asker;
        long version;

        Watch(Channel channel, int asker, long version) {
            this.channel = channel;
            this.asker = asker;
            this.version = version;
        }
    }

    private final EmulatorNetwork net;
    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    /** The list as each proxy is shown it: some are shown changes later than others. */
    private final List<List<Entry>> views = new ArrayList<>();
    private final long[] shown, lags;
    private final List<Watch> watches = new ArrayList<>();
    private final List<Channel> open = new ArrayList<>();
    private final List<Listener> listeners = new ArrayList<>();
    private final RandomGenerator random;
    private final double callCost, lineCost;
    private final Experiment.Discovery spec;
    private final CallQueue queue;
    private final long[] reachableSince; // by each proxy; UNREACHABLE while it is not
    private long version = 1, lines;
    private boolean down;

    DiscoveryService(Experiment.Discovery spec, long seed, int askers, List<Node> nodes, EmulatorNetwork net, Clock clock,
        Referee referee) {
        this.spec = spec;
        this.net = net;
        this.loop = net.emulatorLoop();
        this.clock = clock;
        this.referee = referee;
        this.random = RandomStreams.stream(seed, "discovery");
        this.callCost = spec.callServiceTime().draw(random);
        this.lineCost = spec.entryServiceTime().draw(random);
        this.queue = new CallQueue(spec.callTimeout());
        this.reachableSince = new long[askers];
        this.shown = new long[askers];
        this.lags = new long[askers];
        for (int i = 0; i < askers; i++) {
            List<Entry> view = new ArrayList<>();
            for (Node node : nodes) {
                view.add(new Entry(node, "active", 0, version));
            }
            views.add(view);
            shown[i] = version;
            lags[i] = Math.round(spec.propagationDelay().draw(random));
            listeners.add(listener(i));
        }
        net.links().watch(() -> loop.execute(this::settle));
        loop.scheduleWithFixedDelay(this::alive, ALIVE_MILLIS, ALIVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Listener listener(int asker) {
        return new Listener(net, loop, LoopbackAddresses.discoveryAddress(asker), () -> new ChannelHandler[] {
            net.link(NAME, "n" + asker, clock), new HttpServerCodec(), new HttpObjectAggregator(LONGEST),
            new Call(asker)});
    }

    /** Moves to new addresses; the old ones refuse from then on. Not to be called on the loop. */
    void move() {
        List<Listener> next = new ArrayList<>();
        for (int i = 0; i < listeners.size(); i++) {
            next.add(listener(i));
        }
        loop.submit(() -> {
            listeners.forEach(listener -> listener.state(Listener.State.REFUSING));
            listeners.clear();
            listeners.addAll(next);
            Arrays.fill(reachableSince, down ? UNREACHABLE : clock.nowMicros());
            new ArrayList<>(open).forEach(Channel::close);
        }).syncUninterruptibly();
    }

    private void settle() {
        for (int i = 0; i < listeners.size(); i++) {
            listeners.get(i).state(net.links().connects("n" + i, NAME) ? Listener.State.TAKING
                : Listener.State.DARK);
        }
        noteReachable();
    }

    private void noteReachable() {
        for (int i = 0; i < reachableSince.length; i++) {
            boolean reachable = !down && net.links().connects("n" + i, NAME);
            long since = reachableSince[i] == UNREACHABLE ? clock.nowMicros() : reachableSince[i];
            reachableSince[i] = reachable ? since : UNREACHABLE;
        }
    }

    /** Counts a change as known, if it still holds, once the proxy could have asked for it long enough. */
    private void countAsKnown(int asker, Entry entry, long changedAt) {
        if (views.get(asker).get(entry.node.plan().index()) != entry) {
            return;
        }
        boolean reachable = reachableSince[asker] != UNREACHABLE;
        long due = reachable ? Math.max(changedAt, reachableSince[asker]) + KNOWN_AFTER - clock.nowMicros()
            : REACHABLE_CHECK;
        if (reachable && due <= 0) {
            told(List.of(entry), asker);
        } else {
            later(due, () -> countAsKnown(asker, entry, changedAt));
        }
    }

    InetSocketAddress address(int asker) {
        return listeners.get(asker).address();
    }

    /** A node died: the list knows after a while. */
    void died(Node node) {
        later(spec.deathDetectionDelay().draw(random), () -> {
            if (!node.up()) {
                change(node, "left");
            }
        });
    }

    /** A node is there again: the list knows after a while. */
    void started(Node node) {
        later(spec.startDetectionDelay().draw(random), () -> {
            if (node.up()) {
                change(node, "active");
            }
        });
    }

    /** The operators' word reaches the list at once. */
    void leaving(Node node, boolean on) {
        change(node, on ? "leaving" : "active");
    }

    private void later(double micros, Runnable action) {
        net.schedule(loop, Math.round(micros), action);
    }

    private void change(Node node, String state) {
        Entry entry = new Entry(node, state, node.startedMillis(), ++version);
        for (int i = 0; i < lags.length; i++) {
            int asker = i;
            if (lags[i] <= 0) {
                show(asker, entry);
            } else {
                later(lags[i], () -> show(asker, entry));
            }
        }
    }

    private void show(int asker, Entry entry) {
        views.get(asker).set(entry.node.plan().index(), entry);
        shown[asker] = entry.version;
        countAsKnown(asker, entry, clock.nowMicros());
        for (Watch watch : new ArrayList<>(watches)) {
            if (watch.asker == asker) {
                write(watch, views.get(asker).stream().filter(one -> one.version > watch.version).toList(),
                    false);
            }
        }
    }

    private void write(Watch watch, List<Entry> changed, boolean full) {
        watch.version = shown[watch.asker];
        watch.channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(
            text(changed, full, watch.asker) + "\n", StandardCharsets.UTF_8)));
        told(changed, watch.asker);
    }

    private void told(List<Entry> some, int asker) {
        long now = clock.nowMicros();
        for (Entry entry : some) {
            referee.discoveryEntrySent(asker, entry.node.plan().index(), entry.state.equals("active"), entry.startedMillis,
                now);
        }
    }

    /** In the form that proxies are given it in. */
    private String text(List<Entry> some, boolean full, int asker) {
        lines += some.size();
        try {
            return JSON.writeValueAsString(list(some, full, asker));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private List<Entry> present(int asker) {
        return views.get(asker).stream().filter(entry -> !entry.state.equals("left")).toList();
    }

    /** The whole list as of now, for a proxy's configuration. */
    Map<String, Object> known(int asker, boolean told) {
        List<Entry> all = present(asker);
        if (told) {
            told(all, asker);
            reachableSince[asker] = reachableSince[asker] == UNREACHABLE ? UNREACHABLE : clock.nowMicros();
        }
        return list(all, true, asker);
    }

    private Map<String, Object> list(List<Entry> some, boolean full, int asker) {
        List<Map<String, Object>> servers = new ArrayList<>();
        for (Entry entry : some) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("id", entry.node.name());
            one.put("addr", LoopbackAddresses.hostAndPort(entry.node.address(asker)));
            one.put("zone", entry.node.plan().zone());
            one.put("kind", entry.node.plan().kind());
            one.put("cell", entry.node.plan().cell());
            one.put("state", entry.state);
            one.put("weight", entry.node.plan().figures().cores());
            one.put("started_ms", entry.startedMillis);
            servers.add(one);
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("version", shown[asker]);
        result.put("full", full);
        result.put("servers", servers);
        return result;
    }

    /** Down: calls fail, watches end; news stays for whoever asks later. */
    void outage(boolean on) {
        down = on;
        noteReachable();
        if (on) {
            new ArrayList<>(open).forEach(Channel::close);
        }
    }

    long linesSent() {
        return lines;
    }

    private void alive() {
        for (Watch watch : watches) {
            watch.channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer("\n",
                StandardCharsets.UTF_8)));
        }
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int asker;

        Call(int asker) {
            this.asker = asker;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (down) {
                context.close();
            } else {
                open.add(context.channel());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            open.remove(context.channel());
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
                fail(context, HttpResponseStatus.NOT_FOUND);
                return;
            }
            boolean watch = query.parameters().containsKey("watch");
            long after = watch && query.parameters().containsKey("after")
                ? Long.parseLong(query.parameters().get("after").get(0)) : 0;
            long cost = Math.round(callCost + lineCost * views.get(asker).size());
            CallQueue.Turn turn = queue.take(clock.nowMicros(), cost);
            net.schedule(loop, turn.after(), () -> {
                if (turn.served()) {
                    answer(context, watch, after);
                } else {
                    fail(context, HttpResponseStatus.SERVICE_UNAVAILABLE);
                }
            });
        }

        private void answer(ChannelHandlerContext context, boolean watch, long after) {
            if (down) {
                fail(context, HttpResponseStatus.SERVICE_UNAVAILABLE);
                return;
            }
            List<Entry> all = present(asker);
            if (!watch) {
                FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(text(all, true, asker), StandardCharsets.UTF_8));
                HttpUtil.setContentLength(response, response.content().readableBytes());
                context.writeAndFlush(response);
                told(all, asker);
                return;
            }
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            HttpUtil.setTransferEncodingChunked(head, true);
            context.writeAndFlush(head);
            Watch one = new Watch(context.channel(), asker, after);
            boolean full = after <= 0;
            write(one, full ? all : views.get(asker).stream().filter(entry -> entry.version > after).toList(),
                full);
            watches.add(one);
        }

        private void fail(ChannelHandlerContext context, HttpResponseStatus status) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.EMPTY_BUFFER);
            HttpUtil.setContentLength(response, 0);
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
