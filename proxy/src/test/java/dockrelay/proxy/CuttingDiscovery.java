package dockrelay.proxy;

import dockrelay.proxy.Fakes.FakeDiscovery;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A discovery service that answers each call at once, but cuts watches in the middle of an object, and
 * optionally the next answers to the same caller too.
 */
final class CuttingDiscovery implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 500;
    private static final int NO_LINGER_SECONDS = 0;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** How a connection ends; STALL keeps it open without sending anything. */
    enum End { CLOSE, RESET, STALL }

    private final List<Door> doors = new CopyOnWriteArrayList<>();
    private final Set<Socket> stalled = ConcurrentHashMap.newKeySet();
    private volatile String answer;
    private volatile int length; // bytes sent of a truncated answer
    private volatile End end;

    /** {@code answer} is the first object sent to each caller. */
    CuttingDiscovery(String answer) {
        this.answer = answer;
    }

    /** Opens an address for one caller. */
    Door door() {
        Door door = new Door();
        doors.add(door);
        return door;
    }

    int watches() {
        return doors.stream().mapToInt(door -> door.watches.size()).sum();
    }

    /**
     * Sends the first {@code bytes} bytes of the change on each watch and ends it. The next {@code
     * furtherAnswers} answers to each caller are truncated in the same way; later ones are complete.
     */
    void cutAll(String change, int bytes, End how, int furtherAnswers) throws IOException {
        end = how;
        length = bytes;
        answer = change;
        for (Door door : doors) {
            door.answersToCut = furtherAnswers;
        }
        for (Door door : doors) {
            for (Socket watch : door.watches) {
                cut(watch, "");
            }
        }
    }

    private void cut(Socket connection, String head) throws IOException {
        String part = answer.substring(0, length);
        write(connection, head + (length == 0 ? "" : Integer.toHexString(length) + "\r\n" + part + "\r\n"));
        if (end == End.STALL) {
            stalled.add(connection);
            return;
        }
        if (end == End.RESET) {
            connection.setSoLinger(true, NO_LINGER_SECONDS);
        }
        connection.close();
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        for (Door door : doors) {
            door.close();
        }
    }

    /** The address of one caller. */
    final class Door extends Fakes.FakeServer {
        private final List<Socket> watches = new CopyOnWriteArrayList<>();
        private volatile int answersToCut;

        @Override
        void serve(Socket connection) throws IOException {
            if (Fakes.readMessage(connection.getInputStream()) == null) {
                return;
            }
            if (answersToCut > 0) {
                answersToCut--;
                cut(connection, HEAD);
                while (connection.getInputStream().read() >= 0) {
                    continue; // until the proxy closes the stalled connection
                }
                return;
            }
            write(connection, HEAD + FakeDiscovery.chunk(answer));
            watches.add(connection);
            try {
                while (true) { // ends when the proxy closes the watch and the write fails
                    Thread.sleep(HEARTBEAT_MILLIS);
                    if (stalled.contains(connection)) {
                        continue;
                    }
                    write(connection, FakeDiscovery.chunk(""));
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            } finally {
                watches.remove(connection);
            }
        }
    }
}
