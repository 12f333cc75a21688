package dockrelay.proxy;

import dockrelay.Balancer;
import dockrelay.proxy.RequestTable.ListedBackend;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Sorts backends or entries by their position in the ring order that all proxies share, in steps of the
 * caller's choice. Uses only the top bits of the positions; the sort is stable, so updates of the same name
 * keep their order.
 */
final class RingPositionSorter {
    private static final int BUCKETS = 1 << Byte.SIZE;

    private final List<?> items;
    private final ToLongFunction<String> nameHash;
    private final byte[] itemBuckets;
    private final int[] bucketEnds = new int[BUCKETS + 1]; // ends of the buckets in the sorted array
    private int processedItems;

    RingPositionSorter(List<?> items, ToLongFunction<String> nameHash) {
        this.items = items;
        this.nameHash = nameHash;
        this.itemBuckets = new byte[items.size()];
    }

    /** Processes at most {@code maxItems} further items; returns whether all have been processed. */
    boolean classifyNext(int maxItems) {
        for (int end = (int) Math.min(itemBuckets.length, processedItems + (long) maxItems);
            processedItems < end; processedItems++) {
            Object item = items.get(processedItems);
            // An entry without a name is reported when it is applied.
            Object name = item instanceof ListedBackend listedBackend ? listedBackend.name()
                : item instanceof Map<?, ?> entry ? entry.get("id") : null;
            long position = name instanceof String text
                ? Balancer.ringPosition(nameHash.applyAsLong(text)) : 0;
            itemBuckets[processedItems] = (byte) (position >>> Long.SIZE - Byte.SIZE);
            bucketEnds[(itemBuckets[processedItems] & BUCKETS - 1) + 1]++;
        }
        return processedItems == itemBuckets.length;
    }

    /** Returns all items in sorted order; call it after all items have been processed. */
    List<Object> sorted() {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            bucketEnds[bucket + 1] += bucketEnds[bucket];
        }
        Object[] sorted = new Object[itemBuckets.length];
        for (int i = 0; i < itemBuckets.length; i++) {
            sorted[bucketEnds[itemBuckets[i] & BUCKETS - 1]++] = items.get(i);
        }
        return Arrays.asList(sorted);
    }
}
