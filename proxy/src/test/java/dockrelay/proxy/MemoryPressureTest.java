package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dockrelay.proxy.Counters.Count;
import dockrelay.proxy.Fakes.FakeClient;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

/** The process took new clients until its heap was full. */
class MemoryPressureTest {
    private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n";
    private static final String HALF_HEAD = "GET /healthz HTTP/1.1\r\nHost: app\r\nx-own: some value\r\n";
    private static final long LIMIT_BYTES = 1 << 20;
    private static final int REPETITIONS = 10;
    private static final int MAX_CONNECTIONS = 10, SHORT_WAIT_MILLIS = 200, LONG_WAIT_MILLIS = 10_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Counters counters = new Counters();
    private final HeadMemory headMemory = new HeadMemory(LIMIT_BYTES);
    private final ClientFrontend frontend = new ClientFrontend(null, List.of(), MAX_CONNECTIONS, () -> true,
        counters, new BufferLimit(() -> 0, 144), headMemory);

    @BeforeEach
    void listen() {
        frontend.listen(new ServerBootstrap().group(group).channel(NioServerSocketChannel.class),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private FakeClient connect(int readTimeoutMillis) throws IOException {
        return new FakeClient(new Socket(InetAddress.getLoopbackAddress(),
            ((InetSocketAddress) frontend.localAddress()).getPort()), readTimeoutMillis);
    }

    private void setPressure(boolean pressure) {
        group.submit(() -> frontend.setUnderMemoryPressure(pressure)).syncUninterruptibly();
    }

    @Test
    void clientsWaitWhileMemoryIsShort() throws IOException {
        setPressure(true);
        try (FakeClient client = connect(SHORT_WAIT_MILLIS)) {
            client.send(HEALTH_REQUEST);
            assertThrows(SocketTimeoutException.class, client::readStatus, "accepted under pressure");
            setPressure(false);
            client.socket.setSoTimeout(LONG_WAIT_MILLIS);
            assertEquals(200, client.readStatus());
        }
    }

    @RepeatedTest(REPETITIONS)
    void connectionThatHoldsMemoryIsClosedAndIdleOneIsNot() throws IOException {
        try (FakeClient halfHead = connect(LONG_WAIT_MILLIS); FakeClient served = connect(LONG_WAIT_MILLIS)) {
            halfHead.send(HALF_HEAD); // before the other one, whose head takes memory for a moment, too
            Fakes.await("the half head to be read", () -> headMemory.usedBytes() > 0);
            assertEquals(200, served.send(HEALTH_REQUEST).readStatus());
            setPressure(true);
            assertEquals(0, halfHead.readStatus(), "closed without an answer");
            Fakes.await("its memory to be released", () -> headMemory.usedBytes() == 0);
            assertEquals(1, counters.countSinceLastLine(Count.CLOSED_FOR_MEMORY));
            assertEquals(200, served.send(HEALTH_REQUEST).readStatus());
        }
    }
}
