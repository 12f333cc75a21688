package dockrelay.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Tells a connection when a request takes too long to arrive whole: the first one counted from the start of
 * the connection, a later one from its first bytes. It comes before the decoder, as it must see every byte.
 */
final class RequestTimeout extends ChannelInboundHandlerAdapter {
    /** The events it fires. */
    enum Late { NOTHING_CAME, NOT_WHOLE }

    /** A head may take 2 s, and a peer that sends no proper request is owed an answer or a close within 3. */
    static final long MILLIS = 2_600;
    /** A body may take as long as it lasts at 64 kB a second: each byte that comes puts the end off. */
    private static final long BYTES_PER_MILLI = 64;

    private ChannelHandlerContext context;
    private Future<?> timer;
    private boolean partial, discarding;
    private long heardAt = System.nanoTime();
    private long bytes; // that came since the timer was set

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        arm(MILLIS);
        active.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        disarm();
        inactive.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext reading, Object bytesOf) {
        if (discarding) {
            ReferenceCountUtil.release(bytesOf);
            return;
        }
        partial = true;
        heardAt = System.nanoTime();
        bytes += bytesOf instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        reading.fireChannelRead(bytesOf);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext reading) {
        if (partial && timer == null) {
            arm(MILLIS);
        }
        reading.fireChannelReadComplete();
    }

    /** When its peer was heard of last, by the nano clock. */
    long heardAt() {
        return heardAt;
    }

    /** Whether bytes have come of which no request has arrived whole. */
    boolean isPartial() {
        return partial;
    }

    /** From now on what comes is read and goes nowhere. */
    void discard() {
        discarding = true;
    }

    boolean isDiscarding() {
        return discarding;
    }

    /** A request has arrived whole. */
    void arrived() {
        partial = false;
        disarm();
    }

    /** Whoever heard of it is busy with what came before: it is told again. */
    void again() {
        if (timer == null && context.channel().isActive()) {
            arm(MILLIS);
        }
    }

    private void arm(long millis) {
        bytes = 0;
        timer = context.executor().schedule(() -> {
            timer = null;
            boolean held = !context.channel().config().isAutoRead(); // this side does not read
            if (held || bytes >= BYTES_PER_MILLI) {
                arm(held ? MILLIS : bytes / BYTES_PER_MILLI);
                return;
            }
            context.fireUserEventTriggered(partial ? Late.NOT_WHOLE : Late.NOTHING_CAME);
        }, millis, TimeUnit.MILLISECONDS);
    }

    private void disarm() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
