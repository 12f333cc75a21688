package dockrelay.fleet.group;

/** One member of the own group as a source: its table as it told it last, in the order of its groups. */
final class Source {
    final String name;
    int epoch, list, times; // how often it was asked
    boolean part; // up to its version only what it has asked for itself was told
    long version, askedAt = Long.MIN_VALUE / 2;
    Summary[] rows = {};
    boolean[] out = {}; // whom most hear nothing of

    Source(String name) {
        this.name = name;
    }

    /** Another table than before: nothing that was told holds. */
    void anew(int itsEpoch, int itsList, int groups) {
        epoch = itsEpoch;
        list = itsList;
        version = 0;
        part = false;
        rows = new Summary[groups];
        out = new boolean[groups];
    }
}
