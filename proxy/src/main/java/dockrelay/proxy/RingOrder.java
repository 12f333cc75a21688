package dockrelay.proxy;

import dockrelay.Balancer;
import dockrelay.proxy.RequestTable.ListedBackend;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Sorts members, or entries, by where they stand in the order that all proxies have in common, as little at
 * a time as the caller has time for. It goes by the upper bits of their places; what is equal there stays in
 * its order, as does what is said of one name.
 */
final class RingOrder {
    private static final int PARTS = 1 << Byte.SIZE;

    private final List<?> items;
    private final ToLongFunction<String> numbers;
    private final byte[] parts;
    private final int[] ends = new int[PARTS + 1]; // of the parts, by how many there are
    private int at;

    RingOrder(List<?> items, ToLongFunction<String> numbers) {
        this.items = items;
        this.numbers = numbers;
        this.parts = new byte[items.size()];
    }

    /** Looks at some more of them; returns whether that was all. */
    boolean look(int most) {
        for (int end = (int) Math.min(parts.length, at + (long) most); at < end; at++) {
            Object item = items.get(at);
            Object name = item instanceof ListedBackend member ? member.name()
                : item instanceof Map<?, ?> entry ? entry.get("id") : null; // a bad one is told of later
            long position = name instanceof String text
                ? Balancer.ringPosition(numbers.applyAsLong(text)) : 0;
            parts[at] = (byte) (position >>> Long.SIZE - Byte.SIZE);
            ends[(parts[at] & PARTS - 1) + 1]++;
        }
        return at == parts.length;
    }

    /** All of them, once all were looked at. */
    List<Object> sorted() {
        for (int part = 0; part < PARTS; part++) {
            ends[part + 1] += ends[part];
        }
        Object[] sorted = new Object[parts.length];
        for (int i = 0; i < parts.length; i++) {
            sorted[ends[parts[i] & PARTS - 1]++] = items.get(i);
        }
        return Arrays.asList(sorted);
    }
}
