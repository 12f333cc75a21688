package dockrelay.proxy;

/**
 * How soon a watch on the list that has fallen silent is asked for anew. What discovery had to tell counts as
 * told 6 s after the silence began, whether it arrived or not: all that can lie between has to fit into that.
 * Times are in milliseconds; docs/standing.md has the sum in words.
 */
final class ListClock {
    /** What a silent watch missed counts as told so long after it fell silent (the standing test's page). */
    static final int TOLD = 6_000;
    /** As long as nothing changes an empty line comes this often (the protocol's page). */
    static final int HEARTBEAT = 2_000;
    /** The line may be late, and so may this process be, by so much. */
    static final int LATENESS = 500;
    /** Without a byte for so long a watch is broken; a half-dead host and half an object are as silent. */
    static final int SILENT = HEARTBEAT + LATENESS;
    /** A connection may come up so late. */
    static final int LATE_CONNECTION = 1_000;
    /** One that has not come up by then never will. */
    static final int CONNECT = LATE_CONNECTION + 200;
    /** A try that has said nothing by then gets another one beside it; the first that speaks is the watch. */
    static final int BESIDE = 1_500;
    /** A try that failed is followed by the next one within this, by chance. */
    static final int AGAIN = 100;
    /** So many tries follow a silence or a move before the failure is told. */
    static final int TRIES = 2;

    private ListClock() {
    }

    /** From the last byte to the moment at which the last try's connection is up, all going wrong once. */
    static int asked() {
        return SILENT + (TRIES - 1) * (BESIDE + AGAIN) + LATE_CONNECTION;
    }

    /** What is left of it for the call itself. */
    static int call() {
        return TOLD - asked();
    }
}
