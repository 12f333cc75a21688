package dockrelay.lab.scale.members;

/**
 * Bytes and datagrams of each member, one way: in all, and the most in any ten seconds by whole seconds. A
 * member is added to by one thread; another one may end the seconds, and what falls just between is lost.
 */
final class Traffic {
    private static final int SECONDS = 10;

    private final long[][] lastSeconds;
    private final long[] bytes, most, datagrams;
    private volatile int second;

    Traffic(int members) {
        lastSeconds = new long[members][SECONDS];
        bytes = new long[members];
        most = new long[members];
        datagrams = new long[members];
    }

    void add(int member, int length) {
        bytes[member] += length;
        lastSeconds[member][second % SECONDS] += length;
        datagrams[member]++;
    }

    /** A second is over. */
    void roll() {
        second = second + 1; // by one thread only
        for (int i = 0; i < bytes.length; i++) {
            if (second >= SECONDS) {
                long sum = 0;
                for (long one : lastSeconds[i]) {
                    sum += one;
                }
                most[i] = Math.max(most[i], sum);
            }
            lastSeconds[i][second % SECONDS] = 0;
        }
    }

    /** Counts from here on anew. */
    void clear() {
        second = 0;
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = 0;
            datagrams[i] = 0;
            most[i] = 0;
            java.util.Arrays.fill(lastSeconds[i], 0);
        }
    }

    long datagrams() {
        return sum(datagrams);
    }

    long bytes() {
        return sum(bytes);
    }

    private static long sum(long[] each) {
        long sum = 0;
        for (long one : each) {
            sum += one;
        }
        return sum;
    }

    long mostOfOne() {
        long result = 0;
        for (long one : bytes) {
            result = Math.max(result, one);
        }
        return result;
    }

    /** Bytes a second of the member that had the most in any ten seconds. */
    double mostInTenSeconds() {
        long result = 0;
        for (long one : most) {
            result = Math.max(result, one);
        }
        return (double) result / SECONDS;
    }
}
