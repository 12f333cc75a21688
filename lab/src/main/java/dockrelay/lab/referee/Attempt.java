package dockrelay.lab.referee;

/** One arrival of a request at a node. */
public final class Attempt {
    /** How it stands or ended, as the node knows it. */
    public enum State {
        IN_FLIGHT, REJECTED, SERVED, ERROR, CANCELLED;

        boolean mayHaveRun() {
            return this != REJECTED;
        }
    }

    public final ClientRequest request;
    public final int backend, number;
    public final long arrivedAtMicros;
    /** Its own draw around the request's work. */
    public final double workMicros;
    double spentMicros;
    State state = State.IN_FLIGHT;
    boolean responseDelivered;

    Attempt(ClientRequest request, int backend, int number, long arrivedAtMicros, double workMicros) {
        this.request = request;
        this.backend = backend;
        this.number = number;
        this.arrivedAtMicros = arrivedAtMicros;
        this.workMicros = workMicros;
    }

    /** What this node answers it with: nobody else makes the same bytes. */
    public String expectedBody() {
        return "node " + backend + " served " + request.id + " as number " + number + ", "
            + Long.toHexString(Double.doubleToLongBits(workMicros)) + "\n";
    }
}
