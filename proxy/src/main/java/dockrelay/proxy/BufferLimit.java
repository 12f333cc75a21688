package dockrelay.proxy;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Limits the memory of all messages in transit through this process, whichever client or backend is slow.
 * Below the limit, messages up to a moderate length are buffered completely. Above it, all but short messages
 * are streamed, and reading of streamed bodies pauses until there is room again. All on the event loop's
 * thread.
 */
final class BufferLimit {
    /** Buffers may use the memory limit divided by this number; the Java runtime needs most of the rest. */
    private static final int MEMORY_DIVISOR = 8;
    private static final long BYTES_PER_MEGABYTE = 1 << 20;
    /** Stays below the runtime's limit on direct memory (32 MB), beyond which allocating a buffer fails. */
    private static final long MAX_BUFFER_MEGABYTES = 24;
    static final int MAX_READ_BYTES = 16 * 1024;
    static final int MAX_BUFFERED_MESSAGE_BYTES = 64 * 1024;
    /** One body may be read ahead up to the limit divided by this number. */
    private static final int READ_AHEAD_DIVISOR = 8;
    /** How often a paused read checks whether memory is available again. */
    private static final long MEMORY_RECHECK_MILLIS = 50;
    private static final int MAX_BUFFERED_MESSAGE_BYTES_WHEN_FULL = 8 * 1024;
    /** Low and high water mark of a connection's output: above the high one, the body's source is paused. */
    static final WriteBufferWaterMark WATER_MARKS = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private final LongSupplier usedBytes;
    private final long limitBytes;

    BufferLimit(LongSupplier usedBytes, int memoryMegabytes) {
        this.usedBytes = usedBytes;
        this.limitBytes =
            Math.min(MAX_BUFFER_MEGABYTES, Math.max(1, memoryMegabytes / MEMORY_DIVISOR))
                * BYTES_PER_MEGABYTE;
    }

    /** A limit on the direct memory that an allocator has reserved in chunks, whether or not it is filled. */
    static BufferLimit forAllocator(PooledByteBufAllocator allocator, int memoryMegabytes) {
        return new BufferLimit(() -> allocator.metric().usedDirectMemory(), memoryMegabytes);
    }

    /**
     * An allocator for short reads: bytes that are read before a source is paused come on top of the limit.
     */
    static AdaptiveRecvByteBufAllocator receiveAllocator() {
        return new AdaptiveRecvByteBufAllocator(64, 2048, MAX_READ_BYTES);
    }

    /** Whether the memory in use is below the limit. */
    boolean hasRoom() {
        return usedBytes.getAsLong() < limitBytes;
    }

    /** Is notified when reading a body pauses and resumes. */
    interface PauseListener {
        /** Reading pauses; because memory is short if the sink could accept more. */
        void onPaused(boolean memoryShort);

        /** Reading resumes. */
        void onResumed();
    }

    /**
     * Flow control for reading one connection's body: pauses reading while the sink cannot accept more or
     * memory is short.
     */
    final class FlowControl {
        private final Channel channel;
        private final PauseListener pauseListener;
        private boolean demand, recheckScheduled;

        FlowControl(Channel channel, PauseListener pauseListener) {
            this.channel = channel;
            this.pauseListener = pauseListener;
        }

        /** Resumes or pauses reading as the sink asks; while memory is short, resuming is retried. */
        void setReadEnabled(boolean enabled) {
            demand = enabled;
            boolean readNow = enabled && hasRoom();
            setReading(readNow, enabled);
            if (enabled && !readNow && !recheckScheduled) {
                recheckScheduled = true;
                channel.eventLoop().schedule(this::recheck, MEMORY_RECHECK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void recheck() {
            recheckScheduled = false;
            if (demand && channel.isActive()) {
                setReadEnabled(true);
            }
        }

        private void setReading(boolean reading, boolean demanded) {
            if (channel.config().isAutoRead() == reading) {
                return;
            }
            if (reading) {
                pauseListener.onResumed();
            } else {
                pauseListener.onPaused(demanded);
            }
            channel.config().setAutoRead(reading);
        }

        /** Called after each read: pauses reading if memory has become short. */
        void afterRead() {
            if (demand && !hasRoom()) {
                setReadEnabled(true);
            }
        }

        /** The body has ended: the connection is read on, and flow control no longer affects it. */
        void stop() {
            demand = false;
            setReading(true, false);
        }
    }

    /** The most that is read of one body although its receiver accepts no more, in bytes. */
    long maxReadAheadBytes() {
        return limitBytes / READ_AHEAD_DIVISOR;
    }

    /** The longest message, in bytes, that is buffered completely at the moment. */
    int maxBufferedMessageBytes() {
        return hasRoom() ? MAX_BUFFERED_MESSAGE_BYTES : MAX_BUFFERED_MESSAGE_BYTES_WHEN_FULL;
    }
}
