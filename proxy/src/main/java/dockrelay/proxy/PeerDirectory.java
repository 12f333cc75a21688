package dockrelay.proxy;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The peers of a configuration, in its order: addresses, and names where it gives them, found both ways. */
final class PeerDirectory {
    private final List<String> names;
    private final List<InetSocketAddress> addresses;
    private final Map<String, Integer> byName = new HashMap<>();
    private final Map<InetSocketAddress, Integer> byAddress = new HashMap<>();

    /** There are as many names as addresses, or none. */
    PeerDirectory(List<String> names, List<InetSocketAddress> addresses) {
        this.names = List.copyOf(names);
        this.addresses = List.copyOf(addresses);
        for (int i = 0; i < this.names.size(); i++) {
            byName.put(this.names.get(i), i);
        }
        for (int i = 0; i < this.addresses.size(); i++) {
            byAddress.putIfAbsent(this.addresses.get(i), i);
        }
    }

    int size() {
        return addresses.size();
    }

    /** Empty where nobody is named. */
    List<String> names() {
        return names;
    }

    /** Whose address this is, by its place; below 0 where it is nobody's. */
    int at(InetSocketAddress address) {
        return byAddress.getOrDefault(address, -1);
    }

    /** Null where nobody has the place, or nobody is named. */
    String name(int place) {
        return place < 0 || place >= names.size() ? null : names.get(place);
    }

    InetSocketAddress address(int place) {
        return addresses.get(place);
    }

    /** Null where nobody has the name. */
    InetSocketAddress address(String name) {
        Integer place = byName.get(name);
        return place == null ? null : addresses.get(place);
    }

    boolean names(String name) {
        return byName.containsKey(name);
    }
}
