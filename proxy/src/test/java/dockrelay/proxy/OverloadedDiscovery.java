package dockrelay.proxy;

import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A discovery service whose single queue is kept full by other callers. Every second call of a caller is
 * queued and answered after the whole wait; the others are refused at once. A refusal applies to the
 * caller: it also ends all of that caller's queued calls.
 */
final class OverloadedDiscovery implements AutoCloseable {
    /** Time that a queued call waits during the overload. */
    static final long QUEUE_TIME_MILLIS = 2_000;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private final List<CallerServer> callerServers = new ArrayList<>();
    private volatile String fullList;
    private volatile boolean overloaded;

    OverloadedDiscovery(String fullList) {
        this.fullList = fullList;
    }

    /** Replaces the full list that later calls receive. */
    void publish(String newList) {
        fullList = newList;
    }

    void startOverload() {
        overloaded = true;
    }

    /** Opens an address for one caller. */
    CallerServer addCaller() {
        CallerServer server = new CallerServer();
        callerServers.add(server);
        return server;
    }

    @Override
    public void close() throws IOException {
        for (CallerServer server : callerServers) {
            server.close();
        }
    }

    /** The address of one caller, with its calls that wait for an answer. */
    final class CallerServer extends Fakes.FakeServer {
        private final List<Socket> queuedCalls = new ArrayList<>();
        private int callsWhileOverloaded, answeredCallCount;

        @Override
        void serve(Socket connection) throws IOException {
            if (Fakes.readMessage(connection.getInputStream()) == null || !waitInQueue(connection)) {
                return;
            }
            connection.getOutputStream().write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + FakeDiscovery.chunk(fullList)).getBytes(StandardCharsets.UTF_8));
            while (!connection.isClosed()) { // ends when the proxy closes the watch and the write fails
                sleepUntilHeartbeat();
                connection.getOutputStream().write(FakeDiscovery.chunk("").getBytes(StandardCharsets.UTF_8));
            }
        }

        synchronized int answeredCalls() {
            return answeredCallCount;
        }

        private synchronized boolean waitInQueue(Socket connection) throws IOException {
            if (!overloaded) {
                return true;
            }
            if (callsWhileOverloaded++ % 2 == 0) {
                refuseCaller(connection);
                return false;
            }
            queuedCalls.add(connection);
            long answerAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(QUEUE_TIME_MILLIS);
            for (long remainingMillis = QUEUE_TIME_MILLIS; remainingMillis > 0
                && queuedCalls.contains(connection);
                remainingMillis = TimeUnit.NANOSECONDS.toMillis(answerAtNanos - System.nanoTime())) {
                awaitNotification(remainingMillis);
            }
            boolean wasServed = queuedCalls.remove(connection);
            answeredCallCount += wasServed ? 1 : 0;
            return wasServed;
        }

        private void sleepUntilHeartbeat() {
            try {
                Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        private void awaitNotification(long timeoutMillis) {
            try {
                wait(timeoutMillis);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        private void refuseCaller(Socket connection) throws IOException {
            queuedCalls.add(connection);
            for (Socket queuedCall : queuedCalls) {
                queuedCall.getOutputStream().write(
                    Fakes.httpResponse("503 Overloaded", "", "").getBytes(StandardCharsets.UTF_8));
                queuedCall.close();
            }
            queuedCalls.clear();
            notifyAll();
        }
    }
}
