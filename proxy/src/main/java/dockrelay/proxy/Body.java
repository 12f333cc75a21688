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
 * A body that is passed on as it comes, between the connection it comes from and the one it goes to. Its
 * first bytes are kept until more than these went out: so far another sink can have it all. Nothing else is
 * kept: a sink that cannot take more stops the source. All on the event loop's thread.
 */
final class Body {
    /** The connection it comes from. */
    interface Source {
        /** Whether more is wanted now. */
        void setReadEnabled(boolean enabled);

        /** Nobody wants the rest any more. */
        void onDiscarded();
    }

    /** The connection it goes to. */
    interface Sink {
        /** The next part, the sink's to release; the last one is a {@link LastHttpContent}. */
        void onContent(HttpContent content);

        /** There will be no more, though the body is not whole. */
        void onAborted();
    }

    private final Source source;
    private final Deque<HttpContent> keptContents = new ArrayDeque<>();
    private final int maxKeptBytes;
    private int keptBytes;
    private long sentCount;
    private boolean complete, aborted, startReleased;
    private Sink sink;

    /** Keeps so many bytes, and one part more, until there is a sink. */
    Body(Source source, int maxKeptBytes) {
        this.source = source;
        this.maxKeptBytes = maxKeptBytes;
    }

    /** Adds a part to what there is of a message, which may be nothing yet; copied, as parts may be tiny. */
    static ByteBuf append(ByteBuf buffer, HttpContent content, ByteBufAllocator allocator) {
        ByteBuf added = content.content();
        ByteBuf result = buffer == null && added.isReadable() ? allocator.buffer(added.readableBytes())
            : buffer;
        if (added.isReadable()) {
            result.writeBytes(added);
        }
        content.release();
        return result;
    }

    /** The next part as it comes from the source; this body's to release. */
    void add(HttpContent content) {
        if (complete || aborted) {
            content.release();
            return;
        }
        HttpContent forwarded = content;
        if (content instanceof LastHttpContent last) {
            complete = true;
            if (!last.trailingHeaders().isEmpty()) {
                forwarded = new DefaultLastHttpContent(last.content()); // trailers hold for one connection only
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
            sink.onContent(content);
        }
    }

    /** Breaks it off from the source's side. */
    void abort() {
        if (!complete && !aborted) {
            aborted = true;
            releaseKept();
            if (sink != null) {
                sink.onAborted();
            }
        }
    }

    /** Sends it to this sink, from its start; only if it is all there still. */
    void attach(Sink newSink) {
        sink = newSink;
        for (HttpContent content : keptContents.toArray(new HttpContent[0])) {
            if (sink == newSink) { // a sink may end at any part
                send(content.retainedDuplicate());
            }
        }
        setSinkWritable(true);
    }

    /** This sink takes no more of it; another one may have it while it is all there. */
    void detach(Sink oldSink) {
        if (sink == oldSink) {
            sink = null;
        }
    }

    /** Nobody takes it any more. */
    void discard() {
        releaseKept();
        startReleased = true;
        sink = null;
        source.onDiscarded();
    }

    /** Whether the sink has room for more now. */
    void setSinkWritable(boolean writable) {
        if (!complete && !aborted) {
            source.setReadEnabled(writable);
        }
    }

    /** Whether it has come to its end. */
    boolean isComplete() {
        return complete;
    }

    /** Whether all of it can still be sent: nothing went out but what is kept. */
    boolean isReplayable() {
        return !startReleased && !aborted;
    }

    /** How many parts went on so far: it moves while this does. */
    long sentContentCount() {
        return sentCount;
    }

    private void releaseKept() {
        keptContents.forEach(ReferenceCountUtil::release);
        keptContents.clear();
        keptBytes = 0;
    }

    /** Gives back what is kept. */
    void release() {
        releaseKept();
        startReleased = true;
    }
}
