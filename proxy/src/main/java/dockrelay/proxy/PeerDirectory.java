package dockrelay.proxy;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The configured peers in their order: addresses and, if configured, names, with lookup in both
 * directions.
 */
final class PeerDirectory {
    private final List<String> names;
    private final List<InetSocketAddress> addresses;
    private final Map<String, Integer> indexByName = new HashMap<>();
    private final Map<InetSocketAddress, Integer> indexByAddress = new HashMap<>();

    /** Takes as many names as addresses, or no names. */
    PeerDirectory(List<String> names, List<InetSocketAddress> addresses) {
        this.names = List.copyOf(names);
        this.addresses = List.copyOf(addresses);
        for (int i = 0; i < this.names.size(); i++) {
            indexByName.put(this.names.get(i), i);
        }
        for (int i = 0; i < this.addresses.size(); i++) {
            indexByAddress.putIfAbsent(this.addresses.get(i), i);
        }
    }

    int size() {
        return addresses.size();
    }

    /** The names; empty if the configuration lists addresses only. */
    List<String> names() {
        return names;
    }

    /** The index of the peer at this address, the first one if several share it; -1 if there is none. */
    int indexOf(InetSocketAddress address) {
        return indexByAddress.getOrDefault(address, -1);
    }

    /** The name at this index; null if the index is out of range or the peers have no names. */
    String nameAt(int index) {
        return index < 0 || index >= names.size() ? null : names.get(index);
    }

    InetSocketAddress address(int index) {
        return addresses.get(index);
    }

    /** The address of the peer of this name; null if there is none. */
    InetSocketAddress address(String name) {
        Integer index = indexByName.get(name);
        return index == null ? null : addresses.get(index);
    }

    boolean contains(String name) {
        return indexByName.containsKey(name);
    }
}
