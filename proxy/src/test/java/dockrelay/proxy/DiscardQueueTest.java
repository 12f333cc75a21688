package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Rejected bodies were read at full speed, which left little time for those that were accepted. */
class DiscardQueueTest {
    private static final int CHANNEL_COUNT = 40, TICKS = 20;
    private static final long TICK_MILLIS = 2;
    /** So many bytes a second are discarded at the most, by reads of 16 KB. */
    private static final long MAX_BYTES_PER_SECOND = 34_000_000;

    /** Counts the reads that are asked for. */
    private static final class ReadCounter extends ChannelOutboundHandlerAdapter {
        int count;

        @Override
        public void read(ChannelHandlerContext context) {
            count++;
        }
    }

    private final EmbeddedChannel clock = new EmbeddedChannel();
    private final List<ReadCounter> counters = new ArrayList<>();
    private final List<EmbeddedChannel> channels = new ArrayList<>();

    private void addChannels(DiscardQueue queue) {
        for (int i = 0; i < CHANNEL_COUNT; i++) {
            ReadCounter counter = new ReadCounter();
            EmbeddedChannel channel = new EmbeddedChannel(counter);
            queue.add(channel);
            counter.count = 0;
            counters.add(counter);
            channels.add(channel);
        }
    }

    private int readsOf(Runnable tick, int ticks) {
        int before = counters.stream().mapToInt(counter -> counter.count).sum();
        for (int i = 0; i < ticks; i++) {
            tick.run();
        }
        return counters.stream().mapToInt(counter -> counter.count).sum() - before;
    }

    @Test
    void connectionsTakeTurnsAtALimitedRate() {
        clock.freezeTime();
        EventLoop eventLoop = clock.eventLoop();
        DiscardQueue queue = new DiscardQueue(eventLoop);
        addChannels(queue);
        Runnable tick = () -> {
            clock.advanceTimeBy(TICK_MILLIS, TimeUnit.MILLISECONDS);
            clock.runScheduledPendingTasks();
        };
        int reads = readsOf(tick, TICKS);
        long bytesPerSecond = (long) reads * BufferLimit.MAX_READ_BYTES * 1_000 / (TICKS * TICK_MILLIS);
        assertTrue(reads > 0 && bytesPerSecond <= MAX_BYTES_PER_SECOND, bytesPerSecond + " bytes a second");
        int most = counters.stream().mapToInt(counter -> counter.count).max().orElseThrow();
        int least = counters.stream().mapToInt(counter -> counter.count).min().orElseThrow();
        assertTrue(most - least <= 1, "reads of a connection: from " + least + " to " + most);
        channels.forEach(channel -> channel.config().setAutoRead(true));
        readsOf(tick, TICKS);
        assertEquals(0, readsOf(tick, TICKS), "reads of connections that are read automatically again");
    }
}
