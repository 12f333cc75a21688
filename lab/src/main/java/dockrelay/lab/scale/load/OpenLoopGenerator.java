package dockrelay.lab.scale.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;

/**
 * An open-loop load generator: sends requests at scheduled times, independent of earlier responses, and
 * measures latency from the scheduled time, which avoids coordinated omission. It records its own lateness as
 * well, so that delays of the generator are not attributed to the proxy.
 */
public final class OpenLoopGenerator implements AutoCloseable {
    private static final int LONGEST = 1 << 20, CONNECT_MILLIS = 1_000;
    private static final double SECOND = 1e9;

    /** Supplies the target and the content of each request. */
    public interface Workload {
        InetSocketAddress nextTarget(RandomGenerator random);

        FullHttpRequest nextRequest(RandomGenerator random, String id);
    }

    private final EventLoop loop;
    private final Workload shape;
    private final double rate;
    private final long patienceMicros;
    private final RandomGenerator times, draws;
    private final Map<InetSocketAddress, Deque<Line>> idle = new HashMap<>();
    private final List<Channel> open = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "open loop");
    private final String prefix = Long.toHexString(ThreadLocalRandom.current().nextLong() | 1L << 62);
    private volatile Tally tally = new Tally();
    private volatile boolean closed, paused;
    private long numbers;

    /**
     * Poisson arrivals at {@code rate} requests a second. {@code times} draws the intervals between arrivals,
     * {@code draws} is passed to the workload. A request without a response fails after the given patience.
     */
    public OpenLoopGenerator(EventLoop loop, double rate, long patienceMicros, RandomGenerator times,
                    RandomGenerator draws, Workload shape) {
        this.loop = loop;
        this.rate = rate;
        this.patienceMicros = patienceMicros;
        this.times = times;
        this.draws = draws;
        this.shape = shape;
        thread.setDaemon(true);
    }

    /** Starts the thread that schedules the requests. */
    public void start() {
        thread.start();
    }

    /**
     * Starts a new tally for the requests sent from now on. Returns the previous one, which still receives
     * the outcomes of the requests sent before.
     */
    public Tally swapTally() {
        Tally before = tally;
        tally = new Tally();
        return before;
    }

    /** While paused, the requests that fall due are skipped. */
    public void setPaused(boolean on) {
        paused = on;
    }

    private void run() {
        long due = System.nanoTime();
        while (!closed) {
            due += (long) (times.nextExponential() / rate * SECOND);
            long wait;
            while ((wait = due - System.nanoTime()) > 0 && !closed) {
                LockSupport.parkNanos(wait);
            }
            long intended = due;
            if (!paused) {
                loop.execute(() -> send(intended));
            }
        }
    }

    private void send(long intended) {
        if (closed) {
            return;
        }
        InetSocketAddress target = shape.nextTarget(draws);
        FullHttpRequest request = shape.nextRequest(draws, prefix.substring(0, 8)
            + String.format("%08x", ++numbers));
        Waiting waiting = new Waiting(intended, tally);
        waiting.tally.addSent(micros(intended));
        Deque<Line> resting = idle.computeIfAbsent(target, none -> new ArrayDeque<>());
        Line line = resting.pollLast();
        while (line != null && !line.channel.isActive()) {
            line = resting.pollLast();
        }
        if (line != null) {
            line.carry(waiting, request);
            return;
        }
        Line fresh = new Line(target);
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel made) {
                    made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LONGEST), fresh);
                }
            }).connect(target).addListener((io.netty.channel.ChannelFutureListener) done -> {
                if (done.isSuccess()) {
                    fresh.channel = done.channel();
                    open.add(fresh.channel);
                    fresh.carry(waiting, request);
                } else {
                    request.release();
                    waiting.tally.addFailed();
                }
            });
    }

    private static long micros(long since) {
        return (System.nanoTime() - since) / 1_000;
    }

    /** Stops sending and closes all connections; call it off the event loop. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        loop.submit(() -> new ArrayList<>(open).forEach(Channel::close)).syncUninterruptibly();
    }

    /** A request in flight: its scheduled time (nanoseconds) and the tally that it counts in. */
    private record Waiting(long intended, Tally tally) {
    }

    /** A keep-alive connection, with at most one request in flight. */
    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress target;
        private Channel channel;
        private Waiting waiting;

        Line(InetSocketAddress target) {
            this.target = target;
        }

        void carry(Waiting one, FullHttpRequest request) {
            waiting = one;
            channel.writeAndFlush(request);
            long left = patienceMicros - micros(one.intended);
            loop.schedule(() -> {
                if (waiting == one) {
                    waiting = null;
                    one.tally.addUnanswered(micros(one.intended));
                    channel.close();
                }
            }, Math.max(0, left), TimeUnit.MICROSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Waiting one = waiting;
            waiting = null;
            if (one != null) {
                int status = response.status().code();
                if (status == 200) {
                    one.tally.addServed(micros(one.intended));
                } else if (status == 429 || status == 503) {
                    one.tally.addRefused();
                } else {
                    one.tally.addFailed();
                }
            }
            if (one != null && HttpUtil.isKeepAlive(response)) {
                idle.get(target).addLast(this);
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            open.remove(context.channel());
            idle.get(target).remove(this);
            if (waiting != null) {
                waiting.tally.addFailed();
                waiting = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
