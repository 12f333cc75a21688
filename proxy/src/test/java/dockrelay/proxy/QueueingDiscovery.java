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
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long MAX_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final long callMillis;
    private final BlockingQueue<CountDownLatch> queue = new LinkedBlockingQueue<>();
    private final List<Door> doors = new ArrayList<>();
    private final Thread server = new Thread(this::serveCalls);
    private volatile String list;
    private volatile boolean down;

    /** {@code callMillis} is the service time of each call. */
    QueueingDiscovery(String list, long callMillis) {
        this.list = list;
        this.callMillis = callMillis;
        server.setDaemon(true);
        server.start();
    }

    /** Opens an address for one caller. */
    Door door() {
        Door door = new Door();
        doors.add(door);
        return door;
    }

    /** Ends all watches; from now on calls time out. */
    void goDown() throws IOException {
        down = true;
        for (Door door : doors) {
            for (Socket watch : door.watches) {
                watch.close();
            }
        }
    }

    /** Ends the outage; calls receive this list. */
    void comeBack(String whole) {
        list = whole;
        down = false;
    }

    int watches() {
        return doors.stream().mapToInt(door -> door.watches.size()).sum();
    }

    private void serveCalls() {
        try {
            long servedAt = System.nanoTime();
            while (true) {
                CountDownLatch served = queue.take();
                // Measured by the clock, so that the overhead of a sleep on a busy machine does not slow
                // discovery down.
                servedAt = Math.max(System.nanoTime() - MAX_LAG_NANOS, servedAt)
                    + TimeUnit.MILLISECONDS.toNanos(callMillis);
                TimeUnit.NANOSECONDS.sleep(servedAt - System.nanoTime());
                served.countDown();
            }
        } catch (InterruptedException e) {
            return; // closed by the test
        }
    }

    @Override
    public void close() throws IOException {
        server.interrupt();
        for (Door door : doors) {
            door.close();
        }
    }

    /** The address of one caller. */
    final class Door extends Fakes.FakeServer {
        private final List<Socket> watches = new CopyOnWriteArrayList<>();

        @Override
        void serve(Socket connection) throws IOException {
            if (Fakes.readMessage(connection.getInputStream()) == null) {
                return;
            }
            try {
                if (!waitForTurn()) {
                    write(connection, Fakes.httpResponse("503 Busy", "", ""));
                    return;
                }
                watches.add(connection);
                write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + FakeDiscovery.chunk(list));
                while (!down) { // ends when the proxy closes the watch and the write fails
                    Thread.sleep(HEARTBEAT_MILLIS);
                    write(connection, FakeDiscovery.chunk(""));
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            } finally {
                watches.remove(connection);
            }
        }

        private boolean waitForTurn() throws InterruptedException {
            CountDownLatch served = new CountDownLatch(1);
            if (!down) {
                queue.add(served);
            }
            return served.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void write(Socket connection, String text) throws IOException {
            connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }
    }
}
