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

/** Tests the emulated network: impaired streams and datagrams, peer relays, and silent addresses. */
class LinkTest {
    private static final int SHORT_TIMEOUT_MILLIS = 300, LONG_TIMEOUT_MILLIS = 10_000;

    @Test
    void streamsStayOrderedAndDatagramsAreImpairedAtTheConfiguredRates() {
        Passage conditions = new Passage(Mode.OPEN, 10_000, 20_000, 0.1, 0.05, 0.2);
        LinkDelayModel delayModel = new LinkDelayModel(RandomStreams.stream(1, "courier"));
        long previousArrival = 0;
        for (long now = 0; now < 2_000_000; now += 1_000) {
            long arrival = delayModel.streamArrival(now, conditions);
            assertTrue(arrival >= now + 10_000 && arrival >= previousArrival,
                "stream data arrived out of order or before the link's delay");
            previousArrival = arrival;
        }
        int lost = 0, duplicated = 0, reordered = 0;
        for (int i = 0; i < 100_000; i++) {
            long[] arrival = delayModel.datagramArrivals(i * 100_000L, conditions);
            lost += arrival.length == 0 ? 1 : 0;
            duplicated += arrival.length == 2 ? 1 : 0;
            reordered += arrival.length > 0 && arrival[0] - i * 100_000L > 30_000 ? 1 : 0;
        }
        assertEquals(0.1, lost / 1e5, 0.005);
        assertEquals(0.9 * 0.05, duplicated / 1e5, 0.005);
        assertTrue(reordered > 5_000 && reordered < 18_000,
            "expected 5000 to 18000 reordered datagrams, got " + reordered);
        assertEquals(0, delayModel.datagramArrivals(0, new Passage(Mode.SILENT, 0, 0, 0, 0, 0)).length);
    }

    /**
     * Each peer sees the other's traffic come from the address at which it reaches it, until the link is
     * cut.
     */
    @Test
    void relayForwardsTrafficInDirectionsThatAreNotCut() throws IOException {
        EmulatorNetwork network = new EmulatorNetwork(1);
        Clock clock = new Clock();
        try (DatagramSocket socketA = new DatagramSocket(LoopbackAddresses.freePeerAddress(0));
             DatagramSocket socketB = new DatagramSocket(LoopbackAddresses.freePeerAddress(1));
             ServerSocket streamListener = new ServerSocket();
             Relay relay = new Relay("n0", (InetSocketAddress) socketA.getLocalSocketAddress(),
                 LoopbackAddresses.relayHost(0), "n1", (InetSocketAddress) socketB.getLocalSocketAddress(),
                     LoopbackAddresses.relayHost(1),
                 network.emulatorLoop(), network.links(), clock::nowMicros,
                 (micros, action) -> network.schedule(network.emulatorLoop(), micros, action), 1)) {
            socketA.setSoTimeout(LONG_TIMEOUT_MILLIS);
            socketB.setSoTimeout(LONG_TIMEOUT_MILLIS);
            assertEquals("to b", sendAndReceive(socketA, relay.peerAddressForA(), socketB,
                relay.peerAddressForB(), "to b"));
            assertEquals("to a", sendAndReceive(socketB, relay.peerAddressForB(), socketA,
                relay.peerAddressForA(), "to a"));
            network.links().addFault("cut", Set.of("n0"), Set.of("n1"),
                new Passage(Mode.SILENT, 0, 0, 0, 0, 0));
            socketB.setSoTimeout(SHORT_TIMEOUT_MILLIS);
            assertThrows(SocketTimeoutException.class, () ->
                sendAndReceive(socketA, relay.peerAddressForA(), socketB, relay.peerAddressForB(), "lost"));
            assertEquals("back", sendAndReceive(socketB, relay.peerAddressForB(), socketA,
                relay.peerAddressForA(), "back"));
            network.links().removeFault("cut");
            socketB.setSoTimeout(LONG_TIMEOUT_MILLIS);
            assertEquals("healed",
                sendAndReceive(socketA, relay.peerAddressForA(), socketB, relay.peerAddressForB(), "healed"));
            streamListener.bind(socketB.getLocalSocketAddress());
            try (Socket client = new Socket(relay.peerAddressForA().getAddress(),
                     relay.peerAddressForA().getPort());
                 Socket accepted = streamListener.accept()) {
                assertEquals(relay.peerAddressForB().getAddress(), accepted.getInetAddress());
                client.getOutputStream().write(7);
                assertEquals(7, accepted.getInputStream().read());
                accepted.getOutputStream().write(8);
                assertEquals(8, client.getInputStream().read());
                accepted.shutdownOutput();
                assertEquals(-1, client.getInputStream().read());
            }
        } finally {
            network.close();
        }
    }

    private static String sendAndReceive(DatagramSocket sender, InetSocketAddress destination,
        DatagramSocket receiver, InetSocketAddress expectedSender, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        sender.send(new DatagramPacket(bytes, bytes.length, destination));
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        receiver.receive(packet);
        assertEquals(expectedSender, packet.getSocketAddress());
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }

    /** Connection attempts time out while the address is silent and are refused once it is closed. */
    @Test
    void connectionAttemptsToABlackHoleTimeOut() throws IOException {
        InetSocketAddress address = LoopbackAddresses.freeProxyAddress(2);
        try (BlackHoleListener blackHole = new BlackHoleListener(address); Socket socket = new Socket()) {
            assertThrows(SocketTimeoutException.class, () -> socket.connect(address, SHORT_TIMEOUT_MILLIS),
                blackHole.toString());
        }
        try (Socket socket = new Socket()) {
            assertThrows(ConnectException.class, () -> socket.connect(address, LONG_TIMEOUT_MILLIS));
        }
    }
}
