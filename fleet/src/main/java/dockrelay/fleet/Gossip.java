package dockrelay.fleet;

import dockrelay.fleet.Datagram.Entry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** State updates to be piggybacked on outgoing datagrams, each a bounded number of times. */
final class Gossip {
    private static final int TIMES = 3;

    private static final class Item {
        final Entry entry;
        int sent;

        Item(Entry entry) {
            this.entry = entry;
        }
    }

    private final List<Item> items = new ArrayList<>();

    /**
     * Queues an update. It replaces older updates of the same member, except that suspicions of the same
     * incarnation by different accusers are kept side by side.
     */
    void add(Entry entry) {
        items.removeIf(item -> item.entry.id() == entry.id() && !(entry.state() == MemberState.SUSPECT
            && item.entry.state() == MemberState.SUSPECT && item.entry.incarnation() == entry.incarnation()
            && item.entry.by() != entry.by()));
        items.add(new Item(entry));
    }

    void forget(int id) {
        items.removeIf(item -> item.entry.id() == id);
    }

    /**
     * Returns the least often sent updates for one datagram. An update is dropped after a number of
     * transmissions that grows with the logarithm of the number of members.
     */
    List<Entry> next(int most, int members) {
        if (items.isEmpty()) {
            return List.of();
        }
        int times = TIMES * (32 - Integer.numberOfLeadingZeros(members));
        items.sort(Comparator.comparingInt(item -> item.sent));
        List<Entry> result = new ArrayList<>();
        for (Item item : items.subList(0, Math.min(most, items.size()))) {
            item.sent++;
            result.add(item.entry);
        }
        items.removeIf(item -> item.sent >= times);
        return result;
    }
}
