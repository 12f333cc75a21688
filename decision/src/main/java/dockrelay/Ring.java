package dockrelay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/** Backends in an order that is the same on all proxies, in blocks: a change costs one block, not all. */
class Ring {
    private static final int MOST = 512;

    /** A backend of the list, with this proxy's state of it, which is null until it is needed. */
    static final class Place {
        final int number; // order of insertion
        final long key; // ring position
        Balancer.Backend entry; // null until the first update
        Node node;
        int listed; // number of the last update that named it
        boolean drained;

        Place(int number, long key) {
            this.number = number;
            this.key = key;
        }

        double weight() {
            return entry.weight() > 0 ? entry.weight() : 1;
        }

        Node node() {
            return node == null ? node = new Node(this) : node;
        }
    }

    /** A run of backends with cached sums over them, valid until one of them changes. */
    final class Block {
        final List<Place> places = new ArrayList<>();
        double sum, most; // of the weights
        private boolean summed;

        Block summed() {
            if (!summed) {
                sum = places.stream().mapToDouble(Place::weight).sum();
                most = places.stream().mapToDouble(Place::weight).max().orElse(0);
                summed = true;
                steps += places.size();
            }
            return this;
        }
    }

    final List<Block> blocks = new ArrayList<>(List.of(new Block()));
    int size;
    long steps; // slots visited or moved, for tests

    /** The index of the block that holds the key or would hold it. */
    private int block(long key) {
        int at = Collections.binarySearch(blocks, null, (block, none) -> block.places.isEmpty() ? -1
            : Long.compare(block.places.get(0).key, key));
        return at >= 0 ? at : Math.max(0, -2 - at);
    }

    private int index(Block block, long key) {
        steps++;
        return Collections.binarySearch(block.places, null, (place, none) -> Long.compare(place.key, key));
    }

    /** The slot of a backend; adds one with this insertion number if there is none. */
    Place place(long id, int number) {
        long key = Balancer.ringPosition(id);
        Block block = blocks.get(block(key));
        int index = index(block, key);
        return index >= 0 ? block.places.get(index) : add(block, -1 - index, new Place(number, key));
    }

    /** Invalidates the cached sums of the backend's block, and returns the block. */
    Block changed(Place place) {
        Block block = blocks.get(block(place.key));
        block.summed = false;
        return block;
    }

    void add(Place place) {
        Block block = changed(place);
        add(block, -1 - index(block, place.key), place);
    }

    private Place add(Block block, int index, Place place) {
        block.places.add(index, place);
        size++;
        if (block.places.size() > MOST) {
            List<Place> half = block.places.subList(MOST / 2, MOST + 1);
            Block upper = new Block();
            upper.places.addAll(half);
            half.clear();
            blocks.add(blocks.indexOf(block) + 1, upper);
        }
        return place;
    }

    boolean remove(Place place) {
        Block block = changed(place);
        block.places.remove(index(block, place.key));
        size--;
        return !block.places.isEmpty() || blocks.size() == 1 || blocks.remove(block);
    }

    Stream<Place> stream() {
        return blocks.stream().flatMap(block -> block.places.stream());
    }
}
