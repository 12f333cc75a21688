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
 * The network between the proxies themselves: a relay for each two, so that each sees others at its own
 * addresses.
 */
final class PeerNetwork implements AutoCloseable {
    private final InetSocketAddress[] listens;
    private final Relay[][] relays;

    PeerNetwork(int count, long seed, EmulatorNetwork net, Clock clock) throws IOException {
        listens = new InetSocketAddress[count];
        relays = new Relay[count][count];
        for (int i = 0; i < count; i++) {
            listens[i] = LoopbackAddresses.freePeerAddress(i);
        }
        for (int i = 0; i < count; i++) {
            for (int j = i + 1; j < count; j++) {
                relays[i][j] = new Relay("n" + i, listens[i], LoopbackAddresses.relayHost(i), "n" + j, listens[j],
                    LoopbackAddresses.relayHost(j), net.emulatorLoop(), net.links(), clock::nowMicros,
                    (micros, action) -> net.schedule(net.emulatorLoop(), micros, action), seed);
            }
        }
    }

    String listen(int proxy) {
        return LoopbackAddresses.hostAndPort(listens[proxy]);
    }

    /** All proxies in order as this one reaches them; itself where it listens. */
    List<String> seenBy(int proxy) {
        List<String> result = new ArrayList<>();
        for (int i = 0; i < listens.length; i++) {
            result.add(i == proxy ? listen(i) : LoopbackAddresses.hostAndPort(i > proxy ? relays[proxy][i].peerAddressForA()
                : relays[i][proxy].peerAddressForB()));
        }
        return result;
    }

    /** Datagrams and bytes of all pairs, in both directions. */
    long datagrams() {
        return all().stream().mapToLong(Relay::forwardedDatagrams).sum();
    }

    long bytes() {
        return all().stream().mapToLong(Relay::forwardedBytes).sum();
    }

    private List<Relay> all() {
        List<Relay> result = new ArrayList<>();
        for (Relay[] row : relays) {
            for (Relay one : row) {
                if (one != null) {
                    result.add(one);
                }
            }
        }
        return result;
    }

    @Override
    public void close() {
        all().forEach(Relay::close);
    }
}
