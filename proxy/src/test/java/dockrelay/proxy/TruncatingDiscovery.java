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
final class TruncatingDiscovery implements AutoCloseable {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final int NO_LINGER_SECONDS = 0;
    private static final String RESPONSE_HEADER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** How a connection ends; STALL keeps it open without sending anything. */
    enum EndMode { CLOSE, RESET, STALL }

    private final List<CallerServer> callerServers = new CopyOnWriteArrayList<>();
    private final Set<Socket> stalledConnections = ConcurrentHashMap.newKeySet();
    private volatile String answer;
    private volatile int truncatedLength; // bytes sent of a truncated answer
    private volatile EndMode endMode;

    /** {@code answer} is the first object sent to each caller. */
    TruncatingDiscovery(String answer) {
        this.answer = answer;
    }

    /** Opens an address for one caller. */
    CallerServer addCaller() {
        CallerServer server = new CallerServer();
        callerServers.add(server);
        return server;
    }

    int watchCount() {
        return callerServers.stream().mapToInt(server -> server.watches.size()).sum();
    }

    /**
     * Sends the first {@code byteCount} bytes of the change on each watch and ends it. The next {@code
     * furtherTruncatedAnswers} answers to each caller are truncated in the same way; later ones are
     * complete.
     */
    void truncateAll(String change, int byteCount, EndMode mode,
        int furtherTruncatedAnswers) throws IOException {
        endMode = mode;
        truncatedLength = byteCount;
        answer = change;
        for (CallerServer server : callerServers) {
            server.answersToTruncate = furtherTruncatedAnswers;
        }
        for (CallerServer server : callerServers) {
            for (Socket watch : server.watches) {
                truncate(watch, "");
            }
        }
    }

    private void truncate(Socket connection, String header) throws IOException {
        String sentPart = answer.substring(0, truncatedLength);
        write(connection, header + (truncatedLength == 0 ? "" : Integer.toHexString(truncatedLength)
            + "\r\n" + sentPart + "\r\n"));
        if (endMode == EndMode.STALL) {
            stalledConnections.add(connection);
            return;
        }
        if (endMode == EndMode.RESET) {
            connection.setSoLinger(true, NO_LINGER_SECONDS);
        }
        connection.close();
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        for (CallerServer server : callerServers) {
            server.close();
        }
    }

    /** The address of one caller. */
    final class CallerServer extends Fakes.FakeServer {
        private final List<Socket> watches = new CopyOnWriteArrayList<>();
        private volatile int answersToTruncate;

        @Override
        void serve(Socket connection) throws IOException {
            if (Fakes.readMessage(connection.getInputStream()) == null) {
                return;
            }
            if (answersToTruncate > 0) {
                answersToTruncate--;
                truncate(connection, RESPONSE_HEADER);
                while (connection.getInputStream().read() >= 0) {
                    continue; // until the proxy closes the stalled connection
                }
                return;
            }
            write(connection, RESPONSE_HEADER + FakeDiscovery.chunk(answer));
            watches.add(connection);
            try {
                while (true) { // ends when the proxy closes the watch and the write fails
                    Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
                    if (stalledConnections.contains(connection)) {
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
