package dockrelay.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A message body that is streamed from a source connection to a sink connection. Its first bytes are kept
 * until further bytes are sent, so that up to then the whole body can be replayed to another sink. Nothing
 * else is kept: a sink that cannot accept more pauses the source (backpressure). All on the event loop's
 * thread.
 */
final class Body {
    /** The connection that the body is read from. */
    interface Source {
        /** Resumes or pauses reading. */
        void setReadEnabled(boolean enabled);

        /** The rest of the body is no longer needed. */
        void onDiscarded();
    }

    /** The connection that the body is written to. */
    interface Sink {
        /** Receives the next content, which the sink releases; the last one is a {@link LastHttpContent}. */
        void onContent(HttpContent content);

        /** The body was aborted before its end. */
        void onAborted();

        /** Whether the connection can accept more at the moment. */
        default boolean isWritable() {
            return true;
        }

        /** Whether everything that was written to the connection has been handed to the system. */
        default boolean isDrained() {
            return true;
        }
    }

    private final Source source;
    private final Deque<HttpContent> keptContents = new ArrayDeque<>();
    private final int maxKeptBytes;
    private int keptBytes;
    private long sentCount;
    private boolean complete, aborted, startReleased;
    private Sink sink;
    private final UploadStatistics statistics; // null if the transfer is not recorded

    /**
     * A body that keeps up to this many bytes, plus one content that may exceed them, until it has a sink.
     */
    Body(Source source, int maxKeptBytes) {
        this(source, maxKeptBytes, null);
    }

    /** A body whose transfer is recorded in these statistics. */
    Body(Source source, int maxKeptBytes, UploadStatistics statistics) {
        this.source = source;
        this.maxKeptBytes = maxKeptBytes;
        this.statistics = statistics;
    }

    /**
     * Appends a content to the buffer of a message, which may be null at first, and releases it. The bytes
     * are copied, since contents may be tiny compared with the buffers that hold them.
     */
    static ByteBuf append(ByteBuf buffer, HttpContent content, ByteBufAllocator allocator) {
        ByteBuf added = content.content();
        ByteBuf result = buffer == null && added.isReadable()
            ? allocator.buffer(added.readableBytes()) : buffer;
        if (added.isReadable()) {
            result.writeBytes(added);
        }
        content.release();
        return result;
    }

    /** Accepts the next content from the source; this body takes over the reference. */
    void add(HttpContent content) {
        if (complete || aborted) {
            content.release();
            return;
        }
        HttpContent forwarded = content;
        if (content instanceof LastHttpContent last) {
            complete = true;
            if (!last.trailingHeaders().isEmpty()) {
                // Trailers apply to one connection only.
                forwarded = new DefaultLastHttpContent(last.content());
            }
        }
        if (sink == null && !startReleased) {
            keptContents.add(forwarded);
            keptBytes += forwarded.content().readableBytes();
            if (keptBytes >= maxKeptBytes) {
                source.setReadEnabled(false);
            }
        } else {
            releaseKept();
            startReleased = true;
            send(forwarded);
        }
    }

    private void send(HttpContent content) {
        if (sink == null) {
            content.release();
        } else {
            sentCount++;
            if (statistics != null) {
                statistics.forwarded(content.content().readableBytes());
            }
            sink.onContent(content);
        }
    }

    /** Aborts the body from the source's side; without effect if it is complete. */
    void abort() {
        if (!complete && !aborted) {
            aborted = true;
            releaseKept();
            if (sink != null) {
                sink.onAborted();
            }
        }
    }

    /** Sends the body to this sink from its start; the body must be replayable. */
    void attach(Sink newSink) {
        sink = newSink;
        for (HttpContent content : keptContents.toArray(new HttpContent[0])) {
            if (sink == newSink) { // a sink may detach after any content
                send(content.retainedDuplicate());
            }
        }
        setSinkWritable(sink == null || sink.isWritable());
    }

    /** How far this transfer has come, which decides what memory it may use. */
    TransferMemory.Stage stage() {
        if (sink == null) {
            return TransferMemory.Stage.WAITING;
        }
        return sink.isDrained() ? TransferMemory.Stage.DRAINED : TransferMemory.Stage.FORWARDING;
    }

    /** Detaches this sink; while the body is replayable, another one may be attached. */
    void detach(Sink oldSink) {
        if (sink == oldSink) {
            sink = null;
        }
    }

    /** Discards the body and tells the source that the rest is not needed. */
    void discard() {
        releaseKept();
        startReleased = true;
        sink = null;
        source.onDiscarded();
    }

    /** Tells the source whether the sink can accept more. */
    void setSinkWritable(boolean writable) {
        if (!complete && !aborted) {
            source.setReadEnabled(writable);
        }
    }

    /** Whether the last content has arrived. */
    boolean isComplete() {
        return complete;
    }

    /** Whether the body can still be sent from its start: nothing was sent except the bytes that are kept. */
    boolean isReplayable() {
        return !startReleased && !aborted;
    }

    /** How the transfer went so far, or null if it is not recorded. */
    UploadStatistics statistics() {
        return statistics;
    }

    /** The number of contents sent so far, which shows whether the transfer makes progress. */
    long sentContentCount() {
        return sentCount;
    }

    private void releaseKept() {
        keptContents.forEach(ReferenceCountUtil::release);
        keptContents.clear();
        keptBytes = 0;
    }

    /** Releases the kept bytes; the body is no longer replayable. */
    void release() {
        releaseKept();
        startReleased = true;
    }
}
