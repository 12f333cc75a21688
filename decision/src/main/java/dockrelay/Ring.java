package dockrelay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/** Backends in the order that all proxies have in common. In blocks: a change costs a block, not all. */
class Ring {
    private static final int MOST = 512; // in a block

    /** An entry of the list, and what is known of the backend beside that: null until it matters. */
    static final class Place {
        final int number; // in the order of their coming
        final long key;
        Balancer.Backend entry;
        Node node;
        int listed; // at this event of the list
        boolean drained;

        Place(int number, Balancer.Backend entry) {
            this.number = number;
            this.entry = entry;
            this.key = RiqBalancer.mixed(entry.id());
        }

        double weight() {
            return entry.weight() > 0 ? entry.weight() : 1;
        }

        Node node() {
            return node == null ? node = new Node(this) : node;
        }
    }

    /** A run of them, with what they come to: it holds until one of them changes. */
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
    long steps; // places looked at or moved: for tests

    private int compare(Place place, long key) {
        steps++;
        return Long.compare(place.key, key);
    }

    /** The number of the block where it is, or would be. */
    private int block(long key) {
        int at = Collections.binarySearch(blocks, null, (block, none) -> block.places.isEmpty() ? -1
            : compare(block.places.get(0), key));
        return at >= 0 ? at : Math.max(0, -2 - at);
    }

    private int index(Block block, long key) {
        return Collections.binarySearch(block.places, null, (place, none) -> compare(place, key));
    }

    /** Null where there is none. */
    Place get(long id) {
        Block block = blocks.get(block(RiqBalancer.mixed(id)));
        int index = index(block, RiqBalancer.mixed(id));
        return index < 0 ? null : block.places.get(index);
    }

    /** Something else is to be said of its block now. */
    Block changed(Place place) {
        Block block = blocks.get(block(place.key));
        block.summed = false;
        return block;
    }

    void add(Place place) {
        Block block = changed(place);
        block.places.add(-1 - index(block, place.key), place);
        size++;
        if (block.places.size() > MOST) {
            List<Place> half = block.places.subList(MOST / 2, MOST + 1);
            Block upper = new Block();
            upper.places.addAll(half);
            half.clear();
            blocks.add(blocks.indexOf(block) + 1, upper);
        }
    }

    /** Removes one that is there. */
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
