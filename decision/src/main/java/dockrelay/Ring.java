package dockrelay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/** Backends in an order that is the same on all proxies, in blocks: a change costs one block, not all. */
class Ring {
    private static final int MAX_BLOCK_SIZE = 512;

    /** A backend of the list, with this proxy's state of it, which is null until it is needed. */
    static final class Slot {
        final int insertionNumber; // order of insertion
        final long key; // ring position
        Balancer.Backend entry; // null until the first update
        BackendState state;
        int lastUpdate; // number of the last update that named it
        boolean drainHandled;

        Slot(int insertionNumber, long key) {
            this.insertionNumber = insertionNumber;
            this.key = key;
        }

        double weight() {
            return entry.weight() > 0 ? entry.weight() : 1;
        }

        BackendState state() {
            return state == null ? state = new BackendState(this) : state;
        }
    }

    /** A run of backends with cached sums over them, valid until one of them changes. */
    final class Block {
        final List<Slot> slots = new ArrayList<>();
        double totalWeight, maxWeight;
        private boolean sumsValid;

        Block updatedSums() {
            if (!sumsValid) {
                totalWeight = slots.stream().mapToDouble(Slot::weight).sum();
                maxWeight = slots.stream().mapToDouble(Slot::weight).max().orElse(0);
                sumsValid = true;
                visitedSlots += slots.size();
            }
            return this;
        }
    }

    final List<Block> blocks = new ArrayList<>(List.of(new Block()));
    int size;
    long visitedSlots; // slots visited or moved, for tests

    /** The index of the block that holds the key or would hold it. */
    private int blockIndex(long key) {
        int index = Collections.binarySearch(blocks, null, (candidate, unused) -> candidate.slots.isEmpty()
            ? -1 : Long.compare(candidate.slots.get(0).key, key));
        return index >= 0 ? index : Math.max(0, -2 - index);
    }

    private int slotIndex(Block block, long key) {
        visitedSlots++;
        return Collections.binarySearch(block.slots, null, (slot, unused) -> Long.compare(slot.key, key));
    }

    /** The slot of a backend; adds one with this insertion number if there is none. */
    Slot findOrAdd(long id, int insertionNumber) {
        long key = Balancer.ringPosition(id);
        Block block = blocks.get(blockIndex(key));
        int index = slotIndex(block, key);
        return index >= 0 ? block.slots.get(index) : add(block, -1 - index, new Slot(insertionNumber, key));
    }

    /** Invalidates the cached sums of the backend's block, and returns the block. */
    Block invalidate(Slot slot) {
        Block block = blocks.get(blockIndex(slot.key));
        block.sumsValid = false;
        return block;
    }

    void add(Slot slot) {
        Block block = invalidate(slot);
        add(block, -1 - slotIndex(block, slot.key), slot);
    }

    private Slot add(Block block, int index, Slot slot) {
        block.slots.add(index, slot);
        size++;
        if (block.slots.size() > MAX_BLOCK_SIZE) {
            List<Slot> upperHalf = block.slots.subList(MAX_BLOCK_SIZE / 2, MAX_BLOCK_SIZE + 1);
            Block newBlock = new Block();
            newBlock.slots.addAll(upperHalf);
            upperHalf.clear();
            blocks.add(blocks.indexOf(block) + 1, newBlock);
        }
        return slot;
    }

    boolean remove(Slot slot) {
        Block block = invalidate(slot);
        block.slots.remove(slotIndex(block, slot.key));
        size--;
        return !block.slots.isEmpty() || blocks.size() == 1 || blocks.remove(block);
    }

    Stream<Slot> stream() {
        return blocks.stream().flatMap(block -> block.slots.stream());
    }
}
