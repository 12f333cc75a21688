package dockrelay.proxy;

import dockrelay.proxy.TransferMemory.Permit;
import dockrelay.proxy.TransferMemory.Stage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Limits the memory of all messages in transit through this process, whichever client or backend is slow.
 * Below the limit, messages up to a moderate length are buffered completely. Above it, all but short messages
 * are streamed, and reading of streamed bodies depends on what {@link TransferMemory} permits. All on the
 * event loop's thread.
 */
final class BufferLimit {
    private static final int MIN_READ_BYTES = 64, INITIAL_READ_BYTES = 2_048;
    static final int MAX_READ_BYTES = 16 * 1024;
    static final int MAX_BUFFERED_MESSAGE_BYTES = 64 * 1024;
    /** How often a transfer that memory or its receiver holds up checks whether it may read again. */
    private static final long MEMORY_RECHECK_MILLIS = 50;
    /** The same for a transfer that is being passed on. */
    private static final long FORWARDING_RECHECK_MILLIS = 10;
    private static final int MAX_BUFFERED_MESSAGE_BYTES_WHEN_FULL = 8 * 1024;
    /** Low and high water mark of a connection's output: above the high one, the body's source is paused. */
    static final WriteBufferWaterMark WATER_MARKS = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private final TransferMemory memory;

    BufferLimit(LongSupplier usedBytes, int memoryMegabytes) {
        this(usedBytes, usedBytes, memoryMegabytes);
    }

    private BufferLimit(LongSupplier usedBytes, LongSupplier liveBytes, int memoryMegabytes) {
        memory = new TransferMemory(usedBytes, liveBytes, MemoryPlan.bufferBytes(memoryMegabytes));
    }

    /** A limit on the direct memory that an allocator has reserved in chunks, whether or not it is filled. */
    static BufferLimit forAllocator(PooledByteBufAllocator allocator, int memoryMegabytes) {
        return new BufferLimit(new SampledGauge(() -> allocator.metric().usedDirectMemory()),
            new SampledGauge(allocator::pinnedDirectMemory), memoryMegabytes);
    }

    /**
     * An allocator for short reads, and for even shorter ones while memory is short: bytes that are read
     * before a source is paused come on top of the limit.
     */
    AdaptiveRecvByteBufAllocator receiveAllocator() {
        return new BoundedReceiveAllocator();
    }

    private final class BoundedReceiveAllocator extends AdaptiveRecvByteBufAllocator {
        BoundedReceiveAllocator() {
            super(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        }

        @SuppressWarnings("deprecation") // overrides a method that is deprecated for callers
        @Override
        public Handle newHandle() {
            return new RecvByteBufAllocator.DelegatingHandle(super.newHandle()) {
                @Override
                public ByteBuf allocate(ByteBufAllocator allocator) {
                    return hasRoom() ? super.allocate(allocator)
                        : allocator.ioBuffer(Math.min(guess(), TransferMemory.SHORT_READ_BYTES));
                }
            };
        }
    }

    /** The memory that transfers share. */
    TransferMemory memory() {
        return memory;
    }

    /** Whether the memory in use is below the limit. */
    boolean hasRoom() {
        return memory.hasRoom();
    }

    /** Whether everything that was written to a connection has been handed to the system. */
    static boolean isDrained(Channel channel) {
        ChannelOutboundBuffer queue = channel.unsafe().outboundBuffer();
        return queue == null || queue.totalPendingWriteBytes() == 0;
    }

    /** Is notified when reading a body pauses and resumes. */
    interface PauseListener {
        /** Reading pauses; because memory is short if the sink could accept more. */
        void onPaused(boolean memoryShort);

        /** Reading resumes. */
        void onResumed();
    }

    /**
     * Flow control for reading one connection's body: reads only while the sink can accept more, and no more
     * than {@link TransferMemory} permits.
     */
    final class FlowControl {
        private final Channel channel;
        private final PauseListener pauseListener;
        private final Supplier<Stage> stage;
        private boolean demand, recheckScheduled;
        private boolean reading = true; // or a short read has been asked for

        /** Flow control for a transfer whose receiver is not known to have taken everything at any time. */
        FlowControl(Channel channel, PauseListener pauseListener) {
            this(channel, pauseListener, () -> Stage.FORWARDING);
        }

        FlowControl(Channel channel, PauseListener pauseListener, Supplier<Stage> stage) {
            this.channel = channel;
            this.pauseListener = pauseListener;
            this.stage = stage;
        }

        /** Resumes or pauses reading as the sink asks; while memory is short, resuming is retried. */
        void setReadEnabled(boolean enabled) {
            demand = enabled;
            Stage currentStage = stage.get();
            Permit permit = enabled ? memory.permit(currentStage) : Permit.NONE;
            apply(permit);
            if (enabled && permit != Permit.CONTINUOUS && !recheckScheduled) {
                recheckScheduled = true;
                boolean forwarding = currentStage == Stage.FORWARDING || currentStage == Stage.DRAINED;
                channel.eventLoop().schedule(this::recheck,
                    forwarding ? FORWARDING_RECHECK_MILLIS : MEMORY_RECHECK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void recheck() {
            recheckScheduled = false;
            if (demand && channel.isActive()) {
                setReadEnabled(true);
            }
        }

        private void apply(Permit permit) {
            boolean wasReading = reading;
            reading = permit != Permit.NONE;
            if (reading && !wasReading) {
                pauseListener.onResumed();
            } else if (!reading && wasReading) {
                pauseListener.onPaused(demand);
            }
            boolean continuous = permit == Permit.CONTINUOUS;
            if (channel.config().isAutoRead() != continuous) {
                channel.config().setAutoRead(continuous);
            }
            if (permit == Permit.ONE_SHORT_READ) {
                channel.read(); // without automatic reading a single one; without effect if it is pending
            }
        }

        /** Called after each read: pauses reading if memory has become short. */
        void afterRead() {
            if (demand) {
                setReadEnabled(true);
            }
        }

        /** The body has ended: the connection is read on, and flow control no longer affects it. */
        void stop() {
            demand = false;
            apply(Permit.CONTINUOUS);
        }
    }

    /** The longest message, in bytes, that is buffered completely at the moment. */
    int maxBufferedMessageBytes() {
        return hasRoom() ? MAX_BUFFERED_MESSAGE_BYTES : MAX_BUFFERED_MESSAGE_BYTES_WHEN_FULL;
    }
}
