package dockrelay.proxy;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Connections whose request has been answered before it was read completely, and whose rest is read only to
 * be discarded. They take turns at a limited rate in all, so that the requests that are being served are not
 * held up by those that are not. All on the event loop's thread.
 */
final class DiscardQueue {
    private static final long TICK_MILLIS = 2;
    /** So many reads of up to 16 KB a tick, some 32 MB/s, discard the longest body in a second. */
    private static final int READS_PER_TICK = 4;

    private final EventLoop eventLoop;
    private final Set<Channel> channels = new LinkedHashSet<>(); // next turn first
    private boolean scheduled;

    DiscardQueue(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** From now on this connection is read in its turn, until it is closed or read automatically again. */
    void add(Channel channel) {
        channel.config().setAutoRead(false);
        channels.add(channel);
        schedule();
    }

    /** Forgets a connection that has been closed. */
    void remove(Channel channel) {
        channels.remove(channel);
    }

    private void schedule() {
        if (!scheduled && !channels.isEmpty()) {
            scheduled = true;
            eventLoop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        scheduled = false;
        for (int turns = Math.min(READS_PER_TICK, channels.size()); turns > 0; turns--) {
            Iterator<Channel> next = channels.iterator();
            if (!next.hasNext()) {
                break; // a read has closed one of them
            }
            Channel channel = next.next();
            next.remove();
            if (channel.isActive() && !channel.config().isAutoRead()) {
                channel.read(); // without automatic reading a single one
                channels.add(channel);
            }
        }
        schedule();
    }
}
