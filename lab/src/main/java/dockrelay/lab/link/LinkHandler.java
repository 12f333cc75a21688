package dockrelay.lab.link;

import dockrelay.lab.link.Passage.Mode;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Emulates the network on one connection of the emulator: delays the data of each direction in order, stalls
 * it while the link is silent and resets the connection on a link that resets. Runs on the connection's event
 * loop.
 */
public final class LinkHandler extends ChannelDuplexHandler {
    /** Runs an action on the connection's event loop after a delay in microseconds. */
    public interface Timer {
        void schedule(long delayMicros, Runnable action);
    }

    /**
     * After a silent period, data buffered in the kernel is held back this long, to see whether the remote
     * side has reset the connection in the meantime: a real network would not have delivered that data.
     */
    private static final long RESET_DETECTION_MICROS = 5_000;

    private final LinkTable links;
    private final String localEndpoint, remoteEndpoint;
    private final LongSupplier clock;
    private final Timer timer;
    private final Direction inbound, outbound;
    private final Runnable linkListener = this::onLinkChange;
    private boolean inboundWasSilent;
    private long holdUntil;
    private ChannelHandlerContext handlerContext;

    public LinkHandler(LinkTable links, String localEndpoint, String remoteEndpoint, LongSupplier clock,
        Timer timer, RandomGenerator random) {
        this.links = links;
        this.localEndpoint = localEndpoint;
        this.remoteEndpoint = remoteEndpoint;
        this.clock = clock;
        this.timer = timer;
        this.inbound = new Direction(remoteEndpoint, localEndpoint, new LinkDelayModel(random));
        this.outbound = new Direction(localEndpoint, remoteEndpoint, new LinkDelayModel(random));
    }

    /** One direction of the connection: pending actions with their arrival times. Stalls while silent. */
    private final class Direction {
        private final String sender, receiver;
        private final LinkDelayModel delayModel;
        private final Deque<Runnable> pending = new ArrayDeque<>();
        private final Deque<Long> arrivalTimes = new ArrayDeque<>();
        private boolean timerPending;

        Direction(String sender, String receiver, LinkDelayModel delayModel) {
            this.sender = sender;
            this.receiver = receiver;
            this.delayModel = delayModel;
        }

        /**
         * Runs the action when the data it carries arrives, after all earlier ones and not before the given
         * time.
         */
        void send(Runnable action, long notBefore) {
            Passage conditions = links.conditionsBetween(sender, receiver);
            if (pending.isEmpty() && conditions.isUnimpaired() && notBefore <= clock.getAsLong()) {
                action.run();
                return;
            }
            pending.add(action);
            arrivalTimes.add(Math.max(notBefore, delayModel.streamArrival(clock.getAsLong(), conditions)));
            deliverDue();
        }

        void deliverDue() {
            long now = clock.getAsLong();
            while (!pending.isEmpty() && arrivalTimes.peek() <= now
                && links.conditionsBetween(sender, receiver).mode() == Mode.OPEN) {
                arrivalTimes.poll();
                pending.poll().run();
            }
            if (!pending.isEmpty() && !timerPending
                && links.conditionsBetween(sender, receiver).mode() == Mode.OPEN) {
                timerPending = true;
                timer.schedule(arrivalTimes.peek() - now, () -> {
                    timerPending = false;
                    deliverDue();
                });
            }
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        handlerContext = context;
        links.addListener(linkListener);
        if (context.channel().isActive()) {
            applyLinkMode();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        applyLinkMode();
        super.channelActive(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        links.removeListener(linkListener);
        while (!inbound.pending.isEmpty()) {
            inbound.pending.poll().run(); // data sent before the close is delivered before it
        }
        outbound.pending.clear();
        super.channelInactive(context);
    }

    private void onLinkChange() {
        handlerContext.executor().execute(() -> {
            if (handlerContext.channel().isActive()) {
                applyLinkMode();
                inbound.deliverDue();
                outbound.deliverDue();
            }
        });
    }

    /** Resets the connection if a direction is in reset mode; else reads only while inbound is open. */
    private void applyLinkMode() {
        Mode inboundMode = links.conditionsBetween(remoteEndpoint, localEndpoint).mode(),
            outboundMode = links.conditionsBetween(localEndpoint, remoteEndpoint).mode();
        if (inboundMode == Mode.RESET || outboundMode == Mode.RESET) {
            handlerContext.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            handlerContext.close();
        } else {
            if (inboundWasSilent && inboundMode == Mode.OPEN) {
                holdUntil = clock.getAsLong() + RESET_DETECTION_MICROS;
            }
            inboundWasSilent = inboundMode == Mode.SILENT;
            handlerContext.channel().config().setAutoRead(inboundMode == Mode.OPEN);
        }
    }

    /**
     * On a reset right after a silent period, drops the data held back: the remote side sent it into the
     * silence, and a reset discards the sender's unacknowledged data.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (clock.getAsLong() <= holdUntil) {
            inbound.pending.clear();
        }
        context.fireExceptionCaught(cause);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        inbound.send(() -> {
            context.fireChannelRead(message);
            context.fireChannelReadComplete();
        }, holdUntil);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        outbound.send(() -> context.writeAndFlush(message, promise), 0);
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (outbound.pending.isEmpty()) {
            context.close(promise);
        } else {
            outbound.send(() -> context.close(promise), 0); // the close follows the data written before it
        }
    }
}
