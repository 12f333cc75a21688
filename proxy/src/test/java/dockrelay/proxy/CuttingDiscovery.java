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
 * Discovery that answers each call at once, but ends watches in the middle of what it has to say, and the
 * next answers of the same caller too.
 */
final class CuttingDiscovery implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 500;
    private static final int NO_LINGER_SECONDS = 0;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** How a connection ends; one that stalls stays open and silent. */
    enum End { CLOSE, RESET, STALL }

    private final List<Door> doors = new CopyOnWriteArrayList<>();
    private final Set<Socket> stalled = ConcurrentHashMap.newKeySet();
    private volatile String answer;
    private volatile int length; // of what is said of an answer that is cut
    private volatile End end;

    /** The first thing that it says to each caller. */
    CuttingDiscovery(String answer) {
        this.answer = answer;
    }

    /** The address of one caller. */
    Door door() {
        Door door = new Door();
        doors.add(door);
        return door;
    }

    int watches() {
        return doors.stream().mapToInt(door -> door.watches.size()).sum();
    }

    /**
     * Says so many bytes of this on each watch and ends it; so it does with the next answers, as many as
     * given, of each caller, and then it answers in whole.
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

    /** One caller's address. */
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
                    continue; // until the proxy has enough of it, where it stalls
                }
                return;
            }
            write(connection, HEAD + FakeDiscovery.chunk(answer));
            watches.add(connection);
            try {
                while (true) { // until the watch ends: the write fails then
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
