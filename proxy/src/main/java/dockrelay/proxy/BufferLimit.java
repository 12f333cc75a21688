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
    private static final int SHARE = 8;
    private static final long MEGABYTE = 1 << 20;
    /** Below the runtime's own limit on such memory (32 MB): past that, buffers fail. */
    private static final long MOST_MEGABYTES = 24;
    private static final int MOST_READ = 16 * 1024;
    static final int MAX_BUFFERED_MESSAGE_BYTES = 64 * 1024;
    private static final long LOOK_AGAIN_MILLIS = 50;
    private static final int MOST_WHOLE_SHORT = 8 * 1024;
    /** What a connection holds of a body on its way out: from the second figure on its source is stopped. */
    static final WriteBufferWaterMark WATER_MARKS = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private final LongSupplier used;
    private final long bound;

    BufferLimit(LongSupplier used, int memoryMegabytes) {
        this.used = used;
        this.bound = Math.min(MOST_MEGABYTES, Math.max(1, memoryMegabytes / SHARE)) * MEGABYTE;
    }

    /** Those of an allocator, which are its chunks: what it holds rather than what is filled. */
    static BufferLimit forAllocator(PooledByteBufAllocator allocator, int memoryMegabytes) {
        return new BufferLimit(() -> allocator.metric().usedDirectMemory(), memoryMegabytes);
    }

    /** A short read at a time: what is read of a body before its source is stopped comes on top. */
    static AdaptiveRecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(64, 2048, MOST_READ);
    }

    /** Whether there is room for more of what may wait. */
    boolean hasRoom() {
        return used.getAsLong() < bound;
    }

    /** The reading of one connection's body: it stops where nobody takes more, or where there is no room. */
    final class Reading {
        private final Channel channel;
        private boolean wanted;

        Reading(Channel channel) {
            this.channel = channel;
        }

        /** Whether more is wanted. */
        void flow(boolean on) {
            wanted = on;
            boolean now = on && hasRoom();
            channel.config().setAutoRead(now);
            if (on && !now) {
                channel.eventLoop().schedule(() -> {
                    if (wanted && channel.isActive()) {
                        flow(true);
                    }
                }, LOOK_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        /** Something came: what comes next may have to wait for room. */
        void read() {
            if (wanted && !hasRoom()) {
                flow(true);
            }
        }

        /** The body is over: the connection reads on as it will. */
        void end() {
            wanted = false;
        }
    }

    /** The longest message that is kept whole now. */
    int mostWhole() {
        return hasRoom() ? MAX_BUFFERED_MESSAGE_BYTES : MOST_WHOLE_SHORT;
    }
}
