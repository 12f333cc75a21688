package dockrelay.lab.referee;

/** One arrival of a request at a node. */
public final class Attempt {
    /** How it stands or ended, as the node knows it. */
    public enum State {
        HELD, TURNED_AWAY, SERVED, ERROR, STOPPED;

        boolean mayHaveRun() {
            return this != TURNED_AWAY;
        }
    }

    public final Try of;
    public final int node, number;
    public final long at;
    /** Its own draw around the request's work. */
    public final double work;
    double spent;
    State state = State.HELD;
    boolean won;

    Attempt(Try of, int node, int number, long at, double work) {
        this.of = of;
        this.node = node;
        this.number = number;
        this.at = at;
        this.work = work;
    }

    /** What this node answers it with: nobody else makes the same bytes. */
    public String body() {
        return "node " + node + " served " + of.id + " as number " + number + ", "
            + Long.toHexString(Double.doubleToLongBits(work)) + "\n";
    }
}
