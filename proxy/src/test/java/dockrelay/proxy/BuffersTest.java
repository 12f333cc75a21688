package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class BuffersTest {
    private static final int LIMIT = 144;
    private long used;
    private final BufferLimit buffers = new BufferLimit(() -> used, LIMIT);

    @Test
    void theBoundIsAPartOfTheLimitAndBeyondItOnlyShortMessagesAreKeptWhole() {
        used = (LIMIT << 20) / 8 - 1;
        assertEquals(BufferLimit.MAX_BUFFERED_MESSAGE_BYTES, buffers.mostWhole());
        used++;
        assertFalse(buffers.hasRoom());
        assertTrue(buffers.mostWhole() < BufferLimit.MAX_BUFFERED_MESSAGE_BYTES);
    }

    @Test
    void whatIsWantedIsReadAgainOnceThereIsRoom() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        BufferLimit.Reading reading = buffers.new Reading(channel);
        reading.flow(true);
        assertTrue(channel.config().isAutoRead());
        used = Long.MAX_VALUE;
        reading.read();
        assertFalse(channel.config().isAutoRead(), "no room for what comes next");
        pass(channel);
        assertFalse(channel.config().isAutoRead());
        used = 0;
        pass(channel);
        assertTrue(channel.config().isAutoRead());
        used = Long.MAX_VALUE;
        reading.flow(true);
        reading.flow(false);
        used = 0;
        pass(channel);
        assertFalse(channel.config().isAutoRead(), "nobody takes more");
    }

    private static void pass(EmbeddedChannel channel) {
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
    }
}
