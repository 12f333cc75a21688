package dockrelay.lab.referee;

/** One arrival of a request at a node. */
public final class Attempt {
    /** How it stands or ended, as the node knows it. */
    public enum State {
        HELD, REJECTED, SERVED, ERROR, CANCELLED;

        boolean mayHaveRun() {
            return this != REJECTED;
        }
    }

    public final ClientRequest request;
    public final int node, number;
    public final long arrivedAtMicros;
    /** Its own draw around the request's work. */
    public final double workMicros;
    double spent;
    State state = State.HELD;
    boolean won;

    Attempt(ClientRequest of, int node, int number, long at, double work) {
        this.request = of;
        this.node = node;
        this.number = number;
        this.arrivedAtMicros = at;
        this.workMicros = work;
    }

    /** What this node answers it with: nobody else makes the same bytes. */
    public String expectedBody() {
        return "node " + node + " served " + request.id + " as number " + number + ", "
            + Long.toHexString(Double.doubleToLongBits(workMicros)) + "\n";
    }
}
