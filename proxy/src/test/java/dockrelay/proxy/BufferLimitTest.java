package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.proxy.TransferMemory.Stage;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The memory limit of messages in transit, and the flow control that depends on it. */
class BufferLimitTest {
    private static final int MEMORY_MEGABYTES = 144;
    private long usedBytes;
    private final BufferLimit bufferLimit = new BufferLimit(() -> usedBytes, MEMORY_MEGABYTES);

    @Test
    void onlyShortMessagesAreBufferedAboveLimit() {
        usedBytes = (MEMORY_MEGABYTES << 20) / 8 - 1;
        assertEquals(BufferLimit.MAX_BUFFERED_MESSAGE_BYTES, bufferLimit.maxBufferedMessageBytes());
        usedBytes++;
        assertFalse(bufferLimit.hasRoom());
        assertTrue(bufferLimit.maxBufferedMessageBytes() < BufferLimit.MAX_BUFFERED_MESSAGE_BYTES);
    }

    @Test
    void readingResumesWhenMemoryIsFreed() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        BufferLimit.FlowControl flowControl = bufferLimit.new FlowControl(channel, new Counters());
        flowControl.setReadEnabled(true);
        assertTrue(channel.config().isAutoRead());
        usedBytes = Long.MAX_VALUE;
        flowControl.afterRead();
        assertFalse(channel.config().isAutoRead(), "reading must pause while memory is short");
        advanceTime(channel);
        assertFalse(channel.config().isAutoRead());
        usedBytes = 0;
        advanceTime(channel);
        assertTrue(channel.config().isAutoRead());
        usedBytes = Long.MAX_VALUE;
        flowControl.setReadEnabled(true);
        flowControl.setReadEnabled(false);
        usedBytes = 0;
        advanceTime(channel);
        assertFalse(channel.config().isAutoRead(), "reading must stay paused while the sink accepts no more");
    }

    /** Counts the reads that are asked for while reading isn't automatic. */
    private static final class ReadCounter extends ChannelOutboundHandlerAdapter {
        private int count;

        @Override
        public void read(ChannelHandlerContext context) {
            count++;
        }
    }

    /** Records whether reading is paused at the moment. */
    private static final class PauseRecorder implements BufferLimit.PauseListener {
        private boolean paused;

        @Override
        public void onPaused(boolean memoryShort) {
            paused = true;
        }

        @Override
        public void onResumed() {
            paused = false;
        }
    }

    /** A read that brings no whole content, such as a part of a chunk's head, must not be the last one. */
    @Test
    void transferThatHasBegunReadsOnWhileMemoryIsShort() {
        ReadCounter reads = new ReadCounter();
        PauseRecorder recorder = new PauseRecorder();
        Stage[] stage = {Stage.DRAINED};
        EmbeddedChannel channel = new EmbeddedChannel(reads);
        channel.freezeTime();
        BufferLimit.FlowControl flowControl = bufferLimit.new FlowControl(channel, recorder, () -> stage[0]);
        usedBytes = Long.MAX_VALUE;
        flowControl.setReadEnabled(true);
        int first = reads.count;
        advanceTime(channel);
        assertTrue(reads.count > first, "it must read again although no content came");
        assertFalse(recorder.paused);
        stage[0] = Stage.FORWARDING;
        flowControl.afterRead();
        assertTrue(recorder.paused, "who is not read must not be taken for silent");
        int paused = reads.count;
        advanceTime(channel);
        assertEquals(paused, reads.count);
        stage[0] = Stage.DRAINED;
        advanceTime(channel);
        assertTrue(reads.count > paused);
        assertFalse(recorder.paused);
    }

    private static void advanceTime(EmbeddedChannel channel) {
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
    }
}
