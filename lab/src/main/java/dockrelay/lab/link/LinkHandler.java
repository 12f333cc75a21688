package dockrelay.lab.link;

import dockrelay.lab.link.Passage.Mode;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** The network on one connection that ends here: holds back, in order, what passes in each direction. */
public final class LinkHandler extends ChannelDuplexHandler {
    /** Runs something on the connection's loop after so many microseconds. */
    public interface Timer {
        void later(long micros, Runnable action);
    }

    /**
     * After a silence, what the system has kept for us is held this long, to see whether the other side has
     * reset the connection meanwhile: the network it stands for would have had nothing to deliver then.
     */
    private static final long MOMENT = 5_000;

    private final Links links;
    private final String here, there;
    private final LongSupplier clock;
    private final Timer timer;
    private final Lane in, out;
    private final Runnable changed = this::changed;
    private boolean wasSilent;
    private long trustedFrom;
    private ChannelHandlerContext context;

    public LinkHandler(Links links, String here, String there, LongSupplier clock, Timer timer,
                       RandomGenerator random) {
        this.links = links;
        this.here = here;
        this.there = there;
        this.clock = clock;
        this.timer = timer;
        this.in = new Lane(there, here, new Courier(random));
        this.out = new Lane(here, there, new Courier(random));
    }

    /**
     * One direction: what waits in it, each with when it arrives. Silent, all of it waits for the network.
     */
    private final class Lane {
        private final String from, to;
        private final Courier courier;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private final Deque<Long> due = new ArrayDeque<>();
        private boolean timed;

        Lane(String from, String to, Courier courier) {
            this.from = from;
            this.to = to;
            this.courier = courier;
        }

        void pass(Runnable action, long trusted) {
            Passage passage = links.between(from, to);
            if (waiting.isEmpty() && passage.plain() && trusted <= clock.getAsLong()) {
                action.run();
                return;
            }
            waiting.add(action);
            due.add(Math.max(trusted, courier.stream(clock.getAsLong(), passage)));
            go();
        }

        void go() {
            long now = clock.getAsLong();
            while (!waiting.isEmpty() && due.peek() <= now && links.between(from, to).mode() == Mode.OPEN) {
                due.poll();
                waiting.poll().run();
            }
            if (!waiting.isEmpty() && !timed && links.between(from, to).mode() == Mode.OPEN) {
                timed = true;
                timer.later(due.peek() - now, () -> {
                    timed = false;
                    go();
                });
            }
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        links.watch(changed);
        if (added.channel().isActive()) {
            apply();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext active) throws Exception {
        apply();
        super.channelActive(active);
    }

    @Override
    public void channelInactive(ChannelHandlerContext gone) throws Exception {
        links.forget(changed);
        while (!in.waiting.isEmpty()) {
            in.waiting.poll().run(); // ended in order: what was sent before the end arrives before it
        }
        out.waiting.clear();
        super.channelInactive(gone);
    }

    private void changed() {
        context.executor().execute(() -> {
            if (context.channel().isActive()) {
                apply();
                in.go();
                out.go();
            }
        });
    }

    /** A connection across a silent direction hears nothing; across a reset one it ends. */
    private void apply() {
        Mode inward = links.between(there, here).mode(), outward = links.between(here, there).mode();
        if (inward == Mode.RESET || outward == Mode.RESET) {
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            context.close();
        } else {
            if (wasSilent && inward == Mode.OPEN) {
                trustedFrom = clock.getAsLong() + MOMENT;
            }
            wasSilent = inward == Mode.SILENT;
            context.channel().config().setAutoRead(inward == Mode.OPEN);
        }
    }

    /** Reset: what was sent into the silence before that would have been dropped with the sender's queue. */
    @Override
    public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
        if (clock.getAsLong() <= trustedFrom) {
            in.waiting.clear();
        }
        from.fireExceptionCaught(cause);
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        in.pass(() -> {
            from.fireChannelRead(message);
            from.fireChannelReadComplete();
        }, trustedFrom);
    }

    @Override
    public void write(ChannelHandlerContext to, Object message, ChannelPromise promise) {
        out.pass(() -> to.writeAndFlush(message, promise), 0);
    }

    @Override
    public void close(ChannelHandlerContext to, ChannelPromise promise) {
        if (out.waiting.isEmpty()) {
            to.close(promise);
        } else {
            out.pass(() -> to.close(promise), 0); // the end comes after what was written before it
        }
    }
}
