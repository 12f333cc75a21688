package dockrelay.fleet.group;

/** A copy of the table of another member of the own group, in the order of that member's list. */
final class Source {
    final String name;
    int epoch, list, times; // times: how often it was queried
    boolean part; // up to the version, only rows that the other member queried itself were received
    long version, askedAt = Long.MIN_VALUE / 2;
    Summary[] rows = {};
    boolean[] out = {}; // groups that are unreachable to a majority of the fleet

    Source(String name) {
        this.name = name;
    }

    /** Resets the copy: the other member restarted or has a new table, so earlier rows are void. */
    void anew(int itsEpoch, int itsList, int groups) {
        epoch = itsEpoch;
        list = itsList;
        version = 0;
        part = false;
        rows = new Summary[groups];
        out = new boolean[groups];
    }
}
