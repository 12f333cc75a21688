package dockrelay.lab.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.lab.link.Passage.Mode;
import dockrelay.lab.plan.RandomStreams;
import dockrelay.lab.world.LoopbackAddresses;
import dockrelay.lab.world.Clock;
import dockrelay.lab.world.EmulatorNetwork;
import java.io.IOException;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LinkTest {
    private static final int SHORT = 300, LONG = 10_000;

    @Test
    void aStreamKeepsItsOrderAndDatagramsAreLostDoubledAndOvertakenAsOftenAsStated() {
        Passage passage = new Passage(Mode.OPEN, 10_000, 20_000, 0.1, 0.05, 0.2);
        Courier courier = new Courier(RandomStreams.stream(1, "courier"));
        long before = 0;
        for (long now = 0; now < 2_000_000; now += 1_000) {
            long at = courier.stream(now, passage);
            assertTrue(at >= now + 10_000 && at >= before, "in order and never early");
            before = at;
        }
        int lost = 0, twice = 0, overtaken = 0;
        for (int i = 0; i < 100_000; i++) {
            long[] at = courier.datagram(i * 100_000L, passage);
            lost += at.length == 0 ? 1 : 0;
            twice += at.length == 2 ? 1 : 0;
            overtaken += at.length > 0 && at[0] - i * 100_000L > 30_000 ? 1 : 0;
        }
        assertEquals(0.1, lost / 1e5, 0.005);
        assertEquals(0.9 * 0.05, twice / 1e5, 0.005);
        assertTrue(overtaken > 5_000 && overtaken < 18_000, "behind those after it: " + overtaken);
        assertEquals(0, courier.datagram(0, new Passage(Mode.SILENT, 0, 0, 0, 0, 0)).length);
    }

    /** Two processes' sockets and a relay: each hears the other from where it reaches it, until it is cut. */
    @Test
    void aRelayPassesDatagramsAndStreamsAndIsCutOneWayOrBoth() throws IOException {
        EmulatorNetwork net = new EmulatorNetwork(1);
        Clock clock = new Clock();
        try (DatagramSocket a = new DatagramSocket(LoopbackAddresses.freePeerAddress(0));
             DatagramSocket b = new DatagramSocket(LoopbackAddresses.freePeerAddress(1));
             ServerSocket streams = new ServerSocket();
             Relay relay = new Relay("n0", (InetSocketAddress) a.getLocalSocketAddress(), LoopbackAddresses.relayHost(0),
                 "n1", (InetSocketAddress) b.getLocalSocketAddress(), LoopbackAddresses.relayHost(1), net.emulatorLoop(),
                 net.links(), clock::nowMicros, (micros, action) -> net.schedule(net.emulatorLoop(), micros, action), 1)) {
            a.setSoTimeout(LONG);
            b.setSoTimeout(LONG);
            assertEquals("to b", sent(a, relay.peerAddressForA(), b, relay.peerAddressForB(), "to b"));
            assertEquals("to a", sent(b, relay.peerAddressForB(), a, relay.peerAddressForA(), "to a"));
            net.links().lay("cut", Set.of("n0"), Set.of("n1"), new Passage(Mode.SILENT, 0, 0, 0, 0, 0));
            b.setSoTimeout(SHORT);
            assertThrows(SocketTimeoutException.class, () -> sent(a, relay.peerAddressForA(), b, relay.peerAddressForB(), "lost"));
            assertEquals("back", sent(b, relay.peerAddressForB(), a, relay.peerAddressForA(), "back"));
            net.links().lift("cut");
            b.setSoTimeout(LONG);
            assertEquals("healed", sent(a, relay.peerAddressForA(), b, relay.peerAddressForB(), "healed"));
            streams.bind(b.getLocalSocketAddress());
            try (Socket near = new Socket(relay.peerAddressForA().getAddress(), relay.peerAddressForA().getPort());
                 Socket far = streams.accept()) {
                assertEquals(relay.peerAddressForB().getAddress(), far.getInetAddress());
                near.getOutputStream().write(7);
                assertEquals(7, far.getInputStream().read());
                far.getOutputStream().write(8);
                assertEquals(8, near.getInputStream().read());
                far.shutdownOutput();
                assertEquals(-1, near.getInputStream().read());
            }
        } finally {
            net.close();
        }
    }

    private static String sent(DatagramSocket from, InetSocketAddress at, DatagramSocket to,
                               InetSocketAddress seen, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        from.send(new DatagramPacket(bytes, bytes.length, at));
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        to.receive(packet);
        assertEquals(seen, packet.getSocketAddress());
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }

    /** Nothing comes up behind a cut, and at its end the address is free again. */
    @Test
    void noConnectionComesUpInABlackHole() throws IOException {
        InetSocketAddress at = LoopbackAddresses.freeProxyAddress(2);
        try (BlackHole hole = new BlackHole(at); Socket socket = new Socket()) {
            assertThrows(SocketTimeoutException.class, () -> socket.connect(at, SHORT), hole.toString());
        }
        try (Socket socket = new Socket()) {
            assertThrows(ConnectException.class, () -> socket.connect(at, LONG));
        }
    }
}
