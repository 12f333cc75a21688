package dockrelay.proxy;

import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A discovery service that serves all calls one after another in order of arrival. A call that waits too
 * long fails, but stays in the queue and still takes its service time.
 */
final class QueueingDiscovery implements AutoCloseable {
    private static final long MAX_WAIT_MILLIS = 2_000;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final long MAX_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final long callMillis;
    private final BlockingQueue<CountDownLatch> queuedCalls = new LinkedBlockingQueue<>();
    private final List<CallerServer> callerServers = new ArrayList<>();
    private final Thread servingThread = new Thread(this::serveCalls);
    private volatile String fullList;
    private volatile boolean down;

    /** {@code callMillis} is the service time of each call. */
    QueueingDiscovery(String fullList, long callMillis) {
        this.fullList = fullList;
        this.callMillis = callMillis;
        servingThread.setDaemon(true);
        servingThread.start();
    }

    /** Opens an address for one caller. */
    CallerServer addCaller() {
        CallerServer server = new CallerServer();
        callerServers.add(server);
        return server;
    }

    /** Ends all watches; from now on calls time out. */
    void startOutage() throws IOException {
        down = true;
        for (CallerServer server : callerServers) {
            for (Socket watch : server.watches) {
                watch.close();
            }
        }
    }

    /** Ends the outage; calls receive this list. */
    void endOutage(String newList) {
        fullList = newList;
        down = false;
    }

    int watchCount() {
        return callerServers.stream().mapToInt(server -> server.watches.size()).sum();
    }

    private void serveCalls() {
        try {
            long servedAtNanos = System.nanoTime();
            while (true) {
                CountDownLatch servedLatch = queuedCalls.take();
                // Measured by the clock, so that the overhead of a sleep on a busy machine does not slow
                // discovery down.
                servedAtNanos = Math.max(System.nanoTime() - MAX_LAG_NANOS, servedAtNanos)
                    + TimeUnit.MILLISECONDS.toNanos(callMillis);
                TimeUnit.NANOSECONDS.sleep(servedAtNanos - System.nanoTime());
                servedLatch.countDown();
            }
        } catch (InterruptedException e) {
            return; // closed by the test
        }
    }

    @Override
    public void close() throws IOException {
        servingThread.interrupt();
        for (CallerServer server : callerServers) {
            server.close();
        }
    }

    /** The address of one caller. */
    final class CallerServer extends Fakes.FakeServer {
        private final List<Socket> watches = new CopyOnWriteArrayList<>();

        @Override
        void serve(Socket connection) throws IOException {
            if (Fakes.readMessage(connection.getInputStream()) == null) {
                return;
            }
            try {
                if (!awaitTurn()) {
                    write(connection, Fakes.httpResponse("503 Busy", "", ""));
                    return;
                }
                watches.add(connection);
                write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + FakeDiscovery.chunk(fullList));
                while (!down) { // ends when the proxy closes the watch and the write fails
                    Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
                    write(connection, FakeDiscovery.chunk(""));
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            } finally {
                watches.remove(connection);
            }
        }

        private boolean awaitTurn() throws InterruptedException {
            CountDownLatch servedLatch = new CountDownLatch(1);
            if (!down) {
                queuedCalls.add(servedLatch);
            }
            return servedLatch.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void write(Socket connection, String text) throws IOException {
            connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }
    }
}
