package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A first request that was read late after its connection was accepted was taken for having just come. */
class InputObserverTest {
    private static final long BEAT_MILLIS = TimeUnit.NANOSECONDS.toMillis(LoopHeartbeat.INTERVAL_NANOS);

    private final EmbeddedChannel clock = new EmbeddedChannel();
    private final LoopHeartbeat heartbeat = new LoopHeartbeat();

    private void beat() {
        clock.advanceTimeBy(BEAT_MILLIS, TimeUnit.MILLISECONDS);
        clock.runScheduledPendingTasks();
    }

    /** Accepts a connection after the event loop was held up, and reads it so many beats later. */
    private boolean countsFromBeforeTheAccept(int beatsUntilRead) throws Exception {
        Thread.sleep(2 * BEAT_MILLIS);
        long acceptedNanos = System.nanoTime();
        ClientInput input = new ClientInput(acceptedNanos);
        EmbeddedChannel channel = new EmbeddedChannel(new InputObserver(input, heartbeat));
        Thread.sleep(2 * BEAT_MILLIS);
        for (int i = 0; i < beatsUntilRead; i++) {
            beat();
        }
        channel.pipeline().fireChannelRead(Unpooled.wrappedBuffer(new byte[1]));
        return input.lastEmptyNanos(System.nanoTime()) < acceptedNanos;
    }

    @Test
    void firstReadCountsFromTheConnectUntilTheLoopHasLookedForInput() throws Exception {
        clock.freezeTime();
        heartbeat.start(clock.eventLoop());
        beat();
        assertTrue(countsFromBeforeTheAccept(0));
        assertTrue(countsFromBeforeTheAccept(1));
        assertEquals(false, countsFromBeforeTheAccept(2), "it was looked for in between");
    }
}
