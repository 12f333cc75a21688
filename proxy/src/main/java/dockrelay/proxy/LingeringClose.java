package dockrelay.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Ends a client connection behind its last response. It takes the place of the decoder, so that nothing of a
 * request is held from then on. Once the response has been written, it closes the output, and reads and
 * discards input for a limited time: closing a socket with unread bytes resets it, and the client may then
 * lose the response. All on the event loop's thread.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** The value of the missing bytes if their number is not known. */
    static final long UNKNOWN_LENGTH = Long.MAX_VALUE;
    /** How long a connection is still read after its last response was sent. */
    private static final long LINGER_MILLIS = 500;
    /**
     * The same if the last response was sent before its request had arrived completely: the rest of the
     * upload that is already under way is read and discarded first.
     */
    private static final long UPLOAD_LINGER_MILLIS = 2_500;

    private final Channel channel;
    private final DiscardQueue discardQueue;
    private long missingBytes;
    private Future<?> closeTimer; // null until the output is closed

    /**
     * Creates the end of a connection.
     *
     * @param missingBytes bytes that are still to come of the request that was answered
     */
    LingeringClose(Channel channel, DiscardQueue discardQueue, long missingBytes) {
        this.channel = channel;
        this.discardQueue = discardQueue;
        this.missingBytes = missingBytes;
    }

    /** Removes the decoder, and the handler behind it that merges what it decodes. */
    void replaceDecoder(Class<? extends ChannelHandler> decoder, Class<? extends ChannelHandler> merger) {
        if (channel.pipeline().get(merger) != null) {
            channel.pipeline().remove(merger);
        }
        if (channel.pipeline().get(decoder) != null) {
            channel.pipeline().replace(decoder, null, this);
        }
    }

    /** The last response has been written: closes the output, and the connection after a while. */
    void closeOutput() {
        closeOutput(missingBytes == 0 ? LINGER_MILLIS : UPLOAD_LINGER_MILLIS);
    }

    /** Closes the output, and the connection after this time. */
    void closeOutput(long lingerMillis) {
        if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
            channel.close();
            return;
        }
        duplex.shutdownOutput();
        if (missingBytes > UploadMonitor.MAX_UNREAD_HERE_BYTES) {
            discardQueue.add(channel);
        } else {
            channel.config().setAutoRead(true);
        }
        closeAfter(lingerMillis);
    }

    private void closeAfter(long millis) {
        cancelTimer();
        closeTimer = channel.eventLoop().schedule(() -> channel.close(), millis, TimeUnit.MILLISECONDS);
    }

    private void cancelTimer() {
        if (closeTimer != null) {
            closeTimer.cancel(false);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object data) {
        int count = data instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        ReferenceCountUtil.release(data);
        if (missingBytes == 0 || missingBytes == UNKNOWN_LENGTH) {
            return;
        }
        missingBytes = Math.max(0, missingBytes - count);
        if (missingBytes == 0 && closeTimer != null) {
            closeAfter(LINGER_MILLIS);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelTimer();
        discardQueue.remove(channel);
        context.fireChannelInactive();
    }
}
