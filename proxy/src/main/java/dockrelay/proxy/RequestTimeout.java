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
    enum TimeoutEvent { NO_DATA, INCOMPLETE_REQUEST }

    /** A head may take 2 s, and a peer that sends no proper request is owed an answer or a close within 3. */
    static final long HEAD_TIMEOUT_MILLIS = 2_600;
    /** A body may take as long as it lasts at 64 kB a second: each byte that comes puts the end off. */
    private static final long MIN_BYTES_PER_MILLI = 64;

    private ChannelHandlerContext context;
    private Future<?> timer;
    private boolean incomplete, discarding;
    private long lastReadNanos = System.nanoTime();
    private long bytesSinceTimerStart; // that came since the timer was set

    @Override
    public void channelActive(ChannelHandlerContext channelContext) {
        context = channelContext;
        startTimer(HEAD_TIMEOUT_MILLIS);
        channelContext.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) {
        stopTimer();
        channelContext.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext channelContext, Object data) {
        if (discarding) {
            ReferenceCountUtil.release(data);
            return;
        }
        incomplete = true;
        lastReadNanos = System.nanoTime();
        bytesSinceTimerStart += data instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        channelContext.fireChannelRead(data);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext channelContext) {
        if (incomplete && timer == null) {
            startTimer(HEAD_TIMEOUT_MILLIS);
        }
        channelContext.fireChannelReadComplete();
    }

    /** When its peer was heard of last, by the nano clock. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /** Whether bytes have come of which no request has arrived whole. */
    boolean isRequestIncomplete() {
        return incomplete;
    }

    /** From now on what comes is read and goes nowhere. */
    void discard() {
        discarding = true;
    }

    boolean isDiscarding() {
        return discarding;
    }

    /** A request has arrived whole. */
    void requestReceived() {
        incomplete = false;
        stopTimer();
    }

    /** Whoever heard of it is busy with what came before: it is told again. */
    void restart() {
        if (timer == null && context.channel().isActive()) {
            startTimer(HEAD_TIMEOUT_MILLIS);
        }
    }

    private void startTimer(long millis) {
        bytesSinceTimerStart = 0;
        timer = context.executor().schedule(() -> {
            timer = null;
            boolean readPaused = !context.channel().config().isAutoRead(); // this side does not read
            if (readPaused || bytesSinceTimerStart >= MIN_BYTES_PER_MILLI) {
                startTimer(readPaused ? HEAD_TIMEOUT_MILLIS : bytesSinceTimerStart / MIN_BYTES_PER_MILLI);
                return;
            }
            context.fireUserEventTriggered(incomplete ? TimeoutEvent.INCOMPLETE_REQUEST
                : TimeoutEvent.NO_DATA);
        }, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
