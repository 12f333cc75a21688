package dockrelay.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;

/**
 * Limits the heap memory of all heads and trailers: of requests that are being received, wait behind a
 * request in flight or belong to one, and of responses until they have been passed on. All on the event
 * loop's thread.
 *
 * <p>Invariant: the memory in use is the sum over all open connections of what each of them has in use, and
 * a connection that holds no request has nothing in use.
 */
final class HeadMemory {
    /** Heads of clients may use this part of the limit: the rest is for those of the answers to them. */
    private static final double CLIENT_SHARE = 0.75;

    private final long limitBytes;
    private long usedBytes;

    HeadMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** The share of a client's connection. */
    ConnectionShare clientShare() {
        return new ConnectionShare((long) (limitBytes * CLIENT_SHARE));
    }

    /** The share of a connection to a backend. */
    ConnectionShare backendShare() {
        return new ConnectionShare(limitBytes);
    }

    /** The estimated memory in use, in bytes. */
    long usedBytes() {
        return usedBytes;
    }

    /** The part of the memory that one connection uses. */
    final class ConnectionShare {
        private final long maxUsedBytes; // by all connections, before this one takes more
        private long shareBytes;
        private boolean closed;

        private ConnectionShare(long maxUsedBytes) {
            this.maxUsedBytes = maxUsedBytes;
        }

        /** The configuration of the connection's decoder, which reserves memory for each line. */
        HttpDecoderConfig decoderConfig() {
            return BoundedHeaders.decoderConfig(this::reserve);
        }

        private void reserve(int bytes) {
            if (closed) {
                return; // the connection's last bytes are decoded as it ends
            }
            if (usedBytes + bytes > maxUsedBytes) {
                throw new HeadMemoryExhaustedException(maxUsedBytes);
            }
            shareBytes += bytes;
            usedBytes += bytes;
        }

        /** The estimated memory that this connection uses, in bytes. */
        long usedBytes() {
            return shareBytes;
        }

        /** Releases the memory of a head or trailer that is no longer referred to. */
        void release(HttpObject httpObject) {
            release(BoundedHeaders.sizeInBytes(httpObject));
        }

        private void release(long bytes) {
            if (!closed) {
                shareBytes -= bytes;
                usedBytes -= bytes;
            }
        }

        /** Releases everything, as the connection has ended. */
        void close() {
            release(shareBytes);
            closed = true;
        }
    }
}
