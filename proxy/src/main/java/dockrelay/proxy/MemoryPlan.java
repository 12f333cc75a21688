package dockrelay.proxy;

/**
 * Divides the memory that the process is granted by {@code limits.memory_mb} among the Java runtime, the heap
 * and the buffers, and derives from it how many connections there may be and what the heads of their requests
 * may take. All amounts are in bytes unless named otherwise.
 *
 * @param grantBytes what the whole process may take
 * @param heapBytes what the heap may take, garbage included
 * @param bufferBytes what buffers of messages in transit may take
 * @param maxConnections connections of clients and to backends together
 * @param headBytes what heads and trailers of messages may take of the heap
 */
record MemoryPlan(long grantBytes, long heapBytes, long bufferBytes, int maxConnections, long headBytes) {
    private static final long BYTES_PER_MEGABYTE = 1 << 20;
    /** What a process takes apart from its heap and its buffers: code, classes, stacks, compiler. */
    private static final long RUNTIME_BYTES = 66 * BYTES_PER_MEGABYTE;
    /** The smallest heap in which the proxy starts and serves. */
    private static final long MIN_HEAP_BYTES = 20 * BYTES_PER_MEGABYTE;
    /** Buffers may take this part of the grant, and of what the runtime leaves of it. */
    private static final int BUFFER_GRANT_DIVISOR = 8, BUFFER_REST_DIVISOR = 4;
    /** The upper bound stays below the runtime's limit on direct memory, beyond which allocating fails. */
    private static final long MIN_BUFFER_BYTES = 2 * BYTES_PER_MEGABYTE,
        MAX_BUFFER_BYTES = 24 * BYTES_PER_MEGABYTE;
    /** Connections and heads together may take this part of the heap; all else and garbage take the rest. */
    private static final double PEER_HEAP_SHARE = 3.0 / 8;
    /** Connections alone may take the peers' part of the heap divided by this number. */
    private static final int CONNECTIONS_DIVISOR = 2;
    /** Heap memory of an open connection that holds no message: channel, handlers, decoder, timers. */
    static final long CONNECTION_BYTES = 6 * 1024;
    private static final int MIN_CONNECTIONS = 2;

    /**
     * Derives the plan from the settings.
     *
     * @param grantMegabytes the grant
     * @param maxDescriptors descriptors that are left for connections
     * @param maxHeapBytes the most that the runtime gives to the heap
     */
    static MemoryPlan of(int grantMegabytes, int maxDescriptors, long maxHeapBytes) {
        long grant = grantMegabytes * BYTES_PER_MEGABYTE;
        long buffers = bufferBytes(grant);
        long heap = Math.min(maxHeapBytes, Math.max(MIN_HEAP_BYTES, grant - RUNTIME_BYTES - buffers));
        long peers = (long) (heap * PEER_HEAP_SHARE);
        int connections = (int) Math.max(MIN_CONNECTIONS,
            Math.min(maxDescriptors, peers / CONNECTIONS_DIVISOR / CONNECTION_BYTES));
        return new MemoryPlan(grant, heap, buffers, connections, peers - connections * CONNECTION_BYTES);
    }

    /** What buffers may take of a grant in megabytes. */
    static long bufferBytes(int grantMegabytes) {
        return bufferBytes(grantMegabytes * BYTES_PER_MEGABYTE);
    }

    private static long bufferBytes(long grant) {
        long share = Math.min(grant / BUFFER_GRANT_DIVISOR, (grant - RUNTIME_BYTES) / BUFFER_REST_DIVISOR);
        return Math.max(MIN_BUFFER_BYTES, Math.min(MAX_BUFFER_BYTES, share));
    }

    /** The least grant that the process can be kept within. */
    static long leastGrantMegabytes() {
        return (RUNTIME_BYTES + MIN_HEAP_BYTES + MIN_BUFFER_BYTES) / BYTES_PER_MEGABYTE;
    }

    /** Whether the process needs more than it is granted, whatever it does. */
    boolean exceedsGrant() {
        return grantBytes < leastGrantMegabytes() * BYTES_PER_MEGABYTE;
    }

    int grantMegabytes() {
        return (int) (grantBytes / BYTES_PER_MEGABYTE);
    }
}
