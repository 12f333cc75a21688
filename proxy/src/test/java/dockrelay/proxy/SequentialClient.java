package dockrelay.proxy;

import dockrelay.proxy.Fakes.FakeClient;
import java.io.IOException;
import java.util.concurrent.FutureTask;

/** A client that sends one request after another to a proxy until a given {@link System#nanoTime} value. */
final class SequentialClient {
    private static final long PAUSE_MILLIS = 10;
    private final FutureTask<Integer> task;

    /**
     * Starts at once on its own thread.
     *
     * @param countFromNanos the {@link System#nanoTime} value after which served requests are counted
     * @param untilNanos the {@link System#nanoTime} value at which it stops
     */
    SequentialClient(ProxyProcess proxy, long countFromNanos, long untilNanos) {
        task = new FutureTask<>(() -> run(proxy, countFromNanos, untilNanos));
        new Thread(task).start();
    }

    private static int run(ProxyProcess proxy, long countFromNanos, long untilNanos)
        throws IOException, InterruptedException {
        int servedCount = 0;
        try (FakeClient client = proxy.connectClient()) {
            while (System.nanoTime() < untilNanos) {
                int status = client.send(FakeClient.getRequest("4.0")).readStatus();
                if (status == 0) {
                    throw new IOException("connection closed without a response; proxy log:\n"
                        + proxy.readLog());
                }
                servedCount += status == 200 && System.nanoTime() > countFromNanos ? 1 : 0;
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        return servedCount;
    }

    /** Waits for the end and returns how many requests were served in the counted period. */
    int servedCount() throws Exception {
        return task.get();
    }
}
