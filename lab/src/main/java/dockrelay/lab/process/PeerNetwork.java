package dockrelay.lab.process;

import dockrelay.lab.link.Relay;
import dockrelay.lab.world.LoopbackAddresses;
import dockrelay.lab.world.Clock;
import dockrelay.lab.world.EmulatorNetwork;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The emulated network between the proxies: a relay for each pair, so that faults can be injected per link.
 * Each proxy reaches its peers at addresses of its own.
 */
final class PeerNetwork implements AutoCloseable {
    private final InetSocketAddress[] listenAddresses;
    private final Relay[][] relays;

    PeerNetwork(int count, long seed, EmulatorNetwork network, Clock clock) throws IOException {
        listenAddresses = new InetSocketAddress[count];
        relays = new Relay[count][count];
        for (int i = 0; i < count; i++) {
            listenAddresses[i] = LoopbackAddresses.freePeerAddress(i);
        }
        for (int i = 0; i < count; i++) {
            for (int j = i + 1; j < count; j++) {
                relays[i][j] = new Relay("n" + i, listenAddresses[i], LoopbackAddresses.relayHost(i),
                    "n" + j, listenAddresses[j], LoopbackAddresses.relayHost(j), network.emulatorLoop(),
                    network.links(), clock::nowMicros,
                    (micros, action) -> network.schedule(network.emulatorLoop(), micros, action), seed);
            }
        }
    }

    /** The address at which a proxy listens for its peers. */
    String listenAddress(int proxy) {
        return LoopbackAddresses.hostAndPort(listenAddresses[proxy]);
    }

    /** The addresses of all proxies, in order of index, as seen by this one; its own is where it listens. */
    List<String> addressesSeenBy(int proxy) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < listenAddresses.length; i++) {
            addresses.add(i == proxy ? listenAddress(i) : LoopbackAddresses.hostAndPort(
                i > proxy ? relays[proxy][i].peerAddressForA() : relays[i][proxy].peerAddressForB()));
        }
        return addresses;
    }

    /** The number of datagrams of all pairs, in both directions. */
    long datagrams() {
        return allRelays().stream().mapToLong(Relay::forwardedDatagrams).sum();
    }

    /** The number of bytes of all pairs, in both directions. */
    long bytes() {
        return allRelays().stream().mapToLong(Relay::forwardedBytes).sum();
    }

    private List<Relay> allRelays() {
        List<Relay> result = new ArrayList<>();
        for (Relay[] row : relays) {
            for (Relay relay : row) {
                if (relay != null) {
                    result.add(relay);
                }
            }
        }
        return result;
    }

    @Override
    public void close() {
        allRelays().forEach(Relay::close);
    }
}
