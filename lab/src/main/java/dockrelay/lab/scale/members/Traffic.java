package dockrelay.lab.scale.members;

/**
 * Bytes and datagrams of each member, one way: in all, and the most in any ten seconds by whole seconds. A
 * member is added to by one thread; another one may end the seconds, and what falls just between is lost.
 */
final class Traffic {
    private static final int WINDOW_SECONDS = 10;

    private final long[][] bytesBySecond;
    private final long[] totalBytes, peakWindowBytes, datagramCounts;
    private volatile int currentSecond;

    Traffic(int memberCount) {
        bytesBySecond = new long[memberCount][WINDOW_SECONDS];
        totalBytes = new long[memberCount];
        peakWindowBytes = new long[memberCount];
        datagramCounts = new long[memberCount];
    }

    void record(int member, int lengthBytes) {
        totalBytes[member] += lengthBytes;
        bytesBySecond[member][currentSecond % WINDOW_SECONDS] += lengthBytes;
        datagramCounts[member]++;
    }

    /** A second is over. */
    void endSecond() {
        currentSecond = currentSecond + 1; // by one thread only
        for (int i = 0; i < totalBytes.length; i++) {
            if (currentSecond >= WINDOW_SECONDS) {
                long windowBytes = 0;
                for (long bytes : bytesBySecond[i]) {
                    windowBytes += bytes;
                }
                peakWindowBytes[i] = Math.max(peakWindowBytes[i], windowBytes);
            }
            bytesBySecond[i][currentSecond % WINDOW_SECONDS] = 0;
        }
    }

    /** Counts from here on anew. */
    void reset() {
        currentSecond = 0;
        for (int i = 0; i < totalBytes.length; i++) {
            totalBytes[i] = 0;
            datagramCounts[i] = 0;
            peakWindowBytes[i] = 0;
            java.util.Arrays.fill(bytesBySecond[i], 0);
        }
    }

    long totalDatagrams() {
        return sum(datagramCounts);
    }

    long totalBytes() {
        return sum(totalBytes);
    }

    private static long sum(long[] values) {
        long sum = 0;
        for (long value : values) {
            sum += value;
        }
        return sum;
    }

    long maxMemberBytes() {
        long result = 0;
        for (long bytes : totalBytes) {
            result = Math.max(result, bytes);
        }
        return result;
    }

    /** Bytes a second of the member that had the most in any ten seconds. */
    double peakBytesPerSecond() {
        long result = 0;
        for (long windowBytes : peakWindowBytes) {
            result = Math.max(result, windowBytes);
        }
        return (double) result / WINDOW_SECONDS;
    }
}
