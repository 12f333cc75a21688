package dockrelay.lab.scale.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The load generator against a server that withholds its answers, and the emulated servers' groups. */
@Timeout(60)
class OpenLoopGeneratorTest {
    private static final int HELD_REQUESTS = 20;
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void shutDownLoops() {
        eventLoops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private OpenLoopGenerator newGenerator(InetSocketAddress target, long timeoutMicros) {
        return new OpenLoopGenerator(eventLoops.next(), 500, timeoutMicros, new Random(1), new Random(2),
            new SingleClassWorkload(target, "any", 2));
    }

    /** A server that accepts connections and sends no response until {@link #answerAll} is called. */
    private static final class UnresponsiveServer implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        final CountDownLatch accepted = new CountDownLatch(HELD_REQUESTS);
        final List<Socket> heldSockets = new CopyOnWriteArrayList<>();
        volatile long firstAcceptedAtNanos;

        UnresponsiveServer() throws IOException {
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        firstAcceptedAtNanos = firstAcceptedAtNanos == 0
                            ? System.nanoTime() : firstAcceptedAtNanos;
                        heldSockets.add(socket);
                        accepted.countDown();
                    }
                } catch (IOException e) {
                    return; // listener closed at the end of the test
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        void answerAll() throws IOException {
            for (Socket socket : heldSockets) {
                try {
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                } catch (java.net.SocketException e) {
                    continue; // answered earlier, and the client has closed the connection
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : heldSockets) {
                socket.close();
            }
        }
    }

    @Test
    void sendsIndependentlyOfResponsesAndMeasuresFromTheScheduledTime() throws Exception {
        try (UnresponsiveServer server = new UnresponsiveServer();
             OpenLoopGenerator generator =
                 newGenerator((InetSocketAddress) server.listener.getLocalSocketAddress(), 60_000_000)) {
            generator.start();
            server.accepted.await(); // open loop: requests keep coming although none is answered
            generator.setPaused(true);
            long heldMillis = (System.nanoTime() - server.firstAcceptedAtNanos) / 1_000_000;
            Tally tally = generator.swapTally();
            while (tally.served() < HELD_REQUESTS) {
                server.answerAll();
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertTrue(tally.latencyMillis(100) >= heldMillis, tally.latencyMillis(100)
                + " ms maximum latency, expected at least the ms that requests were held: " + heldMillis);
        }
    }

    @Test
    void unansweredRequestsCountWithTheirWait() throws Exception {
        try (UnresponsiveServer server = new UnresponsiveServer();
             OpenLoopGenerator generator =
                 newGenerator((InetSocketAddress) server.listener.getLocalSocketAddress(), 100_000)) {
            generator.start();
            server.accepted.await();
            generator.setPaused(true);
            Tally tally = generator.swapTally();
            while (tally.unanswered() < HELD_REQUESTS) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertEquals(0, tally.served());
            assertTrue(tally.latencyMillis(0) >= 99.9,
                "each unanswered request must count with its wait of 100 ms, minimum: "
                + tally.latencyMillis(0));
        }
    }

    @Test
    void serversAnswerByGroupAndAStoppedGroupRefuses() throws Exception {
        EmulatedServers servers = new EmulatedServers(eventLoops.next(), 2, 3);
        try (OpenLoopGenerator generator = newGenerator(servers.address(1, 4), 60_000_000)) {
            generator.start();
            while (servers.requestCount(1) < HELD_REQUESTS) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertEquals(0, servers.requestCount(0));
            servers.stopGroup(1);
            generator.swapTally();
            Tally tally = generator.swapTally();
            while (tally.failed() == 0) {
                tally = tally.sent() > 0 ? tally : generator.swapTally();
                TimeUnit.MILLISECONDS.sleep(1);
            }
            servers.startGroup(1);
            long countAtRestart = servers.requestCount(1);
            while (servers.requestCount(1) == countAtRestart) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
    }
}
