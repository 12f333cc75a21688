package dockrelay.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Records the reads of a connection in its {@link ClientInput}. Precedes the decoder, to see every read. */
final class InputObserver extends ChannelInboundHandlerAdapter {
    private final ClientInput input;
    private final LoopHeartbeat heartbeat;
    private final long earliestConnectNanos, beatCountAtAccept;
    private boolean hasRead;

    /** Observes a connection that has just been accepted. */
    InputObserver(ClientInput input, LoopHeartbeat heartbeat) {
        this.input = input;
        this.heartbeat = heartbeat;
        earliestConnectNanos = heartbeat.earliestArrivalNanos(System.nanoTime());
        beatCountAtAccept = heartbeat.beatCount();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object data) {
        input.bytesRead(earliestArrivalNanos(System.nanoTime()));
        context.fireChannelRead(data);
    }

    /**
     * What is read before the event loop has looked for input since it accepted the connection may have
     * waited as long as the connection.
     */
    private long earliestArrivalNanos(long nowNanos) {
        boolean afterAccept = !hasRead && heartbeat.beatCount() - beatCountAtAccept <= 1;
        hasRead = true;
        return afterAccept ? earliestConnectNanos : heartbeat.earliestArrivalNanos(nowNanos);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        // A read of -1 is the end of the stream; a full last read leaves open whether there is more.
        if (context.channel().unsafe().recvBufAllocHandle().lastBytesRead() == 0) {
            input.readEmpty(System.nanoTime());
        }
        context.fireChannelReadComplete();
    }
}
