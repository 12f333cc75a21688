package dockrelay.proxy;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** What a client has sent behind its request in flight, in order, with the memory that it takes. */
final class PipelineQueue {
    /** Memory of a queued object in addition to its headers with its target, and its content. */
    private static final int OBJECT_OVERHEAD_BYTES = 256;

    private final Deque<HttpObject> objects = new ArrayDeque<>();
    private int sizeInBytes;

    boolean isEmpty() {
        return objects.isEmpty();
    }

    /** The estimated memory of the queued objects. */
    int sizeInBytes() {
        return sizeInBytes;
    }

    void add(HttpObject httpObject) {
        objects.add(httpObject);
        sizeInBytes += sizeInBytes(httpObject);
    }

    /** Removes and returns the first object; the queue must not be empty. */
    HttpObject remove() {
        HttpObject next = objects.remove();
        sizeInBytes -= sizeInBytes(next);
        return next;
    }

    /** Removes all objects and passes each one on. */
    void drainTo(Consumer<HttpObject> consumer) {
        while (!isEmpty()) {
            consumer.accept(remove());
        }
    }

    private static int sizeInBytes(HttpObject httpObject) {
        int contentLength =
            httpObject instanceof HttpContent content ? content.content().readableBytes() : 0;
        return OBJECT_OVERHEAD_BYTES + BoundedHeaders.sizeInBytes(httpObject) + contentLength;
    }
}
