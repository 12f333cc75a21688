package dockrelay.lab.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening address at which connection attempts time out, as behind a network partition. It never accepts
 * and keeps its accept queue full with its own connections, so the kernel drops further SYNs. Closing it
 * resets the connections in the queue.
 */
public final class BlackHoleListener implements AutoCloseable {
    private static final int FILLER_CONNECTIONS = 8;

    private final ServerSocketChannel listener;
    private final List<SocketChannel> fillerConnections = new ArrayList<>();

    public BlackHoleListener(InetSocketAddress address) throws IOException {
        listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(address, 1);
        for (int i = 0; i < FILLER_CONNECTIONS; i++) {
            SocketChannel connection = SocketChannel.open();
            connection.configureBlocking(false);
            connection.connect(address); // on loopback it completes at once unless the accept queue is full
            fillerConnections.add(connection);
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel connection : fillerConnections) {
            connection.close();
        }
        listener.close();
    }
}
