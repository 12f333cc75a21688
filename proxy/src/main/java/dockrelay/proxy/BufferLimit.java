package dockrelay.proxy;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one bound on all bytes that are on their way through this process, whoever sends or reads them slowly.
 * Up to it messages of some length are kept whole; beyond it all but short ones are passed on as they come,
 * and nothing more is read of those until there is room again. All on the event loop's thread.
 */
final class BufferLimit {
    /** Of the memory limit: most of it is the runtime's. */
    private static final int MEMORY_DIVISOR = 8;
    private static final long BYTES_PER_MEGABYTE = 1 << 20;
    /** Below the runtime's own limit on such memory (32 MB): past that, buffers fail. */
    private static final long MAX_BUFFER_MEGABYTES = 24;
    private static final int MAX_READ_BYTES = 16 * 1024;
    static final int MAX_BUFFERED_MESSAGE_BYTES = 64 * 1024;
    private static final long MEMORY_RECHECK_MILLIS = 50;
    private static final int MAX_BUFFERED_MESSAGE_BYTES_WHEN_FULL = 8 * 1024;
    /** What a connection holds of a body on its way out: from the second figure on its source is stopped. */
    static final WriteBufferWaterMark WATER_MARKS = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private final LongSupplier usedBytes;
    private final long limitBytes;

    BufferLimit(LongSupplier usedBytes, int memoryMegabytes) {
        this.usedBytes = usedBytes;
        this.limitBytes = Math.min(MAX_BUFFER_MEGABYTES,
            Math.max(1, memoryMegabytes / MEMORY_DIVISOR)) * BYTES_PER_MEGABYTE;
    }

    /** Those of an allocator, which are its chunks: what it holds rather than what is filled. */
    static BufferLimit forAllocator(PooledByteBufAllocator allocator, int memoryMegabytes) {
        return new BufferLimit(() -> allocator.metric().usedDirectMemory(), memoryMegabytes);
    }

    /** A short read at a time: what is read of a body before its source is stopped comes on top. */
    static AdaptiveRecvByteBufAllocator receiveAllocator() {
        return new AdaptiveRecvByteBufAllocator(64, 2048, MAX_READ_BYTES);
    }

    /** Whether there is room for more of what may wait. */
    boolean hasRoom() {
        return usedBytes.getAsLong() < limitBytes;
    }

    /** The reading of one connection's body: it stops where nobody takes more, or where there is no room. */
    final class FlowControl {
        private final Channel channel;
        private boolean demand;

        FlowControl(Channel channel) {
            this.channel = channel;
        }

        /** Whether more is wanted. */
        void setReadEnabled(boolean enabled) {
            demand = enabled;
            boolean readNow = enabled && hasRoom();
            channel.config().setAutoRead(readNow);
            if (enabled && !readNow) {
                channel.eventLoop().schedule(() -> {
                    if (demand && channel.isActive()) {
                        setReadEnabled(true);
                    }
                }, MEMORY_RECHECK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        /** Something came: what comes next may have to wait for room. */
        void afterRead() {
            if (demand && !hasRoom()) {
                setReadEnabled(true);
            }
        }

        /** The body is over: the connection reads on as it will. */
        void stop() {
            demand = false;
        }
    }

    /** The longest message that is kept whole now. */
    int maxBufferedMessageBytes() {
        return hasRoom() ? MAX_BUFFERED_MESSAGE_BYTES : MAX_BUFFERED_MESSAGE_BYTES_WHEN_FULL;
    }
}
