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
class OpenLoopTest {
    private static final int HELD = 20;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private OpenLoopGenerator loop(InetSocketAddress to, long patience) {
        return new OpenLoopGenerator(group.next(), 500, patience, new Random(1), new Random(2), new SingleClassWorkload(to, "any",
            2));
    }

    /** A server that accepts connections and sends no response until {@link #answer} is called. */
    private static final class Holding implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        final CountDownLatch arrived = new CountDownLatch(HELD);
        final List<Socket> held = new CopyOnWriteArrayList<>();
        volatile long firstAt;

        Holding() throws IOException {
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        firstAt = firstAt == 0 ? System.nanoTime() : firstAt;
                        held.add(socket);
                        arrived.countDown();
                    }
                } catch (IOException e) {
                    return; // listener closed at the end of the test
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        void answer() throws IOException {
            for (Socket socket : held) {
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
            for (Socket socket : held) {
                socket.close();
            }
        }
    }

    @Test
    void sendsWhateverBecameOfThoseBeforeAndCountsFromTheIntendedSend() throws Exception {
        try (Holding holding = new Holding();
             OpenLoopGenerator loop = loop((InetSocketAddress) holding.listener.getLocalSocketAddress(), 60_000_000)) {
            loop.start();
            holding.arrived.await(); // open loop: requests keep coming although none is answered
            loop.setPaused(true);
            long heldFor = (System.nanoTime() - holding.firstAt) / 1_000_000;
            Tally tally = loop.swapTally();
            while (tally.served() < HELD) {
                holding.answer();
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertTrue(tally.millis(100) >= heldFor, tally.millis(100)
                + " ms maximum latency, expected at least the ms that requests were held: " + heldFor);
        }
    }

    @Test
    void whoGetsNoAnswerCountsWithTheTimeThatItWaited() throws Exception {
        try (Holding holding = new Holding();
             OpenLoopGenerator loop = loop((InetSocketAddress) holding.listener.getLocalSocketAddress(), 100_000)) {
            loop.start();
            holding.arrived.await();
            loop.setPaused(true);
            Tally tally = loop.swapTally();
            while (tally.unanswered() < HELD) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertEquals(0, tally.served());
            assertTrue(tally.millis(0) >= 99.9, 
                "each unanswered request must count with its wait of 100 ms, minimum: " + tally.millis(0));
        }
    }

    @Test
    void nodesAnswerInTheirGroupsAndAStoppedGroupRefuses() throws Exception {
        EmulatedServers nodes = new EmulatedServers(group.next(), 2, 3);
        try (OpenLoopGenerator loop = loop(nodes.address(1, 4), 60_000_000)) {
            loop.start();
            while (nodes.arrivals(1) < HELD) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertEquals(0, nodes.arrivals(0));
            nodes.stop(1);
            loop.swapTally();
            Tally refused = loop.swapTally();
            while (refused.failed() == 0) {
                refused = refused.sent() > 0 ? refused : loop.swapTally();
                TimeUnit.MILLISECONDS.sleep(1);
            }
            nodes.start(1);
            long until = nodes.arrivals(1);
            while (nodes.arrivals(1) == until) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
    }
}
