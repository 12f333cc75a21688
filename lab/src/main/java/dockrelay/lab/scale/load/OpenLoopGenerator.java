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
    private static final int MAX_RESPONSE_BYTES = 1 << 20, CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Supplies the target and the content of each request. */
    public interface Workload {
        InetSocketAddress nextTarget(RandomGenerator random);

        FullHttpRequest nextRequest(RandomGenerator random, String id);
    }

    private final EventLoop eventLoop;
    private final Workload workload;
    private final double requestsPerSecond;
    private final long timeoutMicros;
    private final RandomGenerator arrivalRandom, workloadRandom;
    private final Map<InetSocketAddress, Deque<Connection>> idleConnections = new HashMap<>();
    private final List<Channel> openChannels = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "open loop");
    private final String idPrefix = Long.toHexString(ThreadLocalRandom.current().nextLong() | 1L << 62);
    private volatile Tally tally = new Tally();
    private volatile boolean closed, paused;
    private long requestCount;

    /**
     * Creates a generator of Poisson arrivals. {@code arrivalRandom} draws the intervals between arrivals,
     * {@code workloadRandom} is passed to the workload. A request without a response times out
     * {@code timeoutMicros} after its scheduled time.
     */
    public OpenLoopGenerator(EventLoop eventLoop, double requestsPerSecond, long timeoutMicros,
        RandomGenerator arrivalRandom, RandomGenerator workloadRandom, Workload workload) {
        this.eventLoop = eventLoop;
        this.requestsPerSecond = requestsPerSecond;
        this.timeoutMicros = timeoutMicros;
        this.arrivalRandom = arrivalRandom;
        this.workloadRandom = workloadRandom;
        this.workload = workload;
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
        Tally previous = tally;
        tally = new Tally();
        return previous;
    }

    /** While paused, the requests that fall due are skipped. */
    public void setPaused(boolean pause) {
        paused = pause;
    }

    /** Submits each request to the event loop at its scheduled time, until the generator is closed. */
    private void run() {
        long dueNanos = System.nanoTime();
        while (!closed) {
            dueNanos += (long) (arrivalRandom.nextExponential() / requestsPerSecond * NANOS_PER_SECOND);
            long remainingNanos;
            while ((remainingNanos = dueNanos - System.nanoTime()) > 0 && !closed) {
                LockSupport.parkNanos(remainingNanos);
            }
            long scheduledNanos = dueNanos;
            if (!paused) {
                eventLoop.execute(() -> send(scheduledNanos));
            }
        }
    }

    /** Sends the next request on an idle connection, or on a new one if there is none; on the event loop. */
    private void send(long scheduledNanos) {
        if (closed) {
            return;
        }
        InetSocketAddress target = workload.nextTarget(workloadRandom);
        FullHttpRequest request = workload.nextRequest(workloadRandom, idPrefix.substring(0, 8)
            + String.format("%08x", ++requestCount));
        PendingRequest pending = new PendingRequest(scheduledNanos, tally);
        pending.tally.addSent(microsSince(scheduledNanos));
        Deque<Connection> idleToTarget = idleConnections.computeIfAbsent(target, key -> new ArrayDeque<>());
        Connection connection = idleToTarget.pollLast();
        while (connection != null && !connection.channel.isActive()) {
            connection = idleToTarget.pollLast();
        }
        if (connection != null) {
            connection.sendRequest(pending, request);
            return;
        }
        Connection newConnection = new Connection(target);
        new Bootstrap().group(eventLoop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpClientCodec(),
                        new HttpObjectAggregator(MAX_RESPONSE_BYTES), newConnection);
                }
            }).connect(target).addListener((io.netty.channel.ChannelFutureListener) future -> {
                if (future.isSuccess()) {
                    newConnection.channel = future.channel();
                    openChannels.add(newConnection.channel);
                    newConnection.sendRequest(pending, request);
                } else {
                    request.release();
                    pending.tally.addFailed();
                }
            });
    }

    private static long microsSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000;
    }

    /** Stops sending and closes all connections; call it off the event loop. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        eventLoop.submit(() -> new ArrayList<>(openChannels).forEach(Channel::close)).syncUninterruptibly();
    }

    /** A request in flight: its scheduled time (nanoseconds) and the tally that it counts in. */
    private record PendingRequest(long scheduledNanos, Tally tally) {
    }

    /** A keep-alive connection, with at most one request in flight. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress target;
        private Channel channel;
        private PendingRequest pending;

        Connection(InetSocketAddress target) {
            this.target = target;
        }

        void sendRequest(PendingRequest pendingRequest, FullHttpRequest request) {
            pending = pendingRequest;
            channel.writeAndFlush(request);
            long remainingMicros = timeoutMicros - microsSince(pendingRequest.scheduledNanos);
            eventLoop.schedule(() -> {
                if (pending == pendingRequest) {
                    pending = null;
                    pendingRequest.tally.addUnanswered(microsSince(pendingRequest.scheduledNanos));
                    channel.close();
                }
            }, Math.max(0, remainingMicros), TimeUnit.MICROSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            PendingRequest completed = pending;
            pending = null;
            if (completed != null) {
                int status = response.status().code();
                if (status == 200) {
                    completed.tally.addServed(microsSince(completed.scheduledNanos));
                } else if (status == 429 || status == 503) {
                    completed.tally.addRefused();
                } else {
                    completed.tally.addFailed();
                }
            }
            if (completed != null && HttpUtil.isKeepAlive(response)) {
                idleConnections.get(target).addLast(this);
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            openChannels.remove(context.channel());
            idleConnections.get(target).remove(this);
            if (pending != null) {
                pending.tally.addFailed();
                pending = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
