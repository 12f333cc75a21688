package dockrelay.lab.report;

/**
 * A sample of the nodes, taken at a time in seconds since the clients started: mean, maximum and minimum of
 * the requests held by nodes that are up, and how many nodes are down or overloaded.
 */
public record Sample(double at, double mean, int most, int least, long down, long crowded) {
    /**
     * Computes a sample from the requests held by each node; a negative value marks a node that is down.
     */
    public static Sample of(double at, int[] held, long crowded) {
        int up = 0, sum = 0, most = 0, least = Integer.MAX_VALUE;
        for (int one : held) {
            if (one >= 0) {
                up++;
                sum += one;
                most = Math.max(most, one);
                least = Math.min(least, one);
            }
        }
        return new Sample(at, up == 0 ? 0 : (double) sum / up, most, up == 0 ? 0 : least, held.length - up,
            crowded);
    }
}
