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
final class CrowdedDiscovery implements AutoCloseable {
    /** Time that a queued call waits while discovery is crowded. */
    static final long QUEUE_MILLIS = 2_000;
    private static final long HEARTBEAT_MILLIS = 500;
    private final List<Door> doors = new ArrayList<>();
    private volatile String list;
    private volatile boolean crowded;

    CrowdedDiscovery(String list) {
        this.list = list;
    }

    /** Replaces the full list that later calls receive. */
    void publish(String whole) {
        list = whole;
    }

    void crowd() {
        crowded = true;
    }

    /** Opens an address for one caller. */
    Door door() {
        Door door = new Door();
        doors.add(door);
        return door;
    }

    @Override
    public void close() throws IOException {
        for (Door door : doors) {
            door.close();
        }
    }

    /** The address of one caller, with its calls that wait for an answer. */
    final class Door extends Fakes.FakeServer {
        private final List<Socket> waiting = new ArrayList<>();
        private int callsInCrowd, answered;

        @Override
        void serve(Socket connection) throws IOException {
            if (Fakes.readMessage(connection.getInputStream()) == null || !admitted(connection)) {
                return;
            }
            connection.getOutputStream().write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + FakeDiscovery.chunk(list)).getBytes(StandardCharsets.UTF_8));
            while (!connection.isClosed()) { // ends when the proxy closes the watch and the write fails
                pause();
                connection.getOutputStream().write(FakeDiscovery.chunk("").getBytes(StandardCharsets.UTF_8));
            }
        }

        synchronized int answered() {
            return answered;
        }

        private synchronized boolean admitted(Socket connection) throws IOException {
            if (!crowded) {
                return true;
            }
            if (callsInCrowd++ % 2 == 0) {
                refuse(connection);
                return false;
            }
            waiting.add(connection);
            long answerAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(QUEUE_MILLIS);
            for (long left = QUEUE_MILLIS; left > 0 && waiting.contains(connection);
                left = TimeUnit.NANOSECONDS.toMillis(answerAt - System.nanoTime())) {
                await(left);
            }
            boolean served = waiting.remove(connection);
            answered += served ? 1 : 0;
            return served;
        }

        private void pause() {
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        private void await(long millis) {
            try {
                wait(millis);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        private void refuse(Socket connection) throws IOException {
            waiting.add(connection);
            for (Socket each : waiting) {
                each.getOutputStream().write(
                    Fakes.httpResponse("503 Crowded", "", "").getBytes(StandardCharsets.UTF_8));
                each.close();
            }
            waiting.clear();
            notifyAll();
        }
    }
}
