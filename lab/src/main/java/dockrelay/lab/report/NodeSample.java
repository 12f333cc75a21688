package dockrelay.lab.report;

/**
 * A sample of the nodes, taken at a time in seconds since the clients started: mean, maximum and minimum of
 * the requests held by nodes that are up, and how many nodes are down or overloaded.
 */
public record NodeSample(double seconds, double meanHeld, int maxHeld, int minHeld, long nodesDown,
    long nodesOverloaded) {
    /**
     * Computes a sample from the requests held by each node; a negative value marks a node that is down.
     */
    public static NodeSample of(double seconds, int[] heldByNode, long nodesOverloaded) {
        int nodesUp = 0, sum = 0, max = 0, min = Integer.MAX_VALUE;
        for (int held : heldByNode) {
            if (held >= 0) {
                nodesUp++;
                sum += held;
                max = Math.max(max, held);
                min = Math.min(min, held);
            }
        }
        return new NodeSample(seconds, nodesUp == 0 ? 0 : (double) sum / nodesUp, max, nodesUp == 0 ? 0
            : min, heldByNode.length
            - nodesUp,
            nodesOverloaded);
    }
}
