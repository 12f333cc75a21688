package dockrelay.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Fires an event when a request takes too long to arrive completely. The first request is timed from the
 * start of the connection, later ones from their first bytes. The handler precedes the decoder, as it must
 * see every byte.
 */
final class RequestTimeout extends ChannelInboundHandlerAdapter {
    /** The events fired: no byte has arrived, or a request has arrived only in part. */
    enum TimeoutEvent { NO_DATA, INCOMPLETE_REQUEST }

    /**
     * Time limit for a request head. A client may take 2 s to send one, and a client that sends no valid
     * request must get a response or a close within 3 s.
     */
    static final long HEAD_TIMEOUT_MILLIS = 2_600;
    /** The minimum rate of a body, 64 kB/s: each byte that arrives extends the time limit accordingly. */
    private static final long MIN_BYTES_PER_MILLI = 64;

    private ChannelHandlerContext context;
    private Future<?> timer;
    private boolean incomplete, discarding;
    private long lastReadNanos = System.nanoTime();
    private long bytesSinceTimerStart;

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
        if (incomplete && timer == null && channelContext.channel().isActive()) {
            startTimer(HEAD_TIMEOUT_MILLIS);
        }
        channelContext.fireChannelReadComplete();
    }

    /** When the client last sent anything, as a {@link System#nanoTime} value. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /** Whether bytes of an incomplete request have arrived. */
    boolean isRequestIncomplete() {
        return incomplete;
    }

    /** From now on, input is read and discarded. */
    void discard() {
        discarding = true;
    }

    boolean isDiscarding() {
        return discarding;
    }

    /** Reports that a request has arrived completely, which stops the timer. */
    void requestReceived() {
        incomplete = false;
        stopTimer();
    }

    /** Restarts the timer after an event that could not be handled yet because a request is in flight. */
    void restart() {
        if (timer == null && context.channel().isActive()) {
            startTimer(HEAD_TIMEOUT_MILLIS);
        }
    }

    private void startTimer(long millis) {
        bytesSinceTimerStart = 0;
        timer = context.executor().schedule(() -> {
            timer = null;
            boolean readPaused = !context.channel().config().isAutoRead(); // the proxy has paused reading
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
