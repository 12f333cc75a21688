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
class MembersTest {
    @TempDir
    Path folder;
    private final List<MembershipService> all = new ArrayList<>();

    @AfterEach
    void end() {
        all.forEach(MembershipService::close);
    }

    private static List<Integer> ports(int count) throws Exception {
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
    private static Config config(int name, int port, List<Integer> ports) throws Exception {
        return config(name, port, ports, "");
    }

    private static Config config(int name, int port, List<Integer> ports, String zones) throws Exception {
        StringBuilder peers = new StringBuilder();
        for (int i = 0; i < ports.size(); i++) {
            peers.append(i == 0 ? "" : ",").append("\"n" + i + "\":\"127.0.0.1:" + ports.get(i) + "\"");
        }
        return Config.parse("{\"name\":\"n" + name + "\",\"listen\":\"127.0.0.1:0\","
            + "\"discovery\":\"127.0.0.1:1\","
            + "\"seed\":\"" + name + "\",\"peer_listen\":\"127.0.0.1:" + port + "\",\"peers\":{" + peers
                + "},"
            + (zones.isEmpty() ? "" : "\"peer_groups\":{\"zones\":{" + zones + "}},")
            + "\"settings\":{\"Balancers\":" + ports.size() + ",\"Permissions\":{\"Peers\":true},"
            + "\"Services\":[{\"Name\":\"look\",\"Aim\":1.0,\"HardLimit\":5.0}]}}");
    }

    private MembershipService member(Config config, Path kept, AtomicReference<FleetView> fleet) {
        MembershipService member = new MembershipService(config, kept, null, fleet::set);
        all.add(member);
        member.join();
        return member;
    }

    private static String says(MembershipService member) {
        return member.describe().join();
    }

    private static void awaitSaying(MembershipService member, String... words) {
        Fakes.await(String.join(" ", words), () -> {
            String said = says(member);
            for (String word : words) {
                if (!said.contains(word)) {
                    return false;
                }
            }
            return true;
        });
    }

    /** All members agree, and still do after a flood of datagrams from an unknown sender. */
    @Test
    void membersSeeEachOtherThroughAFlood() throws Exception {
        List<Integer> ports = ports(3);
        List<AtomicReference<FleetView>> fleets = List.of(new AtomicReference<>(), new AtomicReference<>(),
            new AtomicReference<>());
        for (int i = 0; i < 3; i++) {
            member(config(i, ports.get(i), ports), folder.resolve("n" + i), fleets.get(i));
        }
        for (MembershipService member : all) {
            awaitSaying(member, "200 present=3 of=3 agreement=all");
        }
        Fakes.await("n1 publishes agreement", () -> fleets.get(1).get() != null
            && fleets.get(1).get().agreement() == Agreement.ALL);
        assertEquals(3, fleets.get(1).get().proxies());
        assertEquals(1, fleets.get(1).get().me());
        Random random = new Random(1);
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 30_000; i++) {
                byte[] bytes = new byte[1 + random.nextInt(1000)];
                random.nextBytes(bytes);
                bytes[0] = (byte) 0xd5;
                stranger.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(),
                    ports.get(i % 3)));
            }
        }
        for (MembershipService member : all) {
            awaitSaying(member, "200 present=3 of=3 agreement=all", "clashes=0");
        }
    }

    /**
     * A member of another group is looked up by name, and the fleet view carries the age of its counts.
     */
    @Test
    void groupsSeeEachOther() throws Exception {
        List<Integer> ports = ports(5);
        String zones = "\"a\":[\"n0\",\"n1\"],\"b\":[\"n2\",\"n3\"],\"c\":[\"n4\"]";
        List<AtomicReference<FleetView>> fleets = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            fleets.add(new AtomicReference<>());
            member(config(i, ports.get(i), ports, zones), folder.resolve("n" + i), fleets.get(i));
        }
        for (MembershipService member : all) {
            awaitSaying(member, "200 present=5 of=5 agreement=all", " counted=5 ", " groups=3 ");
        }
        Fakes.await("all members publish agreement", () -> fleets.stream().allMatch(fleet ->
            fleet.get().proxies() == 5 && fleet.get().agreement() == Agreement.ALL
            && fleet.get().countsAge() > 0));
        assertEquals(List.of(0, 1, 2, 3, 4), fleets.stream().map(fleet -> fleet.get().me()).toList());
        assertTrue(fleets.stream().mapToDouble(fleet -> fleet.get().share()).sum() < 1 + 1e-9);
        MembershipService n0 = all.get(0);
        assertTrue(says(n0).contains("\nn1 present") && !says(n0).contains("\nn2 "), says(n0));
        String groups = n0.describeGroups().join();
        assertTrue(groups.startsWith("200 groups=3 fresh=3\na/1 fresh of=2 present=2 left=0 gone=0 "
            + "counted=2 ") && groups.contains("\nc/1 fresh of=1 "), groups);
        Fakes.await("n0 has looked up n4", () ->
            n0.describe("n4").join().startsWith("200 group=c/1\nn4 present "));
        assertEquals("400 n5 is no name of peers here", n0.describe("n5").join());
        all.get(3).leave();
        awaitSaying(n0, "200 present=4 of=5", " counted=4 ");
    }

    /**
     * Balancer messages are dropped while there are two groups and sent once there is one group again.
     */
    @Test
    void theModulesMessagesAreForFleetsOfOneGroup() throws Exception {
        List<Integer> ports = ports(2);
        try (DatagramSocket n1 = new DatagramSocket(ports.get(1), InetAddress.getLoopbackAddress())) {
            n1.setSoTimeout(20_000);
            MembershipService n0 = member(config(0, ports.get(0), ports, "\"a\":[\"n0\"],\"b\":[\"n1\"]"), null,
                new AtomicReference<>());
            awaitSaying(n0, " groups=2 ");
            n0.transport().broadcast("11 11");
            n0.configure(config(0, ports.get(0), ports));
            awaitSaying(n0, " groups=1 ");
            n0.transport().broadcast("22 22");
            DatagramPacket first = new DatagramPacket(new byte[2_000], 2_000);
            do {
                n1.receive(first);
            } while (first.getData()[0] < 0); // membership datagrams
            assertEquals("22 22", new String(first.getData(), 0, first.getLength(),
                StandardCharsets.US_ASCII));
        }
    }

    /**
     * Both processes that use one name report the conflict, and the one at the configured address stays
     * a member.
     */
    @Test
    void twoOfOneNameAreToldSo() throws Exception {
        List<Integer> ports = ports(3);
        MembershipService n0 = member(config(0, ports.get(0), ports), folder.resolve("a"), new AtomicReference<>());
        MembershipService n1 = member(config(1, ports.get(1), ports), folder.resolve("b"), new AtomicReference<>());
        awaitSaying(n0, "present=2 of=3");
        List<Integer> swapped = List.of(ports.get(0), ports.get(2), ports.get(1));
        MembershipService wrong = member(config(1, ports.get(2), swapped), folder.resolve("c"),
            new AtomicReference<>());
        Fakes.await("both report the conflict", () -> !says(n0).contains("clashes=0")
            && says(wrong).contains("200 ") && !says(wrong).contains("clashes=0"));
        awaitSaying(n0, "n1 present");
        assertTrue(says(n1).contains("n0 present"), says(n1));
    }

    /**
     * Peers can be added at run time, the incarnation survives a restart, and an invalid list is
     * rejected.
     */
    @Test
    void aListMayChangeAndTheIncarnationIsKept() throws Exception {
        List<Integer> ports = ports(3);
        List<Integer> two = ports.subList(0, 2);
        MembershipService n0 = member(config(0, ports.get(0), two), folder.resolve("n0"), new AtomicReference<>());
        MembershipService n1 = member(config(1, ports.get(1), two), folder.resolve("n1"), new AtomicReference<>());
        awaitSaying(n0, "present=2 of=2 agreement=all");
        n0.configure(config(0, ports.get(0), ports));
        awaitSaying(n0, "present=2 of=3", "other-list");
        n1.configure(config(1, ports.get(1), ports));
        MembershipService n2 = member(config(2, ports.get(2), ports), folder.resolve("n2"), new AtomicReference<>());
        awaitSaying(n0, "present=3 of=3 agreement=all");
        long kept = Long.parseLong(Files.readString(folder.resolve("n2/incarnation")).trim());
        n2.handOver().join();
        MembershipService again = member(config(2, ports.get(2), ports), folder.resolve("n2"), new AtomicReference<>());
        awaitSaying(again, "present=3 of=3 agreement=all");
        assertTrue(Long.parseLong(Files.readString(folder.resolve("n2/incarnation")).trim()) > kept);
        awaitSaying(n0, "n2 present", "present=3 of=3 agreement=all");
        String missing = assertThrows(IllegalArgumentException.class, () -> config(7, ports.get(0), two))
            .getMessage();
        assertEquals("peers: its own name n7 is not among them: [n0, n1]", missing);
    }
}
