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
 * Discovery that serves the calls of all its callers one after another, in the order in which they came. A
 * call that has waited too long fails, but takes its time in the queue all the same: nobody takes it out.
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

    /** Each call takes it so long. */
    QueueingDiscovery(String list, long callMillis) {
        this.list = list;
        this.callMillis = callMillis;
        server.setDaemon(true);
        server.start();
    }

    /** The address of one caller. */
    Door door() {
        Door door = new Door();
        doors.add(door);
        return door;
    }

    /** All watches end, and calls fail after a wait. */
    void goDown() throws IOException {
        down = true;
        for (Door door : doors) {
            for (Socket watch : door.watches) {
                watch.close();
            }
        }
    }

    /** Back again with this list. */
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
                // By the clock: what a busy machine adds to a sleep must not make discovery slower.
                servedAt = Math.max(System.nanoTime() - MAX_LAG_NANOS, servedAt)
                    + TimeUnit.MILLISECONDS.toNanos(callMillis);
                TimeUnit.NANOSECONDS.sleep(servedAt - System.nanoTime());
                served.countDown();
            }
        } catch (InterruptedException e) {
            return; // closed
        }
    }

    @Override
    public void close() throws IOException {
        server.interrupt();
        for (Door door : doors) {
            door.close();
        }
    }

    /** One caller's address. */
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
                while (!down) { // until the proxy ends the watch: the write fails then
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
