package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.Balancer.Agreement;
import dockrelay.Balancer.FleetView;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Several members in one process that communicate over loopback sockets. */
class MembershipServiceTest {
    @TempDir
    Path folder;
    private final List<MembershipService> members = new ArrayList<>();

    @AfterEach
    void closeMembers() {
        members.forEach(MembershipService::close);
    }

    private static List<Integer> freePorts(int count) throws Exception {
        List<DatagramSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
            ports.add(sockets.get(i).getLocalPort());
        }
        sockets.forEach(DatagramSocket::close);
        return ports;
    }

    /** The configuration of the member n0, n1, ...; the peers listen on these ports. */
    private static Config config(int ownNumber, int port, List<Integer> ports) throws Exception {
        return config(ownNumber, port, ports, "");
    }

    private static Config config(int ownNumber, int port, List<Integer> ports, String zones)
        throws Exception {
        StringBuilder peers = new StringBuilder();
        for (int i = 0; i < ports.size(); i++) {
            peers.append(i == 0 ? "" : ",").append("\"n" + i + "\":\"127.0.0.1:" + ports.get(i) + "\"");
        }
        return Config.parse("{\"name\":\"n" + ownNumber + "\",\"listen\":\"127.0.0.1:0\","
            + "\"discovery\":\"127.0.0.1:1\","
            + "\"seed\":\"" + ownNumber + "\",\"peer_listen\":\"127.0.0.1:" + port + "\",\"peers\":{" + peers
            + "},"
            + (zones.isEmpty() ? "" : "\"peer_groups\":{\"zones\":{" + zones + "}},")
            + "\"settings\":{\"Balancers\":" + ports.size() + ",\"Permissions\":{\"Peers\":true},"
            + "\"Services\":[{\"Name\":\"look\",\"Aim\":1.0,\"HardLimit\":5.0}]}}");
    }

    private MembershipService startMember(Config config, Path stateFolder, AtomicReference<FleetView> fleet) {
        MembershipService member = new MembershipService(config, stateFolder, null, fleet::set);
        members.add(member);
        member.join();
        return member;
    }

    private static String consoleAnswer(MembershipService member) {
        return member.describe().join();
    }

    private static void awaitAnswer(MembershipService member, String... expectedParts) {
        Fakes.await(String.join(" ", expectedParts), () -> {
            String answer = consoleAnswer(member);
            for (String expectedPart : expectedParts) {
                if (!answer.contains(expectedPart)) {
                    return false;
                }
            }
            return true;
        });
    }

    /** All members agree, and still do after a flood of datagrams from an unknown sender. */
    @Test
    void membersStayPresentDuringFloodOfForgedDatagrams() throws Exception {
        List<Integer> ports = freePorts(3);
        List<AtomicReference<FleetView>> fleets = List.of(new AtomicReference<>(), new AtomicReference<>(),
            new AtomicReference<>());
        for (int i = 0; i < 3; i++) {
            startMember(config(i, ports.get(i), ports), folder.resolve("n" + i), fleets.get(i));
        }
        for (MembershipService member : members) {
            awaitAnswer(member, "200 present=3 of=3 agreement=all");
        }
        Fakes.await("n1 publishes agreement", () -> fleets.get(1).get() != null
            && fleets.get(1).get().agreement() == Agreement.ALL);
        assertEquals(3, fleets.get(1).get().proxies());
        assertEquals(1, fleets.get(1).get().me());
        Random random = new Random(1);
        try (DatagramSocket unknownSender = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 30_000; i++) {
                byte[] bytes = new byte[1 + random.nextInt(1000)];
                random.nextBytes(bytes);
                bytes[0] = (byte) 0xd5;
                unknownSender.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(),
                    ports.get(i % 3)));
            }
        }
        for (MembershipService member : members) {
            awaitAnswer(member, "200 present=3 of=3 agreement=all", "clashes=0");
        }
    }

    /**
     * A member of another group is looked up by name, and the fleet view carries the age of its counts.
     */
    @Test
    void membersKnowTheCountsOfOtherGroups() throws Exception {
        List<Integer> ports = freePorts(5);
        String zones = "\"a\":[\"n0\",\"n1\"],\"b\":[\"n2\",\"n3\"],\"c\":[\"n4\"]";
        List<AtomicReference<FleetView>> fleets = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            fleets.add(new AtomicReference<>());
            startMember(config(i, ports.get(i), ports, zones), folder.resolve("n" + i), fleets.get(i));
        }
        for (MembershipService member : members) {
            awaitAnswer(member, "200 present=5 of=5 agreement=all", " counted=5 ", " groups=3 ");
        }
        Fakes.await("all members publish agreement", () -> fleets.stream().allMatch(fleet ->
            fleet.get().proxies() == 5 && fleet.get().agreement() == Agreement.ALL
            && fleet.get().countsAge() > 0));
        assertEquals(List.of(0, 1, 2, 3, 4), fleets.stream().map(fleet -> fleet.get().me()).toList());
        assertTrue(fleets.stream().mapToDouble(fleet -> fleet.get().share()).sum() < 1 + 1e-9);
        MembershipService n0 = members.get(0);
        assertTrue(consoleAnswer(n0).contains("\nn1 present") && !consoleAnswer(n0).contains("\nn2 "),
            consoleAnswer(n0));
        String groups = n0.describeGroups().join();
        assertTrue(groups.startsWith("200 groups=3 fresh=3\na/1 fresh of=2 present=2 left=0 gone=0 "
            + "counted=2 ") && groups.contains("\nc/1 fresh of=1 "), groups);
        Fakes.await("n0 has looked up n4", () ->
            n0.describe("n4").join().startsWith("200 group=c/1\nn4 present "));
        assertEquals("400 n5 is no name of peers here", n0.describe("n5").join());
        members.get(3).leave();
        awaitAnswer(n0, "200 present=4 of=5", " counted=4 ");
    }

    /**
     * Balancer messages are dropped while there are two groups and sent once there is one group again.
     */
    @Test
    void sendsBalancerMessagesInSingleGroupFleetsOnly() throws Exception {
        List<Integer> ports = freePorts(2);
        try (DatagramSocket n1 = new DatagramSocket(ports.get(1), InetAddress.getLoopbackAddress())) {
            n1.setSoTimeout(20_000);
            MembershipService n0 = startMember(config(0, ports.get(0), ports,
                "\"a\":[\"n0\"],\"b\":[\"n1\"]"), null, new AtomicReference<>());
            awaitAnswer(n0, " groups=2 ");
            n0.transport().broadcast("11 11");
            n0.configure(config(0, ports.get(0), ports));
            awaitAnswer(n0, " groups=1 ");
            n0.transport().broadcast("22 22");
            DatagramPacket received = new DatagramPacket(new byte[2_000], 2_000);
            do {
                n1.receive(received);
            } while (received.getData()[0] < 0); // membership datagrams
            assertEquals("22 22", new String(received.getData(), 0, received.getLength(),
                StandardCharsets.US_ASCII));
        }
    }

    /**
     * Both processes that use one name report the conflict, and the one at the configured address stays
     * a member.
     */
    @Test
    void reportsNameConflict() throws Exception {
        List<Integer> ports = freePorts(3);
        MembershipService n0 = startMember(config(0, ports.get(0), ports), folder.resolve("a"),
            new AtomicReference<>());
        MembershipService n1 = startMember(config(1, ports.get(1), ports), folder.resolve("b"),
            new AtomicReference<>());
        awaitAnswer(n0, "present=2 of=3");
        List<Integer> swappedPorts = List.of(ports.get(0), ports.get(2), ports.get(1));
        MembershipService duplicate = startMember(config(1, ports.get(2), swappedPorts), folder.resolve("c"),
            new AtomicReference<>());
        Fakes.await("both report the conflict", () -> !consoleAnswer(n0).contains("clashes=0")
            && consoleAnswer(duplicate).contains("200 ") && !consoleAnswer(duplicate).contains("clashes=0"));
        awaitAnswer(n0, "n1 present");
        assertTrue(consoleAnswer(n1).contains("n0 present"), consoleAnswer(n1));
    }

    /**
     * Peers can be added at run time, the incarnation survives a restart, and an invalid list is
     * rejected.
     */
    @Test
    void appliesNewPeersAndKeepsIncarnation() throws Exception {
        List<Integer> ports = freePorts(3);
        List<Integer> twoPorts = ports.subList(0, 2);
        MembershipService n0 = startMember(config(0, ports.get(0), twoPorts), folder.resolve("n0"),
            new AtomicReference<>());
        MembershipService n1 = startMember(config(1, ports.get(1), twoPorts), folder.resolve("n1"),
            new AtomicReference<>());
        awaitAnswer(n0, "present=2 of=2 agreement=all");
        n0.configure(config(0, ports.get(0), ports));
        awaitAnswer(n0, "present=2 of=3", "other-list");
        n1.configure(config(1, ports.get(1), ports));
        MembershipService n2 = startMember(config(2, ports.get(2), ports), folder.resolve("n2"),
            new AtomicReference<>());
        awaitAnswer(n0, "present=3 of=3 agreement=all");
        long storedIncarnation = Long.parseLong(Files.readString(folder.resolve("n2/incarnation")).trim());
        n2.handOver().join();
        MembershipService restarted = startMember(config(2, ports.get(2), ports), folder.resolve("n2"),
            new AtomicReference<>());
        awaitAnswer(restarted, "present=3 of=3 agreement=all");
        assertTrue(Long.parseLong(Files.readString(folder.resolve("n2/incarnation")).trim())
            > storedIncarnation);
        awaitAnswer(n0, "n2 present", "present=3 of=3 agreement=all");
        String error = assertThrows(IllegalArgumentException.class, () -> config(7, ports.get(0), twoPorts))
            .getMessage();
        assertEquals("peers: its own name n7 is not among them: [n0, n1]", error);
    }
}
