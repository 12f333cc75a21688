package dockrelay.proxy;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Estimates the heap memory that clients and backends make this process hold, from what is open and in flight
 * at the moment.
 *
 * @param connections open connections of clients and to backends
 * @param headBytes memory of heads and trailers
 * @param requests requests that are unanswered or have attempts in flight
 * @param rememberedIds ids of requests whose clients have left
 */
record HeldHeap(IntSupplier connections, LongSupplier headBytes, IntSupplier requests,
                IntSupplier rememberedIds) {
    /** Heap memory of a request with its attempts, and of the module's state for it. */
    private static final long REQUEST_BYTES = 3 * 1024;
    /** Heap memory of a remembered id of the greatest permitted length. */
    private static final long ID_BYTES = 256;

    /** The estimate, in bytes. */
    long bytes() {
        return connections.getAsInt() * MemoryPlan.CONNECTION_BYTES + headBytes.getAsLong()
            + requests.getAsInt() * REQUEST_BYTES + rememberedIds.getAsInt() * ID_BYTES;
    }
}
