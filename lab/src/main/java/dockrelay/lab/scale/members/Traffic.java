package dockrelay.lab.scale.members;

/**
 * Bytes and datagrams of each member in one direction: totals, and the peak over any ten whole seconds. Each
 * member is counted by a single thread. Another thread may end the seconds; a count that races with the end
 * of a second may be lost.
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

    /** Counts a datagram of this length, in bytes. */
    void record(int member, int lengthBytes) {
        totalBytes[member] += lengthBytes;
        bytesBySecond[member][currentSecond % WINDOW_SECONDS] += lengthBytes;
        datagramCounts[member]++;
    }

    /** Ends the current second. */
    void endSecond() {
        currentSecond = currentSecond + 1; // not atomic: called by one thread only
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

    /** Resets all counters. */
    void reset() {
        currentSecond = 0;
        for (int i = 0; i < totalBytes.length; i++) {
            totalBytes[i] = 0;
            datagramCounts[i] = 0;
            peakWindowBytes[i] = 0;
            java.util.Arrays.fill(bytesBySecond[i], 0);
        }
    }

    /** Datagrams of all members. */
    long totalDatagrams() {
        return sum(datagramCounts);
    }

    /** Bytes of all members. */
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

    /** Bytes of the busiest member. */
    long maxMemberBytes() {
        long result = 0;
        for (long bytes : totalBytes) {
            result = Math.max(result, bytes);
        }
        return result;
    }

    /** Highest rate of any member over any ten seconds, in bytes per second. */
    double peakBytesPerSecond() {
        long result = 0;
        for (long windowBytes : peakWindowBytes) {
            result = Math.max(result, windowBytes);
        }
        return (double) result / WINDOW_SECONDS;
    }
}
