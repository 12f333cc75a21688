package dockrelay.lab.referee;

/** One attempt of a proxy: a request that has arrived at a backend of the emulator. */
public final class Attempt {
    /** How the attempt stands or ended, as the backend knows it. */
    public enum State {
        IN_FLIGHT, REJECTED, SERVED, ERROR, CANCELLED;

        /** Whether the backend may have executed the request, so that repeating it may have an effect. */
        boolean mayHaveRun() {
            return this != REJECTED;
        }
    }

    public final ClientRequest request;
    public final int backend, number;
    public final long arrivedAtMicros;
    /** CPU time on a standard core that this attempt takes: the request's work with noise applied. */
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

    /** The response body of this attempt, unique among all attempts, so that its origin can be verified. */
    public String expectedBody() {
        return "node " + backend + " served " + request.id + " as number " + number + ", "
            + Long.toHexString(Double.doubleToLongBits(workMicros)) + "\n";
    }
}
