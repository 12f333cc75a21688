package dockrelay.proxy;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Finds out that a connection's input is empty where no read says so: without input there is no read. Waits
 * for a whole pass of the event loop, which reads all connections with input. All on the event loop's thread.
 */
final class InputProbe {
    /** A timer that a timer has set runs in a later pass of the event loop. */
    private static final long PASS_MILLIS = 1;

    private final EventExecutor eventLoop;
    private final ClientInput input;
    private final Runnable afterProbe;
    private boolean running;

    /** The action is run after each probe, whatever it has found. */
    InputProbe(EventExecutor eventLoop, ClientInput input, Runnable afterProbe) {
        this.eventLoop = eventLoop;
        this.input = input;
        this.afterProbe = afterProbe;
    }

    /** Starts to find out, unless it has been started already. */
    void start() {
        if (!running) {
            running = true;
            eventLoop.schedule(this::beginPass, PASS_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void beginPass() {
        long changeCount = input.changeCount();
        eventLoop.schedule(() -> endPass(changeCount), PASS_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void endPass(long changeCount) {
        running = false;
        input.confirmQuiet(changeCount, System.nanoTime());
        afterProbe.run();
    }
}
