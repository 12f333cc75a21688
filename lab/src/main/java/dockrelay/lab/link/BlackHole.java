package dockrelay.lab.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which no connection comes up, as behind a cut: a listener that accepts nothing, its queue
 * filled by
 * connections of its own, so that the system drops what else knocks. Closed, it resets who was in the queue.
 */
public final class BlackHole implements AutoCloseable {
    private static final int ENOUGH = 8;

    private final ServerSocketChannel listener;
    private final List<SocketChannel> filling = new ArrayList<>();

    public BlackHole(InetSocketAddress at) throws IOException {
        listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(at, 1);
        for (int i = 0; i < ENOUGH; i++) {
            SocketChannel one = SocketChannel.open();
            one.configureBlocking(false);
            one.connect(at); // over loopback it is up at once, or the queue is full
            filling.add(one);
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel one : filling) {
            one.close();
        }
        listener.close();
    }
}
