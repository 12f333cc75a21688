package dockrelay.lab.report;

/** The nodes at one moment, in seconds from when clients came: what they hold, in all and the busiest. */
public record Sample(double at, double mean, int most, int least, long down, long crowded) {
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
