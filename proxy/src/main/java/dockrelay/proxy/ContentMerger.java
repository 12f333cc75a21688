package dockrelay.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Merges the short contents that one read has brought into one. A content takes a hundred bytes and more of
 * the heap and keeps the whole buffer that it was read into, which is many times the length of a chunk of one
 * byte.
 */
final class ContentMerger extends ChannelInboundHandlerAdapter {
    /** A content of at least this length is passed on as it is. */
    private static final int MIN_PASSED_BYTES = 1_024;

    private ByteBuf merged; // contents that have not been passed on, else null

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        boolean isContentOnly = message instanceof HttpContent && !(message instanceof LastHttpContent);
        if (isContentOnly && !((HttpObject) message).decoderResult().isFailure()
            && ((HttpContent) message).content().readableBytes() < MIN_PASSED_BYTES) {
            merge(context, (HttpContent) message);
            return;
        }
        passOnMerged(context);
        context.fireChannelRead(message);
    }

    private void merge(ChannelHandlerContext context, HttpContent content) {
        merged = Body.append(merged, content, context.alloc());
        if (merged != null && merged.readableBytes() >= BufferLimit.MAX_READ_BYTES) {
            passOnMerged(context);
        }
    }

    private void passOnMerged(ChannelHandlerContext context) {
        if (merged != null) {
            HttpContent content = new DefaultHttpContent(merged);
            merged = null;
            context.fireChannelRead(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passOnMerged(context);
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        passOnMerged(context);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        passOnMerged(context);
        context.fireExceptionCaught(cause);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        if (merged != null) {
            merged.release();
            merged = null;
        }
    }
}
