package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Lookup of peers by name, index and address. */
class PeerDirectoryTest {
    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    @Test
    void findsPeersByNameAndByAddress() {
        PeerDirectory peers = new PeerDirectory(IntStream.range(0, 5_700).mapToObj(i -> "n" + i).toList(),
            IntStream.range(0, 5_700).mapToObj(i -> address(10_000 + i)).toList());
        assertEquals(5_700, peers.size());
        for (int i = 0; i < 5_700; i += 57) {
            assertEquals(i, peers.indexOf(address(10_000 + i)));
            assertEquals("n" + i, peers.nameAt(i));
            assertEquals(address(10_000 + i), peers.address("n" + i));
            assertEquals(address(10_000 + i), peers.address(i));
        }
        assertEquals(-1, peers.indexOf(address(9_999)));
        assertNull(peers.nameAt(-1));
        assertNull(peers.address("n5700"));
    }

    /** If two peers share an address, the first one in the configuration is found. */
    @Test
    void sharedAddressBelongsToFirstPeer() {
        PeerDirectory peers = new PeerDirectory(List.of("a", "b"), List.of(address(1), address(1)));
        assertEquals("a", peers.nameAt(peers.indexOf(address(1))));
        assertNull(new PeerDirectory(List.of(), List.of(address(1))).nameAt(0), "peers without names");
    }
}
