package dockrelay.fleet.group;

/** A copy of the table of another member of the own group, in the order of that member's list. */
final class RemoteTable {
    final String name;
    int epoch, listHash, queryCount;
    boolean partial; // up to the version, only rows that the other member queried itself were received
    long version, queriedAt = Long.MIN_VALUE / 2;
    GroupSummary[] rows = {};
    boolean[] excluded = {}; // groups that are unreachable to a majority of the fleet

    RemoteTable(String name) {
        this.name = name;
    }

    /** Resets the copy: the other member restarted or has a new table, so earlier rows are void. */
    void reset(int newEpoch, int newListHash, int groupCount) {
        epoch = newEpoch;
        listHash = newListHash;
        version = 0;
        partial = false;
        rows = new GroupSummary[groupCount];
        excluded = new boolean[groupCount];
    }
}
