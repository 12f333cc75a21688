package dockrelay.proxy;

import dockrelay.Balancer;
import dockrelay.proxy.RequestTable.ListedBackend;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Sorts members or entries by their position in the ring order that all proxies share, in steps of the
 * caller's choice. Uses only the top bits of the positions; the sort is stable, so updates of the same name
 * keep their order.
 */
final class RingOrder {
    private static final int PARTS = 1 << Byte.SIZE;

    private final List<?> items;
    private final ToLongFunction<String> numbers;
    private final byte[] parts;
    private final int[] ends = new int[PARTS + 1]; // ends of the buckets in the sorted array
    private int at;

    RingOrder(List<?> items, ToLongFunction<String> numbers) {
        this.items = items;
        this.numbers = numbers;
        this.parts = new byte[items.size()];
    }

    /** Processes at most {@code most} further items; returns whether all have been processed. */
    boolean look(int most) {
        for (int end = (int) Math.min(parts.length, at + (long) most); at < end; at++) {
            Object item = items.get(at);
            Object name = item instanceof ListedBackend member ? member.name()
                // a bad entry is reported when it is applied
                : item instanceof Map<?, ?> entry ? entry.get("id") : null;
            long position = name instanceof String text
                ? Balancer.ringPosition(numbers.applyAsLong(text)) : 0;
            parts[at] = (byte) (position >>> Long.SIZE - Byte.SIZE);
            ends[(parts[at] & PARTS - 1) + 1]++;
        }
        return at == parts.length;
    }

    /** Returns all items in sorted order; call it after all items have been processed. */
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
