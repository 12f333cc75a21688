package dockrelay.proxy;

import dockrelay.proxy.Fakes.FakeClient;
import java.io.IOException;
import java.util.concurrent.FutureTask;

/** A client that sends one request after another to a proxy until a moment of the nano clock. */
final class SequentialClient {
    private static final long PAUSE_MILLIS = 10;
    private final FutureTask<Integer> task;

    /** Starts at once on a thread of its own; counts what is served from one moment to the other. */
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
                    throw new IOException("closed without an answer, log:\n" + proxy.readLog());
                }
                servedCount += status == 200 && System.nanoTime() > countFromNanos ? 1 : 0;
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        return servedCount;
    }

    /** How many requests were served in that time, once it is over. */
    int servedCount() throws Exception {
        return task.get();
    }
}
